#include "endive/tenants.h"

#include <algorithm>

namespace endive::tenants {
namespace {

/// Number of coordinators. Each daemon answers the probes of all of them; three spread the asks of some
/// hundred daemons enough and bound the tenants that the loss of one concerns.
constexpr std::size_t coordinator_count = 3;
/// A coordinator that has sent nothing for this long is replaced: three probes in a row are missing.
constexpr duration silence_timeout = quota_probe_interval * 3;

std::uint64_t hash_of(const std::vector<std::string>& daemons) {
    std::uint64_t result = 0;
    for (const auto& daemon : daemons) {
        result = stable_hash(daemon, result + 1);
    }
    return result;
}

const std::string* select(const std::vector<std::string>& daemons, std::string_view tenant) {
    const std::string* best = nullptr;
    std::uint64_t best_weight = 0;
    for (const auto& daemon : daemons) {
        const auto weight = stable_hash(daemon, stable_hash(tenant));
        if (best == nullptr || weight > best_weight) {
            best = &daemon;
            best_weight = weight;
        }
    }
    return best;
}

} // namespace

quota_view::quota_view(std::string self, std::int64_t link_mbps)
    : self_{std::move(self)}, link_mbps_{link_mbps}, current_{self_} {}

bool quota_view::leads() const {
    return std::find(current_.begin(), current_.end(), self_) != current_.end();
}

bool quota_view::is_silent(const std::string& daemon, time_point now) {
    const auto heard = heard_.find(daemon);
    const auto excluded = excluded_.find(daemon);
    if (excluded != excluded_.end()) {
        if (heard == heard_.end() || heard->second <= excluded->second) {
            return true;
        }
        excluded_.erase(excluded);
        joined_[daemon] = now;
    }
    const auto joined = joined_.find(daemon);
    if (joined == joined_.end()) {
        return false;
    }
    const auto last = heard == heard_.end() ? joined->second : std::max(joined->second, heard->second);
    if (now - last <= silence_timeout) {
        return false;
    }
    excluded_[daemon] = now;
    joined_.erase(joined);
    return true;
}

bool quota_view::update(std::span<const candidate> linked, std::size_t known, bool may_lead, time_point now) {
    known_ = known;
    std::vector<candidate> usable;
    for (const auto& entry : linked) {
        if (!is_silent(entry.daemon, now)) {
            usable.push_back(entry);
        }
    }
    if (may_lead || usable.empty()) {
        usable.push_back({self_, link_mbps_});
    }
    const auto count = std::min(usable.size(), coordinator_count);
    const auto end = usable.begin() + static_cast<std::ptrdiff_t>(count);
    std::partial_sort(usable.begin(), end, usable.end(), [](const candidate& a, const candidate& b) {
        if (a.link_mbps != b.link_mbps) {
            return a.link_mbps > b.link_mbps;
        }
        return std::pair{stable_hash(a.daemon), std::string_view{a.daemon}} <
               std::pair{stable_hash(b.daemon), std::string_view{b.daemon}};
    });
    usable.erase(end, usable.end());
    std::vector<std::string> selected;
    selected.reserve(usable.size());
    for (const auto& entry : usable) {
        selected.push_back(entry.daemon);
    }
    std::sort(selected.begin(), selected.end());
    for (const auto& daemon : selected) {
        if (daemon != self_) {
            joined_.try_emplace(daemon, now);
        }
    }
    std::erase_if(joined_, [&](const auto& entry) {
        return std::find(selected.begin(), selected.end(), entry.first) == selected.end();
    });
    if (selected == current_ && since_ != time_point{}) {
        return false;
    }
    previous_ = std::exchange(current_, std::move(selected));
    since_ = now;
    return true;
}

const std::string& quota_view::coordinator_of(std::string_view tenant) const {
    return *select(current_, tenant); // the set is never empty
}

std::string quota_view::previous_coordinator_of(std::string_view tenant) const {
    const auto* found = select(previous_, tenant);
    return found == nullptr ? std::string{} : *found;
}

quota_grant quota_view::grant(time_point now) const {
    return {hash_of(current_), hash_of(previous_), now - since_, static_cast<std::uint32_t>(known_)};
}

} // namespace endive::tenants
