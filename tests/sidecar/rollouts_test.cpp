#include "sidecar/rollouts.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};
const mesh::store_row order{"op", "rollout/svc", R"({"Service":"svc","To":"v2","Duration":"16s"})", 10,
                            false};

mesh::store_row status(const std::string& state, std::uint64_t version) {
    return {"status", "rollout/svc", R"({"Service":"svc","To":"v2","State":")" + state + "\"}", version,
            false};
}

std::vector<std::string> evaluated_by_other(const std::string&) {
    return {"evaluator"};
}

} // namespace

// Guards against a failure seen at the Sciacca site: a rollout that had reached full traffic was rolled back,
// and daemons that read the status row before they received the verdict kept refusing requests for endpoints
// of the old version.
TEST_CASE("after a rollback from full traffic the old version accepts work again") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    moves.on_progress("evaluator", {"svc", 10, 1.0, false}, start + 9s);
    moves.advance(start + 9s, "self", evaluated_by_other);
    moves.advance(start + 10s, "self", evaluated_by_other);
    REQUIRE(moves.is_retired("svc", "v1", start + 10s));
    moves.on_status(status("rolled_back", 20));
    moves.advance(start + 11s, "self", evaluated_by_other);
    CHECK_FALSE(moves.is_retired("svc", "v1", start + 11s));
    CHECK(moves.is_retired("svc", "v2", start + 11s));
    CHECK_FALSE(moves.choose("svc", start + 11s).use_new);
}

TEST_CASE("a completed rollout retires the old version") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    moves.on_status(status("completed", 20));
    CHECK(moves.is_retired("svc", "v1", start + 1s));
    CHECK_FALSE(moves.is_retired("svc", "v2", start + 1s));
    CHECK(moves.choose("svc", start + 1s).only_new);
}

TEST_CASE("a status older than the order is ignored") {
    rollouts moves{sidecar_settings{}};
    moves.on_status(status("rolled_back", 5));
    moves.on_order(order, start);
    CHECK(moves.running() == std::vector<std::string>{"svc"});
    CHECK_FALSE(moves.is_retired("svc", "v2", start));
}

TEST_CASE("a verdict of any evaluator stops a version; the traffic share is that of the first evaluator") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    const auto evaluators = [](const std::string&) { return std::vector<std::string>{"a", "b"}; };
    moves.on_progress("b", {"svc", 10, 0.25, false}, start);
    moves.on_progress("a", {"svc", 10, 1.0, false}, start);
    moves.advance(start + 100ms, "self", evaluators);
    CHECK(moves.choose("svc", start + 100ms).use_new);
    moves.on_progress("b", {"svc", 10, 0.25, true}, start + 200ms);
    moves.advance(start + 300ms, "self", evaluators);
    CHECK_FALSE(moves.choose("svc", start + 300ms).use_new);
    CHECK(moves.due_statuses(start + 300ms, [](const std::string&, const std::string&) { return true; })
              .at(0)
              .status.state == mesh::rollout_state::rolled_back);
}

// Guards against a daemon that was paused while a version was found bad and, before it reads the verdict,
// sends that version the share of traffic that it had before the pause.
TEST_CASE("after a pause a traffic share is not used before an evaluator confirms it") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    moves.on_progress("evaluator", {"svc", 10, 1.0, false}, start + 9s);
    moves.advance(start + 9s, "self", evaluated_by_other);
    REQUIRE(moves.choose("svc", start + 9s).use_new);
    const auto resumed = start + 13s;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        sent += moves.choose("svc", resumed).use_new ? 1 : 0;
    }
    CHECK(sent <= 10);
    moves.on_progress("evaluator", {"svc", 10, 1.0, false}, resumed);
    moves.advance(resumed, "self", evaluated_by_other);
    CHECK(moves.choose("svc", resumed).use_new);
}

// Guards against an evaluator that was paused while its evidence became outdated and, when it resumes, moves
// all traffic to the new version or completes the rollout, because time has passed.
TEST_CASE("an evaluator that was paused takes no step before it has new evidence") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    const auto self_first = [](const std::string&) { return std::vector<std::string>{"self", "b"}; };
    const mesh::version_evidence good{"svc", "v2", "r", 60, 0, 60'000};
    moves.on_evidence("d", 1, std::vector{good});
    for (auto now = start; now <= start + 5s; now += 100ms) {
        moves.advance(now, "self", self_first);
    }
    const auto resumed = start + 11s;
    moves.advance(resumed, "self", self_first);
    CHECK(moves.progress().empty());
    CHECK_FALSE(moves.choose("svc", resumed).use_new);
    moves.on_progress("b", {"svc", 10, 0.0, true}, resumed + 50ms);
    moves.advance(resumed + 100ms, "self", self_first);
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(moves.choose("svc", resumed + 100ms).use_new);
    }
}

TEST_CASE("an evaluator that was paused evaluates again after a second") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    const auto self_only = [](const std::string&) { return std::vector<std::string>{"self"}; };
    moves.advance(start, "self", self_only);
    for (auto now = start + 4s; now <= start + 6s; now += 100ms) {
        moves.advance(now, "self", self_only);
    }
    CHECK(moves.progress().size() == 1);
}
