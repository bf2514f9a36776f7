#pragma once
/// Distribution library: the control state machine of one daemon. `control_node` accepts submissions,
/// publishes configuration versions, members, endpoints and replicated records to the other daemons, holds
/// the lease of the move owner and reports convergence.
///
/// `control_node` reads no clock, opens no socket and starts no thread. The caller passes events with a time
/// point and executes the returned actions in order.

#include "endive/base.h"
#include "endive/config.h"
#include "endive/model.h"
#include "endive/platform.h"

#include <variant>

namespace endive::distribution {

/// `IP:port` of a daemon's peer port.
using member_id = std::string;

// ---- values ----------------------------------------------------------------------------------------------

/// In order of precedence: within one incarnation the later state replaces the earlier one.
enum class member_state : std::uint8_t { alive, suspect, leaving, dead };

/// The replicated state of one daemon. Only the member itself writes `revision` and the fields after it.
struct member_record {
    member_id id;
    std::uint64_t incarnation = 0; ///< start time in Unix milliseconds, raised to refute a suspicion
    member_state state = member_state::alive;
    std::uint64_t version_floor = 0; ///< highest configuration version that this member is known to have had
    std::uint64_t revision = 0;      ///< counts the member's own changes within an incarnation
    std::string failure_domain;
    std::string region;
    std::vector<model::endpoint_info> endpoints;
    friend bool operator==(const member_record&, const member_record&) = default;
};

enum class record_kind : std::uint8_t { hold, move_directive, move_change };

/// A replicated record. The greater `(final, epoch, sequence)` of a `(kind, key)` wins; on a tie the greater
/// payload wins.
struct replicated_record {
    record_kind kind = record_kind::hold;
    std::string key;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool final = false;
    std::string payload;
    friend bool operator==(const replicated_record&, const replicated_record&) = default;
};

/// A named vector of counters. Increments of the same name add up element by element.
struct counter_vector {
    std::string name;
    std::vector<std::uint64_t> values;
    friend bool operator==(const counter_vector&, const counter_vector&) = default;
};

struct version_count {
    std::uint64_t version = 0;
    std::uint64_t daemons = 0;
    friend bool operator==(const version_count&, const version_count&) = default;
};

/// A daemon that does not run the newest version it knows of.
struct laggard {
    member_id id;
    std::uint64_t version = 0;
    std::string reason;
    friend bool operator==(const laggard&, const laggard&) = default;
};

// ---- messages between daemons ----------------------------------------------------------------------------

/// Liveness and digests; sent on each link every `heartbeat_interval`.
struct heartbeat {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0;
    std::uint64_t version = 0; ///< 0 while the sender has no configuration
    std::uint64_t config_digest = 0;
    std::uint64_t members_digest = 0;
    std::uint64_t records_digest = 0;
    std::uint64_t lease_epoch = 0; ///< highest fencing epoch that the sender has seen
    friend bool operator==(const heartbeat&, const heartbeat&) = default;
};

struct version_notice {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    friend bool operator==(const version_notice&, const version_notice&) = default;
};

/// Asks for one chunk of a delta (`base_version` > 0) or of the whole snapshot (`base_version` 0).
struct config_request {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    std::uint32_t chunk = 0;
    friend bool operator==(const config_request&, const config_request&) = default;
};

struct config_chunk {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t base_version = 0; ///< 0: the bytes are a whole snapshot
    std::uint32_t chunk = 0;
    std::uint32_t chunks = 1;
    std::string bytes;
    friend bool operator==(const config_chunk&, const config_chunk&) = default;
};

enum class config_refusal_reason : std::uint8_t { busy, version_absent, base_absent };

struct config_refusal {
    std::uint64_t version = 0;
    std::uint64_t base_version = 0;
    config_refusal_reason reason = config_refusal_reason::busy;
    friend bool operator==(const config_refusal&, const config_refusal&) = default;
};

/// Asks a peer for its version and the receiver's version floor, at a fresh start or after a pause.
struct state_request {
    std::uint64_t nonce = 0;
    friend bool operator==(const state_request&, const state_request&) = default;
};

struct state_answer {
    std::uint64_t nonce = 0;
    bool ready = false;
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::uint64_t floor = 0; ///< version that the sender recorded for the receiver's member id
    friend bool operator==(const state_answer&, const state_answer&) = default;
};

enum class table_kind : std::uint8_t { members, records };

/// Digests of the buckets of a table; the receiver sends the entries of each bucket that differs.
struct table_digests {
    table_kind table = table_kind::members;
    bool reply = false; ///< answers another `table_digests`
    std::vector<std::uint64_t> buckets;
    friend bool operator==(const table_digests&, const table_digests&) = default;
};

struct member_update {
    std::vector<member_record> members;
    friend bool operator==(const member_update&, const member_update&) = default;
};

struct record_update {
    std::vector<replicated_record> records;
    friend bool operator==(const record_update&, const record_update&) = default;
};

/// Sums over the sender's subtree of the report tree. Evidence holds increments since the last report.
struct subtree_report {
    std::uint64_t incarnation = 0;
    std::uint64_t sequence = 0; ///< a receiver ignores a sequence it has already seen
    std::vector<version_count> counts;
    std::vector<laggard> laggards;
    std::vector<counter_vector> evidence;
    friend bool operator==(const subtree_report&, const subtree_report&) = default;
};

/// Fleet totals that the root publishes down the report tree.
struct fleet_totals {
    member_id root;
    std::uint64_t sequence = 0; ///< Unix milliseconds at the root
    std::vector<version_count> counts;
    std::vector<laggard> laggards;
    friend bool operator==(const fleet_totals&, const fleet_totals&) = default;
};

using message =
    std::variant<heartbeat, version_notice, config_request, config_chunk, config_refusal, state_request,
                 state_answer, table_digests, member_update, record_update, subtree_report, fleet_totals>;

/// Order in which a link sends queued messages; lower values go first.
enum class message_priority : std::uint8_t { urgent, moves, calls, configuration, members };
inline constexpr std::size_t message_priorities = 5;

// ---- events ----------------------------------------------------------------------------------------------

/// Drives all timers. Send one every 100 ms; a gap over `config::pause_threshold` counts as a pause of the
/// process.
struct tick {
    wall_time wall;
};

/// The hello exchange with a member succeeded. Replaces an earlier link to the same member.
struct link_up {
    member_id member;
    std::uint64_t incarnation = 0;
    bool dialed = false; ///< this daemon opened the link
};

/// A link closed, or a dial failed.
struct link_down {
    member_id member;
};

struct message_received {
    member_id from;
    message content;
};

/// Result of the table or object action with the same `request_id`. `ok` with neither row nor object means
/// that a get found nothing.
struct platform_result {
    std::uint64_t request_id = 0;
    result_code code = result_code::ok;
    std::optional<platform::row> row;
    std::vector<platform::row> rows;
    std::string etag; ///< of a successful put
    std::optional<std::string> object;
};

/// The complete list of endpoints announced to this daemon.
struct local_endpoints {
    std::vector<model::endpoint_info> endpoints;
};

/// An operator's submission. Finished by exactly one `submit_finished` with the same `submit_id`.
struct submit_request {
    std::uint64_t submit_id = 0;
    model::team_part part;
    std::uint64_t precondition_version = 0; ///< version at which the team's part last changed; 0 when new
    std::string idempotency_key;            ///< empty: the submission is not repeatable
    std::int64_t submitted_unix_ms = 0;     ///< kept in the history
};

struct publish_record {
    replicated_record record;
};

struct publish_evidence {
    std::vector<counter_vector> increments;
};

/// Announces that this daemon is shutting down. It is no longer ready and releases the lease.
struct begin_leaving {};

using event = std::variant<tick, link_up, link_down, message_received, platform_result, local_endpoints,
                           submit_request, publish_record, publish_evidence, begin_leaving>;

// ---- actions ---------------------------------------------------------------------------------------------

/// Opens a link to the address that is the member's id. Answered by `link_up` or `link_down`.
struct dial_member {
    member_id member;
};

/// Closes the link; answered by `link_down`.
struct close_link {
    member_id member;
};

struct send_message {
    member_id to;
    message_priority priority = message_priority::members;
    message content;
};

struct table_get {
    std::uint64_t request_id = 0;
    std::string key;
};

struct table_list {
    std::uint64_t request_id = 0;
    std::string prefix;
};

struct table_put {
    std::uint64_t request_id = 0;
    std::string key;
    std::string value;
    platform::precondition condition;
};

struct object_get {
    std::uint64_t request_id = 0;
    std::string key;
};

struct object_put {
    std::uint64_t request_id = 0;
    std::string key;
    std::string bytes;
};

/// Swap in this configuration. The versions of successive actions strictly increase.
struct apply_snapshot {
    std::shared_ptr<const model::routing_table> table;
};

/// `code` is `ok`, `submit_conflict`, `call_key_reused`, a `snapshot_*` code, or a `platform_*` code. After
/// `platform_outcome_unknown` the change may have been accepted; repeating the submission with the same
/// idempotency key returns the result.
struct submit_finished {
    std::uint64_t submit_id = 0;
    result_code code = result_code::ok;
    std::uint64_t version = 0; ///< accepted version; on a conflict, the version at which the part changed
    std::string message;
};

/// These records are new or were replaced, here or by another daemon.
struct records_changed {
    std::vector<replicated_record> records;
};

/// Members or endpoints changed; the caller reads them with `members()` and `endpoints()`.
struct members_changed {
    bool endpoints_changed = false;
};

/// This daemon may act as the move owner with `epoch` until `valid_until`, unless extended.
struct became_owner {
    std::uint64_t epoch = 0;
    time_point valid_until;
};

struct ownership_extended {
    std::uint64_t epoch = 0;
    time_point valid_until;
};

struct lost_ownership {
    std::uint64_t epoch = 0;
};

/// Evidence increments of the whole fleet since the previous action of this type. Emitted once a second, at
/// the root only.
struct evidence_collected {
    std::vector<counter_vector> increments;
};

/// A daemon that is not ready rejects calls as "not run".
struct ready_changed {
    bool ready = false;
    std::string reason;
};

enum class fence_reason : std::uint8_t { paused, newer_epoch };

/// The process was paused, or a newer owner exists: abandon work that relied on uninterrupted time or on the
/// lease.
struct fenced {
    fence_reason reason = fence_reason::paused;
};

using action =
    std::variant<dial_member, close_link, send_message, table_get, table_list, table_put, object_get,
                 object_put, apply_snapshot, submit_finished, records_changed, members_changed, became_owner,
                 ownership_extended, lost_ownership, evidence_collected, ready_changed, fenced>;

// ---- history ---------------------------------------------------------------------------------------------

/// One accepted version, as the head row lists the newest ones.
struct history_item {
    std::uint64_t version = 0;
    std::string team;
    member_id accepted_by;
    std::int64_t submitted_unix_ms = 0;
    friend auto operator<=>(const history_item&, const history_item&) = default;
};

/// Versions that a head row lists, newest first; empty when the row is malformed. Thread safe.
[[nodiscard]] std::vector<history_item> decode_history(std::string_view head_row_value);

// ---- status ----------------------------------------------------------------------------------------------

/// Configuration of this daemon. `confirmed` is false until the table has confirmed the version after the
/// start or the last pause.
struct config_status {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    bool confirmed = false;
    bool ready = false;
    std::uint64_t newest_known = 0;
    std::string lag_reason; ///< empty while `version` is `newest_known`
    friend bool operator==(const config_status&, const config_status&) = default;
};

/// Convergence of the fleet according to the last totals received from the root.
struct convergence_status {
    member_id root;
    std::uint64_t newest_version = 0;
    std::uint64_t members = 0;  ///< live members in this daemon's own list
    std::uint64_t reported = 0; ///< daemons counted by the root
    std::uint64_t current = 0;  ///< daemons that run `newest_version`
    std::vector<version_count> counts;
    std::vector<laggard> laggards;
    milliseconds age{0}; ///< time since the totals arrived
    friend bool operator==(const convergence_status&, const convergence_status&) = default;
};

struct ownership_status {
    bool owner = false;
    std::uint64_t epoch = 0; ///< highest epoch seen
    member_id holder;        ///< last holder seen in the table by this daemon, empty when unknown
    time_point valid_until;
};

/// Counts since the start.
struct control_stats {
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t stale_versions = 0;   ///< offers that were not newer than the active version
    std::uint64_t refused_versions = 0; ///< versions rejected as a whole
    std::uint64_t delta_pulls = 0;
    std::uint64_t snapshot_pulls = 0;
    std::uint64_t object_pulls = 0;
    std::uint64_t busy_refusals = 0;    ///< pulls rejected because of `max_snapshot_transfers`
    std::uint64_t digest_exchanges = 0; ///< table digest exchanges started
    std::uint64_t table_reads = 0;
    std::uint64_t table_writes = 0;
    std::uint64_t refutations = 0;
    std::uint64_t pauses = 0;
    friend bool operator==(const control_stats&, const control_stats&) = default;
};

/// Construction parameters of a `control_node`.
struct node_settings {
    member_id id; ///< advertised peer address
    std::string failure_domain;
    std::string region;
    std::vector<member_id> seeds;  ///< peers contacted at a fresh start
    std::uint64_t incarnation = 0; ///< start time in Unix milliseconds
    std::uint64_t seed = 0;        ///< seed of the random generator
};

/// Faults that tests inject to prove that their invariant checkers detect violations.
struct fault_injection {
    bool accept_older_versions = false;
    bool skip_validation = false;
    bool reuse_lease_epoch = false;
};

/// Control state machine of one daemon. Not thread safe: one thread calls `handle` and the accessors.
///
/// Contract:
/// 1. Call `handle` with time points that never decrease. The first event is a `tick`.
/// 2. Execute the actions in order. `send_message` to a member without a link is dropped silently.
/// 3. Each platform action is answered by one `platform_result`, at any later time; an unanswered one
///    times out after 5 s, and a later answer is ignored.
/// 4. Each `dial_member` is answered by `link_up` or `link_down`. At most one link per member is up.
/// 5. A link may lose messages when its queue is full; the digest exchange restores the missing state.
/// 6. `incarnation()` changes after a pause or a refutation; the caller passes it to the transport.
class control_node {
public:
    explicit control_node(node_settings settings, fault_injection faults = {});
    control_node(const control_node&) = delete;
    control_node& operator=(const control_node&) = delete;
    ~control_node();

    /// Does not throw, whatever a message or platform result contains.
    [[nodiscard]] std::vector<action> handle(time_point now, event input);

    [[nodiscard]] const member_id& id() const;
    [[nodiscard]] std::uint64_t incarnation() const;
    /// Empty until the first `apply_snapshot`.
    [[nodiscard]] std::shared_ptr<const model::routing_table> active() const;
    [[nodiscard]] config_status config() const;
    [[nodiscard]] convergence_status convergence(time_point now) const;
    [[nodiscard]] ownership_status ownership(time_point now) const;
    /// All known members, this one included, in id order; dead ones until they are removed.
    [[nodiscard]] std::vector<member_record> members() const;
    [[nodiscard]] std::size_t live_members() const;
    /// Endpoints of the members that are alive, suspect or leaving, in member order. Those of a leaving
    /// member have the state `leaving`.
    [[nodiscard]] std::vector<model::endpoint_info> endpoints() const;
    [[nodiscard]] std::vector<replicated_record> records() const;
    /// Members with a link, in id order.
    [[nodiscard]] std::vector<member_id> linked_members() const;
    [[nodiscard]] const control_stats& stats() const;

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endive::distribution
