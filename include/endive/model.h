#pragma once
/// Model library: questionnaires, generation of configuration snapshots, validation, deltas and JSON
/// encoding.

#include "endive/base.h"

#include <span>
#include <unordered_map>

namespace endive::model {

// clang-tidy 14 reports the 0 that the compiler inserts into defaulted operator<=>.
// NOLINTBEGIN(modernize-use-nullptr)

/// Index of a service in `snapshot::services`.
struct service_handle {
    std::uint32_t index = UINT32_MAX;
    [[nodiscard]] bool valid() const { return index != UINT32_MAX; }
    friend auto operator<=>(const service_handle&, const service_handle&) = default;
};

/// Index of a route in `snapshot::routes`.
struct route_handle {
    std::uint32_t index = UINT32_MAX;
    [[nodiscard]] bool valid() const { return index != UINT32_MAX; }
    friend auto operator<=>(const route_handle&, const route_handle&) = default;
};

/// A team's weights for the four performance measures, in percent; they sum to 100.
struct measure_weights {
    int convergence = 25;
    int on_time = 25;
    int take_back = 25;
    int control_bytes = 25;
    friend auto operator<=>(const measure_weights&, const measure_weights&) = default;
};

/// A released version of a service.
struct release {
    std::string version;
    friend auto operator<=>(const release&, const release&) = default;
};

/// A service. `endpoints` is the expected number; live endpoints are discovered from their announcements.
struct service {
    std::string name;
    std::string team;
    std::uint32_t endpoints = 1;
    std::uint32_t slots = 12;        ///< maximum concurrent requests of one endpoint
    std::uint32_t connections = 120; ///< maximum open connections of one endpoint
    std::vector<std::string> failure_domains;
    std::vector<release> releases;
    std::string stable_version; ///< receives all traffic while no move is in progress
    friend auto operator<=>(const service&, const service&) = default;
};

/// A route from method and path prefix to a service.
struct route {
    std::string name;
    std::string team;
    std::string method; ///< `GET`, `POST`, ... or `*`
    std::string path_prefix;
    std::string service;
    bool idempotent = true;
    std::uint32_t timeout_ms = 5000;
    std::uint32_t priority = 1; ///< 0 is the highest, 3 the lowest
    friend auto operator<=>(const route&, const route&) = default;
};

/// A gradual shift of a service's traffic from one version to another, to be complete by a deadline.
struct version_move {
    std::string id; ///< `<service>:<to>`
    std::string team;
    std::string service;
    std::string from;
    std::string to;
    std::int64_t deadline_unix_ms = 0;
    friend auto operator<=>(const version_move&, const version_move&) = default;
};

/// A region and the failure domains in it.
struct region {
    std::string name;
    std::vector<std::string> failure_domains;
    friend auto operator<=>(const region&, const region&) = default;
};

/// One team's part of the configuration, generated from its questionnaire.
struct team_part {
    std::string team;
    std::string organisation;
    std::uint64_t changed_at_version = 0; ///< snapshot version at which this part last changed
    measure_weights weights;
    std::vector<std::string> failure_domains; ///< union over all regions
    std::vector<region> regions;
    std::vector<service> services;
    std::vector<route> routes;
    std::vector<version_move> moves;
    friend auto operator<=>(const team_part&, const team_part&) = default;
};

/// A complete configuration. Immutable after construction; parts are sorted by team, resources by name.
struct snapshot {
    std::uint64_t version = 0;
    std::vector<team_part> parts;
    friend auto operator<=>(const snapshot&, const snapshot&) = default;
};

/// Changed and removed team parts between two versions.
struct snapshot_delta {
    std::uint64_t from_version = 0;
    std::uint64_t to_version = 0;
    std::uint64_t to_digest = 0;
    std::vector<team_part> changed;
    std::vector<std::string> removed_teams;
    friend auto operator<=>(const snapshot_delta&, const snapshot_delta&) = default;
};

/// Parses and checks questionnaire bytes and generates the team's part. Deterministic: equal bytes and equal
/// `now` day give equal parts. Throws `error` with an `answers_*` code and a JSON pointer as place. Thread
/// safe.
[[nodiscard]] team_part generate(std::string_view questionnaire, wall_time now);

/// Replaces or adds `part` in a copy of `base`. The result has version `base.version + 1`, which is also the
/// part's `changed_at_version`.
[[nodiscard]] snapshot merge_part(const snapshot& base, team_part part);

/// The team's part, or null. The pointer is valid for the lifetime of `value`.
[[nodiscard]] const team_part* find_part(const snapshot& value, std::string_view team);

/// True when the parts are equal except for `changed_at_version`.
[[nodiscard]] bool same_content(const team_part& a, const team_part& b);

/// Checks every reference of the snapshot: each route's service, each move's service and versions, unique
/// names, no two routes with the same method and prefix, order of parts and resources. Throws `error` with a
/// `snapshot_*` code and a place such as `/parts/<team>/routes/<name>`. Thread safe.
void validate(const snapshot& candidate);

/// Canonical JSON (sorted keys, no white space).
[[nodiscard]] std::string encode(const snapshot& value);
[[nodiscard]] std::string encode(const snapshot_delta& value);
[[nodiscard]] std::string encode(const team_part& value);
/// Throws `error` with `snapshot_malformed` on unexpected content.
[[nodiscard]] snapshot decode_snapshot(std::string_view bytes);
[[nodiscard]] snapshot_delta decode_delta(std::string_view bytes);
[[nodiscard]] team_part decode_part(std::string_view bytes);
/// Stable hash of the canonical JSON.
[[nodiscard]] std::uint64_t digest(const snapshot& value);

[[nodiscard]] snapshot_delta make_delta(const snapshot& from, const snapshot& to);
/// Throws `error` with `snapshot_delta_mismatch` when `base` is not the version that the delta starts from or
/// the result's digest differs.
[[nodiscard]] snapshot apply_delta(const snapshot& base, const snapshot_delta& delta);

enum class change_kind : std::uint8_t { added, removed, changed };

/// One difference between two parts.
struct resource_change {
    change_kind kind = change_kind::changed;
    std::string resource; ///< such as `service bacheca`, `route post-deposit` or `weights`
    std::string before;   ///< canonical JSON; empty when added
    std::string after;    ///< canonical JSON; empty when removed
    friend auto operator<=>(const resource_change&, const resource_change&) = default;
};

/// Differences from `before` to `after`, except `changed_at_version`, sorted by resource.
[[nodiscard]] std::vector<resource_change> compare_parts(const team_part& before, const team_part& after);

/// A validated snapshot indexed for lookups on the request path. Immutable; thread safe.
class routing_table {
public:
    /// Precondition: `validate(source)` passed.
    explicit routing_table(snapshot source);
    routing_table(const routing_table&) = delete;
    routing_table& operator=(const routing_table&) = delete;
    routing_table(routing_table&&) = default;
    routing_table& operator=(routing_table&&) = default;
    ~routing_table() = default;
    [[nodiscard]] std::uint64_t version() const { return source_.version; }
    [[nodiscard]] const snapshot& source() const { return source_; }
    /// The longest matching prefix is selected; for equal prefixes an exact method takes precedence over `*`.
    /// A prefix matches at a path segment boundary only: `/a` matches `/a`, `/a/b` and `/a?x`, but not `/ab`.
    /// Returns an invalid handle when no route matches. Does not allocate.
    [[nodiscard]] route_handle find_route(std::string_view method, std::string_view path) const;
    [[nodiscard]] service_handle find_service(std::string_view name) const;
    [[nodiscard]] std::span<const service> services() const { return services_; }
    [[nodiscard]] std::span<const route> routes() const { return routes_; }
    [[nodiscard]] const service& at(service_handle handle) const { return services_.at(handle.index); }
    [[nodiscard]] const route& at(route_handle handle) const { return routes_.at(handle.index); }
    [[nodiscard]] service_handle service_of(route_handle handle) const {
        return route_services_.at(handle.index);
    }

private:
    snapshot source_;
    std::vector<service> services_; ///< sorted by name
    std::vector<route> routes_;     ///< sorted by (path prefix, method)
    std::vector<service_handle> route_services_;
    struct prefix_range {
        std::uint32_t first = 0;
        std::uint32_t count = 0;
    };
    [[nodiscard]] route_handle find_in_prefix(std::string_view prefix, std::string_view method) const;

    /// Routes of each prefix. The keys are views into `routes_`, which never changes after construction.
    std::unordered_map<std::string_view, prefix_range> by_prefix_;
    std::size_t longest_prefix_ = 0;
};

// ---- values shared by distribution, calls and moves -------------------------------------------------------

enum class endpoint_state : std::uint8_t { starting, serving, draining, leaving };

/// A live backend server as published by the daemon beside it.
struct endpoint_info {
    std::string address; ///< `IP:port` of the backend server's HTTP port
    std::string relay;   ///< `IP:port` of the peer port of the daemon beside it
    std::string service;
    std::string version;
    std::string failure_domain;
    std::uint32_t slots = 12;
    std::uint32_t connections = 120;
    endpoint_state state = endpoint_state::starting;
    friend auto operator<=>(const endpoint_info&, const endpoint_info&) = default;
};

enum class call_outcome : std::uint8_t { success, server_error, timeout, connection_failed, shed, cancelled };

/// One finished attempt at a backend server, as observed by the request path.
struct call_observation {
    std::string service;
    std::string version;
    std::string route;
    bool idempotent = true;
    call_outcome outcome = call_outcome::success;
    duration latency{0};
    /// The backend server reported a cold start, or it is younger than its warm-up time.
    bool cold = false;
    /// The attempt opened its own connection, so its latency includes connection set-up.
    bool opened_connection = false;
    friend auto operator<=>(const call_observation&, const call_observation&) = default;
};

/// Traffic share of one version of a service, from 0 to 1.
struct version_share {
    std::string version;
    double share = 1.0;
    friend auto operator<=>(const version_share&, const version_share&) = default;
};

/// Division of one service's traffic among its versions, separately for idempotent and non-idempotent routes.
/// Versions that are on hold are not listed. The shares of a list sum to 1; a list is empty when no version
/// may receive traffic.
struct traffic_split {
    std::string service;
    std::vector<version_share> shares;                     ///< idempotent routes
    std::vector<version_share> non_idempotent_shares = {}; ///< non-idempotent routes
    friend auto operator<=>(const traffic_split&, const traffic_split&) = default;
};

// NOLINTEND(modernize-use-nullptr)

} // namespace endive::model
