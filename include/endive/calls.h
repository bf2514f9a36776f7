#pragma once
/// Calls library: routing, load balancing, admission and retry decisions of the request path as pure state
/// machines. No class reads a clock, opens a socket or starts a thread. No class is thread safe; the caller
/// holds one lock per service.

#include "endive/config.h"
#include "endive/model.h"
#include "endive/platform.h"

#include <deque>

namespace endive::calls {

// ---- request headers -------------------------------------------------------------------------------------

/// Parsed endive request headers of one call.
struct call_headers {
    std::optional<milliseconds> timeout;
    std::uint32_t depth = 0;   ///< number of daemons that have already forwarded the call
    std::uint32_t attempt = 1; ///< above 1: a retry by the caller or by a daemon closer to it
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

/// Deadline of a call: `now` plus the shorter of the caller's timeout and the route's timeout.
[[nodiscard]] time_point deadline_of(const call_headers& headers, const model::route& route, time_point now);

// ---- version selection -----------------------------------------------------------------------------------

/// Selects a version in proportion to the shares. `random` is uniform from 0 to 2^64-1. Empty when no version
/// may receive traffic.
[[nodiscard]] std::string_view choose_version(std::span<const model::version_share> shares,
                                              std::uint64_t random);

// ---- outcome of one attempt ------------------------------------------------------------------------------

enum class transport_result : std::uint8_t {
    answered,          ///< a complete, verified response
    connect_failed,    ///< no connection; nothing was sent
    closed_unsent,     ///< the pooled connection was closed before the first byte was sent
    closed_unanswered, ///< closed after bytes were sent, before a response
    timed_out,         ///< the deadline passed before the response was complete
    truncated,         ///< the response ended before its announced length or last chunk
    malformed,         ///< the response is not valid HTTP or exceeds a size limit
    cancelled,         ///< the caller disconnected, or another attempt completed first
};

/// Result of one attempt as reported by the transport.
struct attempt_result {
    transport_result transport = transport_result::answered;
    std::uint64_t bytes_sent = 0;
    std::uint32_t status = 0;       ///< HTTP status; 0 without a response
    bool reports_not_run = false;   ///< response carries `endive-outcome: not-run`
    bool reports_unknown = false;   ///< response carries `endive-outcome: unknown`
    bool from_deeper_layer = false; ///< response carries `endive-reason`: another daemon refused the call
    bool opened_connection = false; ///< this attempt opened its own connection
    friend bool operator==(const attempt_result&, const attempt_result&) = default;
};

/// Whether the backend server executed the request.
enum class execution : std::uint8_t { ran, not_run, unknown };

struct attempt_class {
    model::call_outcome outcome = model::call_outcome::success;
    execution executed = execution::ran;
    result_code code = result_code::ok; ///< `ok` when the response is passed to the caller unchanged
    friend bool operator==(const attempt_class&, const attempt_class&) = default;
};

[[nodiscard]] attempt_class classify(const attempt_result& result);

/// How the head of a response delimits its body.
struct response_framing {
    std::optional<std::uint64_t> content_length;
    bool chunked = false;
    bool body_allowed = true; ///< false for HEAD, 1xx, 204 and 304
    friend bool operator==(const response_framing&, const response_framing&) = default;
};

/// True when `received` bytes are the complete body. A body that is delimited only by the end of the
/// connection cannot be verified and is never complete.
[[nodiscard]] bool is_complete(const response_framing& framing, std::uint64_t received, bool last_chunk_seen);

// ---- endpoint selection ----------------------------------------------------------------------------------

/// Index of an endpoint in its `endpoint_group`; valid from `choose` to the matching `finish` or `abandon`.
struct endpoint_handle {
    std::uint32_t index = UINT32_MAX;
    [[nodiscard]] bool valid() const { return index != UINT32_MAX; }
    friend auto operator<=>(const endpoint_handle&, const endpoint_handle&) = default;
};

struct endpoint_settings {
    std::string failure_domain;               ///< of this daemon
    duration ramp = std::chrono::seconds{10}; ///< duration of the slow start of a new endpoint
    double ramp_start = 0.1;                  ///< initial weight of a new endpoint, from 0 to 1
    double spillover_ratio = 1.5; ///< another failure domain is used when its score is better by this factor
    std::uint32_t eject_consecutive_failures = 5; ///< consecutive failures
    double eject_failure_ratio = 0.5; ///< moving average, evaluated from `eject_samples` attempts on
    std::uint32_t eject_samples = 20;
    double eject_slow_factor = 5.0; ///< multiple of the group's median latency
    duration eject_slow_min_latency = milliseconds{50};
    std::uint32_t eject_consecutive_slow = 3; ///< consecutive slow successes
    duration eject_backoff = std::chrono::seconds{1};
    duration eject_backoff_max = std::chrono::seconds{60};
    std::uint32_t probes_to_readmit = 3; ///< consecutive successes of a probed endpoint
    double max_ejected_ratio = config::max_ejected_ratio;
    bool relay_available = false; ///< with a connection share below 2, calls are relayed to the daemon beside
                                  ///< the endpoint, which then allocates the slots
    friend bool operator==(const endpoint_settings&, const endpoint_settings&) = default;
};

/// State of one endpoint in the load balancer, for reports and tests.
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

/// Outcome of a finished attempt, passed to `endpoint_group::finish`.
struct attempt_report {
    model::call_outcome outcome = model::call_outcome::success;
    duration latency{0};
    friend bool operator==(const attempt_report&, const attempt_report&) = default;
};

/// Load balancer and outlier detection over the endpoints of one (service, version).
class endpoint_group {
public:
    explicit endpoint_group(endpoint_settings settings);
    ~endpoint_group();
    endpoint_group(endpoint_group&&) noexcept;
    endpoint_group& operator=(endpoint_group&&) noexcept;

    /// Replaces the endpoints; those that remain keep their statistics. Endpoints that are not `serving`
    /// receive no new calls. The connections of each endpoint are divided evenly among `live_daemons`
    /// daemons.
    void update(std::span<const model::endpoint_info> endpoints, std::uint32_t live_daemons, time_point now);
    /// Reserves a slot at an endpoint. `excluded` lists addresses that this call has already tried. With
    /// `may_probe` the call may probe an ejected endpoint; pass false for calls that are not idempotent.
    /// Returns an invalid handle when no endpoint has a free slot.
    [[nodiscard]] endpoint_handle choose(std::uint64_t random, std::span<const std::string> excluded,
                                         time_point now, bool may_probe = true);
    /// Releases the slot and records the outcome. Precondition: `handle` comes from `choose` and was not
    /// finished.
    void finish(endpoint_handle handle, const attempt_report& report, time_point now);
    /// Releases the slot of an attempt that was never sent; it counts neither as success nor as failure.
    void abandon(endpoint_handle handle);
    /// Records the load that a probe reported. It can make an endpoint less preferred, never more preferred.
    void report_load(const std::string& address, double load, time_point now);

    [[nodiscard]] const model::endpoint_info& info(endpoint_handle handle) const;
    /// True while the endpoint is in its slow start.
    [[nodiscard]] bool is_cold(endpoint_handle handle, time_point now) const;
    /// Total slots of all usable endpoints.
    [[nodiscard]] std::uint32_t capacity(time_point now) const;
    /// Slots of usable endpoints that are not reserved.
    [[nodiscard]] std::uint32_t free_slots() const;
    /// Reserved slots, including those at ejected and removed endpoints.
    [[nodiscard]] std::uint32_t in_flight() const;
    /// Median over the endpoints of their average latency of successes; zero before the first success.
    [[nodiscard]] duration median_latency() const;
    /// Latency that few successes exceed: median latency plus four times the largest mean deviation of an
    /// endpoint; zero before the first success.
    [[nodiscard]] duration tail_latency() const;
    [[nodiscard]] std::size_t ejected_count() const;
    [[nodiscard]] std::vector<endpoint_status> status(time_point now) const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// ---- admission -------------------------------------------------------------------------------------------

struct admission_settings {
    std::uint32_t max_queued = 64;
    duration max_queue_time = milliseconds{500}; ///< maximum wait before a call is started
    friend bool operator==(const admission_settings&, const admission_settings&) = default;
};

/// A call to be admitted.
struct admission_request {
    std::uint64_t ticket = 0;
    std::uint32_t priority = 1; ///< 0 is the highest
    time_point deadline;
    friend bool operator==(const admission_request&, const admission_request&) = default;
};

/// Current load and capacity of the service.
struct admission_load {
    std::uint32_t in_service = 0;
    std::uint32_t capacity = 0;
    duration service_time{0}; ///< observed service time of a call; zero when unknown
    friend bool operator==(const admission_load&, const admission_load&) = default;
};

enum class admission_decision : std::uint8_t { start, queued, rejected };

struct admission_action {
    std::uint64_t ticket = 0;
    admission_decision decision = admission_decision::start;
    result_code code = result_code::ok; ///< reason of a rejection
    friend bool operator==(const admission_action&, const admission_action&) = default;
};

/// Bounded admission queue of one (service, version), ordered by priority and then by age.
class admission_queue {
public:
    explicit admission_queue(admission_settings settings) : settings_{settings} {}
    /// Starts, queues or rejects `request`; this is the first action. A second action rejects a queued call
    /// of lower priority that was displaced.
    [[nodiscard]] std::vector<admission_action> admit(const admission_request& request,
                                                      const admission_load& load, time_point now);
    /// Starts queued calls while there is capacity. Rejects those that have waited for longer than
    /// `max_queue_time` or can no longer meet their deadline.
    [[nodiscard]] std::vector<admission_action> advance(admission_load load, time_point now);
    /// Removes a queued call whose caller disconnected; false when it is not queued.
    bool remove(std::uint64_t ticket);
    /// Empties the queue and returns the tickets, highest priority first.
    [[nodiscard]] std::vector<std::uint64_t> take_all();
    [[nodiscard]] std::size_t size() const;

private:
    struct entry {
        admission_request request;
        time_point arrived;
    };
    static constexpr std::size_t priority_levels = 4;
    [[nodiscard]] result_code rejection_code(const entry& candidate, const admission_load& load,
                                             time_point now) const;
    admission_settings settings_;
    std::deque<entry> queues_[priority_levels];
};

// ---- retries and hedging ---------------------------------------------------------------------------------

/// Token bucket that limits retries and hedges to a ratio of the requests of one service.
class retry_budget {
public:
    explicit retry_budget(double ratio = config::retry_budget_ratio, double burst = 10.0)
        : ratio_{ratio}, burst_{burst}, tokens_{burst} {}
    void on_request();
    /// Takes one token; false when the budget is exhausted.
    [[nodiscard]] bool take();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

/// Inputs of the decision whether to retry a failed attempt.
struct retry_context {
    bool idempotent = true;
    std::uint32_t caller_attempt = 1; ///< value of the received `endive-attempt` header
    std::uint32_t attempts_made = 1;
    execution executed = execution::not_run;
    bool from_deeper_layer = false; ///< the daemon that refused the call has already retried it
    duration remaining{0};
    duration service_time{0};
    friend bool operator==(const retry_context&, const retry_context&) = default;
};

/// Maximum number of attempts for one call, hedges included.
inline constexpr std::uint32_t max_attempts = 3;

/// True when the call may be retried, subject to the retry budget.
[[nodiscard]] bool may_retry(const retry_context& context);

/// Delay after which an idempotent first attempt is hedged; empty when the call must not be hedged.
[[nodiscard]] std::optional<duration> hedge_delay(bool idempotent, std::uint32_t caller_attempt,
                                                  duration tail_latency, duration remaining);

// ---- connections -----------------------------------------------------------------------------------------

/// Age and last activity of one pooled connection.
struct connection_record {
    time_point opened;
    time_point last_response; ///< equal to `opened` before the first response
    friend bool operator==(const connection_record&, const connection_record&) = default;
};

enum class connection_use : std::uint8_t { reuse, replace };

/// Decides whether an idle pooled connection is reused. `suspect_before` is the time at which a connection to
/// the same endpoint was found silent; connections without a response since then are replaced.
[[nodiscard]] connection_use decide_use(const connection_record& record, bool idempotent,
                                        time_point suspect_before, time_point now);

// ---- operation records -----------------------------------------------------------------------------------

enum class operation_state : std::uint8_t { started, finished, not_run };

/// Bodies up to this size are stored with a finished operation.
inline constexpr std::size_t max_stored_body_bytes = 16UL * 1024;

/// Value of the table row `op/<service>/<key>`.
struct operation_record {
    operation_state state = operation_state::started;
    std::string write_id; ///< identifies the call that owns the record
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
/// Digest over method, path, query and body, to detect an idempotency key that is reused for another request.
[[nodiscard]] std::uint64_t request_digest(std::string_view method, std::string_view target,
                                           std::string_view body);

enum class operation_step : std::uint8_t {
    create,  ///< write the record if the row is absent
    replace, ///< write the record if the row's ETag is `etag`
    read,    ///< read the row
    run,     ///< this call owns the record: send the request
    reply,   ///< answer with the stored response
    refuse,  ///< answer with `code`
};

struct operation_action {
    operation_step step = operation_step::create;
    std::string etag;
    operation_record stored;
    result_code code = result_code::ok;
    /// For `refuse`: whether this or an earlier call with the key was executed, as far as known.
    execution executed = execution::not_run;
    friend bool operator==(const operation_action&, const operation_action&) = default;
};

enum class write_result : std::uint8_t { written, precondition_failed, not_written, unknown };

/// Claims the idempotency key of one non-idempotent call, so that at most one call with the key runs.
class operation_claim {
public:
    operation_claim(std::string write_id, std::uint64_t digest, std::int64_t now_unix_ms)
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
