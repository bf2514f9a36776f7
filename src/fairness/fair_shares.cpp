#include "endive/fairness.h"

#include <algorithm>
#include <numeric>

namespace endive::fairness {
namespace {

/// Number of tenants below which idle ones are not removed, since that takes longer than it saves memory.
constexpr std::size_t min_sweep_size = 64;
/// Maximum number of tenants that are remembered; beyond it all begin again without debt.
constexpr std::size_t max_tenants = 8192;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

tenant_id tenant_id_of(std::string_view name) {
    return name.empty() ? 0 : std::max<tenant_id>(1, stable_hash(name));
}

double fair_shares::start_tag(tenant_id tenant) const {
    const auto found = ends_.find(tenant);
    return found == ends_.end() ? virtual_time_ : std::max(virtual_time_, found->second);
}

double fair_shares::cost(tenant_id tenant, duration work) const {
    const auto weight = tenant == 0 ? std::max<std::size_t>(1, ends_.size()) : 1;
    return seconds_of(work) / static_cast<double>(weight);
}

void fair_shares::on_start(tenant_id tenant, duration work) {
    const double tag = start_tag(tenant);
    virtual_time_ = std::max(virtual_time_, tag);
    ends_[tenant] = tag + cost(tenant, work);
    if (ends_.size() >= std::max(next_sweep_, min_sweep_size)) {
        forget_idle();
    }
}

void fair_shares::forget_idle() {
    std::erase_if(ends_, [&](const auto& entry) { return entry.second <= virtual_time_; });
    if (ends_.size() >= max_tenants) {
        ends_.clear();
    }
    next_sweep_ = 2 * ends_.size();
}

std::vector<std::size_t> fair_shares::order(std::span<const waiting_request> waiting) const {
    std::vector<double> tags;
    tags.reserve(waiting.size());
    std::unordered_map<tenant_id, double> ends;
    for (const auto& entry : waiting) {
        const auto [found, added] = ends.try_emplace(entry.tenant, 0.0);
        const double tag = added ? start_tag(entry.tenant) : found->second;
        tags.push_back(tag);
        found->second = tag + cost(entry.tenant, entry.work);
    }
    std::vector<std::size_t> result(waiting.size());
    std::iota(result.begin(), result.end(), 0);
    std::stable_sort(result.begin(), result.end(),
                     [&](std::size_t a, std::size_t b) { return tags[a] < tags[b]; });
    return result;
}

} // namespace endive::fairness
