#include "endive/tenants.h"

#include <algorithm>
#include <cmath>

namespace endive::tenants {
namespace {

/// Parts of the allowed excess of a window. A daemon's part of the rate may be counted by two coordinators
/// for a short time after a change of the set, a new coordinator need not wait until all leases of the
/// earlier one have expired, and tokens that were used but not reported do not hold up the bucket.
constexpr double overlap_part = 0.4;
constexpr double carry_over_part = 0.35;
constexpr double unreported_part = 0.25;
/// The wait when it is not known when there is credit: other daemons have not delegated their parts yet.
constexpr duration unknown_wait = milliseconds{200};
/// Maximum wait: callers have given up after that, and the demand is another one.
constexpr duration max_wait = std::chrono::seconds{10};
/// A share is counted again after this time.
constexpr duration share_lifetime = milliseconds{20};

double seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

/// A value in [0, 1) that differs between daemons and tenants.
double phase(std::string_view daemon, std::string_view tenant) {
    constexpr std::uint64_t steps = 1024;
    return static_cast<double>(stable_hash(daemon, stable_hash(tenant)) % steps) / steps;
}

} // namespace

quota_coordinator::quota_coordinator(quota_settings settings, std::string self)
    : settings_{settings}, self_{std::move(self)} {}

double quota_coordinator::excess(const limit& allowed) const {
    return settings_.overage * (allowed.rate * seconds(settings_.window) + allowed.burst) + settings_.slack;
}

void quota_coordinator::set_tenants(std::span<const mesh::tenant> tenants, const quota_view& view,
                                    time_point now) {
    std::map<std::string, limit, std::less<>> limits;
    for (const auto& entry : tenants) {
        if (entry.rate_per_s > 0) {
            limits[entry.name] = {entry.rate_per_s, std::max(1.0, entry.burst)};
        }
    }
    limits_ = std::move(limits);
    std::erase_if(buckets_, [&](const auto& entry) { return !limits_.contains(entry.first); });
    for (const auto& [name, allowed] : limits_) {
        const auto found = buckets_.find(name);
        if (found != buckets_.end()) {
            refill(found->second, view, now);
            found->second.allowed = allowed;
            refill(found->second, view, now);
        } else if (view.coordinator_of(name) == self_) {
            auto& entry = buckets_[name];
            entry.allowed = allowed;
            take_over(entry, view, name, now);
        }
    }
}

void quota_coordinator::on_view(const quota_view& view, time_point now) {
    for (const auto& [name, allowed] : limits_) {
        const auto found = buckets_.find(name);
        if (view.coordinator_of(name) != self_) {
            if (found != buckets_.end()) {
                buckets_.erase(found);
            }
        } else if (found == buckets_.end()) {
            auto& entry = buckets_[name];
            entry.allowed = allowed;
            take_over(entry, view, name, now);
        } else {
            refill(found->second, view, now);
            found->second.kept = view.previous_coordinator_of(name) == self_;
            found->second.share_time = {};
        }
    }
}

/// Begins with an empty bucket. It fills once the leases of the earlier coordinator have expired, or earlier
/// as far as these are within their part of the allowed excess.
void quota_coordinator::take_over(bucket& entry, const quota_view& view, const std::string& tenant,
                                  time_point now) {
    const double allowed = carry_over_part * excess(entry.allowed) / entry.allowed.rate;
    entry.refilled = now + std::max(duration{0}, quota_lease_time - from_seconds(std::min(allowed, 10.0)));
    if (view.coordinators().size() == 1) {
        // Daemons that have lost all others at the same time would otherwise complete their first token
        // together.
        entry.level = phase(self_, tenant);
    }
}

void quota_coordinator::on_grant(const std::string& daemon, const quota_grant& grant, time_point probe_sent,
                                 time_point now) {
    auto& entry = delegations_[daemon];
    entry.grant = grant;
    entry.received = now;
    entry.until = std::max(entry.until, probe_sent + quota_grant_time);
}

double quota_coordinator::share_of(const bucket& entry, const quota_view& view, time_point now) const {
    const double overlap = overlap_part * excess(entry.allowed) / entry.allowed.rate;
    const auto settling = std::max(duration{0}, quota_grant_time - from_seconds(std::min(overlap, 10.0)));
    const auto own = view.grant(now);
    std::size_t known = own.known;
    std::size_t count = entry.kept || own.stable_for >= settling ? 1 : 0;
    for (const auto& [name, item] : delegations_) {
        if (item.until <= now) {
            continue;
        }
        const auto& grant = item.grant;
        known = std::max<std::size_t>(known, grant.known);
        const bool same = grant.coordinators == own.coordinators;
        const bool was_mine =
            entry.kept && (same ? grant.previous == own.previous : grant.coordinators == own.previous);
        const auto stable_for = grant.stable_for + (now - item.received);
        if (was_mine || (same && stable_for >= settling)) {
            ++count;
        }
    }
    return known == 0 ? 0.0 : std::min(1.0, static_cast<double>(count) / static_cast<double>(known));
}

double quota_coordinator::share(const std::string& tenant, const quota_view& view, time_point now) {
    const auto found = buckets_.find(tenant);
    return found == buckets_.end() ? 0.0 : share_of(found->second, view, now);
}

/// Removes tokens that are no longer unused from the outstanding ones, the oldest first: those that remain
/// count for longer.
void quota_coordinator::settle(bucket& entry, double tokens) {
    while (tokens > 0 && !entry.outstanding.empty()) {
        auto& oldest = entry.outstanding.front();
        const double part = std::min(tokens, oldest.tokens);
        oldest.tokens -= part;
        tokens -= part;
        entry.outstanding_tokens -= part;
        if (oldest.tokens <= 0) {
            entry.outstanding.pop_front();
        }
    }
}

void quota_coordinator::refill(bucket& entry, const quota_view& view, time_point now) {
    while (!entry.outstanding.empty() && entry.outstanding.front().until <= now) {
        entry.outstanding_tokens -= entry.outstanding.front().tokens;
        entry.outstanding.pop_front();
    }
    if (entry.outstanding.empty()) {
        entry.outstanding_tokens = 0;
    }
    if (entry.share_time == time_point{} || now - entry.share_time >= share_lifetime) {
        entry.share = share_of(entry, view, now);
        entry.share_time = now;
    }
    if (now <= entry.refilled) {
        return;
    }
    // Grants last no longer than this, so that no more can have accrued while this daemon was suspended.
    const auto elapsed = std::min(now - entry.refilled, quota_grant_time);
    entry.refilled = now;
    const double added = entry.allowed.rate * entry.share * seconds(elapsed);
    const double capacity = entry.allowed.burst * entry.share;
    if (capacity < 1) {
        // A token completes at times, and is lost after as long as the burst allows.
        entry.level += added;
        if (entry.level > 1 + capacity) {
            entry.level = capacity + std::fmod(entry.level - capacity, 1.0);
        }
        return;
    }
    const double unused = capacity + unreported_part * excess(entry.allowed) * entry.share;
    const double most = std::min(capacity, unused - entry.outstanding_tokens);
    entry.level = std::min(capacity, std::max(entry.level, std::min(entry.level + added, most)));
}

quota_lease quota_coordinator::on_ask(const quota_ask& ask, const quota_view& view, time_point now) {
    quota_lease result{ask.tenant, 0, duration{0}};
    const auto found = buckets_.find(ask.tenant);
    if (found == buckets_.end()) {
        result.wait = unknown_wait;
        return result;
    }
    auto& entry = found->second;
    refill(entry, view, now);
    settle(entry, ask.spent);
    const double capacity = std::max(1.0, entry.allowed.burst * entry.share);
    entry.level = std::max(entry.level, std::min(entry.level + ask.returned, capacity));
    result.tokens = std::max(0.0, std::min(std::floor(ask.tokens), std::floor(entry.level)));
    if (result.tokens > 0) {
        entry.level -= result.tokens;
        entry.outstanding.push_back({now + quota_lease_time, result.tokens});
        entry.outstanding_tokens += result.tokens;
    }
    if (result.tokens >= std::floor(ask.tokens)) {
        return result;
    }
    const double rate = entry.allowed.rate * entry.share;
    if (rate <= 0 || view.grant(now).stable_for < quota_grant_time) {
        result.wait = unknown_wait; // most daemons have not delegated their parts yet
        return result;
    }
    // Daemons that were told to wait before this one get the next tokens.
    const auto next = from_seconds(std::min(1 / rate, seconds(max_wait)));
    const auto first = now + from_seconds(std::min((1 - entry.level) / rate, seconds(max_wait)));
    // A daemon that asks again counts once.
    const double queue = static_cast<double>(delegations_.size() + 1) / rate;
    const auto last = std::max(first, now + from_seconds(std::min(queue, seconds(max_wait))));
    entry.promised_until = std::min(std::max(entry.promised_until + next, first), last);
    result.wait = entry.promised_until - now;
    return result;
}

} // namespace endive::tenants
