#pragma once
/// Moves library: evidence, sequential tests, containment, lifecycle of version moves, traffic splits,
/// reports. Pure state machines: no clock, no socket, no thread. Classes are not thread safe; the control
/// thread owns them.

#include "endive/config.h"
#include "endive/model.h"
#include "endive/platform.h"

#include <array>
#include <compare>
#include <variant>

namespace endive::moves {

// clang-tidy 14 reports defaulted `operator<=>` of a struct that a vector holds.
// NOLINTBEGIN(modernize-use-nullptr)

// ---- replicated records ----------------------------------------------------------------------------------

inline constexpr std::string_view hold_kind = "hold";           ///< key `<service>|<version>`
inline constexpr std::string_view directive_kind = "move";      ///< key: move id
inline constexpr std::string_view change_kind = "move-changed"; ///< key: move id; the owner re-reads its row

/// A record that `distribution` replicates to all daemons. The greater (final, epoch, sequence) wins.
struct record {
    std::string kind;
    std::string key;
    std::uint64_t epoch = 0;
    std::uint64_t sequence = 0;
    bool final = false;
    std::string payload;
    friend auto operator<=>(const record&, const record&) = default;
};

/// True when `candidate` replaces `current` (same kind and key).
[[nodiscard]] bool supersedes(const record& candidate, const record& current);

/// The winning record of each (kind, key).
class record_set {
public:
    /// Returns false when a record at least as great is present: a record of an older epoch is rejected, and
    /// a final record is never replaced.
    bool apply(const record& candidate);
    /// Null when absent.
    [[nodiscard]] const record* find(std::string_view kind, std::string_view key) const;
    [[nodiscard]] std::vector<record> all() const;

private:
    std::map<std::pair<std::string, std::string>, record> records_;
};

[[nodiscard]] std::string hold_key(std::string_view service, std::string_view version);

// ---- evidence --------------------------------------------------------------------------------------------

/// Counts of one (move, route, version). Cold requests are in `cold_*` only.
struct evidence_counts {
    std::uint64_t requests = 0; ///< warm, neither shed nor cancelled
    std::uint64_t failures = 0; ///< server errors and timeouts
    std::uint64_t connection_failures = 0;
    std::uint64_t slow = 0; ///< successes slower than the old version's p90 at that moment
    std::uint64_t shed = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t cold_requests = 0;
    std::uint64_t cold_failures = 0;
    friend auto operator<=>(const evidence_counts&, const evidence_counts&) = default;
};

[[nodiscard]] std::vector<std::uint64_t> to_vector(const evidence_counts& counts);
/// Missing trailing counters are 0, further ones are ignored, so that releases with different vector
/// lengths interoperate.
[[nodiscard]] evidence_counts from_vector(const std::vector<std::uint64_t>& counters);

/// Named counter vectors as transported by the report tree.
using counter_map = std::map<std::string, std::vector<std::uint64_t>>;
/// Adds element by element; a missing key or element counts as 0.
void add_counters(counter_map& into, const counter_map& increments);

struct evidence_key {
    std::string move_id;
    std::string route;
    std::string version;
    friend auto operator<=>(const evidence_key&, const evidence_key&) = default;
};
/// `move/<move id>|<route>|<version>`.
[[nodiscard]] std::string to_string(const evidence_key& key);
[[nodiscard]] std::optional<evidence_key> parse_evidence_key(std::string_view text);

/// Running estimate of a quantile in the log domain; uses constant memory and adapts to changes.
class quantile_tracker {
public:
    explicit quantile_tracker(double quantile = 0.9) : quantile_{quantile} {}
    void add(duration value);
    /// Zero before the first value.
    [[nodiscard]] duration estimate() const;
    [[nodiscard]] std::uint64_t count() const { return count_; }

private:
    double quantile_;
    double log_ns_ = 0;
    std::uint64_t count_ = 0;
};

/// Counts of one (move, route) for both versions.
struct paired_evidence {
    std::string move_id;
    std::string service;
    std::string route;
    std::string from;
    std::string to;
    bool idempotent = true;
    evidence_counts old_counts;
    evidence_counts new_counts;
};

/// Evidence of one daemon about the moves in progress.
class evidence_collector {
public:
    /// Moves whose evidence is kept; observations of other services are ignored.
    void set_moves(std::span<const model::version_move> moves);
    void add(const model::call_observation& observation);
    /// Increments since the last call, for the report tree.
    [[nodiscard]] counter_map take_increments();
    /// Increments since the last call, for the local guard; independent of `take_increments`.
    [[nodiscard]] std::vector<paired_evidence> take_local_evidence();

private:
    struct route_state {
        quantile_tracker old_p90;
        bool idempotent = true;
        std::array<evidence_counts, 2> reported; ///< since the last report: old version, new version
        std::array<evidence_counts, 2> local;    ///< since the last call of `take_local_evidence`
    };
    struct move_state {
        model::version_move move;
        std::map<std::string, route_state, std::less<>> routes;
    };
    std::map<std::string, move_state, std::less<>> moves_; ///< by move id
    std::map<std::string, std::vector<move_state*>, std::less<>> by_service_;
};

// ---- sequential tests ------------------------------------------------------------------------------------

enum class rule_kind : std::uint8_t { fixed_window_z, sprt, mixture_e_process };
[[nodiscard]] std::string_view to_string(rule_kind kind);

/// Counts of old and new version in the same interval. Doubles, because a baseline may be synthetic.
struct paired_counts {
    double old_total = 0;
    double old_bad = 0;
    double new_total = 0;
    double new_bad = 0;
    double seconds = 1;
    friend auto operator<=>(const paired_counts&, const paired_counts&) = default;
};

struct rule_settings {
    rule_kind kind = rule_kind::mixture_e_process;
    double threshold = 14;     ///< nats of evidence at which the new version counts as bad
    double rate_floor = 0.004; ///< lower bound of the old version's assumed failure rate
    friend auto operator<=>(const rule_settings&, const rule_settings&) = default;
};

/// A sequential test of "the new version is not worse than the old one at the same moment".
class sequential_rule {
public:
    sequential_rule() = default;
    sequential_rule(const sequential_rule&) = delete;
    sequential_rule& operator=(const sequential_rule&) = delete;
    virtual ~sequential_rule() = default;
    virtual void add(const paired_counts& counts) = 0;
    /// Evidence against the new version, relative to the threshold: 1 or more means bad.
    [[nodiscard]] virtual double evidence() const = 0;
};
[[nodiscard]] std::unique_ptr<sequential_rule> make_rule(const rule_settings& settings);

/// The quantity that a test compares between the versions.
enum class signal : std::uint8_t { failures, slow, connections, cold_failures };
[[nodiscard]] std::string_view to_string(signal value);

/// Evidence behind one verdict, shown to operators.
struct signal_evidence {
    std::string route;
    signal what = signal::failures;
    double old_total = 0;
    double old_bad = 0;
    double new_total = 0;
    double new_bad = 0;
    double evidence = 0; ///< relative to the threshold
    friend auto operator<=>(const signal_evidence&, const signal_evidence&) = default;
};

/// Thresholds that follow from a team's weights.
struct decision_settings {
    rule_kind rule = rule_kind::mixture_e_process;
    double take_back_threshold = 14;               ///< nats, fleet evidence
    double hold_threshold = 15;                    ///< nats, evidence of one daemon
    double non_idempotent_threshold_reduction = 2; ///< nats subtracted on non-idempotent routes
    double canary_share = config::canary_share;    ///< never above `config::canary_share`
    double canary_share_non_idempotent = config::canary_share_non_idempotent;
    double caution = 1; ///< factor on the evidence required before a step when time allows
    friend auto operator<=>(const decision_settings&, const decision_settings&) = default;
};
[[nodiscard]] decision_settings settings_for(const model::measure_weights& weights);

/// Name of the test over all routes of a move.
inline constexpr std::string_view pooled_route = "*";

/// Tests of one move over its routes and signals.
class verdict_tests {
public:
    verdict_tests(const decision_settings& settings, double threshold);
    ~verdict_tests();
    verdict_tests(verdict_tests&&) noexcept;
    verdict_tests& operator=(verdict_tests&&) noexcept;

    /// Adds the counts of one interval, all routes at once. Besides each route alone, the routes together are
    /// tested under the name `pooled_route`. With no old traffic (after 100%) the new version is compared
    /// with the last known rates of the old one plus a margin for load.
    void add(std::span<const paired_evidence> routes, double seconds);
    /// The strongest evidence; its `evidence` is 0 when there is none.
    [[nodiscard]] signal_evidence strongest() const;
    [[nodiscard]] std::vector<signal_evidence> all() const;
    [[nodiscard]] bool bad() const { return strongest().evidence >= 1; }
    /// Exponentially weighted counts of one signal over the last seconds; empty when it was never observed.
    [[nodiscard]] std::optional<paired_counts> recent(const std::string& route, signal what) const;
    void reset();

private:
    struct state;
    std::unique_ptr<state> state_;
};

// ---- payloads --------------------------------------------------------------------------------------------

enum class hold_state : std::uint8_t { held, released, taken_back };

/// Payload of a record of kind `hold`.
struct hold_payload {
    std::string service;
    std::string version;
    hold_state state = hold_state::held;
    std::string daemon; ///< member id of the daemon that decided
    std::string reason;
    signal_evidence evidence;
    std::int64_t decided_unix_ms = 0;
    friend auto operator<=>(const hold_payload&, const hold_payload&) = default;
};
[[nodiscard]] std::string encode(const hold_payload& value);
/// Empty when malformed.
[[nodiscard]] std::optional<hold_payload> decode_hold(std::string_view bytes);

/// Payload of a record of kind `move`.
struct directive {
    std::string move_id;
    std::string service;
    std::string from;
    std::string to;
    double share = 0;
    double share_non_idempotent = 0;
    std::string state;
    friend auto operator<=>(const directive&, const directive&) = default;
};
[[nodiscard]] std::string encode(const directive& value);
[[nodiscard]] std::optional<directive> decode_directive(std::string_view bytes);

// ---- containment -----------------------------------------------------------------------------------------

/// Containment in each daemon on its own evidence. Needs no lease and no store.
class local_guard {
public:
    explicit local_guard(std::string member_id) : member_id_{std::move(member_id)} {}

    void set_moves(std::span<const model::version_move> moves,
                   const std::map<std::string, model::measure_weights>& weights_by_team);
    /// Uses these settings for all moves instead of those derived from the teams' weights; for benchmarks.
    void override_settings(const decision_settings& settings) { override_ = settings; }
    /// Tests the evidence since the last call (`evidence_collector::take_local_evidence`). Call it about
    /// every 100 ms. Returns holds to publish; they are already active in this daemon.
    [[nodiscard]] std::vector<record> on_evidence(const std::vector<paired_evidence>& evidence,
                                                  double seconds, wall_time now);
    /// Applies a hold record of another daemon or of the owner. Returns true when the state changed.
    bool on_record(const record& received);
    [[nodiscard]] bool held(std::string_view service, std::string_view version) const;

private:
    struct watched {
        model::version_move move;
        verdict_tests tests;
    };
    [[nodiscard]] record make_hold(const watched& entry, const signal_evidence& cause, wall_time now) const;
    std::string member_id_;
    std::optional<decision_settings> override_;
    std::map<std::string, watched, std::less<>> watched_moves_; ///< by move id
    record_set records_;
};

// ---- lifecycle -------------------------------------------------------------------------------------------

enum class move_state : std::uint8_t {
    pending,
    canary,
    ramping,
    complete,
    watching,
    done,
    paused,
    taken_back,
    expired
};
[[nodiscard]] std::string_view to_string(move_state state);
[[nodiscard]] std::optional<move_state> parse_move_state(std::string_view text);
/// True in `canary`, `ramping`, `complete`, `watching`.
[[nodiscard]] bool is_active(move_state state);

struct share_point {
    std::int64_t unix_ms = 0;
    double share = 0;
    move_state state = move_state::pending;
    friend auto operator<=>(const share_point&, const share_point&) = default;
};

/// The table row `move/<id>`.
struct move_row {
    std::string id;
    std::string team;
    std::string service;
    std::string from;
    std::string to;
    move_state state = move_state::pending;
    move_state resume_state = move_state::pending; ///< state before `paused` or `expired`
    double share = 0;
    double share_non_idempotent = 0;
    double control_share = 0;   ///< part of the idempotent requests kept on the old version during the watch
    std::uint64_t epoch = 0;    ///< lease epoch of the last owner that wrote
    std::uint64_t revision = 0; ///< precondition of operators' commands; grows with each write
    std::int64_t created_unix_ms = 0;
    std::int64_t deadline_unix_ms = 0;
    std::int64_t configured_deadline_unix_ms = 0; ///< deadline in the questionnaire when last adopted
    std::int64_t completed_unix_ms = 0;           ///< 0 until 100%
    std::int64_t first_fault_unix_ms = 0;         ///< 0 until evidence first rises over half of the threshold
    std::int64_t taken_back_unix_ms = 0;
    std::string reason;                    ///< of the last state change
    std::string deadline_risk;             ///< why the deadline is at risk; empty when it is not
    std::uint64_t new_requests = 0;        ///< requests that reached the new version, as reported
    std::vector<signal_evidence> evidence; ///< at the last verdict, strongest first
    std::vector<share_point> history;
    std::string write_id; ///< identifies the write, to resolve a lost response
    friend auto operator<=>(const move_row&, const move_row&) = default;
};
[[nodiscard]] std::string encode(const move_row& value);
/// Throws `error` with `platform_bad_answer` on unexpected content.
[[nodiscard]] move_row decode_move_row(std::string_view bytes);
[[nodiscard]] std::string row_key(std::string_view move_id);

enum class command_kind : std::uint8_t { pause, resume, extend, take_back };

struct operator_command {
    command_kind kind = command_kind::pause;
    std::string move_id;
    std::uint64_t expected_revision = 0;
    std::int64_t new_deadline_unix_ms = 0; ///< `extend` only
    std::string operator_name;
    friend auto operator<=>(const operator_command&, const operator_command&) = default;
};

/// The row after `command`, for any daemon: write it with the ETag of the row read, then publish
/// `change_record(row)` and, for a take-back, `take_back_record(row)`. Throws `move_conflict` when the
/// revision differs, `move_wrong_state`, `move_deadline_past`, `move_version_taken_back`.
[[nodiscard]] move_row apply_command(const move_row& row, const operator_command& command, wall_time now);
[[nodiscard]] record change_record(const move_row& row);
[[nodiscard]] record take_back_record(const move_row& row, std::string_view daemon, wall_time now);
[[nodiscard]] record directive_record(const move_row& row);

/// The lease `lease/moves` as its holder knows it.
struct lease_state {
    bool held = false;
    std::uint64_t epoch = 0;
    time_point valid_until{};
    friend auto operator<=>(const lease_state&, const lease_state&) = default;
};

/// Write `row` under `condition`; answer with `on_write_result`.
struct write_row {
    std::string move_id;
    std::string key;
    std::string value;
    platform::precondition condition;
    std::string write_id;
    friend auto operator<=>(const write_row&, const write_row&) = default;
};
/// Read the row; answer with `on_row`.
struct read_row {
    std::string move_id;
    std::string key;
    friend auto operator<=>(const read_row&, const read_row&) = default;
};
/// List `move/`; answer with `on_rows`.
struct list_rows {
    friend auto operator<=>(const list_rows&, const list_rows&) = default;
};
/// Publish a directive or a hold to all daemons (a take-back is a final hold).
struct publish {
    record value;
    friend auto operator<=>(const publish&, const publish&) = default;
};
/// For the log and the counters.
struct report_event {
    std::string event; ///< such as `move_taken_back`
    std::string move_id;
    std::string detail;
    friend auto operator<=>(const report_event&, const report_event&) = default;
};
using action = std::variant<write_row, read_row, list_rows, publish, report_event>;
using actions = std::vector<action>;

enum class write_result : std::uint8_t { written, conflict, unavailable, unknown };

/// Lifecycle of all moves, run in every daemon that may become the owner; it acts only with a lease,
/// except that fleet evidence against a version creates a hold immediately.
class move_machine {
public:
    explicit move_machine(std::string member_id);
    ~move_machine();
    move_machine(move_machine&&) noexcept;
    move_machine& operator=(move_machine&&) noexcept;

    /// Uses these settings for all moves instead of those derived from the teams' weights; for benchmarks.
    void override_settings(const decision_settings& settings);
    /// Call when the active configuration changed.
    actions on_configuration(const model::snapshot& active, time_point now, wall_time wall);
    actions on_lease(const lease_state& lease, time_point now, wall_time wall);
    /// Increments of the fleet's counters since the last call (every second at the root).
    actions on_evidence(const counter_map& increments, time_point now, wall_time wall);
    /// A hold, directive or change record that arrived here, own ones included.
    actions on_record(const record& received, time_point now, wall_time wall);
    actions on_rows(const std::vector<platform::row>& rows, time_point now, wall_time wall);
    /// Empty: the row is absent.
    actions on_row(const std::string& move_id, const std::optional<platform::row>& row, time_point now,
                   wall_time wall);
    /// `etag` is the new one when `written`.
    actions on_write_result(const std::string& move_id, const std::string& write_id, write_result result,
                            const std::string& etag, time_point now, wall_time wall);
    /// Call every 100 ms to 1 s.
    actions on_tick(time_point now, wall_time wall);
    /// An operator's command at the owner. Throws as `apply_command`, `lease_not_held` when this daemon is
    /// not the owner, `move_conflict` while another change is being written.
    actions on_command(const operator_command& command, time_point now, wall_time wall);

    [[nodiscard]] bool is_owner(time_point now) const;
    /// Rows as last known here; those of the owner are current.
    [[nodiscard]] std::vector<move_row> rows() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// ---- traffic splits --------------------------------------------------------------------------------------

/// Splits of each service from the active configuration, the directives and the holds.
class split_table {
public:
    void set_snapshot(const model::snapshot& active);
    /// Returns true when the splits may have changed.
    bool on_record(const record& received);
    [[nodiscard]] std::vector<model::traffic_split> splits() const;
    [[nodiscard]] const record_set& records() const { return records_; }

private:
    [[nodiscard]] model::traffic_split split_of(const model::service& service) const;
    std::vector<model::service> services_;
    std::vector<model::version_move> moves_;
    record_set records_;
};

// ---- reports ---------------------------------------------------------------------------------------------

/// Status of one move as shown to operators.
struct move_report {
    std::string id;
    std::string service;
    std::string from;
    std::string to;
    std::string state;
    std::string reason;
    std::string deadline_risk;
    double share = 0;
    std::uint64_t revision = 0;
    std::int64_t created_unix_ms = 0;
    std::int64_t deadline_unix_ms = 0;
    std::int64_t completed_unix_ms = 0;
    bool on_time = false; ///< completed before the deadline
    std::uint64_t new_requests = 0;
    /// From the first rise of evidence to the take-back; empty when not taken back.
    std::optional<std::int64_t> fault_to_no_traffic_ms;
    std::vector<signal_evidence> evidence;
    std::vector<share_point> history;
    friend auto operator<=>(const move_report&, const move_report&) = default;
};
[[nodiscard]] move_report make_report(const move_row& row);
[[nodiscard]] json to_json(const move_report& report);
/// Text table: a header line, then one line per move.
[[nodiscard]] std::string to_table(std::span<const move_report> reports);
/// Self-contained SVG of the share over time, with the deadline and the take-back.
[[nodiscard]] std::string to_svg(const move_report& report);

// NOLINTEND(modernize-use-nullptr)

} // namespace endive::moves
