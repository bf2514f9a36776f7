#include "endive/tenants.h"

#include <algorithm>
#include <cmath>

namespace endive::tenants {
namespace {

/// Demand is averaged over this time: callers that move to another daemon are seen within a second.
constexpr double demand_time_s = 1.0;
/// Tokens are leased for the expected demand of this time, well below the time for which they are valid.
constexpr double ahead_s = 0.25;
/// More are asked for when the tokens in hand last for less than this part of it.
constexpr double low_part = 0.5;
/// Maximum time that a request waits for tokens that the coordinator has told of.
constexpr duration max_wait = milliseconds{400};
/// The same without an answer of the coordinator: the tenant is probably below its limit, and another
/// coordinator takes its place after 750 ms of silence.
constexpr duration max_wait_unanswered = milliseconds{1000};
/// While there are no tokens, this many requests may wait for the next ones; the others are refused at once.
constexpr std::size_t max_waiting_dry = 2;
/// Maximum number of requests of a tenant that wait for an answer.
constexpr std::size_t max_waiting = 256;
/// A daemon that was told of a long wait asks again after this time: others may have returned tokens.
constexpr duration max_dry_time = milliseconds{500};
/// An ask without an answer for this long is given up. Round trips take some milliseconds.
constexpr duration answer_timeout = milliseconds{300};
/// Tokens that are valid for less than this are returned: by the time they arrive they are of use elsewhere.
constexpr duration return_time = milliseconds{150};
/// `Retry-After` when it is not known when there is credit.
constexpr duration unknown_wait = milliseconds{200};

} // namespace

void quota_client::set_tenants(std::span<const mesh::tenant> tenants) {
    std::set<std::string_view> limited;
    for (const auto& entry : tenants) {
        if (entry.rate_per_s > 0) {
            limited.insert(entry.name);
            states_.try_emplace(entry.name);
        }
    }
    const auto is_gone = [&](const std::string& name) { return !limited.contains(name); };
    std::erase_if(pending_, is_gone);
    std::erase_if(active_, is_gone);
    std::erase_if(states_, [&](const auto& entry) { return is_gone(entry.first); });
}

double quota_client::demand_at(const state& entry, time_point now) {
    const double elapsed = std::chrono::duration<double>(now - entry.demand_time).count();
    return entry.demand * std::exp(-elapsed / demand_time_s);
}

void quota_client::record_demand(state& entry, time_point now) {
    entry.demand = demand_at(entry, now) + 1 / demand_time_s;
    entry.demand_time = now;
}

void quota_client::expire(state& entry, time_point now) {
    while (!entry.lots.empty() && (entry.lots.front().until <= now || entry.lots.front().tokens < 1)) {
        entry.lots.pop_front();
    }
}

double quota_client::held(const state& entry) {
    double result = 0;
    for (const auto& item : entry.lots) {
        result += item.tokens;
    }
    return result;
}

bool quota_client::take(state& entry, time_point now) {
    expire(entry, now);
    if (entry.lots.empty()) {
        return false;
    }
    entry.lots.front().tokens -= 1;
    entry.spent += 1;
    return true;
}

/// Tokens to ask for. Demand that a daemon sees seldom is not worth tokens ahead: they would expire.
double quota_client::wanted(const state& entry, time_point now) {
    const double ahead = demand_at(entry, now) * ahead_s;
    const double needed = static_cast<double>(entry.waiting) + entry.debt;
    const double in_hand = held(entry);
    if (in_hand >= needed + ahead * low_part) {
        return 0;
    }
    return std::max(0.0, std::floor(needed + ahead - in_hand));
}

quota_decision quota_client::on_request(const std::string& tenant, time_point now) {
    const auto found = states_.find(tenant);
    if (found == states_.end()) {
        return {};
    }
    auto& entry = found->second;
    record_demand(entry, now);
    active_.insert(tenant);
    mark(tenant);
    expire(entry, now);
    if (held(entry) >= static_cast<double>(entry.waiting) + 1) {
        (void)take(entry, now);
        return {};
    }
    const bool dry = entry.dry_until && now < *entry.dry_until && !entry.asked;
    const auto credit = std::max(entry.credit_at - now, duration{milliseconds{1}});
    if (dry && (entry.waiting >= max_waiting_dry || credit > max_wait)) {
        return {quota_verdict::refuse, credit};
    }
    if (entry.waiting >= max_waiting) {
        return {quota_verdict::refuse, unknown_wait};
    }
    ++entry.waiting;
    return {quota_verdict::wait, duration{0}};
}

quota_decision quota_client::resume(const std::string& tenant, time_point since, time_point now) {
    const auto found = states_.find(tenant);
    if (found == states_.end()) {
        return {}; // a new configuration has removed the limit
    }
    auto& entry = found->second;
    if (take(entry, now)) {
        on_left(tenant);
        return {};
    }
    const bool dry = entry.dry_until && now < *entry.dry_until;
    const auto left = (dry ? max_wait : max_wait_unanswered) - (now - since);
    const auto credit = std::max(entry.credit_at - now, duration{milliseconds{1}});
    const bool hopeless = dry && !entry.asked && (credit > left || entry.waiting > max_waiting_dry);
    if (left <= duration{0} || hopeless) {
        on_left(tenant);
        return {quota_verdict::refuse, dry ? credit : unknown_wait};
    }
    mark(tenant);
    return {quota_verdict::wait, duration{0}};
}

void quota_client::on_left(const std::string& tenant) {
    const auto found = states_.find(tenant);
    if (found != states_.end() && found->second.waiting > 0) {
        --found->second.waiting;
    }
}

void quota_client::give_back(const std::string& tenant) {
    const auto found = states_.find(tenant);
    if (found != states_.end()) {
        found->second.returned += 1;
        active_.insert(tenant);
        mark(tenant);
    }
}

void quota_client::charge(const std::string& tenant) {
    const auto found = states_.find(tenant);
    if (found != states_.end()) {
        found->second.debt += 1;
        active_.insert(tenant);
        mark(tenant);
    }
}

std::vector<quota_ask> quota_client::take_asks(time_point now) {
    std::vector<quota_ask> result;
    for (const auto& tenant : std::exchange(pending_, {})) {
        auto& entry = states_.at(tenant);
        expire(entry, now);
        const bool dry = entry.dry_until && now < *entry.dry_until;
        const double tokens = entry.asked || dry ? 0 : wanted(entry, now);
        if (tokens < 1 && entry.returned < 1) {
            continue;
        }
        result.push_back(
            {tenant, tokens, std::exchange(entry.spent, 0.0), std::exchange(entry.returned, 0.0)});
        if (tokens >= 1) {
            entry.asked = now;
            active_.insert(tenant);
        }
    }
    return result;
}

void quota_client::on_lease(const quota_lease& lease, time_point asked, time_point now) {
    const auto found = states_.find(lease.tenant);
    if (found == states_.end()) {
        return;
    }
    auto& entry = found->second;
    entry.asked.reset();
    double tokens = lease.tokens;
    const double paid = std::min(tokens, std::floor(entry.debt));
    entry.debt -= paid;
    entry.spent += paid;
    tokens -= paid;
    const auto until = asked + quota_lease_time;
    if (tokens >= 1 && until > now) {
        const auto later = std::find_if(entry.lots.begin(), entry.lots.end(),
                                        [&](const lot& item) { return item.until > until; });
        entry.lots.insert(later, {until, tokens});
    }
    entry.dry_until.reset();
    if (lease.wait > duration{0}) {
        entry.credit_at = now + lease.wait;
        entry.dry_until = now + std::min(lease.wait, max_dry_time);
    }
    active_.insert(lease.tenant);
    if (entry.waiting > 0) {
        mark(lease.tenant);
    }
}

void quota_client::on_unanswered(const std::string& tenant) {
    const auto found = states_.find(tenant);
    if (found != states_.end() && found->second.asked) {
        found->second.asked.reset();
        ++unanswered_;
        mark(tenant);
    }
}

void quota_client::tick(time_point now) {
    std::vector<std::string> idle;
    for (const auto& tenant : active_) {
        auto& entry = states_.at(tenant);
        expire(entry, now);
        if (entry.asked && now - *entry.asked >= answer_timeout) {
            on_unanswered(tenant);
        }
        // What is expected to be used before it expires is kept.
        const double needed = demand_at(entry, now) * std::chrono::duration<double>(return_time).count();
        while (!entry.lots.empty() && entry.waiting == 0 && entry.lots.front().until - now <= return_time &&
               held(entry) > needed) {
            const double given = std::min(entry.lots.front().tokens, std::ceil(held(entry) - needed));
            entry.lots.front().tokens -= given;
            entry.spent += given;
            entry.returned += given;
            expire(entry, now);
            mark(tenant);
        }
        if (entry.waiting > 0 || entry.debt >= 1 || entry.returned >= 1) {
            mark(tenant);
        } else if (entry.lots.empty() && !entry.asked) {
            entry.spent = 0; // the coordinator no longer counts them: all leases have expired
            idle.push_back(tenant);
        }
    }
    for (const auto& tenant : idle) {
        active_.erase(tenant);
    }
}

double quota_client::in_hand(const std::string& tenant, time_point now) const {
    const auto found = states_.find(tenant);
    double result = 0;
    if (found != states_.end()) {
        for (const auto& item : found->second.lots) {
            result += item.until > now ? item.tokens : 0;
        }
    }
    return result;
}

} // namespace endive::tenants
