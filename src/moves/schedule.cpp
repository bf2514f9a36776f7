#include "moves/schedule.h"

#include <algorithm>

namespace endive::moves {

namespace {

constexpr std::size_t step_count = ramp_shares.size(); // canary, 5, 25 and 50%

// Target evidence: enough to detect a version that fails 3% of its requests with about 14 nats by the end of
// the 50% step, and one that fails half of its requests during the canary.
constexpr std::array<double, step_count> target_requests{100, 250, 600, 1200};
// Minimum evidence: required at each step even when the deadline is close.
constexpr std::array<double, step_count> min_requests{30, 60, 120, 200};
// Reports take 1 to 3 s to reach the owner, so a shorter step would be judged by traffic of the previous one.
constexpr std::array<double, step_count> min_seconds{6, 5, 5, 5};
// Fraction of the remaining time that the schedule may use; the rest covers slow reports, a change of owner
// and retries.
constexpr double usable_time_fraction = 0.7;
constexpr double reserve_seconds = 15;

step_requirement requirement_of(std::size_t step, double scale) {
    return {std::max(min_requests[step], target_requests[step] * scale), min_seconds[step]};
}

/// Time in seconds from the current state of the move to 100%, at the given factor on the target evidence.
double predict_seconds(const schedule_input& input, double scale) {
    double sum = 0;
    for (std::size_t step = input.step; step < step_count; ++step) {
        auto requirement = requirement_of(step, scale);
        if (step == input.step) {
            requirement.requests = std::max(0.0, requirement.requests - input.step_requests);
            requirement.seconds = std::max(0.0, requirement.seconds - input.step_seconds);
        }
        const double rate = std::max(input.rate * share_of_step(step, input.canary_share), 1e-6);
        sum += std::max(requirement.seconds, requirement.requests / rate);
    }
    return sum;
}

} // namespace

double share_of_step(std::size_t step, double canary_share) {
    return step == 0 ? canary_share : ramp_shares.at(step - 1);
}

schedule_result plan(const schedule_input& input) {
    constexpr int steps = 12;
    const double usable = std::max(0.0, (input.seconds_left - reserve_seconds) * usable_time_fraction);
    schedule_result result;
    result.scale = 0;
    for (int i = steps; i > 0; --i) {
        const double scale = input.caution * i / steps;
        if (predict_seconds(input, scale) <= usable) {
            result.scale = scale;
            break;
        }
    }
    result.requirement = requirement_of(input.step, result.scale);
    result.min_seconds = predict_seconds(input, 0);
    result.feasible = result.min_seconds <= input.seconds_left;
    return result;
}

} // namespace endive::moves
