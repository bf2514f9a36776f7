#pragma once
/// Sums of the report tree: version counts, laggards and evidence going up, totals coming down.

#include "distribution/overlay.h"

namespace endive::distribution {

class convergence_report {
public:
    void add_evidence(const std::vector<counter_vector>& increments);
    /// Takes a child's report. A repeated or overtaken one is ignored, so evidence never counts twice.
    void on_report(time_point now, const member_id& from, const subtree_report& report);
    /// The own subtree: this daemon and the recent reports of `children`. Hands over the evidence.
    [[nodiscard]] subtree_report build(time_point now, std::uint64_t incarnation, laggard self, bool lagging,
                                       const std::vector<member_id>& children);
    /// Takes totals when they are newer than the kept ones or those are stale. True when to forward them.
    bool on_totals(time_point now, const fleet_totals& totals);

    /// Fills everything but `members`.
    [[nodiscard]] convergence_status status(time_point now) const;

private:
    struct child {
        std::pair<std::uint64_t, std::uint64_t> last; ///< incarnation and sequence
        time_point heard;
        std::vector<version_count> counts;
        std::vector<laggard> laggards;
    };

    std::map<member_id, child> children_;
    std::map<std::string, std::vector<std::uint64_t>> evidence_;
    std::uint64_t sequence_ = 0;
    fleet_totals totals_;
    time_point totals_at_;
};

} // namespace endive::distribution
