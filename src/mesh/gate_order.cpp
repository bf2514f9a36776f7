// The order in which queued requests start and are refused.

#include "mesh/gate_parts.h"

#include <algorithm>
#include <tuple>

namespace endive::mesh {
namespace {

/// A request starts only if this share of its expected service time fits before its deadline: service times
/// vary, and some are well below the average.
constexpr double min_feasible_share = 0.6;
/// A request counts as on time while this multiple of its expected service time fits before its target: one
/// request in ten takes longer. It counts as late when not even `min_feasible_share` of the expected time
/// fits.
constexpr double on_time_factor = 1.7;
/// Requests that yield to on-time ones wait about 1 / (1 - load) times as long. Below the overload threshold
/// they are served after the current burst, so the factor is bounded.
constexpr double max_yield_factor = 4.0;
/// Above this load, which exceeds 1 by more than the estimation error, there is no pause in which yielding
/// requests could be served.
constexpr double overload_threshold = 1.1;
constexpr double overload_yield_factor = 30.0;
/// Factor of the wait of a request whose caller came back as told: a second refusal is worse for callers than
/// a late response, so it stays queued until it can no longer finish in time.
constexpr double returned_yield_factor = 2.0;
/// Share of the slots that is promised to refused callers; the rest is for first attempts.
constexpr double reservable_share = 0.5;

/// Requests that arrive in the meantime overtake queued ones that are expected to be later, which therefore
/// get only the remaining share of the slots. Less urgent requests do not overtake, so `load` is without
/// them.
double yield_factor_at(double load) {
    return load > overload_threshold ? overload_yield_factor
                                     : 1.0 / std::max(1.0 - load, 1.0 / max_yield_factor);
}

} // namespace

endpoint_gate::lateness endpoint_gate::lateness_of(const gate_request& request, time_point now) const {
    const auto service_time = expected_service_time(request);
    if (now + scaled(service_time, on_time_factor) <= request.target) {
        return lateness::on_time;
    }
    return now + scaled(service_time, min_feasible_share) <= request.target ? lateness::uncertain
                                                                            : lateness::late;
}

bool endpoint_gate::goes_before(const gate_request& a, const gate_request& b, time_point now) const {
    const auto late_a = lateness_of(a, now);
    const auto late_b = lateness_of(b, now);
    const bool first_a = !a.returned;
    const bool first_b = !b.returned;
    return std::tie(a.priority, late_a, first_a, a.target, a.ticket) <
           std::tie(b.priority, late_b, first_b, b.target, b.ticket);
}

fairness::fair_shares& endpoint_gate::shares_of(std::uint32_t priority) {
    return shares_[std::min(priority, max_levels)];
}

bool endpoint_gate::has_several_tenants() const {
    return std::any_of(queue_.begin(), queue_.end(),
                       [&](const gate_request& waiting) { return waiting.tenant != queue_.front().tenant; });
}

std::vector<gate_request> endpoint_gate::ordered_queue(time_point now) {
    auto queue = queue_;
    std::sort(queue.begin(), queue.end(),
              [&](const gate_request& a, const gate_request& b) { return goes_before(a, b, now); });
    if (!has_several_tenants()) {
        return queue;
    }
    std::vector<gate_request> result;
    result.reserve(queue.size());
    std::vector<fairness::waiting_request> level;
    for (auto begin = queue.begin(); begin != queue.end();) {
        const auto end = std::find_if(begin, queue.end(), [&](const gate_request& waiting) {
            return waiting.priority != begin->priority;
        });
        level.clear();
        std::transform(begin, end, std::back_inserter(level), [&](const gate_request& waiting) {
            return fairness::waiting_request{waiting.tenant, expected_service_time(waiting)};
        });
        for (const auto index : shares_of(begin->priority).order(level)) {
            result.push_back(*(begin + static_cast<std::ptrdiff_t>(index)));
        }
        // Requests that can still be on time go first, also those of other tenants: a late response is worth
        // less to its caller. The fair order of each tenant's requests stays as it is.
        std::stable_sort(result.end() - (end - begin), result.end(),
                         [&](const gate_request& a, const gate_request& b) {
                             return lateness_of(a, now) < lateness_of(b, now);
                         });
        begin = end;
    }
    return result;
}

std::vector<gate_request>::iterator endpoint_gate::next_waiting(time_point now) {
    const bool several = has_several_tenants();
    return std::min_element(queue_.begin(), queue_.end(), [&](const gate_request& a, const gate_request& b) {
        if (!several || a.tenant == b.tenant) {
            return goes_before(a, b, now);
        }
        const auto late_a = lateness_of(a, now);
        const auto late_b = lateness_of(b, now);
        if (a.priority != b.priority || late_a != late_b) {
            return std::tie(a.priority, late_a) < std::tie(b.priority, late_b);
        }
        const auto& shares = shares_of(a.priority);
        const double tag_a = shares.start_tag(a.tenant);
        const double tag_b = shares.start_tag(b.tenant);
        return tag_a != tag_b ? tag_a < tag_b : goes_before(a, b, now);
    });
}

/// The queue is full: makes room for `request` if another tenant's request would start last.
bool endpoint_gate::make_room(const gate_request& request, std::vector<gate_action>& out, time_point now) {
    queue_.push_back(request);
    const auto last = ordered_queue(now).back();
    queue_.pop_back();
    if (last.tenant == request.tenant) {
        return false;
    }
    remove(last.ticket);
    refuse(last, out, now);
    return true;
}

void endpoint_gate::refuse(const gate_request& request, std::vector<gate_action>& out, time_point now) {
    const auto earliest = std::max(min_retry_after, expected_wait(queue_.size()));
    const auto again =
        reservations_.reserve(expected_service_time(request), earliest, (request.deadline - now) / 3,
                              reservable_share * std::max(1U, slots_), now);
    out.push_back({request.ticket, gate_verdict::refused, again.wait, again.held});
}

void endpoint_gate::run(const gate_request& request, std::vector<gate_action>& out) {
    running_[request.ticket] = request.latency_target;
    shares_of(request.priority).on_start(request.tenant, expected_service_time(request));
    out.push_back({request.ticket, gate_verdict::start, duration{0}});
}

void endpoint_gate::start_waiting(std::vector<gate_action>& out, time_point now) {
    while (ready_ && running_.size() < slots_ && !queue_.empty()) {
        const auto next = next_waiting(now);
        const auto request = *next;
        queue_.erase(next);
        if (now + scaled(expected_service_time(request), min_feasible_share) > request.deadline) {
            refuse(request, out, now);
            continue;
        }
        run(request, out);
    }
}

void endpoint_gate::refuse_infeasible(std::vector<gate_action>& out, time_point now) {
    if (queue_.empty()) {
        return;
    }
    const auto order = ordered_queue(now);
    auto level = order.front().priority;
    double yield_factor = yield_factor_at(offered_load(level));
    std::size_t position = 0;
    for (const auto& waiting : order) {
        const auto wait = expected_wait(position);
        auto arrival = waiting;
        arrival.target = now + waiting.latency_target;
        const bool yields = lateness_of(waiting, now + wait) > lateness_of(arrival, now);
        if (waiting.priority != level) {
            level = waiting.priority;
            yield_factor = yield_factor_at(offered_load(level));
        }
        const double factor = waiting.returned ? std::min(yield_factor, returned_yield_factor) : yield_factor;
        const auto start = now + (yields ? scaled(wait, factor) : wait);
        if (start + scaled(expected_service_time(waiting), min_feasible_share) > waiting.deadline) {
            remove(waiting.ticket);
            refuse(waiting, out, now);
        } else {
            ++position;
        }
    }
}

} // namespace endive::mesh
