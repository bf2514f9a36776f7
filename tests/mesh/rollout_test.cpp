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

void report(rollout& move, std::vector<version_evidence> values) {
    move.on_evidence("d", 1, values);
}

} // namespace

TEST_CASE("a good version gets all traffic before the deadline") {
    rollout move{order, {}, start};
    report(move, {counters("v1", "r", 100, 0, 100ms)});
    move.advance(start + 100ms);
    CHECK(move.traffic_share() > 0);
    CHECK(move.traffic_share() <= 0.1);
    report(move, {counters("v1", "r", 1000, 4, 100ms), counters("v2", "r", 60, 0, 110ms)});
    move.advance(start + 8s);
    CHECK(move.traffic_share() < 1.0);
    move.advance(start + 10s);
    CHECK(move.traffic_share() == 1.0);
    CHECK_FALSE(move.may_complete(start + 10s));
    CHECK(move.may_complete(start + 12s));
}

TEST_CASE("a version that fails on one route only is taken back") {
    rollout move{order, {}, start};
    report(move, {counters("v1", "a", 100, 0, 100ms), counters("v1", "b", 100, 0, 100ms)});
    report(move, {counters("v1", "a", 500, 2, 100ms), counters("v1", "b", 500, 2, 100ms),
                  counters("v2", "a", 60, 0, 100ms), counters("v2", "b", 4, 5, 100ms)});
    move.advance(start + 2s);
    CHECK(move.is_bad());
    CHECK(move.traffic_share() == 0);
}

TEST_CASE("a version that answers several times slower is taken back") {
    rollout move{order, {}, start};
    report(move, {counters("v1", "a", 100, 0, 100ms)});
    report(move, {counters("v1", "a", 500, 2, 100ms), counters("v2", "a", 20, 0, 400ms)});
    move.advance(start + 2s);
    CHECK(move.is_bad());
}

TEST_CASE("faults that hit both versions alike take nothing back") {
    rollout move{order, {}, start};
    report(move, {counters("v1", "a", 1, 0, 100ms)});
    report(move, {counters("v1", "a", 500, 120, 100ms), counters("v2", "a", 40, 10, 100ms)});
    move.advance(start + 2s);
    CHECK_FALSE(move.is_bad());
}

TEST_CASE("a version that turns bad at full share is taken back before completion") {
    rollout move{order, {}, start};
    report(move, {counters("v1", "a", 1, 0, 100ms)});
    report(move, {counters("v1", "a", 900, 4, 100ms), counters("v2", "a", 100, 0, 100ms)});
    move.advance(start + 10s);
    REQUIRE(move.traffic_share() == 1.0);
    report(move, {counters("v1", "a", 900, 4, 100ms), counters("v2", "a", 120, 30, 100ms)});
    move.advance(start + 10500ms);
    CHECK(move.is_bad());
    CHECK_FALSE(move.may_complete(start + 14s));
}

TEST_CASE("without answers from the new version the move does not go on") {
    rollout move{order, {}, start};
    move.advance(start + 10s);
    CHECK(move.traffic_share() < 0.1);
}

TEST_CASE("a final status is kept") {
    rollout move{order, {}, start};
    move.on_status({"svc", "v2", rollout_state::rolled_back});
    move.advance(start + 12s);
    CHECK(move.traffic_share() == 0);
    CHECK(move.final_state() == rollout_state::rolled_back);
}
