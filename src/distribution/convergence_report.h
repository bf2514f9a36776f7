#pragma once
/// Aggregation over the report tree: version counts, laggards and evidence flow up, fleet totals flow down.

#include "distribution/overlay.h"

namespace endive::distribution {

class convergence_report {
public:
    void add_evidence(const std::vector<counter_vector>& increments);
    /// Merges a child's report. A duplicate or out-of-order report is ignored, so evidence never counts
    /// twice.
    void on_report(time_point now, const member_id& from, const subtree_report& report);
    /// Builds the report of the own subtree from this daemon and the recent reports of `children`. Moves the
    /// collected evidence into the report.
    [[nodiscard]] subtree_report build(time_point now, std::uint64_t incarnation, laggard self, bool lagging,
                                       const std::vector<member_id>& children);
    /// Stores totals that are newer than the stored ones, or any when the stored ones are stale. Returns
    /// whether to forward them.
    bool on_totals(time_point now, const fleet_totals& totals);

    /// Fills all fields except `members`.
    [[nodiscard]] convergence_status status(time_point now) const;

private:
    struct child {
        std::pair<std::uint64_t, std::uint64_t> last; ///< incarnation and sequence
        time_point received_at;
        std::vector<version_count> counts;
        std::vector<laggard> laggards;
    };

    std::map<member_id, child> children_;
    std::map<std::string, std::vector<std::uint64_t>> evidence_;
    std::uint64_t sequence_ = 0;
    fleet_totals totals_;
    time_point totals_received_at_;
};

} // namespace endive::distribution
