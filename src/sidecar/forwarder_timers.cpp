// Work of the forwarder that time causes: second attempts and deadlines.

#include "sidecar/active_request.h"

namespace endive::sidecar {

bool forwarder::needs_replacement(const active_request& item, time_point now) const {
    return !item.calls.empty() && item.route->kind == mesh::request_kind::safe &&
           !item.has_responsive_call(now) && now >= item.next_replacement && item.refusals < max_refusals;
}

void forwarder::replace_suspect_attempts(time_point now) {
    std::vector<std::shared_ptr<active_request>> waiting;
    for (const auto& item : open_) {
        if (needs_replacement(*item, now)) {
            waiting.push_back(item);
        }
    }
    for (const auto& item : waiting) {
        // An earlier iteration may have ended this request or replaced its attempt.
        if (!needs_replacement(*item, now)) {
            continue;
        }
        item->next_replacement = now + default_retry_after;
        auto options = options_for(*item);
        remove_full(options, *item, now);
        const bool other_available =
            std::any_of(options.begin(), options.end(),
                        [](const endpoint_option& entry) { return entry.facts.failures < suspect_failures; });
        if (!other_available || !take_retry(*item)) {
            continue;
        }
        // The first attempt stays open: it may be running, and the others may all refuse the request.
        item->attempts[item->calls.back().attempt].why = mesh::reason::peer_silent;
        counters_.add("retry_peer_silent");
        attempt(item);
    }
}

/// True when the only attempt of a safe request takes so long that a second endpoint may answer sooner.
bool forwarder::is_overdue(const active_request& item, time_point now) const {
    return !item.hedged && item.calls.size() == 1 && item.route->kind == mesh::request_kind::safe &&
           mesh::is_overdue(now - item.attempts[item.calls.front().attempt].sent, item.route->latency_target);
}

/// Sends overdue requests to a second endpoint that has a free slot, as long as the retry budget is hardly
/// used.
void forwarder::hedge_overdue_attempts(time_point now) {
    std::vector<std::shared_ptr<active_request>> overdue;
    for (const auto& item : open_) {
        if (is_overdue(*item, now)) {
            overdue.push_back(item);
        }
    }
    for (const auto& item : overdue) {
        const bool time_left = now + item->route->latency_target / 4 < item->deadline;
        const bool allowed = time_left && item->attempts_used() < item->route->max_attempts;
        if (!is_overdue(*item, now) || !allowed || options_for(*item).empty() ||
            !retry_budget_for(item->service).take_spare()) {
            continue;
        }
        item->hedged = true;
        counters_.add("hedged");
        attempt(item, true);
    }
}
void forwarder::tick(time_point now) {
    replace_suspect_attempts(now);
    hedge_overdue_attempts(now);
    std::vector<std::shared_ptr<active_request>> expired;
    for (const auto& item : open_) {
        if (item->route != nullptr && item->deadline <= now) {
            expired.push_back(item);
        }
    }
    for (const auto& item : expired) {
        if (item->caller->finished()) {
            release(item);
        } else {
            end_unanswered(item, status_gateway_timeout, mesh::reason::timed_out);
        }
    }
}

} // namespace endive::sidecar
