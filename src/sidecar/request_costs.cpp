#include "sidecar/request_costs.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Number of responses from which a cost is known. Before that the estimate rests on the latency target.
constexpr double min_samples = 3;
/// Bounds of the pace by which a service time is divided.
constexpr double min_pace = 0.05;

duration scaled(duration value, double factor) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(value) * factor);
}

duration assumed_cost(duration latency_target) {
    return scaled(latency_target, mesh::initial_slowness);
}

} // namespace

priced_request endpoint_costs::on_arrival(std::uint64_t id, const call_message& call, double slowness,
                                          time_point now) {
    priced_request result;
    result.key = scheduling::make_cost_key(call.service, call.route, call.method, call.body.size());
    result.cost = costs_.estimate(result.key, assumed_cost(call.latency_target));
    if (result.cost.samples < min_samples) {
        result.cost.mean = call.expected_cost;
    }
    auto counted = result.cost;
    if (counted.mean == duration{0}) {
        counted.mean = slowness > 0 ? scaled(call.latency_target, slowness / std::max(min_pace, pace(now)))
                                    : assumed_cost(call.latency_target);
    }
    work_.add(id, counted);
    return result;
}

void endpoint_costs::on_start(std::uint64_t id, priced_request& request, time_point now) {
    request.pace_at_start = pace(now);
    work_.start(id, now);
}

void endpoint_costs::on_response(const priced_request& request, const call_message& call,
                                 duration service_time, time_point now) {
    pace_.on_response(call.expected_cost, service_time);
    const double mean_pace = std::max(min_pace, pace_.mean_pace(request.pace_at_start, now));
    costs_.record(request.key, assumed_cost(call.latency_target), scaled(service_time, 1 / mean_pace));
}

void endpoint_costs::on_report(const mesh::endpoint_load_report& report, std::uint32_t own, time_point now) {
    foreign_.on_report(report, own, now);
    if (report.pace) {
        pace_.on_report(*report.pace, now);
    }
}

void endpoint_costs::on_replaced() {
    pace_.reset();
    foreign_ = {};
}

std::uint32_t endpoint_costs::usable_slots(std::uint32_t slots, time_point now) const {
    return slots - std::min(slots, foreign_.count(now));
}

scheduling::cost_estimate caller_costs::estimate(const scheduling::cost_key& key,
                                                 duration latency_target) const {
    auto result = costs_.estimate(key, assumed_cost(latency_target));
    if (result.samples < min_samples) {
        result.mean = duration{0};
    }
    return result;
}

void caller_costs::on_reply(const scheduling::cost_key& key, duration latency_target,
                            const reply_message& reply) {
    if (reply.service_time > duration{0}) {
        costs_.record(key, assumed_cost(latency_target),
                      scaled(reply.service_time, 1 / std::max(min_pace, reply.load.pace)));
    }
}

} // namespace endive::sidecar
