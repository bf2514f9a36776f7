#pragma once
/// Operators library: the administration API as an abstract service, and the HTTP server that exposes it.
/// docs/admin-api.md lists paths, headers, bodies and HTTP statuses.

#include "endive/config.h"
#include "endive/model.h"

namespace endive::operators {

// clang-tidy 14 reports the 0 that the compiler inserts into defaulted operator<=>.
// NOLINTBEGIN(modernize-use-nullptr)

// ---- requests and results --------------------------------------------------------------------------------

/// A team's questionnaire, submitted for acceptance.
struct submit_request {
    std::string team;
    std::string questionnaire;
    /// `changed_at_version` of the team's part that the submitter last read; 0 when the team has no part yet.
    std::uint64_t precondition_version = 0;
    std::string idempotency_key;
    friend auto operator<=>(const submit_request&, const submit_request&) = default;
};

struct submit_result {
    std::uint64_t version = 0;            ///< configuration version that contains the part
    std::uint64_t digest = 0;             ///< digest of that snapshot
    std::uint64_t changed_at_version = 0; ///< precondition of the team's next submit
    bool changed = true;                  ///< false when the part equals the accepted one
    friend auto operator<=>(const submit_result&, const submit_result&) = default;
};

/// One team's part in the active configuration. The part has `changed_at_version` 0 when the team has none.
struct part_result {
    std::uint64_t version = 0;
    model::team_part part;
    friend auto operator<=>(const part_result&, const part_result&) = default;
};

/// Number of daemons on which one configuration version is active.
struct version_count {
    std::uint64_t version = 0;
    std::uint32_t daemons = 0;
    friend auto operator<=>(const version_count&, const version_count&) = default;
};

struct lagging_daemon {
    std::string member;
    std::uint64_t version = 0;
    std::string reason;
    friend auto operator<=>(const lagging_daemon&, const lagging_daemon&) = default;
};

/// Live endpoints of one service version.
struct endpoint_count {
    std::string service;
    std::string version;
    std::uint32_t serving = 0;
    std::uint32_t other = 0; ///< starting, draining or leaving
    friend auto operator<=>(const endpoint_count&, const endpoint_count&) = default;
};

/// State of this daemon, and of the fleet as known to this daemon.
struct fleet_status {
    std::string member; ///< id of the responding daemon
    std::string failure_domain;
    bool ready = false;
    bool confirmed = false; ///< the active configuration was confirmed by the platform's table
    std::uint64_t active_version = 0;
    std::uint64_t active_digest = 0;
    std::uint64_t head_version = 0; ///< newest accepted version known to this daemon
    std::string move_owner;         ///< empty when no live lease is known
    std::uint64_t lease_epoch = 0;
    std::uint32_t daemons_alive = 0;
    std::uint32_t daemons_suspect = 0;
    std::vector<version_count> versions;
    std::vector<lagging_daemon> lagging;
    std::vector<endpoint_count> endpoints;
    friend auto operator<=>(const fleet_status&, const fleet_status&) = default;
};

/// One accepted configuration version.
struct history_entry {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    std::string team; ///< team whose part changed
    std::string accepted_by;
    std::int64_t accepted_unix_ms = 0;
    friend auto operator<=>(const history_entry&, const history_entry&) = default;
};

/// States of a version move. Moves without a pause or a fault pass through `pending` to `done` in this order.
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

/// Request statistics of one route and version, on which decisions about a move are based.
struct route_evidence {
    std::string route;
    std::string version;
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;
    friend auto operator<=>(const route_evidence&, const route_evidence&) = default;
};

/// Status of a version move. Times are Unix milliseconds, 0 when the event has not happened.
struct move_status {
    std::string id;
    std::string team;
    std::string service;
    std::string from;
    std::string to;
    move_state state = move_state::pending;
    double share = 0.0;            ///< traffic share of the new version, from 0 to 1
    std::uint64_t row_version = 0; ///< precondition of the next action
    std::string reason;            ///< cause of the last change of state; may be empty
    std::int64_t deadline_unix_ms = 0;
    std::int64_t started_unix_ms = 0;
    std::int64_t changed_unix_ms = 0;
    std::int64_t finished_unix_ms = 0;
    std::vector<route_evidence> evidence;
    friend auto operator<=>(const move_status&, const move_status&) = default;
};

enum class move_action : std::uint8_t { pause, resume, take_back, extend };
/// Name as in the path: `pause`, `resume`, `take-back`, `extend`.
[[nodiscard]] std::string_view to_string(move_action action);
[[nodiscard]] std::optional<move_action> parse_move_action(std::string_view name);

struct move_action_request {
    std::string id;
    std::string team; ///< team of the token; the server has checked that the move belongs to it
    move_action action = move_action::pause;
    /// `move_status::row_version` that the operator last read. Empty matches any version; only `take_back`
    /// permits this, because it is final and so cannot overwrite a later change.
    std::optional<std::uint64_t> precondition_version;
    std::int64_t deadline_unix_ms = 0; ///< the new deadline of `extend`
    friend auto operator<=>(const move_action_request&, const move_action_request&) = default;
};

/// Numbers of finished and open moves of one team.
struct team_report {
    std::string team;
    model::measure_weights weights;
    std::uint32_t moves_on_time = 0;
    std::uint32_t moves_late = 0; ///< finished after the deadline, or expired
    std::uint32_t moves_taken_back = 0;
    std::uint32_t moves_open = 0;
    friend auto operator<=>(const team_report&, const team_report&) = default;
};

/// Performance report of the fleet: convergence, control traffic, and moves of each team.
struct report_result {
    std::uint64_t version = 0;
    double convergence_p50_ms = 0;
    double convergence_p99_ms = 0;
    double control_bytes_per_second = 0; ///< of this daemon
    std::vector<team_report> teams;
    std::vector<move_status> moves;
    friend auto operator<=>(const report_result&, const report_result&) = default;
};

enum class operation_state : std::uint8_t { started, finished, not_run };
[[nodiscard]] std::string_view to_string(operation_state state);

/// Record of a non-idempotent request with an idempotency key.
struct operation_result {
    std::string service;
    std::string key;
    operation_state state = operation_state::started;
    std::uint32_t status = 0; ///< HTTP status of the backend server's response when finished
    std::int64_t started_unix_ms = 0;
    std::int64_t finished_unix_ms = 0;
    friend auto operator<=>(const operation_result&, const operation_result&) = default;
};

/// Announcement of a backend server to the daemon beside it.
struct endpoint_announcement {
    std::string address; ///< `IP:port` of the backend server's HTTP port
    std::string service;
    std::string version;
    std::uint32_t slots = 12;
    std::uint32_t connections = 120;
    model::endpoint_state state = model::endpoint_state::starting;
    friend auto operator<=>(const endpoint_announcement&, const endpoint_announcement&) = default;
};

struct readiness {
    bool ready = false;
    std::string reason; ///< empty when ready
    friend auto operator<=>(const readiness&, const readiness&) = default;
};

// NOLINTEND(modernize-use-nullptr)

/// Failed version precondition: code `submit_conflict` or `move_conflict`.
class conflict_error : public error {
public:
    conflict_error(result_code code, const std::string& message, std::string place,
                   std::uint64_t current_version)
        : error{code, message, std::move(place)}, current_version_{current_version} {}
    /// Version to pass as precondition of the next attempt.
    [[nodiscard]] std::uint64_t current_version() const noexcept { return current_version_; }

private:
    std::uint64_t current_version_;
};

// ---- service ---------------------------------------------------------------------------------------------

/// Operations of the administration API, implemented by the daemon. Functions are called concurrently from
/// several threads and may block. Errors are `endive::error`; a failed precondition is a `conflict_error`.
class admin_service {
public:
    admin_service() = default;
    admin_service(const admin_service&) = delete;
    admin_service& operator=(const admin_service&) = delete;
    virtual ~admin_service() = default;

    /// Errors: `answers_*`, `snapshot_*`, `submit_conflict`, `submit_wrong_team` (the questionnaire names
    /// another team), `not_ready`, `platform_*`.
    virtual submit_result submit(const submit_request& request) = 0;
    [[nodiscard]] virtual part_result part(const std::string& team) = 0;
    [[nodiscard]] virtual fleet_status status() = 0;
    /// Newest first, at most `limit` entries.
    [[nodiscard]] virtual std::vector<history_entry> history(std::size_t limit) = 0;
    /// All moves in order of id.
    [[nodiscard]] virtual std::vector<move_status> moves() = 0;
    /// Applies the action and returns the resulting status of the move. Errors: `move_*`, `lease_not_held`,
    /// `platform_*`.
    virtual move_status apply_action(const move_action_request& request) = 0;
    [[nodiscard]] virtual report_result report() = 0;
    /// Empty when there is no record.
    [[nodiscard]] virtual std::optional<operation_result> operation(const std::string& service,
                                                                    const std::string& key) = 0;
    virtual void announce(const endpoint_announcement& announcement) = 0;
    [[nodiscard]] virtual readiness ready() = 0;
};

// ---- server ----------------------------------------------------------------------------------------------

/// A histogram that `/metrics` exports as `name`. The histogram must outlive the server.
struct named_histogram {
    std::string name;
    const latency_histogram* histogram = nullptr;
};

struct admin_settings {
    socket_address listen;                     ///< port 0 selects a free port
    std::map<std::string, std::string> tokens; ///< team to token
    std::string operators_token;               ///< token for read-only access; empty disables it
    /// Further IPv4 addresses of this VM that may announce endpoints, besides loopback and `listen.host`.
    std::vector<std::string> local_hosts;
    std::size_t max_body_bytes = config::max_questionnaire_bytes;
    std::uint32_t max_connections = config::max_admin_connections;
    std::chrono::seconds idle_timeout = config::admin_idle_timeout;
};

/// The HTTP server of the administration API. Listens from construction to `stop` or destruction; the
/// service, counters and histograms must outlive it. Thread safe.
class admin_server {
public:
    /// Throws `settings_port_unavailable` when the address cannot be bound, `settings_out_of_range` when two
    /// tokens are equal or one is empty.
    admin_server(admin_settings settings, admin_service& service, counter_set& counters,
                 std::vector<named_histogram> histograms = {});
    admin_server(const admin_server&) = delete;
    admin_server& operator=(const admin_server&) = delete;
    ~admin_server();

    /// The bound port.
    [[nodiscard]] std::uint16_t port() const;
    /// Closes the port and waits for requests in flight. Idempotent.
    void stop();

private:
    class implementation;
    std::unique_ptr<implementation> implementation_;
};

/// The Prometheus text format (version 0.0.4) of counters and histograms.
[[nodiscard]] std::string metrics_text(const counter_set& counters,
                                       const std::vector<named_histogram>& histograms);

} // namespace endive::operators
