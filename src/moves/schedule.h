#pragma once
/// Ramp schedule: the evidence required at each step, given the time to the deadline and the request rate.

#include <array>
#include <cstddef>

namespace endive::moves {

/// Traffic shares of the steps after the canary.
inline constexpr std::array<double, 4> ramp_shares{0.05, 0.25, 0.5, 1.0};

struct step_requirement {
    double requests = 0; ///< warm requests to the new version at this share
    double seconds = 0;  ///< minimum duration of the step
};

struct schedule_input {
    std::size_t step = 0;       ///< 0: canary, 1 to 3: index into `ramp_shares` plus one
    double canary_share = 0.01; ///< average of idempotent and non-idempotent routes
    double rate = 0;            ///< requests per second to the service, both versions
    double seconds_left = 0;    ///< until the deadline
    double step_requests = 0;   ///< warm requests to the new version since the step began
    double step_seconds = 0;    ///< since the step began
    double caution = 1;         ///< upper bound of `scale`
};

struct schedule_result {
    step_requirement requirement; ///< of the current step
    double scale = 1;             ///< factor on the target evidence with which the move meets the deadline
    bool feasible = true;         ///< the minimum evidence can be collected before the deadline
    double min_seconds = 0;       ///< time to 100% with the minimum evidence
};

/// Traffic share of step `step`; step 0 is the canary.
[[nodiscard]] double share_of_step(std::size_t step, double canary_share);
[[nodiscard]] schedule_result plan(const schedule_input& input);

} // namespace endive::moves
