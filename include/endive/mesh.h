#pragma once
/// Mesh library: the decisions of the daemon beside each backend server as state machines. Events and times
/// go in, decisions come out; no class here reads a clock, opens a socket or starts a thread. No class here
/// is thread safe unless it says so; the daemon's event loop owns them.

#include "endive/base.h"

#include <array>
#include <span>
#include <unordered_map>

namespace endive::mesh {

// clang-tidy 14 reports the 0 that the compiler inserts into defaulted operator<=>.
// NOLINTBEGIN(modernize-use-nullptr)

// ---- configuration ----------------------------------------------------------------------------------------

/// What may be repeated. Uploads have large bodies and run at most once, as `unsafe` requests do.
enum class request_kind : std::uint8_t { safe, unsafe, upload };

/// One part of a route's traffic.
struct split_part {
    std::string service;
    std::uint32_t weight = 1;
    friend auto operator<=>(const split_part&, const split_part&) = default;
};

/// Requests of one host below one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with `/`
    request_kind kind = request_kind::unsafe;
    milliseconds timeout{0};        ///< longest time until the final answer
    milliseconds latency_target{0}; ///< an answer within it is on time
    std::uint32_t max_attempts = 1; ///< endpoints that may run one request
    std::uint32_t priority = 0;     ///< 0 is most important
    std::vector<split_part> parts;  ///< a route to one service has one part
    friend auto operator<=>(const route&, const route&) = default;
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< of each endpoint, from all callers
    friend auto operator<=>(const service&, const service&) = default;
};

/// Bounds on what a caller sends.
struct caller_limits {
    std::uint64_t header_bytes = 16UL * 1024;
    std::uint64_t body_bytes = 64UL * 1024 * 1024;
    milliseconds header_timeout{3000};
    milliseconds idle_timeout{15000};
    friend auto operator<=>(const caller_limits&, const caller_limits&) = default;
};

/// The operator's configuration. Immutable once decoded.
struct configuration {
    std::uint64_t version = 0;
    std::vector<route> routes;
    std::vector<service> services;
    caller_limits limits;
    friend auto operator<=>(const configuration&, const configuration&) = default;
};

/// A configuration indexed for lookups. Immutable; thread safe.
class route_index {
public:
    explicit route_index(configuration source);
    route_index(const route_index&) = delete;
    route_index& operator=(const route_index&) = delete;
    [[nodiscard]] const configuration& source() const { return source_; }
    /// The route of `host` (a port is ignored, case does not matter) with the longest prefix that begins
    /// `target` without its query; null when none matches. Valid while this index lives.
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;
    /// Null when absent.
    [[nodiscard]] const service* find_service(std::string_view name) const;

private:
    configuration source_;
    /// Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

/// Divides the requests of each route over its parts so that each part's share follows its weight closely
/// even over few requests (smooth weighted round robin).
class split_chooser {
public:
    /// Index of a part. Precondition: `choice` has at least one part.
    [[nodiscard]] std::size_t choose(const route& choice);

private:
    struct entry {
        std::vector<split_part> parts;
        std::vector<std::int64_t> credit;
    };
    std::unordered_map<std::string, entry> routes_;
};

// ---- membership -------------------------------------------------------------------------------------------

enum class endpoint_state : std::uint8_t {
    absent,   ///< the daemon knows no live endpoint
    ready,    ///< takes requests
    draining, ///< finishes what it has and gets no new work
};

/// What an endpoint says of itself.
struct heartbeat {
    std::string endpoint_id;
    std::string service;
    std::string address;
    std::string failure_domain;
    std::string version;
    std::uint32_t slots = 1;
    endpoint_state state = endpoint_state::ready;
    milliseconds cold_remaining{0}; ///< how much longer it is slow after its start
    std::uint64_t sequence = 0;     ///< grows with each heartbeat of one start
    std::int64_t born_unix_ms = 0;  ///< start of the endpoint; 0 when it did not say
    friend auto operator<=>(const heartbeat&, const heartbeat&) = default;
};

/// Orders the heartbeats of the endpoint beside one daemon: late ones and those of earlier starts are
/// refused.
class endpoint_tracker {
public:
    endpoint_tracker(std::string service, std::string address);
    /// True when the heartbeat is current; false when it is late or not of this daemon's endpoint.
    bool on_heartbeat(const heartbeat& beat, time_point now);
    /// The endpoint left or is about to. False when `endpoint_id` is not the current endpoint.
    bool on_deregister(std::string_view endpoint_id);
    /// The health check named the endpoint, before its first heartbeat arrived.
    void on_health(std::string_view endpoint_id, bool healthy, std::uint32_t slots);
    /// The endpoint is of this identity and leaves, as another daemon or the store remembers.
    void on_remembered_departure(std::string_view endpoint_id);
    /// The endpoint stopped accepting connections. Heartbeats bring it back.
    void on_unreachable();
    /// Call every second or so: an endpoint without a heartbeat for `heartbeat_patience` is absent.
    bool expire(time_point now, duration heartbeat_patience);

    /// Last accepted heartbeat; its state is the effective one.
    [[nodiscard]] const heartbeat& current() const { return current_; }
    [[nodiscard]] bool is_ready() const { return current_.state == endpoint_state::ready; }
    /// Grows whenever something that others must know changes.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    void set_state(endpoint_state state);
    heartbeat current_;
    time_point last_heard_{};
    std::uint64_t revision_ = 1;
    std::map<std::string, std::int64_t, std::less<>> departed_; ///< ids that left, with their start
};

/// What a daemon says of itself and its endpoint. The greater (daemon start, revision) wins.
struct member {
    std::string daemon;
    std::int64_t daemon_start_unix_ms = 0;
    std::uint64_t revision = 0;
    std::string address; ///< of the daemon's peer port
    std::string failure_domain;
    std::string service;
    std::string endpoint_id;
    std::string version;
    std::uint32_t slots = 1;
    endpoint_state state = endpoint_state::absent;
    std::int64_t born_unix_ms = 0;
    bool stopping = false; ///< the daemon shuts down
    friend auto operator<=>(const member&, const member&) = default;
};
[[nodiscard]] std::string encode(const member& value);
/// Throws `error` with `platform_bad_answer` on unexpected content.
[[nodiscard]] member decode_member(std::string_view text);
/// True when `candidate` is newer than `known` about the same daemon.
[[nodiscard]] bool supersedes(const member& candidate, const member& known);

/// A row of the store as it travels between daemons. The greater version wins.
struct store_row {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    friend auto operator<=>(const store_row&, const store_row&) = default;
};

/// The newest rows known, whoever told of them. An older version never replaces a newer one.
class row_replica {
public:
    /// True when the row is news.
    bool apply(const store_row& row);
    /// Null when unknown.
    [[nodiscard]] const store_row* find(std::string_view table, std::string_view key) const;
    /// All rows without their values.
    [[nodiscard]] std::vector<store_row> heads() const;

private:
    std::map<std::pair<std::string, std::string>, store_row> rows_;
};

/// Rows that others have and this daemon lacks. They are large, so the store gets time to deliver them before
/// a peer is asked.
class missing_rows {
public:
    struct request {
        store_row head; ///< without its value
        std::string daemon;
        friend auto operator<=>(const request&, const request&) = default;
    };
    /// `daemon` has `head`, which is newer than what `rows` hold. Of daemons with the same version a near one
    /// is asked.
    void on_head(const store_row& head, const std::string& daemon, bool is_near, const row_replica& rows,
                 time_point now);
    /// What to ask for now. A row is asked for when `store_patience` has passed without the store delivering
    /// any newer version of it.
    [[nodiscard]] std::vector<request> due(time_point now, duration store_patience, const row_replica& rows);

private:
    struct missing {
        store_row head;
        std::string daemon;
        bool is_near = false;
        std::uint64_t known_version = 0; ///< when last looked at
        time_point since;                ///< of the news, of the store's last delivery, or of the question
        bool asked = false;
    };
    std::map<std::pair<std::string, std::string>, missing> rows_;
};

// ---- choice of an endpoint --------------------------------------------------------------------------------

/// Time relative to the latency target that an endpoint is expected to need before its first response.
inline constexpr double initial_slowness = 0.35;

/// Load of an endpoint as its own daemon tells it.
struct endpoint_load {
    std::uint32_t outstanding = 0; ///< requests at the endpoint and in the queue before it
    std::uint32_t slots = 1;
    duration service_time{0}; ///< recent time at the endpoint; zero before the first response
    /// Recent time at the endpoint relative to the latency targets of what it ran; 0 before the first
    /// response. Comparable between endpoints that run different routes.
    double slowness = 0;
    bool accepting = true;
    friend auto operator<=>(const endpoint_load&, const endpoint_load&) = default;
};

/// One endpoint that a request may go to.
struct candidate {
    std::string daemon;
    bool local = false;       ///< beside the deciding daemon
    bool same_domain = false; ///< in its failure domain
    endpoint_load load;
    std::uint32_t sent_since_load = 0; ///< requests sent there that `load` does not include yet
    std::uint32_t failures = 0;        ///< failures in a row
    friend auto operator<=>(const candidate&, const candidate&) = default;
};

struct choice_request {
    std::size_t body_bytes = 0;
    duration latency_target{0};
    friend auto operator<=>(const choice_request&, const choice_request&) = default;
};

/// Expected time until an endpoint's answer.
[[nodiscard]] duration expected_time(const candidate& option, const choice_request& request);

/// Cost of a choice: the probability of a late answer, plus what a crossing to another failure domain weighs.
[[nodiscard]] double choice_cost(const candidate& option, const choice_request& request);

/// Index of an endpoint with the least cost, drawn among those that cost about the same; empty without
/// candidates.
[[nodiscard]] std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates,
                                                         const choice_request& request, std::uint64_t random);

/// What admission at an endpoint goes by.
struct admission_facts {
    std::uint32_t priority = 0;
    duration latency_target{0};
    duration remaining{0}; ///< until the deadline
    duration waited{0};    ///< since the caller's first request
    friend auto operator<=>(const admission_facts&, const admission_facts&) = default;
};

/// What an endpoint has refused a moment ago for want of room. A request that is no better off would be
/// refused as well, and need not be sent there.
class refusal_memory {
public:
    /// `retry_after` is what the refusal told.
    void on_refused(const admission_facts& request, duration retry_after, time_point now);
    /// The endpoint told of a free slot.
    void on_room() { refusals_.clear(); }
    /// What the endpoint would tell the request; empty when it may have room for it.
    [[nodiscard]] std::optional<duration> expected_refusal(const admission_facts& request,
                                                           time_point now) const;

private:
    struct refusal {
        admission_facts request;
        duration retry_after{0};
        time_point at;
    };
    std::vector<refusal> refusals_; ///< the latest of each priority and target
};

// ---- admission --------------------------------------------------------------------------------------------

/// A request that asks for a place at the endpoint.
struct gate_request {
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0;
    duration latency_target{0};
    time_point target;   ///< an answer before it is on time
    time_point deadline; ///< an answer after it is of no use
    friend auto operator<=>(const gate_request&, const gate_request&) = default;
};

enum class gate_verdict : std::uint8_t { start, queued, refused };

struct gate_action {
    std::uint64_t ticket = 0;
    gate_verdict verdict = gate_verdict::start;
    duration retry_after{0}; ///< of a refusal: expected wait until there is room
    friend auto operator<=>(const gate_action&, const gate_action&) = default;
};

/// Admission in front of one endpoint. Only the daemon beside it sends to it, so the places in use are known
/// exactly and the endpoint never has to shed. Waiting requests start in order of priority, those that can
/// still be on time first and those that cannot last, then by target. A request that cannot finish before its
/// deadline is refused as soon as that is known.
class endpoint_gate {
public:
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    /// Nothing starts while the endpoint is not ready; queued requests are refused.
    [[nodiscard]] std::vector<gate_action> set_ready(bool ready, time_point now);
    [[nodiscard]] std::vector<gate_action> offer(const gate_request& request, time_point now);
    /// A started request ended. `service_time` is empty when it tells nothing about the endpoint's speed.
    [[nodiscard]] std::vector<gate_action> finish(std::uint64_t ticket, std::optional<duration> service_time,
                                                  time_point now);
    /// Removes a waiting request; false when it is not waiting.
    bool remove(std::uint64_t ticket);
    /// Refuses waiting requests that have become hopeless. Call every few tens of milliseconds.
    [[nodiscard]] std::vector<gate_action> advance(time_point now);

    [[nodiscard]] endpoint_load load() const;
    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

private:
    [[nodiscard]] duration typical_time() const;
    /// Expected time at the endpoint of a request with this latency target.
    [[nodiscard]] duration expected_run(duration latency_target) const;
    [[nodiscard]] duration wait_at(std::size_t position) const;
    [[nodiscard]] bool goes_before(const gate_request& a, const gate_request& b, time_point now) const;
    void start_waiting(std::vector<gate_action>& out, time_point now);
    void refuse_hopeless(std::vector<gate_action>& out, time_point now);
    void count_arrival(time_point now);
    /// Offered load relative to the slots, over the last seconds.
    [[nodiscard]] double offered_load() const;
    /// Whether an answer comes before the target if the request starts now.
    enum class lateness : std::uint8_t { on_time, uncertain, late };
    [[nodiscard]] lateness lateness_of(const gate_request& request, time_point now) const;
    std::uint32_t slots_ = 1;
    bool ready_ = false;
    duration service_time_{0};
    duration steady_service_time_{0}; ///< over more responses
    double slowness_ = 0;
    double arrival_rate_ = 0; ///< a second
    time_point last_arrival_{};
    std::map<std::uint64_t, duration> running_; ///< latency target by ticket
    std::vector<gate_request> queue_;           ///< in order of arrival
};

// ---- retries ----------------------------------------------------------------------------------------------

/// This daemon's share of the repeats that all daemons may send to one service.
class retry_share {
public:
    /// `ratio` repeats a request plus `burst` at once.
    retry_share(double ratio, double burst) : ratio_{ratio}, burst_{burst}, tokens_{burst} {}
    void on_request();
    /// Takes one repeat; false when the share is used up.
    [[nodiscard]] bool take();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

/// Tells how long a caller has been trying: its first request of a route comes with the caller's whole time,
/// later ones with what is left. Callers differ in their patience, so an age is an estimate.
class age_estimator {
public:
    /// Age of a request of `route` that may take `remaining` longer.
    [[nodiscard]] duration age(const std::string& route, milliseconds remaining, time_point now);

private:
    struct longest_time {
        milliseconds value{0};
        time_point seen{};
    };
    std::unordered_map<std::string, longest_time> routes_;
};

/// How one attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t {
    answered, ///< the endpoint's whole response
    not_run,  ///< it did not run and never will
    unknown,  ///< it may have run
};

/// Why a request was refused or failed, for counters, logs and the messages between daemons.
enum class reason : std::uint8_t {
    none,
    no_configuration,
    no_route,
    no_endpoint,
    no_room,
    too_late,
    draining,
    wrong_endpoint,
    endpoint_refused,
    connect_failed,
    connection_lost,
    bad_response,
    timed_out,
    peer_lost,
    caller_left,
    bad_request,
    memory,
    stopping, ///< the daemon shuts down
    retired,  ///< the endpoint runs a version that has been replaced
};
[[nodiscard]] std::string_view to_string(reason value);

// ---- version moves ----------------------------------------------------------------------------------------

/// The operator's order to move a service to another version.
struct rollout_order {
    std::string service;
    std::string to;
    milliseconds time_allowed{0};
    friend auto operator<=>(const rollout_order&, const rollout_order&) = default;
};

enum class rollout_state : std::uint8_t { running, completed, rolled_back };

struct rollout_status {
    std::string service;
    std::string to;
    rollout_state state = rollout_state::running;
    friend auto operator<=>(const rollout_status&, const rollout_status&) = default;
};

/// Responses of one (service, version, route) at one daemon's endpoint since the daemon started.
struct version_evidence {
    std::string service;
    std::string version;
    std::string route;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t latency_us = 0; ///< sum over answered, in microseconds
    friend auto operator<=>(const version_evidence&, const version_evidence&) = default;
};

struct rollout_settings {
    double exposure_share = 0.1; ///< most requests that an unproven version may get
    friend auto operator<=>(const rollout_settings&, const rollout_settings&) = default;
};

/// Progress of a move as the daemon that judges it tells the others.
struct move_progress {
    std::string service;
    std::uint64_t order_version = 0; ///< of the order's row
    double share = 0;
    bool bad = false;
    friend auto operator<=>(const move_progress&, const move_progress&) = default;
};

/// One version move. The daemons that judge it get the evidence of all; the others follow what the first of
/// the judges tells. A verdict against the version holds whoever gave it, so containment needs no owner; the
/// status row is written under a condition by whichever daemon is first.
class rollout {
public:
    rollout(rollout_order order, rollout_settings settings, time_point started);
    /// Another daemon or an earlier start of this one began the move this long ago.
    void set_elapsed(duration elapsed, time_point now) { started_ = now - elapsed; }
    /// The latest counters of `daemon`; they replace its earlier ones.
    void on_evidence(const std::string& daemon, std::int64_t daemon_start,
                     std::span<const version_evidence> counters);
    void on_status(const rollout_status& status);
    /// Re-evaluates evidence and schedule; for judges.
    void advance(time_point now);
    /// What a judge tells; for the other daemons.
    void follow(double share, bool bad, time_point now);
    /// Share of the service's requests for the new version, from 0 to 1.
    [[nodiscard]] double share() const { return share_; }
    [[nodiscard]] bool is_bad() const { return bad_; }
    /// All traffic has gone to the new version for this long.
    [[nodiscard]] bool has_been_full(duration length, time_point now) const {
        return full_since_ && now - *full_since_ >= length;
    }
    /// All traffic has gone to the new version for long enough to complete the move.
    [[nodiscard]] bool may_complete(time_point now) const;
    [[nodiscard]] const rollout_order& order() const { return order_; }
    [[nodiscard]] const std::string& verdict_reason() const { return verdict_reason_; }
    [[nodiscard]] std::optional<rollout_state> final_state() const { return final_; }

private:
    struct totals {
        double answered = 0;
        double failed = 0;
        double latency_us = 0;
        void add(const version_evidence& last, const version_evidence* first);
    };
    using route_totals = std::map<std::string, std::array<totals, 2>, std::less<>>;
    [[nodiscard]] route_totals collect() const;
    void judge();
    void set_share(double share, time_point now);
    void judge_route(std::string_view route, const totals& old_version, const totals& new_version);
    rollout_order order_;
    rollout_settings settings_;
    time_point started_;
    double share_ = 0;
    bool bad_ = false;
    std::string verdict_reason_;
    std::optional<rollout_state> final_;
    std::optional<time_point> full_since_;
    struct source {
        std::int64_t daemon_start = 0;
        std::map<std::pair<std::string, std::string>, version_evidence> first; ///< by (version, route)
        std::map<std::pair<std::string, std::string>, version_evidence> last;
    };
    std::map<std::string, source> sources_;
};

// NOLINTEND(modernize-use-nullptr)

} // namespace endive::mesh
