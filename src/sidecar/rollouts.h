#pragma once
// Rollouts of all services: processes order and status rows, keeps the evidence of each rollout and decides
// which versions requests may be sent to.

#include "sidecar/settings.h"

#include "endive/mesh.h"

namespace endive::sidecar {

/// The version that one request of a service may be sent to.
struct version_choice {
    std::string target_version; ///< new version; empty when no rollout restricts the choice
    bool use_new = false;       ///< send to `target_version`, otherwise to any other
    bool only_new = false;      ///< the rollout is complete: no other version may be used
};

/// A rollout status that this daemon should write to the store.
struct status_write {
    mesh::rollout_status status;
    std::uint64_t expected_version = 0; ///< current version of the status row
    friend bool operator==(const status_write&, const status_write&) = default;
};

/// Not thread safe.
class rollouts {
public:
    explicit rollouts(const sidecar_settings& settings)
        : settings_{settings.exposure_share, settings.exposure_slack}, daemon_{settings.name} {}
    /// Handles an order of the operator. Throws `error` with `platform_bad_answer`, as `on_status` does.
    void on_order(const mesh::store_row& row, time_point now);
    void on_status(const mesh::store_row& row);
    /// A row in the daemons' own table records that the rollout began; `elapsed` is the time since then,
    /// empty when this daemon does not know the clock that the row was written by.
    void on_start(std::string_view service, const mesh::rollout_start& start, std::optional<duration> elapsed,
                  time_point now);
    /// The store has been restored from an older copy and may lack what the daemons wrote last: unfinished
    /// rollouts are recorded again, and final statuses are due again until they are seen in this era.
    void on_store_restored(std::uint32_t era);
    void on_evidence(const std::string& daemon, std::int64_t start,
                     std::span<const mesh::version_evidence> counters);
    /// `evaluators(service)` lists the daemons that evaluate the rollouts of a service in order of
    /// precedence; `self` is this daemon's name. Without `may_decide` this daemon raises no traffic share
    /// and completes no rollout (see `mesh::majority_contact`).
    void advance(time_point now, const std::string& self, bool may_decide,
                 const std::function<std::vector<std::string>(const std::string&)>& evaluators);
    /// True while this daemon is one of those that evaluate an unfinished rollout.
    [[nodiscard]] bool is_evaluating() const;
    /// Handles progress published by the evaluating daemon `daemon`.
    void on_progress(const std::string& daemon, const mesh::rollout_progress& progress, time_point now);
    /// Progress of the rollouts that this daemon evaluates; verdicts only while it may not decide.
    [[nodiscard]] std::vector<mesh::rollout_progress> progress() const;
    /// Services with an unfinished rollout.
    [[nodiscard]] std::vector<std::string> running() const;
    /// Chooses the version for one request. A traffic share that no evaluator has confirmed lately, since
    /// this daemon was paused or cut off, is limited to that of a version without evidence.
    [[nodiscard]] version_choice choose(const std::string& service, time_point now);
    /// True when endpoints of this version accept no new work because the version has been replaced or rolled
    /// back.
    [[nodiscard]] bool is_retired(const std::string& service, const std::string& version,
                                  time_point now) const;
    /// Statuses that are due and not written yet. Only evaluating daemons complete a rollout.
    /// `old_idle(service, version)` returns true when no endpoint of another version has outstanding
    /// requests.
    [[nodiscard]] std::vector<status_write>
    due_statuses(time_point now,
                 const std::function<bool(const std::string&, const std::string&)>& old_idle) const;
    struct active_rollout {
        std::string service;
        mesh::rollout_start start; ///< without its time
    };
    /// Rollouts whose start is not recorded in the store yet.
    [[nodiscard]] std::vector<active_rollout> unrecorded_starts() const;
    /// What earlier rollouts of the service have shown of its versions; null without any order.
    [[nodiscard]] const mesh::version_history* history(const std::string& service) const;

private:
    struct entry {
        std::uint64_t order_version = 0;
        std::optional<mesh::rollout> rollout;
        std::uint64_t status_version = 0;
        std::optional<mesh::rollout_status> status;
        bool start_recorded = false;
        mesh::version_history history;
        double credit = 0; ///< accumulated traffic share; the new version is chosen at 1
        bool evaluated_here = false;
        time_point share_confirmed{}; ///< when an evaluator last set the traffic share
        struct received_progress {
            mesh::rollout_progress value;
            time_point at;
        };
        std::map<std::string, received_progress> received; ///< by evaluating daemon
    };
    void follow(entry& item, const std::vector<std::string>& evaluators, time_point now);
    [[nodiscard]] bool may_evaluate(time_point now) const;
    void apply_status(entry& item);
    [[nodiscard]] bool must_repeat_final_status(const entry& item) const;
    mesh::rollout_settings settings_;
    std::string daemon_;
    std::uint32_t store_era_ = 0; ///< of the last restoration that this daemon has seen
    std::map<std::string, entry> services_;
    time_point last_advance_{};
    bool may_decide_ = false;           ///< at the last advance
    std::optional<time_point> resumed_; ///< end of the last pause of this daemon during a rollout
    struct latest {
        std::int64_t start = 0;
        std::vector<mesh::version_evidence> counters;
    };
    std::map<std::string, latest> evidence_; ///< by daemon; also applied to rollouts that begin later
};

} // namespace endive::sidecar
