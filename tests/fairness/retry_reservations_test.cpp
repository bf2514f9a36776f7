#include "endive/fairness.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::fairness;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};
constexpr double free_slots = 6;

} // namespace

// Load pattern: 100 callers are refused at the same moment. Guards against callers who are all told the same
// time and come back together.
TEST_CASE("callers refused together come back one after the other, no faster than there is room") {
    retry_reservations reservations;
    std::vector<duration> waits;
    for (int i = 0; i < 100; ++i) {
        const auto given = reservations.reserve(100ms, 50ms, 10s, free_slots, start);
        REQUIRE(given.held);
        waits.push_back(given.wait);
    }
    CHECK(std::is_sorted(waits.begin(), waits.end()));
    CHECK(waits.front() >= 50ms);
    // Half of the reservations are expected to be used: 5 s of work take 0.83 s on 6 slots.
    CHECK(waits.back() > 750ms);
    CHECK(waits.back() < 1000ms);
    for (std::size_t i = 10; i < waits.size(); ++i) {
        CHECK(waits[i] - waits[i - 10] >= 30ms);
    }
}

// Load pattern: callers with 600 ms left at an endpoint whose next second is promised. Guards against a
// promise for a time at which the caller is gone.
TEST_CASE("without room in a third of the caller's time nothing is reserved and the time told is true") {
    retry_reservations reservations;
    for (int i = 0; i < 100; ++i) {
        (void)reservations.reserve(100ms, 50ms, 10s, free_slots, start);
    }
    const auto late = reservations.reserve(100ms, 50ms, 200ms, free_slots, start);
    CHECK_FALSE(late.held);
    CHECK(late.wait > 750ms);
    CHECK(reservations.reserve(100ms, 50ms, 200ms, free_slots, start) == late);
}

// Load pattern: a long overload in which all refused callers come back. Guards against promises for twice the
// room because callers were once rare to come back.
TEST_CASE("reservations count by the share of callers who come back") {
    retry_reservations reservations;
    auto now = start;
    for (int i = 0; i < 400; ++i, now += 20ms) {
        if (reservations.reserve(100ms, 40ms, 60ms, free_slots, now).held) {
            reservations.on_return(now + 50ms);
        }
    }
    CHECK(reservations.used_share() > 0.85);
    for (int i = 0; i < 400; ++i, now += 20ms) {
        (void)reservations.reserve(100ms, 40ms, 60ms, free_slots, now);
    }
    CHECK(reservations.used_share() < 0.3);
    // Nothing is left of promises that have passed.
    CHECK(reservations.reserve(100ms, 40ms, 60ms, free_slots, now + 60s).wait == 40ms);
}

// Load pattern: many callers refused within 150 ms because of one refusal that a daemon remembers.
TEST_CASE("callers refused because of one earlier refusal are spread over their useful time") {
    constexpr int count = 64;
    std::vector<duration> waits;
    for (std::uint64_t i = 0; i < count; ++i) {
        waits.push_back(spread_wait(100ms, 740ms, i << 58U));
    }
    for (std::size_t i = 1; i < waits.size(); ++i) {
        CHECK(waits[i] - waits[i - 1] == 10ms);
    }
    CHECK(waits.front() == 100ms);
    CHECK(spread_wait(900ms, 740ms, 1U << 31U) == 900ms);
}
