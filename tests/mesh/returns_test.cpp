#include "endive/mesh.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

} // namespace

// Guards against callers who ignore the time that they were told and go before those who keep to it.
TEST_CASE("only callers who come back no earlier than told may use a reservation") {
    return_tracker tracker;
    const auto deadline = start + 2s;
    const auto earlier_of = [&](time_point due, time_point now) {
        tracker.on_refused(1, deadline, {1, start, due}, start);
        return *tracker.on_arrival("r", 1, deadline, now);
    };
    CHECK(return_tracker::is_on_time(earlier_of(start + 300ms, start + 295ms), start + 295ms));
    CHECK(return_tracker::is_on_time(earlier_of(start + 300ms, start + 600ms), start + 600ms));
    CHECK_FALSE(return_tracker::is_on_time(earlier_of(start + 300ms, start + 200ms), start + 200ms));
    // Told a time that is of no use to the caller.
    CHECK_FALSE(return_tracker::is_on_time(earlier_of(time_point::max(), start + 600ms), start + 600ms));
    CHECK(tracker.missed() == 0);
    tracker.on_refused(2, deadline, {1, start, start + 300ms}, start);
    tracker.on_refused(3, deadline, {1, start}, start);
    tracker.on_refused(4, start + 9s, {1, start, start + 5s}, start + 3s);
    CHECK(tracker.missed() == 1);
}

// Load pattern: one tenant floods an endpoint. Guards against a daemon that does not send another tenant's
// requests there, nor those of callers who have a reservation, because the flood was refused.
TEST_CASE("a remembered refusal holds for its tenant and not for callers with a reservation") {
    refusal_cache cache;
    const admission_criteria flood{1, 400ms, 900ms, 0ms, 7};
    cache.on_refused(flood, 250ms, start);
    CHECK(cache.expected_refusal(flood, start + 10ms) == 250ms);
    auto other = flood;
    other.tenant = 8;
    CHECK_FALSE(cache.expected_refusal(other, start + 10ms));
    auto returned = flood;
    returned.returned = true;
    CHECK_FALSE(cache.expected_refusal(returned, start + 10ms));
    cache.on_refused(returned, 100ms, start + 20ms);
    CHECK(cache.expected_refusal(returned, start + 30ms) == 100ms);
    CHECK(cache.expected_refusal(flood, start + 30ms) == 250ms);
}
