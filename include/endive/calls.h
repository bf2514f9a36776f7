#pragma once
/// Calls library: the decisions of the request path as pure state machines. No class here reads a clock,
/// opens a socket or starts a thread. No class here is thread safe; the caller holds one lock per service.

#include "endive/config.h"
#include "endive/model.h"
#include "endive/platform.h"

#include <deque>

namespace endive::calls {

// ---- request headers -------------------------------------------------------------------------------------

/// The endive request headers of one call after parsing.
struct call_headers {
    std::optional<milliseconds> timeout;
    std::uint32_t depth = 0;   ///< daemons passed so far
    std::uint32_t attempt = 1; ///< above 1: a retry made by a layer nearer the caller
    std::optional<std::uint32_t> priority;
    std::string idempotency_key;
    friend bool operator==(const call_headers&, const call_headers&) = default;
};

/// Raw header values; empty when absent.
struct raw_call_headers {
    std::string_view timeout;
    std::string_view depth;
    std::string_view attempt;
    std::string_view priority;
    std::string_view idempotency_key;
};

/// Throws `error` with `call_bad_request` and the header's name as place, or with `call_too_deep`.
[[nodiscard]] call_headers parse_headers(const raw_call_headers& raw);

/// Deadline of a call: the shorter of the caller's remaining time and the route's timeout.
[[nodiscard]] time_point deadline_of(const call_headers& headers, const model::route& route, time_point now);

// ---- version choice --------------------------------------------------------------------------------------

/// Version for a uniformly random number from 0 to 2^64-1. Empty when no version may get traffic.
[[nodiscard]] std::string_view choose_version(std::span<const model::version_share> shares,
                                              std::uint64_t random);

// ---- outcome of one attempt ------------------------------------------------------------------------------

enum class transport_result : std::uint8_t {
    answered,          ///< a complete, verified response
    connect_failed,    ///< no connection; nothing was sent
    closed_unsent,     ///< the pooled connection was closed before the first byte was sent
    closed_unanswered, ///< closed after bytes were sent, before a response
    timed_out,         ///< deadline passed without a complete response
    truncated,         ///< the response began and did not end as it announced
    malformed,         ///< the response is not HTTP or exceeds limits
    cancelled,         ///< the caller went away, or another attempt was faster
};

/// What the transport saw of one attempt.
struct attempt_result {
    transport_result transport = transport_result::answered;
    std::uint64_t bytes_sent = 0;
    std::uint32_t status = 0;        ///< HTTP status; 0 without a response
    bool refused_as_not_run = false; ///< response carries `endive-outcome: not-run`
    bool reports_unknown = false;    ///< response carries `endive-outcome: unknown`
    bool from_deeper_layer = false;  ///< response carries `endive-reason`: a daemon further down refused
    bool opened_connection = false;  ///< this attempt opened its own connection
    friend bool operator==(const attempt_result&, const attempt_result&) = default;
};

/// Whether the backend server executed the request.
enum class execution : std::uint8_t { ran, not_run, unknown };

struct attempt_class {
    model::call_outcome outcome = model::call_outcome::success;
    execution executed = execution::ran;
    result_code code = result_code::ok; ///< `ok` when the response goes to the caller as it is
    friend bool operator==(const attempt_class&, const attempt_class&) = default;
};

[[nodiscard]] attempt_class classify(const attempt_result& result);

/// How a response announced its body.
struct response_framing {
    std::optional<std::uint64_t> content_length;
    bool chunked = false;
    bool body_allowed = true; ///< false for HEAD, 1xx, 204 and 304
    friend bool operator==(const response_framing&, const response_framing&) = default;
};

/// True when `received` bytes are the whole response. A body that only ends with the connection cannot be
/// verified and is never complete.
[[nodiscard]] bool is_complete(const response_framing& framing, std::uint64_t received, bool last_chunk_seen);

// ---- endpoint choice -------------------------------------------------------------------------------------

/// Slot of an endpoint in its `endpoint_group`; valid from `choose` to the matching `finish`.
struct endpoint_handle {
    std::uint32_t index = UINT32_MAX;
    [[nodiscard]] bool valid() const { return index != UINT32_MAX; }
    friend auto operator<=>(const endpoint_handle&, const endpoint_handle&) = default;
};

struct endpoint_settings {
    std::string failure_domain; ///< of this daemon
    duration ramp = std::chrono::seconds{10};
    double ramp_start = 0.1;             ///< weight of an endpoint at the start of its ramp
    double spill_ratio = 1.5;            ///< another domain is used when it scores this much better
    std::uint32_t eject_consecutive = 5; ///< failures in a row
    double eject_failure_ratio = 0.5;    ///< of the recent average, after `eject_samples`
    std::uint32_t eject_samples = 20;
    double eject_slow_factor = 5.0; ///< times the group's median latency
    duration eject_slow_minimum = milliseconds{50};
    std::uint32_t eject_consecutive_slow = 3; ///< slow successes in a row
    duration eject_backoff = std::chrono::seconds{1};
    duration eject_backoff_max = std::chrono::seconds{60};
    std::uint32_t probes_to_return = 3;
    double max_ejected_ratio = config::max_ejected_ratio;
    bool relay_available = false; ///< below a connection share of 2 the relaying daemon owns the slots
    friend bool operator==(const endpoint_settings&, const endpoint_settings&) = default;
};

/// State of one endpoint as the request path sees it, for reports and tests.
struct endpoint_status {
    std::string address;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 0;
    bool ejected = false;
    bool probing = false;
    bool present = true;
    double failure_ratio = 0;
    duration latency{0};
    friend bool operator==(const endpoint_status&, const endpoint_status&) = default;
};

/// A finished attempt, as `endpoint_group::finish` takes it.
struct attempt_report {
    model::call_outcome outcome = model::call_outcome::success;
    duration latency{0};
    friend bool operator==(const attempt_report&, const attempt_report&) = default;
};

/// The endpoints of one (service, version).
class endpoint_group {
public:
    explicit endpoint_group(endpoint_settings settings);
    ~endpoint_group();
    endpoint_group(endpoint_group&&) noexcept;
    endpoint_group& operator=(endpoint_group&&) noexcept;

    /// Replaces the endpoints; those that stay keep their observations. Endpoints that are not `serving` get
    /// no new work. `live_daemons` divides the connections of each endpoint.
    void update(std::span<const model::endpoint_info> endpoints, std::uint32_t live_daemons, time_point now);
    /// Reserves a place at an endpoint. `excluded` lists addresses that this call has already tried. With
    /// `may_probe` the call may test an ejected endpoint; calls that are not idempotent should not. Invalid
    /// handle when none has room.
    [[nodiscard]] endpoint_handle choose(std::uint64_t random, std::span<const std::string> excluded,
                                         time_point now, bool may_probe = true);
    /// Ends the reservation. Precondition: `handle` comes from `choose` and was not finished.
    void finish(endpoint_handle handle, const attempt_report& report, time_point now);
    /// Ends the reservation of an attempt that was never sent; it counts neither as success nor as failure.
    void abandon(endpoint_handle handle);
    /// Adds what a load probe reported. It can lower an endpoint's rank and never raises it.
    void report_load(const std::string& address, double load, time_point now);

    [[nodiscard]] const model::endpoint_info& info(endpoint_handle handle) const;
    /// True when the endpoint is younger than its ramp.
    [[nodiscard]] bool is_cold(endpoint_handle handle, time_point now) const;
    /// Places of all usable endpoints together.
    [[nodiscard]] std::uint32_t capacity(time_point now) const;
    /// Places that a call could take at once.
    [[nodiscard]] std::uint32_t free_places() const;
    /// Reservations, those at ejected and absent endpoints included.
    [[nodiscard]] std::uint32_t in_flight() const;
    /// Average latency of successes; zero before the first.
    [[nodiscard]] duration typical_latency() const;
    /// Latency that few successes exceed (average plus four mean deviations); zero before the first.
    [[nodiscard]] duration high_latency() const;
    [[nodiscard]] std::size_t ejected_count() const;
    [[nodiscard]] std::vector<endpoint_status> status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// ---- admission -------------------------------------------------------------------------------------------

struct admission_settings {
    std::uint32_t max_queued = 64;
    duration max_age = milliseconds{500}; ///< longest wait before a start
    friend bool operator==(const admission_settings&, const admission_settings&) = default;
};

/// A call that asks to start.
struct admission_request {
    std::uint64_t ticket = 0;
    std::uint32_t priority = 1; ///< 0 is most important
    time_point deadline;
    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// What the service can do at this moment.
struct admission_load {
    std::uint32_t in_service = 0;
    std::uint32_t capacity = 0;
    duration service_time{0}; ///< observed; zero when unknown
    friend bool operator==(const admission_load&, const admission_load&) = default;
};

enum class admission_verdict : std::uint8_t { start, queued, refused };

struct admission_action {
    std::uint64_t ticket = 0;
    admission_verdict verdict = admission_verdict::start;
    result_code code = result_code::ok; ///< reason of a refusal
    friend bool operator==(const admission_action&, const admission_action&) = default;
};

/// Bounded queue in front of one (service, version), ordered by priority and then by age.
class admission_queue {
public:
    explicit admission_queue(admission_settings settings) : settings_{settings} {}
    /// First action: the verdict on `request`. A second one refuses a less important queued call that had to
    /// make room.
    [[nodiscard]] std::vector<admission_action> arrive(const admission_request& request,
                                                       const admission_load& load, time_point now);
    /// Starts queued calls while there is room, and refuses those that have become too old or too late.
    [[nodiscard]] std::vector<admission_action> advance(admission_load load, time_point now);
    /// Removes a queued call whose caller went away; false when it is not queued.
    bool remove(std::uint64_t ticket);
    /// Empties the queue and returns the tickets, most important first.
    [[nodiscard]] std::vector<std::uint64_t> take_all();
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        admission_request request;
        time_point arrived;
    };
    static constexpr std::size_t priorities = 4;
    [[nodiscard]] result_code refusal(const entry& candidate, const admission_load& load,
                                      time_point now) const;
    admission_settings settings_;
    std::deque<entry> queues_[priorities];
};

// ---- retries and hedging ---------------------------------------------------------------------------------

/// Token bucket that holds retries and hedges to a ratio of the requests of one service.
class retry_budget {
public:
    explicit retry_budget(double ratio = config::retry_budget_ratio, double burst = 10.0)
        : ratio_{ratio}, burst_{burst}, tokens_{burst} {}
    void on_request();
    /// Takes one token; false when the budget is used up.
    [[nodiscard]] bool take();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

/// Facts that decide whether a failed attempt is repeated.
struct retry_question {
    bool idempotent = true;
    std::uint32_t caller_attempt = 1; ///< value of `endive-attempt` at arrival
    std::uint32_t attempts_made = 1;
    execution executed = execution::not_run;
    bool from_deeper_layer = false; ///< that layer has spent its retries already
    duration remaining{0};
    duration service_time{0};
    friend bool operator==(const retry_question&, const retry_question&) = default;
};

/// Most attempts at one call, hedges included.
inline constexpr std::uint32_t max_attempts = 3;

/// True when the attempt may be repeated if the budget allows it.
[[nodiscard]] bool may_retry(const retry_question& question);

/// Delay after which an idempotent first attempt is hedged; empty when this call is not hedged.
[[nodiscard]] std::optional<duration> hedge_delay(bool idempotent, std::uint32_t caller_attempt,
                                                  duration high_latency, duration remaining);

// ---- connections -----------------------------------------------------------------------------------------

/// What is known about one pooled connection.
struct connection_record {
    time_point opened;
    time_point last_response; ///< equal to `opened` before the first response
    friend bool operator==(const connection_record&, const connection_record&) = default;
};

enum class connection_use : std::uint8_t { reuse, replace };

/// `suspect_before`: connections whose last response is older than this were open when a connection to the
/// same endpoint was found silent.
[[nodiscard]] connection_use decide_use(const connection_record& record, bool idempotent,
                                        time_point suspect_before, time_point now);

// ---- operation records -----------------------------------------------------------------------------------

enum class operation_state : std::uint8_t { started, finished, not_run };

/// Bodies up to this size are stored with a finished operation.
inline constexpr std::size_t max_stored_body_bytes = 16UL * 1024;

/// Value of the table row `op/<service>/<key>`.
struct operation_record {
    operation_state state = operation_state::started;
    std::string write_id; ///< of the call that owns the record
    std::uint64_t request_digest = 0;
    std::int64_t expires_unix_ms = 0;
    std::uint32_t status = 0;
    std::string content_type;
    std::string body;
    bool body_stored = false;
    friend bool operator==(const operation_record&, const operation_record&) = default;
};

[[nodiscard]] std::string operation_row_key(std::string_view service, std::string_view key);
[[nodiscard]] std::string encode(const operation_record& record);
/// Throws `error` with `platform_bad_answer` on unexpected content.
[[nodiscard]] operation_record decode_operation(std::string_view text);
/// Digest over method, path, query and body, to detect a key that is reused for another request.
[[nodiscard]] std::uint64_t request_digest(std::string_view method, std::string_view target,
                                           std::string_view body);

enum class operation_step : std::uint8_t {
    create,  ///< write the record on condition that the row is absent
    replace, ///< write the record on condition of `etag`
    read,    ///< read the row
    run,     ///< the record is ours: send the request
    reply,   ///< answer with `stored`
    refuse,  ///< answer with `code`
};

struct operation_action {
    operation_step step = operation_step::create;
    std::string etag;
    operation_record stored;
    result_code code = result_code::ok;
    /// For `refuse`: what may be said about execution by this or an earlier call with the key.
    execution executed = execution::not_run;
    friend bool operator==(const operation_action&, const operation_action&) = default;
};

enum class write_result : std::uint8_t { written, precondition_failed, not_written, unknown };

/// Decides the start of one keyed, non-idempotent call: at most one call with the key runs.
class operation_start {
public:
    operation_start(std::string write_id, std::uint64_t digest, std::int64_t now_unix_ms)
        : write_id_{std::move(write_id)}, digest_{digest}, now_unix_ms_{now_unix_ms} {}
    [[nodiscard]] operation_action begin();
    [[nodiscard]] operation_action on_write(write_result result, const std::string& etag);
    [[nodiscard]] operation_action on_read(const std::optional<platform::row>& row);
    [[nodiscard]] operation_action on_read_failed();
    /// The record to write for `create` and `replace`.
    [[nodiscard]] operation_record record() const;

private:
    std::string write_id_;
    std::uint64_t digest_;
    std::int64_t now_unix_ms_;
    bool write_uncertain_ = false;
    std::uint32_t reads_ = 0;
};

} // namespace endive::calls
