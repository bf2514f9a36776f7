#pragma once
/// Mesh library: the decision logic of the sidecar daemon that runs beside each backend server, as state
/// machines. Callers pass events and time points and receive decisions; no class here reads a clock, opens a
/// socket or starts a thread. Classes are not thread safe unless documented otherwise; the daemon's event
/// loop owns them.

#include "endive/base.h"
#include "endive/fairness.h"

#include <array>
#include <deque>
#include <set>
#include <span>
#include <unordered_map>

namespace endive::mesh {

// clang-tidy 14 reports the 0 that the compiler inserts into defaulted operator<=>.
// NOLINTBEGIN(modernize-use-nullptr)

// ---- configuration ----------------------------------------------------------------------------------------

/// Whether a request may be retried after it may have run. Only `safe` requests may; `unsafe` requests and
/// uploads, which have large bodies, run at most once.
enum class request_kind : std::uint8_t { safe, unsafe, upload };

/// A service that receives a weighted part of a route's traffic.
struct split_part {
    std::string service;
    std::uint32_t weight = 1;
    friend auto operator<=>(const split_part&, const split_part&) = default;
};

/// Matches requests for one host below one path prefix.
struct route {
    std::string name;
    std::string host;
    std::string prefix; ///< begins and ends with `/`
    request_kind kind = request_kind::unsafe;
    milliseconds timeout{0};        ///< maximum time until the final response
    milliseconds latency_target{0}; ///< a response within it counts as on time
    std::uint32_t max_attempts = 1; ///< maximum number of endpoints that may run one request
    std::uint32_t priority = 0;     ///< 0 is the highest
    std::vector<split_part> parts;  ///< one element when the route leads to a single service
    bool is_public = false;         ///< needs no API key although the configuration has tenants
    friend auto operator<=>(const route&, const route&) = default;
};

struct service {
    std::string name;
    std::string health_path;
    std::uint32_t max_connections = 0; ///< per endpoint, over all callers
    friend auto operator<=>(const service&, const service&) = default;
};

/// A customer whose callers identify themselves by an API key.
struct tenant {
    std::string name;
    std::vector<std::string> api_keys;
    std::optional<std::uint32_t> priority; ///< goes before the priority of the route
    double rate_per_s = 0;                 ///< quota over all daemons together; 0 means no limit
    double burst = 0;                      ///< requests beyond the rate
    friend auto operator<=>(const tenant&, const tenant&) = default;
};

/// Limits on the requests of callers.
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
    std::vector<tenant> tenants; ///< without any, requests carry no API key
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
    /// Finds the route of `host` (case-insensitive, port ignored) with the longest prefix of `target` without
    /// its query; null when none matches. The pointer is valid for the lifetime of this index.
    [[nodiscard]] const route* find(std::string_view host, std::string_view target) const;
    /// Null when absent; valid for the lifetime of this index.
    [[nodiscard]] const service* find_service(std::string_view name) const;

private:
    configuration source_;
    /// Routes of a host, longest prefix first.
    std::unordered_map<std::string, std::vector<const route*>> by_host_;
};

/// Distributes the requests of each route over its parts by smooth weighted round robin, so that each part's
/// traffic share is close to its weight even over few requests.
class split_chooser {
public:
    /// Returns the index of a part. Precondition: `choice` has at least one part.
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
    absent,   ///< no live endpoint is known
    ready,    ///< accepts requests
    draining, ///< completes its outstanding requests and receives no new ones
};

/// An endpoint's report of its own state.
struct heartbeat {
    std::string endpoint_id;
    std::string service;
    std::string address;
    std::string failure_domain;
    std::string version;
    std::uint32_t slots = 1;
    endpoint_state state = endpoint_state::ready;
    milliseconds cold_remaining{0}; ///< remaining warm-up time, in which it is slow
    std::uint64_t sequence = 0;     ///< increases with each heartbeat of one start
    std::int64_t start_unix_ms = 0; ///< start of the endpoint; 0 when not reported
    friend auto operator<=>(const heartbeat&, const heartbeat&) = default;
};

/// Tracks the state of the daemon's own endpoint. Heartbeats that arrive out of order or belong to an earlier
/// start are rejected.
class endpoint_tracker {
public:
    endpoint_tracker(std::string service, std::string address);
    /// False when the heartbeat is outdated or not from this daemon's endpoint; it is ignored then.
    bool on_heartbeat(const heartbeat& beat, time_point now);
    /// The endpoint has deregistered or is about to. False when `endpoint_id` is not the current endpoint.
    /// If its start is not known, such as after a restart of this daemon, the departure binds all starts up
    /// to `not_after_unix_ms`: delayed heartbeats may still arrive. It becomes the current endpoint if there
    /// is none, so that others learn of its departure.
    bool on_deregister(std::string_view endpoint_id, std::int64_t not_after_unix_ms);
    /// A health check identified the endpoint. Takes effect only while the endpoint is absent, such as before
    /// its first heartbeat.
    void on_health(std::string_view endpoint_id, bool healthy, std::uint32_t slots);
    /// Another daemon or the store reports that the endpoint `endpoint_id` that started at `start_unix_ms`
    /// has left or is leaving. Binds also when the endpoint is not known yet: its delayed heartbeats may
    /// still arrive.
    void on_reported_departure(std::string_view endpoint_id, std::int64_t start_unix_ms);
    /// The endpoint stopped accepting connections. It is absent until its next heartbeat.
    void on_unreachable();
    /// Marks the endpoint absent when no heartbeat has arrived within `heartbeat_timeout`; true when this
    /// changed its state. Call about once a second.
    bool expire(time_point now, duration heartbeat_timeout);

    /// The last accepted heartbeat, with the endpoint's effective state.
    [[nodiscard]] const heartbeat& current() const { return current_; }
    [[nodiscard]] bool is_ready() const { return current_.state == endpoint_state::ready; }
    /// Start of the current endpoint; once it has left, the latest start that its departure binds.
    [[nodiscard]] std::int64_t start_unix_ms() const;
    /// Increases with each change that has to be published to other daemons.
    [[nodiscard]] std::uint64_t revision() const { return revision_; }

private:
    void set_state(endpoint_state state);
    heartbeat current_;
    time_point last_heartbeat_{};
    std::uint64_t revision_ = 1;
    std::map<std::string, std::int64_t, std::less<>> departed_; ///< start times of departed endpoints, by id
};

/// Latest Unix time that messages and rows may name, the end of the year 9999.
inline constexpr std::int64_t max_unix_ms = 253'402'300'799'999;

/// A daemon's report of itself and its endpoint. Of two reports, the one with the greater (daemon start,
/// revision) is the newer.
struct member {
    std::string daemon;
    std::int64_t daemon_start_unix_ms = 0;
    std::uint64_t revision = 0;
    std::string address; ///< of the daemon's peer port; `IP:port`
    std::string failure_domain;
    std::string service;
    std::string endpoint_id;
    std::string version;
    std::uint32_t slots = 1;
    endpoint_state state = endpoint_state::absent;
    std::int64_t endpoint_start_unix_ms = 0;
    bool stopping = false;      ///< the daemon shuts down
    std::int64_t link_mbps = 0; ///< bandwidth of the VM's network link; 0 when unknown
    friend auto operator<=>(const member&, const member&) = default;
};
[[nodiscard]] std::string encode(const member& value);
/// Throws `error` with `platform_bad_answer` on unexpected content.
[[nodiscard]] member decode_member(std::string_view text);
/// True when `candidate` is newer than `known` about the same daemon.
[[nodiscard]] bool supersedes(const member& candidate, const member& known);

/// A store that has been restored from an older copy assigns versions again; its era tells them apart. The
/// daemons order rows by (era, version of the store), which they keep in one number: the era in the upper
/// bits, the store's version in the lower ones. A row of a newer era is newer whatever its version.
inline constexpr unsigned store_version_bits = 44;
inline constexpr std::uint64_t max_store_version = (std::uint64_t{1} << store_version_bits) - 1;
inline constexpr std::uint32_t max_store_era = (std::uint32_t{1} << (64 - store_version_bits)) - 1;
/// Precondition: neither argument exceeds its maximum.
[[nodiscard]] constexpr std::uint64_t row_version(std::uint32_t era, std::uint64_t store_version) {
    return std::uint64_t{era} << store_version_bits | store_version;
}
[[nodiscard]] constexpr std::uint32_t era_of(std::uint64_t row_version) {
    return static_cast<std::uint32_t>(row_version >> store_version_bits);
}
[[nodiscard]] constexpr std::uint64_t store_version_of(std::uint64_t row_version) {
    return row_version & max_store_version;
}

/// A row of the store as daemons exchange it. The greater version is the newer. A row without its value is
/// called a head.
struct store_row {
    std::string table;
    std::string key;
    std::string value;
    std::uint64_t version = 0;
    bool removed = false;
    friend auto operator<=>(const store_row&, const store_row&) = default;
};

/// The newest known version of each row, from the store or any peer. An older version never replaces a newer
/// one.
class row_replica {
public:
    /// True when the row is newer than the known one and has been stored.
    bool apply(const store_row& row);
    /// Null when unknown.
    [[nodiscard]] const store_row* find(std::string_view table, std::string_view key) const;
    /// The heads of all rows.
    [[nodiscard]] std::vector<store_row> heads() const;

private:
    std::map<std::pair<std::string, std::string>, store_row> rows_;
};

/// Rows that peers hold in a newer version than this daemon. Rows are large, so the store gets time to
/// deliver them before they are requested from a peer.
class missing_rows {
public:
    struct request {
        store_row head;     ///< the missing row, without its value
        std::string daemon; ///< the peer to request it from
        duration waited{0}; ///< since the replica first lacked a version of the row
        friend auto operator<=>(const request&, const request&) = default;
    };
    /// `daemon` holds the row `head`; ignored unless it is newer than the one in `rows`. Of daemons with the
    /// same version, one in the same failure domain is preferred. True when no daemon has reported this
    /// version or a newer one before.
    bool on_head(const store_row& head, const std::string& daemon, bool same_domain, const row_replica& rows,
                 time_point now);
    /// Time that the store has to deliver a missing row before it is requested from a peer.
    struct store_timeouts {
        duration same_domain{0};  ///< if a peer in the same failure domain has the row
        duration other_domain{0}; ///< if only peers in other failure domains have it
        friend auto operator<=>(const store_timeouts&, const store_timeouts&) = default;
    };
    /// Returns the requests to send now. A row is requested once a version of it has been missing for the
    /// timeout, whether or not the store delivers older versions meanwhile.
    [[nodiscard]] std::vector<request> take_due(time_point now, const store_timeouts& timeouts,
                                                const row_replica& rows);
    /// Ends the request for `row` if `daemon` received it, and returns the time since the request.
    std::optional<duration> on_answer(const store_row& row, const std::string& daemon, time_point now);
    struct open_request {
        std::string daemon;
        time_point since;
    };
    [[nodiscard]] std::vector<open_request> open_requests() const;
    /// Ends the requests to `daemon`, which does not answer. Other daemons with the rows are asked instead.
    void on_unanswered(const std::string& daemon);

private:
    struct holder {
        std::string daemon;
        bool same_domain = false;
    };
    struct announcement {
        std::uint64_t version = 0;
        time_point time;
    };
    struct missing {
        store_row head;
        std::vector<holder> holders;         ///< daemons with this version, those in the same domain first
        std::vector<announcement> announced; ///< first heads of the versions that the replica lacks
        std::optional<open_request> request;
        void add_holder(const std::string& daemon, bool same_domain);
    };
    static void end_request(missing& entry);

    std::map<std::pair<std::string, std::string>, missing> rows_;
};

/// Maximum size of a row's value.
inline constexpr std::size_t max_row_bytes = 4UL * 1024 * 1024;

/// Changes a row from one version to another.
struct row_delta {
    /// Appends a part of the base's value, then `text`.
    struct step {
        std::uint32_t offset = 0;
        std::uint32_t length = 0;
        std::string text;
        friend auto operator<=>(const step&, const step&) = default;
    };
    std::string table;
    std::string key;
    std::uint64_t base_version = 0;
    std::uint64_t version = 0;
    std::uint64_t checksum = 0; ///< of the resulting value
    std::vector<step> steps;
    friend auto operator<=>(const row_delta&, const row_delta&) = default;
    /// Approximate size in bytes when encoded.
    [[nodiscard]] std::size_t size() const;
};
/// Thread safe.
[[nodiscard]] row_delta make_delta(const store_row& base, const store_row& row);
/// Empty when `delta` does not apply to `base`: it has another version or the result fails the checksum.
/// Thread safe.
[[nodiscard]] std::optional<store_row> apply_delta(const store_row& base, const row_delta& delta);

/// The latest changes of each row, so that a peer with an earlier version need not receive the whole value.
class row_changes {
public:
    /// Records the change from `base` to `row` and returns its delta; null when the values differ too much.
    /// The pointer is valid until the next call.
    const row_delta* record(const store_row& base, const store_row& row);
    /// Records a delta that leads to a value of `value_size` bytes.
    const row_delta* record(row_delta delta, std::size_t value_size);
    /// The deltas that lead from the version of `head` to the newest one, in order; empty when unknown.
    [[nodiscard]] std::vector<row_delta> since(const store_row& head) const;

private:
    std::map<std::pair<std::string, std::string>, std::vector<row_delta>> rows_;
};

/// A daemon that may read the store for its failure domain.
struct reader_candidate {
    std::string daemon;
    std::int64_t link_mbps = 0;
    friend auto operator<=>(const reader_candidate&, const reader_candidate&) = default;
};

/// Decides whether this daemon watches the store. A few readers in each failure domain do and pass changes
/// on; the others receive them over their links. The readers are the daemons with the fastest links, in a
/// stable order, so daemons that know the same members agree on them without an election. When all readers of
/// the domain fall silent, the next daemons in that order read as well, one after the other.
class reader_selection {
public:
    /// Silence of the readers counts from here.
    void start(time_point now);
    /// `daemon`, in the same failure domain, reports whether its reads of the store succeed.
    void on_report(const std::string& daemon, bool reading, time_point now);
    /// A read of this daemon succeeded or failed.
    void on_own_read(bool succeeded, time_point now);
    /// True while `self` should watch the store. `others` are the daemons in the same failure domain with a
    /// link, without those that are stopping; `domains` is the number of failure domains known.
    [[nodiscard]] bool should_read(const reader_candidate& self, std::span<const reader_candidate> others,
                                   std::size_t domains, bool has_configuration, time_point now);

private:
    time_point last_report_{};
    std::map<std::string, time_point>
        failures_; ///< other daemons whose last report was a failure, and its time
    std::optional<time_point> own_failure_;
    std::optional<time_point> needed_; ///< when reading was last necessary
};

// ---- choice of an endpoint --------------------------------------------------------------------------------

/// Assumed service time of an endpoint before its first response, as a multiple of the latency target.
inline constexpr double initial_slowness = 0.35;

/// What an endpoint tells about its own load with a response.
struct endpoint_load_report {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 1;
    std::optional<double> pace; ///< how long work takes now, relative to the usual; some endpoints omit it
    friend auto operator<=>(const endpoint_load_report&, const endpoint_load_report&) = default;
};

/// Load of an endpoint as reported by its own daemon.
struct endpoint_load {
    std::uint32_t outstanding = 0; ///< requests running at the endpoint or queued for it
    std::uint32_t slots = 1;
    duration service_time{0}; ///< recent average; zero before the first response
    /// Recent average of service time divided by the request's latency target; 0 before the first response.
    /// Comparable between endpoints that run different routes.
    double slowness = 0;
    bool accepting = true;
    double link_use = 0; ///< of the VM's network link by received bytes, recently; 0 to 1
    /// Expected time that an idle endpoint slot needs for all that runs or waits here; zero when unknown.
    duration work{0};
    double pace = 1; ///< how long work takes on the VM now, relative to its usual speed
    friend auto operator<=>(const endpoint_load&, const endpoint_load&) = default;
};

/// Measures how much of the VM's network link received bytes have used recently. Not thread safe.
class link_meter {
public:
    /// `link_mbps` of 0 means that the bandwidth is unknown; the use is then 0.
    explicit link_meter(std::int64_t link_mbps) : link_mbps_{link_mbps} {}
    /// Takes the number of bytes received in all until `now`. Call about every 100 ms.
    void record(std::uint64_t received_bytes, time_point now);
    /// From 0 to 1.
    [[nodiscard]] double use() const { return use_; }

private:
    std::int64_t link_mbps_;
    std::uint64_t received_bytes_ = 0;
    std::optional<time_point> recorded_at_;
    double use_ = 0;
};

/// Decides when a daemon tells the others in its failure domain the load of its endpoint. Each report is a
/// message to every one of them, and replies carry the load as well, so small changes are reported seldom;
/// that the last slot was taken or the first one is free again is reported soon. Not thread safe.
class load_reporter {
public:
    /// True when `load` is to be reported now, which it then counts as.
    [[nodiscard]] bool take_due(const endpoint_load& load, time_point now);

private:
    std::optional<endpoint_load> reported_;
    time_point reported_at_{};
};

/// An endpoint that a request may be sent to.
struct candidate {
    std::string daemon;
    bool local = false;       ///< the deciding daemon's own endpoint
    bool same_domain = false; ///< in the deciding daemon's failure domain
    endpoint_load load;
    std::uint32_t sent_since_load = 0; ///< requests sent that `load` does not include yet
    std::uint32_t failures = 0;        ///< consecutive failures
    duration work_since_load{0};       ///< expected work of the requests of `sent_since_load`
    friend auto operator<=>(const candidate&, const candidate&) = default;
};

struct choice_request {
    std::size_t body_bytes = 0;
    duration latency_target{0};
    duration expected_cost{0};   ///< at an endpoint of usual pace; zero when unknown
    double cost_variation = 0.5; ///< standard deviation relative to `expected_cost`
    friend auto operator<=>(const choice_request&, const choice_request&) = default;
};

/// Expected time until the endpoint's response.
[[nodiscard]] duration expected_time(const candidate& option, const choice_request& request);

/// Cost of sending the request to `option`: the probability of a late response plus the penalty for crossing
/// into another failure domain. The lower the better.
[[nodiscard]] double choice_cost(const candidate& option, const choice_request& request);

/// Index of a candidate with the least cost; `random` selects among those of about equal cost. Empty without
/// candidates.
[[nodiscard]] std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates,
                                                         const choice_request& request, std::uint64_t random);

/// Whether a request sent to `chosen` may wait for a slot there. Otherwise the endpoint answers `busy` when
/// it has none, and the request goes to another one: the load that this daemon knows is older than the
/// requests that other daemons sent in the meantime. `options` is the number of endpoints that could be
/// chosen, `busy_answers` the number of endpoints that had no slot for this request so far.
[[nodiscard]] bool may_wait(const candidate& chosen, const choice_request& request, std::size_t options,
                            std::size_t busy_answers);

/// Properties of a request that decide its admission at an endpoint.
struct admission_criteria {
    std::uint32_t priority = 0;
    duration latency_target{0};
    duration remaining{0}; ///< until the deadline
    duration waited{0};    ///< since the caller's first request
    fairness::tenant_id tenant = 0;
    bool returned = false; ///< see `gate_request`
    friend auto operator<=>(const admission_criteria&, const admission_criteria&) = default;
};

/// Requests that an endpoint recently rejected for lack of capacity. A request that is neither more urgent
/// nor has more time left would be rejected as well, so it need not be sent there.
class refusal_cache {
public:
    /// `retry_after` is the delay that came with the refusal.
    void on_refused(const admission_criteria& request, duration retry_after, time_point now);
    /// The endpoint reported a free slot.
    void on_slot_available() { refusals_.clear(); }
    /// The retry delay with which the endpoint would probably reject the request; empty when the endpoint may
    /// have capacity for it.
    [[nodiscard]] std::optional<duration> expected_refusal(const admission_criteria& request,
                                                           time_point now) const;

private:
    struct refusal {
        admission_criteria request;
        duration retry_after{0};
        time_point at;
    };
    std::vector<refusal> refusals_; ///< the latest of each kind of request
};

// ---- admission --------------------------------------------------------------------------------------------

/// A request that needs a slot at the endpoint.
struct gate_request {
    std::uint64_t ticket = 0;
    std::uint32_t priority = 0;
    duration latency_target{0};
    time_point target;         ///< a response before it is on time
    time_point deadline;       ///< a response after it is useless to the caller
    bool only_if_free = false; ///< answered `busy` instead of queued
    duration expected_cost{0}; ///< at an endpoint of usual pace; zero when unknown
    fairness::tenant_id tenant = 0;
    bool returned = false; ///< the caller was refused before and came back at the time that it was told
    friend auto operator<=>(const gate_request&, const gate_request&) = default;
};

enum class gate_verdict : std::uint8_t { start, queued, refused, busy };

struct gate_action {
    std::uint64_t ticket = 0;
    gate_verdict verdict = gate_verdict::start;
    duration retry_after{0}; ///< of a refusal: expected wait until there is capacity
    bool reserved = false;   ///< of a refusal: there is capacity for the caller then
    friend auto operator<=>(const gate_action&, const gate_action&) = default;
};

/// Admission control and queue of one endpoint. Only the endpoint's own daemon sends requests to it, so the
/// number of used slots is known exactly and the endpoint never has to shed load. Queued requests start in
/// order of priority, then of lateness (those that can still be on time first, those that cannot last), then
/// by the fair shares of their tenants; within a tenant those of callers who came back as told first, then by
/// target. A request that is not expected to finish before its deadline is refused as soon as that is known.
/// Requests of a tenant beyond its share are last in that order, so they are refused first.
class endpoint_gate {
public:
    void set_slots(std::uint32_t slots) { slots_ = slots; }
    /// How long work takes at the endpoint now, relative to the usual.
    void set_pace(double pace) { pace_ = pace; }
    /// While the endpoint is not ready no request starts, and queued requests are refused.
    [[nodiscard]] std::vector<gate_action> set_ready(bool ready, time_point now);
    [[nodiscard]] std::vector<gate_action> offer(const gate_request& request, time_point now);
    /// A started request ended. `service_time` is empty when it does not reflect the endpoint's speed.
    [[nodiscard]] std::vector<gate_action> finish(std::uint64_t ticket, std::optional<duration> service_time,
                                                  time_point now);
    /// Removes a queued request; false when it is not queued.
    bool remove(std::uint64_t ticket);
    /// Starts queued requests for which there are slots and refuses those that can no longer finish before
    /// their deadline. Call every few tens of milliseconds.
    [[nodiscard]] std::vector<gate_action> advance(time_point now);

    [[nodiscard]] endpoint_load load() const;
    [[nodiscard]] std::uint32_t running() const { return static_cast<std::uint32_t>(running_.size()); }
    [[nodiscard]] std::size_t waiting() const { return queue_.size(); }

private:
    [[nodiscard]] duration typical_service_time() const;
    /// Expected service time of a request with this latency target whose cost is unknown.
    [[nodiscard]] duration expected_service_time(duration latency_target) const;
    [[nodiscard]] duration expected_service_time(const gate_request& request) const;
    [[nodiscard]] duration expected_wait(std::size_t position) const;
    [[nodiscard]] bool goes_before(const gate_request& a, const gate_request& b, time_point now) const;
    void record_service_time(duration service_time, duration latency_target);
    void run(const gate_request& request, std::vector<gate_action>& out);
    void refuse(const gate_request& request, std::vector<gate_action>& out, time_point now);
    [[nodiscard]] fairness::fair_shares& shares_of(std::uint32_t priority);
    [[nodiscard]] bool has_several_tenants() const;
    [[nodiscard]] std::vector<gate_request>::iterator next_waiting(time_point now);
    /// The queue in the order in which its requests start if no other arrives.
    [[nodiscard]] std::vector<gate_request> ordered_queue(time_point now);
    [[nodiscard]] bool make_room(const gate_request& request, std::vector<gate_action>& out, time_point now);
    void start_waiting(std::vector<gate_action>& out, time_point now);
    void refuse_infeasible(std::vector<gate_action>& out, time_point now);
    void count_arrival(const gate_request& request, time_point now);
    /// Offered load of requests of this priority and of more urgent ones over the last few seconds; 1 uses
    /// all slots.
    [[nodiscard]] double offered_load(std::uint32_t priority) const;
    /// Whether the response is expected before the target if the request starts now.
    enum class lateness : std::uint8_t { on_time, uncertain, late };
    [[nodiscard]] lateness lateness_of(const gate_request& request, time_point now) const;
    std::uint32_t slots_ = 1;
    double pace_ = 1;
    bool ready_ = false;
    duration service_time_{0};
    duration long_term_service_time_{0}; ///< averaged over more responses
    double slowness_ = 0;
    double responses_ = 0; ///< number of responses, short ones counted in part
    struct arrival_rate {
        double per_second = 0;
        time_point last{};
    };
    std::map<std::uint32_t, arrival_rate> arrivals_; ///< by priority
    time_point last_arrival_{};
    std::map<std::uint64_t, duration> running_;             ///< latency target by ticket
    std::vector<gate_request> queue_;                       ///< in order of arrival
    std::map<std::uint32_t, fairness::fair_shares> shares_; ///< by priority
    fairness::retry_reservations reservations_;
};

// ---- retries ----------------------------------------------------------------------------------------------

/// This daemon's share of the budget for retries to one service, as a token bucket. Not thread safe.
class retry_budget {
public:
    /// Allows `ratio` retries per request and bursts of up to `burst` retries.
    retry_budget(double ratio, double burst) : ratio_{ratio}, burst_{burst}, tokens_{burst} {}
    /// Counts a request. `repeat_share` is the probability that it is a call made by the run of a repeated
    /// request, which counts as a retry at the called service too. The debt that this leaves is paid by later
    /// requests.
    void on_request(double repeat_share = 0);
    /// Takes one retry from the budget; false when it is exhausted.
    [[nodiscard]] bool take() { return take(0, false); }
    /// The same for a request that an endpoint refused, whose caller was refused `refused_before` times
    /// before. If callers of its route come back, first attempts take no retry and the last ones go first.
    [[nodiscard]] bool take(std::uint32_t refused_before, bool comes_back);
    /// Takes one retry only if the upper half of the bucket holds it.
    [[nodiscard]] bool take_spare();

private:
    double ratio_;
    double burst_;
    double tokens_;
};

/// True when a safe request that was sent to an endpoint `elapsed` ago is to be sent to a second one as well:
/// the first endpoint is slow or its answer is lost, and another one may still answer in time.
[[nodiscard]] bool is_overdue(duration elapsed, duration latency_target);

/// Recognizes requests whose callers were refused before and have come back: a caller's later attempts have
/// the same target and the same deadline, but another id. Not thread safe.
class return_tracker {
public:
    struct earlier_attempts {
        std::uint32_t refusals = 0;
        time_point first_arrival;
        /// When the caller was told to come back; the latest time when that is too late for it.
        time_point due = time_point::max();
        friend auto operator<=>(const earlier_attempts&, const earlier_attempts&) = default;
    };
    /// The caller of a request for `target`, a hash, that waits until `deadline` was refused; `attempts`
    /// includes this one.
    void on_refused(std::uint64_t target, time_point deadline, const earlier_attempts& attempts,
                    time_point now);
    /// The earlier attempts of the caller, which are forgotten; empty for a first attempt.
    [[nodiscard]] std::optional<earlier_attempts> on_arrival(const std::string& route, std::uint64_t target,
                                                             time_point deadline, time_point now);
    /// True when the caller came back no earlier than it was told, so that it may use what was reserved.
    [[nodiscard]] static bool is_on_time(const earlier_attempts& earlier, time_point now);
    /// Number of callers so far who were told a time and did not come back before their deadline.
    [[nodiscard]] std::uint64_t missed() const { return missed_; }
    /// True when a refused caller of `route` has come back lately.
    [[nodiscard]] bool comes_back(const std::string& route, time_point now) const;
    [[nodiscard]] std::size_t size() const { return waiting_.size(); }

private:
    struct waiting_caller {
        std::uint64_t target = 0;
        time_point deadline;
        earlier_attempts attempts;
    };
    std::uint64_t missed_ = 0;
    std::deque<waiting_caller> waiting_;             ///< in order of refusal
    std::map<std::string, time_point> last_returns_; ///< by route
};

/// Share of repeated requests among the latest runs of an endpoint. Not thread safe.
class repeat_meter {
public:
    void on_run(bool repeated);
    [[nodiscard]] double share() const { return share_; }

private:
    double share_ = 0;
};

/// Estimates the time since a caller's first attempt: the first request carries the caller's full timeout,
/// later ones the time that remains. Callers of one route use different timeouts, so the age is approximate.
class age_estimator {
public:
    /// Estimated age of a request on `route` that has `remaining` left of its timeout.
    [[nodiscard]] duration age(const std::string& route, milliseconds remaining, time_point now);

private:
    struct longest_timeout {
        milliseconds value{0};
        time_point seen{};
    };
    std::unordered_map<std::string, longest_timeout> routes_;
};

/// How one attempt at an endpoint ended.
enum class attempt_outcome : std::uint8_t {
    answered, ///< the response is complete
    not_run,  ///< the request did not run and will not run
    unknown,  ///< the request may have run
};

/// Why a request was refused or failed. Used in counters, logs and messages between daemons.
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
    stopping,    ///< the daemon is shutting down
    retired,     ///< the endpoint runs a version that has been replaced
    peer_silent, ///< the other daemon did not answer a ping; another endpoint was asked as well
    busy,        ///< no slot was free, and the request was not to wait for one
    key_unknown, ///< the request has no API key, or one that no tenant holds
    keys_stale,  ///< the daemon's knowledge of API keys may be outdated by more than is allowed
    over_quota,  ///< the tenant has used up its quota
};
inline constexpr reason last_reason = reason::over_quota;
[[nodiscard]] std::string_view to_string(reason value);

// ---- rollouts ---------------------------------------------------------------------------------------------

/// An operator's order to move a service to another version.
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

/// Response counters of one (service, version, route) at one daemon's endpoint since the daemon started.
struct version_evidence {
    std::string service;
    std::string version;
    std::string route;
    std::uint64_t answered = 0;
    std::uint64_t failed = 0;
    std::uint64_t latency_us = 0; ///< sum over the answered requests, in microseconds
    friend auto operator<=>(const version_evidence&, const version_evidence&) = default;
};

struct rollout_settings {
    double exposure_share = 0.1; ///< maximum traffic share of a version not yet proven good
    double exposure_slack = 0;   ///< number of requests that it may get beyond that share
    friend auto operator<=>(const rollout_settings&, const rollout_settings&) = default;
};

/// What earlier rollouts of a service have shown of its versions. Not thread safe.
class version_history {
public:
    /// The rollout to `version` ended, or another one was ordered in its place.
    void on_end(const std::string& version, bool completed);
    /// A rollout to `version` was ordered, perhaps again.
    void on_order(const std::string& version) { rejected_.erase(version); }
    /// Takes what another daemon knows.
    void merge(const std::string& stable, std::span<const std::string> rejected, const std::string& ordered);
    /// The version of the last completed rollout; empty when unknown.
    [[nodiscard]] const std::string& stable() const { return stable_; }
    /// True when the last rollout to `version` did not complete.
    [[nodiscard]] bool is_rejected(std::string_view version) const { return rejected_.contains(version); }
    [[nodiscard]] std::vector<std::string> rejected() const { return {rejected_.begin(), rejected_.end()}; }

private:
    std::string stable_;
    std::set<std::string, std::less<>> rejected_;
};

/// Record of when a rollout began, kept in the store for daemons that start later.
struct rollout_start {
    std::uint64_t order_version = 0;          ///< version of the order's row in the store
    std::optional<milliseconds> store_time{}; ///< by the store's clock; empty in rows of earlier versions
    std::string stable_version{};             ///< see `version_history`; empty when unknown
    std::vector<std::string> rejected_versions{};
    friend auto operator<=>(const rollout_start&, const rollout_start&) = default;
};
[[nodiscard]] std::string encode(const rollout_start& value);
/// Throws `error` with `platform_bad_answer` on unexpected content.
[[nodiscard]] rollout_start decode_rollout_start(std::string_view text);

/// Progress of a rollout as an evaluating daemon publishes it to the others.
struct rollout_progress {
    std::string service;
    std::uint64_t order_version = 0; ///< version of the order's row in the store
    double traffic_share = 0;
    bool bad = false;
    friend auto operator<=>(const rollout_progress&, const rollout_progress&) = default;
};

/// The other daemons that are known and do not stop, and how many of them this daemon reaches.
struct reachability {
    std::size_t known = 0;
    std::size_t reachable = 0;
    friend auto operator<=>(const reachability&, const reachability&) = default;
};
/// True when this daemon and those that it reaches are more than half of the fleet. During a partition that
/// holds on one side at most.
[[nodiscard]] bool is_majority(const reachability& others);

/// Tells whether this daemon may decide for the whole fleet: it has been in contact with the majority for
/// long enough to have received what the others know. Not thread safe.
class majority_contact {
public:
    /// Call a few times per second.
    void update(const reachability& others, time_point now);
    [[nodiscard]] bool may_decide(time_point now) const;

private:
    std::optional<time_point> since_;
};

/// The rollout of one version of a service. A few daemons evaluate it and receive the evidence of all; the
/// others apply the progress published by the first of the evaluating daemons. A verdict against the version
/// is final whichever daemon gave it, so that containment needs no owner. The first daemon to finish writes
/// the status row, by a conditional write.
class rollout {
public:
    rollout(rollout_order order, rollout_settings settings, time_point started);
    /// Sets the time since the rollout began, at another daemon or before a restart of this one.
    void set_elapsed(duration elapsed, time_point now);
    /// Takes the latest counters of `daemon`; they replace its earlier ones. A new `daemon_start` means that
    /// the daemon restarted and its counters began again at 0.
    void on_evidence(const std::string& daemon, std::int64_t daemon_start,
                     std::span<const version_evidence> counters);
    void on_status(const rollout_status& status);
    /// Re-evaluates evidence and schedule. Only for evaluating daemons. Without `may_decide` the version gets
    /// no more than the traffic share of one without evidence: the evidence that this daemon has may cover a
    /// small part of the fleet.
    void advance(time_point now, bool may_decide);
    /// Applies the progress that another, evaluating daemon published.
    void apply_progress(double share, bool bad, time_point now);
    /// Share of the service's requests that go to the new version, from 0 to 1.
    [[nodiscard]] double traffic_share() const { return traffic_share_; }
    /// Traffic share of a version without evidence.
    [[nodiscard]] double initial_share() const;
    [[nodiscard]] bool is_bad() const { return bad_; }
    /// True when all traffic has gone to the new version for at least `length`.
    [[nodiscard]] bool has_full_traffic_for(duration length, time_point now) const {
        return full_traffic_since_ && now - *full_traffic_since_ >= length;
    }
    /// True when all traffic has gone to the new version for long enough to complete the rollout.
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
        /// What was added since `base`; a daemon's restart may make it less.
        [[nodiscard]] totals since(const totals& base) const;
    };
    struct evidence_summary {
        double responses = 0; ///< of both versions
        double new_responses = 0;
    };
    [[nodiscard]] evidence_summary summarize() const;
    [[nodiscard]] bool may_take_all(duration delay, double share, const evidence_summary& evidence,
                                    time_point now) const;
    [[nodiscard]] double next_share(const evidence_summary& evidence, time_point now) const;
    [[nodiscard]] double first_share(const evidence_summary& evidence, time_point now) const;
    [[nodiscard]] double rate_of(const evidence_summary& evidence, time_point now) const;
    using route_totals = std::map<std::string, std::array<totals, 2>, std::less<>>;
    [[nodiscard]] route_totals collect() const;
    void evaluate(time_point now);
    /// The totals of some time ago, from which the recent ones are counted.
    [[nodiscard]] const route_totals& recent_base(const route_totals& current, time_point now);
    void set_traffic_share(double share, time_point now);
    void evaluate_route(std::string_view route, const totals& old_version, const totals& new_version);
    rollout_order order_;
    rollout_settings settings_;
    time_point started_;
    double traffic_share_ = 0;
    double exposure_ = 0; ///< the traffic share added up over time, in seconds of full traffic
    std::optional<time_point> share_set_at_;
    struct snapshot {
        time_point at;
        route_totals evidence;
    };
    std::deque<snapshot> snapshots_; ///< the oldest first
    bool bad_ = false;
    std::string verdict_reason_;
    std::optional<rollout_state> final_;
    std::optional<time_point> full_traffic_since_;
    struct source {
        std::int64_t daemon_start = 0;
        std::map<std::pair<std::string, std::string>, version_evidence> first; ///< by (version, route)
        std::map<std::pair<std::string, std::string>, version_evidence> last;
    };
    std::map<std::string, source> sources_;
};

// NOLINTEND(modernize-use-nullptr)

} // namespace endive::mesh
