// Load pattern: endpoints of one service lose the answers of a part of their runs, or turn twelve times
// slower, for some seconds. Simulated runs, no network.

#include "endive/mesh.h"

#include <catch2/catch.hpp>

#include <random>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

constexpr auto target = 1500ms;
constexpr double ratio = 0.2 * 0.8;

struct result {
    double on_time = 0; ///< share of all requests
    double hedged = 0;
};

/// Requests of one daemon, with a share of runs that never answer.
result play(double lost_share, bool hedges) {
    std::mt19937_64 random{5};
    std::lognormal_distribution<double> spread{-0.125, 0.5};
    std::uniform_real_distribution<double> chance;
    const auto run_time = [&] {
        const auto time = std::chrono::duration<double, std::milli>(480.0 * spread(random));
        return chance(random) < lost_share ? duration::max() : std::chrono::duration_cast<duration>(time);
    };
    // Elapsed times are checked in steps of the daemon's tick.
    duration hedge_after{0};
    while (!is_overdue(hedge_after, target)) {
        hedge_after += 20ms;
    }
    retry_budget budget{ratio, 2};
    constexpr int requests = 20'000;
    int on_time = 0;
    int hedged = 0;
    for (int i = 0; i < requests; ++i) {
        budget.on_request();
        auto answered = run_time();
        if (hedges && answered > hedge_after && budget.take_spare()) {
            ++hedged;
            const auto second = run_time();
            answered = second == duration::max() ? answered : std::min(answered, hedge_after + second);
        }
        on_time += answered <= target ? 1 : 0;
    }
    return {on_time / double(requests), hedged / double(requests)};
}

} // namespace

// Guards against requests that wait until their route's time is over for an answer that is lost.
TEST_CASE("requests whose answers are lost are answered in time by a second endpoint") {
    const auto single = play(0.1, false);
    const auto hedged = play(0.1, true);
    CAPTURE(single.on_time, hedged.on_time, hedged.hedged);
    CHECK(hedged.on_time > single.on_time + 0.03);
    CHECK(hedged.hedged <= ratio);
}

// Guards against second runs that cost more than they bring while the endpoints are well.
TEST_CASE("few requests are sent to a second endpoint while all answer") {
    const auto result = play(0.0, true);
    CAPTURE(result.on_time, result.hedged);
    CHECK(result.hedged < 0.1);
}

TEST_CASE("requests to second endpoints leave half of the retry budget to failures") {
    retry_budget budget{0.2, 4};
    int hedged = 0;
    while (budget.take_spare()) {
        ++hedged;
    }
    CHECK(hedged == 2);
    CHECK(budget.take());
    CHECK(budget.take());
    CHECK_FALSE(budget.take());
}
