#include "distribution/convergence_report.h"

#include <algorithm>

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

// A child reports every second; after three missed reports its counts are considered stale.
constexpr auto report_expiry = 3500ms;
constexpr auto totals_expiry = 5s;
// Longer than any report stays in transit, so that a late duplicate is still recognised.
constexpr auto child_retention = 600s;
constexpr std::size_t max_evidence_names = 8192;
constexpr std::size_t max_evidence_values = 64;

std::vector<version_count> to_counts(const std::map<std::uint64_t, std::uint64_t>& sums) {
    std::vector<version_count> counts;
    counts.reserve(sums.size());
    for (const auto& [version, daemons] : sums) {
        counts.push_back({version, daemons});
    }
    return counts;
}

/// Keeps the laggards with the lowest versions, at most `max_reported_laggards`.
void trim_laggards(std::vector<laggard>& laggards) {
    std::ranges::sort(laggards, {}, [](const laggard& item) { return std::tie(item.version, item.id); });
    if (laggards.size() > config::max_reported_laggards) {
        laggards.resize(config::max_reported_laggards);
    }
}

} // namespace

void convergence_report::add_evidence(const std::vector<counter_vector>& increments) {
    for (const auto& increment : increments) {
        if (increment.values.size() > max_evidence_values ||
            (!evidence_.contains(increment.name) && evidence_.size() >= max_evidence_names)) {
            continue;
        }
        auto& sum = evidence_[increment.name];
        sum.resize(std::max(sum.size(), increment.values.size()));
        for (std::size_t index = 0; index < increment.values.size(); ++index) {
            sum[index] += increment.values[index];
        }
    }
}

void convergence_report::on_report(time_point now, const member_id& from, const subtree_report& report) {
    auto& kept = children_[from];
    const auto stamp = std::pair{report.incarnation, report.sequence};
    if (stamp <= kept.last) {
        return;
    }
    kept.last = stamp;
    kept.received_at = now;
    kept.counts = report.counts;
    kept.laggards = report.laggards;
    add_evidence(report.evidence);
}

subtree_report convergence_report::build(time_point now, std::uint64_t incarnation, laggard self,
                                         bool lagging, const std::vector<member_id>& children) {
    std::erase_if(children_,
                  [&](const auto& entry) { return now - entry.second.received_at > child_retention; });
    subtree_report report{incarnation, ++sequence_, {}, {}, {}};
    std::map<std::uint64_t, std::uint64_t> sums;
    ++sums[self.version];
    if (lagging) {
        report.laggards.push_back(std::move(self));
    }
    for (const auto& id : children) {
        const auto found = children_.find(id);
        if (found == children_.end() || now - found->second.received_at > report_expiry) {
            continue;
        }
        for (const auto& count : found->second.counts) {
            sums[count.version] += count.daemons;
        }
        const auto& behind = found->second.laggards;
        report.laggards.insert(report.laggards.end(), behind.begin(), behind.end());
    }
    report.counts = to_counts(sums);
    trim_laggards(report.laggards);
    for (auto& [name, values] : evidence_) {
        report.evidence.push_back({name, std::move(values)});
    }
    evidence_.clear();
    return report;
}

bool convergence_report::on_totals(time_point now, const fleet_totals& totals) {
    const auto stale = totals_.root.empty() || now - totals_received_at_ > totals_expiry;
    if (!stale && totals.sequence <= totals_.sequence) {
        return false;
    }
    totals_ = totals;
    totals_received_at_ = now;
    return true;
}

convergence_status convergence_report::status(time_point now) const {
    convergence_status status;
    status.root = totals_.root;
    status.counts = totals_.counts;
    status.laggards = totals_.laggards;
    for (const auto& count : totals_.counts) {
        status.reported += count.daemons;
        if (count.version >= status.newest_version) {
            status.newest_version = count.version;
            status.current = count.daemons;
        }
    }
    if (!totals_.root.empty()) {
        status.age = std::chrono::duration_cast<milliseconds>(now - totals_received_at_);
    }
    return status;
}

} // namespace endive::distribution
