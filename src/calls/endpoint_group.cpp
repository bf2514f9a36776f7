#include "calls/endpoint_entry.h"

#include <algorithm>
#include <cmath>

namespace endive::calls {
namespace {

// Number of finished calls between updates of the median. It changes slowly, and recomputing it for each call
// would cost more than the endpoint selection itself.
constexpr std::uint32_t median_interval = 32;
// One in this many calls may probe an ejected endpoint whose back-off has elapsed.
constexpr std::uint64_t probe_interval = 8;
// Statistics of removed endpoints are kept until the group has more than twice as many entries as serving
// endpoints plus this number.
constexpr std::size_t spare_entries = 8;

[[nodiscard]] std::uint32_t slot_limit(const model::endpoint_info& info, std::uint32_t live_daemons,
                                       bool relay_available) {
    const double share =
        std::floor(config::usable_connection_ratio * info.connections / std::max(1U, live_daemons));
    if (relay_available && share < 2 && !info.relay.empty()) {
        return std::max(1U, info.slots);
    }
    const auto connections = static_cast<std::uint32_t>(std::max(1.0, share));
    return std::max(1U, std::min(info.slots, connections));
}

/// Derives a sequence of independent random numbers from one seed (splitmix64).
[[nodiscard]] std::uint64_t next_random(std::uint64_t& state) {
    state += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = state;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

[[nodiscard]] double to_unit_interval(std::uint64_t random) {
    constexpr double two_to_53 = 9007199254740992.0;
    return static_cast<double>(random >> 11U) / two_to_53;
}

} // namespace

struct endpoint_group::state {
    endpoint_settings settings;
    std::vector<endpoint_entry> entries;
    std::vector<std::uint32_t> local;
    std::vector<std::uint32_t> remote;
    double median_ns = 0;
    std::uint32_t finished_calls = 0;
    bool initialised = false;

    [[nodiscard]] std::size_t count_serving() const {
        return std::count_if(entries.begin(), entries.end(), [](const auto& e) { return e.is_serving(); });
    }
    [[nodiscard]] std::size_t count_ejected() const {
        return std::count_if(entries.begin(), entries.end(), [](const auto& e) {
            return e.is_serving() && e.health != endpoint_health::healthy;
        });
    }
    [[nodiscard]] std::size_t max_ejected() const {
        return static_cast<std::size_t>(settings.max_ejected_ratio * static_cast<double>(count_serving()));
    }
    endpoint_entry& entry_for(const model::endpoint_info& info, time_point now);
    void limit_ejections(time_point now);
    void refresh_median();
    void advance_probes(time_point now);
    [[nodiscard]] bool has_free_slot(const endpoint_entry& e, std::span<const std::string> excluded) const;
    void collect_candidates(std::span<const std::string> excluded, std::uint64_t& random, bool apply_ramp,
                            time_point now);
    [[nodiscard]] std::uint32_t find_due_probe(std::span<const std::string> excluded) const;
    [[nodiscard]] std::uint32_t better_of_two(const std::vector<std::uint32_t>& from, std::uint64_t& random,
                                              time_point now) const;
    [[nodiscard]] std::uint32_t pick(std::uint64_t& random, time_point now) const;
};

endpoint_group::endpoint_group(endpoint_settings settings) : state_{std::make_unique<state>()} {
    state_->settings = std::move(settings);
}
endpoint_group::~endpoint_group() = default;
endpoint_group::endpoint_group(endpoint_group&&) noexcept = default;
endpoint_group& endpoint_group::operator=(endpoint_group&&) noexcept = default;

endpoint_entry& endpoint_group::state::entry_for(const model::endpoint_info& info, time_point now) {
    const auto existing = std::find_if(entries.begin(), entries.end(),
                                       [&](const auto& e) { return e.info.address == info.address; });
    if (existing != entries.end()) {
        if (!existing->present) {
            existing->warmup_start = now;
            existing->skip_ramp = false;
        }
        return *existing;
    }
    auto target = entries.end();
    if (entries.size() > 2 * count_serving() + spare_entries) {
        target = std::find_if(entries.begin(), entries.end(),
                              [](const auto& e) { return !e.present && e.in_flight == 0; });
    }
    if (target == entries.end()) {
        target = entries.emplace(entries.end());
    } else {
        *target = endpoint_entry{};
    }
    target->warmup_start = now;
    target->skip_ramp = !initialised;
    target->adaptive_limit = info.slots;
    return *target;
}

void endpoint_group::update(std::span<const model::endpoint_info> endpoints, std::uint32_t live_daemons,
                            time_point now) {
    auto& s = *state_;
    std::vector<std::uint32_t> listed;
    for (const auto& info : endpoints) {
        auto& entry = s.entry_for(info, now);
        entry.present = true;
        const bool began_serving = info.state == model::endpoint_state::serving &&
                                   entry.info.state != model::endpoint_state::serving && s.initialised;
        if (began_serving) {
            entry.warmup_start = now;
        }
        entry.info = info;
        entry.limit = slot_limit(info, live_daemons, s.settings.relay_available);
        listed.push_back(static_cast<std::uint32_t>(&entry - s.entries.data()));
    }
    std::sort(listed.begin(), listed.end());
    for (std::uint32_t i = 0; i < s.entries.size(); ++i) {
        if (!std::binary_search(listed.begin(), listed.end(), i)) {
            s.entries[i].present = false;
        }
    }
    // The age of endpoints in the first list is unknown, so they are taken as warm. Only endpoints that are
    // added later get a slow start.
    s.initialised = s.initialised || !endpoints.empty();
    s.limit_ejections(now);
}

void endpoint_group::state::limit_ejections(time_point now) {
    while (count_ejected() > max_ejected()) {
        endpoint_entry* oldest = nullptr;
        for (auto& e : entries) {
            const bool ejected = e.is_serving() && e.health != endpoint_health::healthy;
            if (ejected && (oldest == nullptr || e.ejected_until < oldest->ejected_until)) {
                oldest = &e;
            }
        }
        oldest->readmit(now);
    }
}

void endpoint_group::state::refresh_median() {
    std::vector<double> values;
    for (const auto& e : entries) {
        if (e.is_serving() && e.successes > 0) {
            values.push_back(e.latency_ns);
        }
    }
    if (values.empty()) {
        return;
    }
    const auto middle = values.begin() + static_cast<std::ptrdiff_t>((values.size() - 1) / 2);
    std::nth_element(values.begin(), middle, values.end());
    median_ns = *middle;
}

void endpoint_group::state::advance_probes(time_point now) {
    for (auto& e : entries) {
        if (e.health == endpoint_health::ejected && now >= e.ejected_until) {
            e.health = endpoint_health::probing;
            e.probe_successes = 0;
        }
    }
}

bool endpoint_group::state::has_free_slot(const endpoint_entry& e,
                                          std::span<const std::string> excluded) const {
    return e.is_serving() && e.in_flight < e.usable_slots() &&
           std::find(excluded.begin(), excluded.end(), e.info.address) == excluded.end();
}

void endpoint_group::state::collect_candidates(std::span<const std::string> excluded, std::uint64_t& random,
                                               bool apply_ramp, time_point now) {
    local.clear();
    remote.clear();
    for (std::uint32_t i = 0; i < entries.size(); ++i) {
        const auto& e = entries[i];
        if (e.health != endpoint_health::healthy || !has_free_slot(e, excluded)) {
            continue;
        }
        const double weight = apply_ramp ? e.ramp_weight(settings, now) : 1.0;
        if (weight < 1.0) {
            const double ramp_slots = std::ceil(weight * e.usable_slots());
            if (e.in_flight >= ramp_slots || to_unit_interval(next_random(random)) >= weight) {
                continue;
            }
        }
        auto& list = e.info.failure_domain == settings.failure_domain ? local : remote;
        list.push_back(i);
    }
}

std::uint32_t endpoint_group::state::find_due_probe(std::span<const std::string> excluded) const {
    for (std::uint32_t i = 0; i < entries.size(); ++i) {
        const auto& e = entries[i];
        if (e.health == endpoint_health::probing && e.in_flight == 0 && has_free_slot(e, excluded)) {
            return i;
        }
    }
    return UINT32_MAX;
}

std::uint32_t endpoint_group::state::better_of_two(const std::vector<std::uint32_t>& from,
                                                   std::uint64_t& random, time_point now) const {
    if (from.empty()) {
        return UINT32_MAX;
    }
    const auto first = next_random(random) % from.size();
    if (from.size() == 1) {
        return from[first];
    }
    auto second = next_random(random) % (from.size() - 1);
    second += second >= first ? 1 : 0;
    const auto a = from[first];
    const auto b = from[second];
    return entries[b].score(median_ns, now) < entries[a].score(median_ns, now) ? b : a;
}

std::uint32_t endpoint_group::state::pick(std::uint64_t& random, time_point now) const {
    const auto best_local = better_of_two(local, random, now);
    const auto best_remote = better_of_two(remote, random, now);
    if (best_local == UINT32_MAX || best_remote == UINT32_MAX) {
        return best_local == UINT32_MAX ? best_remote : best_local;
    }
    const bool spill = entries[best_remote].score(median_ns, now) * settings.spillover_ratio <
                       entries[best_local].score(median_ns, now);
    return spill ? best_remote : best_local;
}

endpoint_handle endpoint_group::choose(std::uint64_t random, std::span<const std::string> excluded,
                                       time_point now, bool may_probe) {
    auto& s = *state_;
    s.advance_probes(now);
    std::uint32_t chosen = UINT32_MAX;
    if (may_probe && next_random(random) % probe_interval == 0) {
        chosen = s.find_due_probe(excluded);
    }
    for (const bool apply_ramp : {true, false}) {
        if (chosen == UINT32_MAX) {
            s.collect_candidates(excluded, random, apply_ramp, now);
            chosen = s.pick(random, now);
        }
    }
    if (chosen != UINT32_MAX) {
        ++s.entries[chosen].in_flight;
    }
    return {chosen};
}

void endpoint_group::finish(endpoint_handle handle, const attempt_report& report, time_point now) {
    auto& s = *state_;
    auto& e = s.entries.at(handle.index);
    --e.in_flight;
    e.observe(report, s.settings, s.median_ns, now);
    if (++s.finished_calls % median_interval == 0 || s.median_ns == 0) {
        s.refresh_median();
    }
    if (e.health == endpoint_health::probing) {
        if (is_failure(report.outcome) || e.consecutive_slow > 0) {
            e.eject(s.settings, now);
        } else if (e.probe_successes >= s.settings.probes_to_readmit) {
            e.readmit(now);
        }
        return;
    }
    const bool allowed = e.is_serving() && s.count_ejected() < s.max_ejected();
    if (e.health == endpoint_health::healthy && allowed && e.is_ejection_due(s.settings)) {
        e.eject(s.settings, now);
    }
}

void endpoint_group::abandon(endpoint_handle handle) {
    --state_->entries.at(handle.index).in_flight;
}

void endpoint_group::report_load(const std::string& address, double load, time_point now) {
    for (auto& e : state_->entries) {
        if (e.info.address == address) {
            e.reported_load = std::clamp(load, 0.0, 1.0);
            e.load_reported_at = now;
        }
    }
}

const model::endpoint_info& endpoint_group::info(endpoint_handle handle) const {
    return state_->entries.at(handle.index).info;
}

bool endpoint_group::is_cold(endpoint_handle handle, time_point now) const {
    return state_->entries.at(handle.index).ramp_weight(state_->settings, now) < 1.0;
}

std::uint32_t endpoint_group::capacity(time_point /*now*/) const {
    std::uint32_t total = 0;
    for (const auto& e : state_->entries) {
        total += e.is_serving() && e.health == endpoint_health::healthy ? e.usable_slots() : 0;
    }
    return total;
}

std::uint32_t endpoint_group::free_slots() const {
    std::uint32_t total = 0;
    for (const auto& e : state_->entries) {
        const bool usable = e.is_serving() && e.health == endpoint_health::healthy;
        total += usable && e.in_flight < e.usable_slots() ? e.usable_slots() - e.in_flight : 0;
    }
    return total;
}

std::uint32_t endpoint_group::in_flight() const {
    std::uint32_t total = 0;
    for (const auto& e : state_->entries) {
        total += e.in_flight;
    }
    return total;
}

duration endpoint_group::median_latency() const {
    return duration{static_cast<duration::rep>(state_->median_ns)};
}

duration endpoint_group::tail_latency() const {
    double max_deviation = 0;
    for (const auto& e : state_->entries) {
        if (e.is_serving() && e.health == endpoint_health::healthy && e.successes > 0) {
            max_deviation = std::max(max_deviation, e.deviation_ns);
        }
    }
    return max_deviation == 0 ? duration{0}
                              : duration{static_cast<duration::rep>(state_->median_ns + 4 * max_deviation)};
}

std::size_t endpoint_group::ejected_count() const {
    return state_->count_ejected();
}

std::vector<endpoint_status> endpoint_group::status(time_point /*now*/) const {
    std::vector<endpoint_status> result;
    for (const auto& e : state_->entries) {
        result.push_back({e.info.address, e.in_flight, e.usable_slots(), e.health != endpoint_health::healthy,
                          e.health == endpoint_health::probing, e.present, e.failure_ratio,
                          duration{static_cast<duration::rep>(e.latency_ns)}});
    }
    return result;
}

} // namespace endive::calls
