#include "mesh/gate_parts.h"

#include <algorithm>
#include <cmath>

namespace endive::mesh {
namespace {

/// Weight of the latest response in the moving averages, which cover about the last 20 responses.
constexpr double average_weight = 0.05;
/// A response in less than this share of the expected time weighs less, by the square of the ratio. Short
/// requests occupy the slots for little time, but may be frequent: each new configuration is checked on all
/// daemons by requests on its new routes, which the endpoint answers in a few milliseconds.
constexpr double full_weight_ratio = 0.1;
/// Assumed service time before the first response.
constexpr duration initial_service_time = milliseconds{100};
/// Time constant of the average arrival rate, in seconds.
constexpr double rate_window_s = 2.5;
/// Weight of the latest response in the long-term average from which the load is computed.
constexpr double load_average_weight = 0.01;
/// Maximum number of queued requests of one endpoint: a longer queue uses more memory and its requests would
/// miss their deadlines.
constexpr std::size_t max_queued = 1024;
} // namespace

duration endpoint_gate::typical_service_time() const {
    return service_time_ > duration{0} ? service_time_ : initial_service_time;
}

duration endpoint_gate::expected_service_time(duration latency_target) const {
    return scaled(latency_target, slowness_ > 0 ? slowness_ : initial_slowness);
}

duration endpoint_gate::expected_service_time(const gate_request& request) const {
    return request.expected_cost > duration{0} ? scaled(request.expected_cost, pace_)
                                               : expected_service_time(request.latency_target);
}

duration endpoint_gate::expected_wait(std::size_t position) const {
    if (running_.size() < slots_) {
        return duration{0};
    }
    return typical_service_time() * static_cast<duration::rep>(position + 1) / std::max(1U, slots_);
}

void endpoint_gate::count_arrival(const gate_request& request, time_point now) {
    auto& rate = arrivals_[std::min(request.priority, max_levels)];
    const double elapsed = std::chrono::duration<double>(now - rate.last).count();
    rate = {rate.per_second * std::exp(-elapsed / rate_window_s) + 1.0 / rate_window_s, now};
    last_arrival_ = now;
    if (request.returned) {
        reservations_.on_return(now);
    }
}

double endpoint_gate::offered_load(std::uint32_t priority) const {
    double rate = 0;
    for (const auto& [level, arrivals] : arrivals_) {
        if (level <= priority) {
            const double elapsed = std::chrono::duration<double>(last_arrival_ - arrivals.last).count();
            rate += arrivals.per_second * std::exp(-elapsed / rate_window_s);
        }
    }
    return rate * std::chrono::duration<double>(long_term_service_time_).count() / std::max(1U, slots_);
}

std::vector<gate_action> endpoint_gate::set_ready(bool ready, time_point now) {
    std::vector<gate_action> out;
    ready_ = ready;
    if (ready) {
        start_waiting(out, now);
        return out;
    }
    for (const auto& waiting : queue_) {
        out.push_back({waiting.ticket, gate_verdict::refused, duration{0}});
    }
    queue_.clear();
    return out;
}

std::vector<gate_action> endpoint_gate::offer(const gate_request& request, time_point now) {
    std::vector<gate_action> out;
    const bool slot_free = running_.size() < slots_ && queue_.empty();
    if (ready_ && request.only_if_free && !slot_free) {
        out.push_back({request.ticket, gate_verdict::busy, duration{0}});
        return out;
    }
    count_arrival(request, now);
    const bool full = queue_.size() >= max_queued;
    if (!ready_ || request.deadline <= now || (full && !make_room(request, out, now))) {
        refuse(request, out, now);
        return out;
    }
    if (slot_free) {
        run(request, out);
        return out;
    }
    queue_.push_back(request);
    start_waiting(out, now);
    refuse_infeasible(out, now);
    const bool decided = std::any_of(
        out.begin(), out.end(), [&](const gate_action& action) { return action.ticket == request.ticket; });
    if (!decided) {
        out.push_back({request.ticket, gate_verdict::queued, duration{0}});
    }
    return out;
}

std::vector<gate_action> endpoint_gate::finish(std::uint64_t ticket, std::optional<duration> service_time,
                                               time_point now) {
    std::vector<gate_action> out;
    const auto found = running_.find(ticket);
    if (found == running_.end()) {
        return out;
    }
    if (service_time) {
        record_service_time(*service_time, found->second);
    }
    running_.erase(found);
    start_waiting(out, now);
    return out;
}

void endpoint_gate::record_service_time(duration service_time, duration latency_target) {
    if (service_time_ == duration{0}) {
        service_time_ = latency_target > duration{0} ? expected_service_time(latency_target) : service_time;
        long_term_service_time_ = service_time_;
        slowness_ = initial_slowness;
    }
    const double ratio = latency_target > duration{0} ? static_cast<double>(service_time.count()) /
                                                            static_cast<double>(latency_target.count())
                                                      : slowness_;
    const double significance = std::min(1.0, std::pow(ratio / (full_weight_ratio * slowness_), 2.0));
    // The first response of full weight replaces the initial estimate.
    const double weight = significance * std::max(average_weight, 1.0 - responses_);
    service_time_ += scaled(service_time - service_time_, weight);
    slowness_ += (ratio - slowness_) * weight;
    // All responses count equally here, since the load is computed from the rate of all arrivals.
    const double load_weight = responses_ < 1 ? weight : load_average_weight;
    long_term_service_time_ += scaled(service_time - long_term_service_time_, load_weight);
    responses_ += significance;
}

bool endpoint_gate::remove(std::uint64_t ticket) {
    return std::erase_if(queue_, [&](const gate_request& waiting) { return waiting.ticket == ticket; }) > 0;
}

std::vector<gate_action> endpoint_gate::advance(time_point now) {
    std::vector<gate_action> out;
    start_waiting(out, now);
    refuse_infeasible(out, now);
    return out;
}

endpoint_load endpoint_gate::load() const {
    return {static_cast<std::uint32_t>(running_.size() + queue_.size()), slots_, service_time_, slowness_,
            ready_};
}

} // namespace endive::mesh
