#include "endive/mesh.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};
const rollout_order order{"svc", "v2", 16s};

version_evidence counters(std::string version, std::string route, std::uint64_t answered,
                          std::uint64_t failed, milliseconds latency) {
    return {"svc",
            std::move(version),
            std::move(route),
            answered,
            failed,
            answered * static_cast<std::uint64_t>(latency.count()) * 1000};
}

void report(rollout& current, std::vector<version_evidence> values) {
    current.on_evidence("d", 1, values);
}

} // namespace

TEST_CASE("a good version receives all traffic before the deadline") {
    rollout current{order, {}, start};
    report(current, {counters("v1", "r", 100, 0, 100ms)});
    current.advance(start + 100ms, true);
    CHECK(current.traffic_share() > 0);
    CHECK(current.traffic_share() <= 0.1);
    report(current, {counters("v1", "r", 1000, 4, 100ms), counters("v2", "r", 60, 0, 110ms)});
    current.advance(start + 8s, true);
    CHECK(current.traffic_share() < 1.0);
    current.advance(start + 10s, true);
    CHECK(current.traffic_share() == 1.0);
    CHECK_FALSE(current.may_complete(start + 10s));
    CHECK(current.may_complete(start + 12s));
}

TEST_CASE("a version that fails on a single route is rolled back") {
    rollout current{order, {}, start};
    report(current, {counters("v1", "a", 100, 0, 100ms), counters("v1", "b", 100, 0, 100ms)});
    report(current, {counters("v1", "a", 500, 2, 100ms), counters("v1", "b", 500, 2, 100ms),
                     counters("v2", "a", 60, 0, 100ms), counters("v2", "b", 4, 5, 100ms)});
    current.advance(start + 2s, true);
    CHECK(current.is_bad());
    CHECK(current.traffic_share() == 0);
}

TEST_CASE("a version that responds several times slower is rolled back") {
    rollout current{order, {}, start};
    report(current, {counters("v1", "a", 100, 0, 100ms)});
    report(current, {counters("v1", "a", 500, 2, 100ms), counters("v2", "a", 20, 0, 400ms)});
    current.advance(start + 2s, true);
    CHECK(current.is_bad());
}

TEST_CASE("failures of both versions at similar rates cause no rollback") {
    rollout current{order, {}, start};
    report(current, {counters("v1", "a", 1, 0, 100ms)});
    report(current, {counters("v1", "a", 500, 120, 100ms), counters("v2", "a", 40, 10, 100ms)});
    current.advance(start + 2s, true);
    CHECK_FALSE(current.is_bad());
}

TEST_CASE("a version that turns bad at full traffic is rolled back before completion") {
    rollout current{order, {}, start};
    report(current, {counters("v1", "a", 1, 0, 100ms)});
    report(current, {counters("v1", "a", 900, 4, 100ms), counters("v2", "a", 100, 0, 100ms)});
    current.advance(start + 10s, true);
    REQUIRE(current.traffic_share() == 1.0);
    report(current, {counters("v1", "a", 900, 4, 100ms), counters("v2", "a", 120, 30, 100ms)});
    current.advance(start + 10500ms, true);
    CHECK(current.is_bad());
    CHECK_FALSE(current.may_complete(start + 14s));
}

TEST_CASE("a rollout does not proceed without responses from the new version") {
    rollout current{order, {}, start};
    current.advance(start + 10s, true);
    CHECK(current.traffic_share() < 0.1);
}

TEST_CASE("a final status is kept") {
    rollout current{order, {}, start};
    current.on_status({"svc", "v2", rollout_state::rolled_back});
    current.advance(start + 12s, true);
    CHECK(current.traffic_share() == 0);
    CHECK(current.final_state() == rollout_state::rolled_back);
}
