#include "moves/schedule.h"

#include <algorithm>

namespace endive::moves {

namespace {

constexpr std::size_t step_count = ramp_shares.size(); // canary, 5, 25 and 50%

// Wanted evidence: what shows a version that fails 3% of requests at odds of about 14 nats by the end of the
// 50% step, and one that fails half of them within the canary.
constexpr std::array<double, step_count> wanted_requests{100, 250, 600, 1200};
// Least evidence: no step goes below it, however close the deadline is.
constexpr std::array<double, step_count> least_requests{30, 60, 120, 200};
// Reports need 1 to 3 s to reach the owner, so a shorter stay would judge traffic of the step before.
constexpr std::array<double, step_count> least_seconds{6, 5, 5, 5};
// Part of the time left that the plan may use; the rest absorbs slow reports, a change of owner and retries.
constexpr double usable_time = 0.7;
constexpr double reserve_seconds = 15;

step_needs needs_of(std::size_t step, double scale) {
    return {std::max(least_requests[step], wanted_requests[step] * scale), least_seconds[step]};
}

double predict(const schedule_input& input, double scale) {
    double sum = 0;
    for (std::size_t step = input.step; step < step_count; ++step) {
        auto needs = needs_of(step, scale);
        if (step == input.step) {
            needs.requests = std::max(0.0, needs.requests - input.requests_here);
            needs.seconds = std::max(0.0, needs.seconds - input.seconds_here);
        }
        const double rate = std::max(input.rate * share_of_step(step, input.canary_share), 1e-6);
        sum += std::max(needs.seconds, needs.requests / rate);
    }
    return sum;
}

} // namespace

double share_of_step(std::size_t step, double canary_share) {
    return step == 0 ? canary_share : ramp_shares.at(step - 1);
}

schedule_result plan(const schedule_input& input) {
    constexpr int steps = 12;
    const double usable = std::max(0.0, (input.seconds_left - reserve_seconds) * usable_time);
    schedule_result result;
    result.scale = 0;
    for (int i = steps; i > 0; --i) {
        const double scale = input.caution * i / steps;
        if (predict(input, scale) <= usable) {
            result.scale = scale;
            break;
        }
    }
    result.needs = needs_of(input.step, result.scale);
    result.least_seconds = predict(input, 0);
    result.feasible = result.least_seconds <= input.seconds_left;
    return result;
}

} // namespace endive::moves
