#pragma once
/// Share schedule: how much evidence each step needs, given the time left and the traffic.

#include <array>
#include <cstddef>

namespace endive::moves {

/// Shares after the canary.
inline constexpr std::array<double, 4> ramp_shares{0.05, 0.25, 0.5, 1.0};

struct step_needs {
    double requests = 0; ///< warm requests to the new version at this share
    double seconds = 0;  ///< shortest stay at this share
};

struct schedule_input {
    std::size_t step = 0;       ///< 0: canary, 1 to 3: index into `ramp_shares` plus one
    double canary_share = 0.01; ///< average over the route classes
    double rate = 0;            ///< requests a second to the service, both versions
    double seconds_left = 0;    ///< until the deadline
    double requests_here = 0;   ///< warm requests to the new version at this step
    double seconds_here = 0;
    double caution = 1;
};

struct schedule_result {
    step_needs needs;         ///< of this step
    double scale = 1;         ///< factor on the wanted evidence that meets the deadline
    bool feasible = true;     ///< even the least evidence fits before the deadline
    double least_seconds = 0; ///< time to 100% with the least evidence
};

/// Share of step `step`; step 0 is the canary.
[[nodiscard]] double share_of_step(std::size_t step, double canary_share);
[[nodiscard]] schedule_result plan(const schedule_input& input);

} // namespace endive::moves
