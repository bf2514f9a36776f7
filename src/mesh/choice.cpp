#include "endive/mesh.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace endive::mesh {
namespace {

/// Costs are equal when they differ by less than this; the draw spreads load between them.
constexpr double tie_cost = 0.01;
/// A place at another daemon costs a round trip in the domain and two passes through event loops.
constexpr duration remote_time = std::chrono::microseconds{600};
constexpr duration domain_time = milliseconds{2};
/// Cost of a crossing to another failure domain, as a probability of being late that is accepted instead:
/// bytes between domains are paid for.
constexpr double domain_cost = 0.2;
/// The same for each byte of the request's body: 60 KB weigh as much as a late answer.
constexpr double domain_cost_per_byte = 1.0 / (60.0 * 1024);
/// Extra time for each failure in a row, so that a failing endpoint is tried when the others are busy.
constexpr duration failure_time = milliseconds{150};
constexpr std::uint32_t max_counted_failures = 8;
/// Endpoints slow down as they fill; at full load by about this share.
constexpr double fill_slowdown = 0.6;
/// Work times spread log-normally; this is the spread of their logarithm.
constexpr double work_spread = 0.5;
/// Weight of the time itself beside the risk of being late: of two places without risk the faster is better.
constexpr double time_weight = 0.05;

/// A refusal speaks for this long. An endpoint that refuses has its slots and its queue full for longer: its
/// refusals tell callers to return after a second and more (Granite Hearth, two of three endpoints gone).
constexpr duration refusal_lifetime = milliseconds{150};
/// Requests of one kind differ by this much in their time without a difference in their chances.
constexpr duration similar_time = milliseconds{20};

/// Probability that a request with this expected time misses its target.
double late_probability(double expected_share) {
    if (expected_share <= 0) {
        return 0;
    }
    const double deviations = (std::log(expected_share) + work_spread * work_spread / 2) / work_spread;
    return 0.5 * std::erfc(-deviations / std::numbers::sqrt2);
}

} // namespace

duration expected_time(const candidate& option, const choice_request& request) {
    const double slots = std::max(1U, option.load.slots);
    const double outstanding = option.load.outstanding + option.sent_since_load;
    const double fill = std::min(1.0, outstanding / slots);
    const double slowness = option.load.slowness > 0 ? option.load.slowness : initial_slowness;
    const auto run = std::chrono::duration<double, std::nano>(request.latency_target) * slowness *
                     (1.0 + fill_slowdown * fill * fill);
    const double ahead = std::max(0.0, outstanding + 1 - slots);
    const auto typical = option.load.service_time > duration{0}
                             ? std::chrono::duration<double, std::nano>(option.load.service_time)
                             : run;
    auto total = std::chrono::duration_cast<duration>(run + typical * (ahead / slots));
    if (!option.local) {
        total += option.same_domain ? remote_time : remote_time + domain_time;
    }
    return total + failure_time * std::min(option.failures, max_counted_failures);
}

double choice_cost(const candidate& option, const choice_request& request) {
    const double target = std::max(1.0, static_cast<double>(request.latency_target.count()));
    const double share = static_cast<double>(expected_time(option, request).count()) / target;
    double cost = late_probability(share) + time_weight * share;
    if (!option.local && !option.same_domain) {
        cost += domain_cost + domain_cost_per_byte * static_cast<double>(request.body_bytes);
    }
    return cost;
}

void refusal_cache::on_refused(const admission_criteria& request, duration retry_after, time_point now) {
    std::erase_if(refusals_, [&](const refusal& entry) {
        const bool same_kind = entry.request.priority == request.priority &&
                               entry.request.latency_target == request.latency_target;
        return same_kind || now - entry.at > refusal_lifetime;
    });
    refusals_.push_back({request, retry_after, now});
}

std::optional<duration> refusal_cache::expected_refusal(const admission_criteria& request,
                                                        time_point now) const {
    for (const auto& [refused, retry_after, at] : refusals_) {
        const bool no_more_urgent =
            request.priority >= refused.priority && request.latency_target >= refused.latency_target;
        const bool no_more_time = request.remaining <= refused.remaining + similar_time &&
                                  request.waited + similar_time >= refused.waited;
        if (now - at <= refusal_lifetime && no_more_urgent && no_more_time) {
            return retry_after;
        }
    }
    return std::nullopt;
}

std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates,
                                           const choice_request& request, std::uint64_t random) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const auto& option : candidates) {
        costs.push_back(choice_cost(option, request));
    }
    const double limit = *std::min_element(costs.begin(), costs.end()) + tie_cost;
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < costs.size(); ++i) {
        if (costs[i] <= limit) {
            best.push_back(i);
        }
    }
    return best[random % best.size()];
}

} // namespace endive::mesh
