#pragma once
// Version moves of all services: follows orders and status rows, keeps each move's evidence, and says which
// versions requests may go to.

#include "sidecar/settings.h"

#include "endive/mesh.h"

namespace endive::sidecar {

/// Where one request of a service may go.
struct version_choice {
    std::string moving_to; ///< empty when no move restricts the choice
    bool use_new = false;  ///< take the version `moving_to`, else any other
    bool only_new = false; ///< the move is complete: nothing else may be used
};

/// A status that this daemon should write.
struct status_write {
    mesh::rollout_status status;
    std::uint64_t expected_version = 0; ///< of the status row now
    friend bool operator==(const status_write&, const status_write&) = default;
};

/// Not thread safe.
class rollouts {
public:
    explicit rollouts(const sidecar_settings& settings) : settings_{settings.exposure_share} {}
    /// An order of the operator. Throws `error` with `platform_bad_answer`, as `on_status` does.
    void on_order(const mesh::store_row& row, time_point now);
    void on_status(const mesh::store_row& row);
    /// A move began at `started`, as a row of the project's own says.
    void on_start(std::string_view service, std::uint64_t order_version, wall_time started, wall_time wall,
                  time_point now);
    void on_evidence(const std::string& daemon, std::int64_t start,
                     std::span<const mesh::version_evidence> counters);
    /// `judges(service)` lists the daemons that judge the moves of a service, the first one first; `self` is
    /// this daemon's name.
    void advance(time_point now, const std::string& self,
                 const std::function<std::vector<std::string>(const std::string&)>& judges);
    /// What the judge `daemon` says.
    void on_progress(const std::string& daemon, const mesh::rollout_progress& progress, time_point now);
    /// Progress of the moves that this daemon judges.
    [[nodiscard]] std::vector<mesh::rollout_progress> progress() const;
    /// Services with a move under way.
    [[nodiscard]] std::vector<std::string> running() const;
    /// Draws the version of one request.
    [[nodiscard]] version_choice choose(const std::string& service);
    /// True when endpoints of this version take no new work: their version has been replaced or rolled back.
    [[nodiscard]] bool is_retired(const std::string& service, const std::string& version,
                                  time_point now) const;
    /// Statuses that are due and not written yet. `old_idle(service, version)` tells whether no endpoint of
    /// another version has work.
    [[nodiscard]] std::vector<status_write>
    due(time_point now, const std::function<bool(const std::string&, const std::string&)>& old_idle) const;
    struct active_move {
        std::uint64_t order_version = 0;
        std::string service;
    };
    /// Moves whose start no row tells yet.
    [[nodiscard]] std::vector<active_move> unrecorded() const;

private:
    struct entry {
        std::uint64_t order_version = 0;
        std::optional<mesh::rollout> move;
        std::uint64_t status_version = 0;
        std::optional<mesh::rollout_status> status;
        bool start_recorded = false;
        double credit = 0; ///< of the new version in the draw
        bool judged_here = false;
        struct told_progress {
            mesh::rollout_progress value;
            time_point at;
        };
        std::map<std::string, told_progress> told; ///< by judge
    };
    void follow(entry& item, const std::vector<std::string>& judges, time_point now);
    void apply_status(entry& item);
    mesh::rollout_settings settings_;
    std::map<std::string, entry> services_;
    struct latest {
        std::int64_t start = 0;
        std::vector<mesh::version_evidence> counters;
    };
    std::map<std::string, latest> evidence_; ///< by daemon, for moves that begin later
};

} // namespace endive::sidecar
