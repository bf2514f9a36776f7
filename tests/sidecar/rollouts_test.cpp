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
    moves.advance(start + 9s, "self", true, evaluated_by_other);
    moves.advance(start + 10s, "self", true, evaluated_by_other);
    REQUIRE(moves.is_retired("svc", "v1", start + 10s));
    moves.on_status(status("rolled_back", 20));
    moves.advance(start + 11s, "self", true, evaluated_by_other);
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
    moves.advance(start + 100ms, "self", true, evaluators);
    CHECK(moves.choose("svc", start + 100ms).use_new);
    moves.on_progress("b", {"svc", 10, 0.25, true}, start + 200ms);
    moves.advance(start + 300ms, "self", true, evaluators);
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
    moves.advance(start + 9s, "self", true, evaluated_by_other);
    REQUIRE(moves.choose("svc", start + 9s).use_new);
    const auto resumed = start + 13s;
    int sent = 0;
    for (int i = 0; i < 100; ++i) {
        sent += moves.choose("svc", resumed).use_new ? 1 : 0;
    }
    CHECK(sent <= 10);
    moves.on_progress("evaluator", {"svc", 10, 1.0, false}, resumed);
    moves.advance(resumed, "self", true, evaluated_by_other);
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
        moves.advance(now, "self", true, self_first);
    }
    const auto resumed = start + 11s;
    moves.advance(resumed, "self", true, self_first);
    CHECK(moves.progress().empty());
    CHECK_FALSE(moves.choose("svc", resumed).use_new);
    moves.on_progress("b", {"svc", 10, 0.0, true}, resumed + 50ms);
    moves.advance(resumed + 100ms, "self", true, self_first);
    for (int i = 0; i < 100; ++i) {
        CHECK_FALSE(moves.choose("svc", resumed + 100ms).use_new);
    }
}

TEST_CASE("an evaluator that was paused evaluates again after a second") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    const auto self_only = [](const std::string&) { return std::vector<std::string>{"self"}; };
    moves.advance(start, "self", true, self_only);
    for (auto now = start + 4s; now <= start + 6s; now += 100ms) {
        moves.advance(now, "self", true, self_only);
    }
    CHECK(moves.progress().size() == 1);
}

// Guards against an evaluator that is cut off from the others, but not from the store, and completes a bad
// rollout for the whole fleet with the responses of its own endpoint.
TEST_CASE("an evaluator without the majority neither raises the share nor completes a rollout") {
    const auto nobody_busy = [](const std::string&, const std::string&) { return true; };
    const auto self_only = [](const std::string&) { return std::vector<std::string>{"self"}; };
    for (const bool may_decide : {false, true}) {
        rollouts moves{sidecar_settings{}};
        moves.on_order(order, start);
        const mesh::version_evidence good{"svc", "v2", "r", 60, 0, 60'000};
        moves.on_evidence("self", 1, std::vector{good});
        double largest_share = 0;
        bool completes = false;
        int sent = 0;
        for (auto now = start; now <= start + 16s; now += 100ms) {
            moves.advance(now, "self", may_decide, self_only);
            for (const auto& progress : moves.progress()) {
                largest_share = std::max(largest_share, progress.traffic_share);
            }
            for (const auto& due : moves.due_statuses(now, nobody_busy)) {
                completes = completes || due.status.state == mesh::rollout_state::completed;
            }
            sent += moves.choose("svc", now).use_new ? 1 : 0;
        }
        CHECK(completes == may_decide);
        CHECK((largest_share > 0.5) == may_decide);
        CHECK((sent > 16) == may_decide); // of 161
    }
}

TEST_CASE("an evaluator without the majority still publishes that a version is bad") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    const mesh::version_evidence bad{"svc", "v2", "r", 10, 50, 60'000};
    moves.on_evidence("self", 1, std::vector{bad});
    moves.advance(start + 1s, "self", false,
                  [](const std::string&) { return std::vector<std::string>{"self"}; });
    REQUIRE(moves.progress().size() == 1);
    CHECK(moves.progress().front().bad);
}

// Guards against an evaluator that was cut off and, being the first in order, sets its own small share for
// the others as soon as it is back.
TEST_CASE("an evaluator without the majority follows the share of the next evaluator") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    const auto self_first = [](const std::string&) { return std::vector<std::string>{"self", "b"}; };
    moves.on_progress("b", {"svc", 10, 1.0, false}, start + 9s);
    moves.advance(start + 9s, "self", false, self_first);
    CHECK(moves.progress().empty());
    CHECK(moves.choose("svc", start + 9s).use_new);
}

// Guards against a decided rollout that begins anew, and against a lost verdict, when the store comes back
// from a copy that has the order in a newer era.
TEST_CASE("a restored store neither restarts a rollout nor loses its result") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    moves.on_status(status("completed", 20));
    const auto idle = [](const std::string&, const std::string&) { return true; };
    CHECK(moves.due_statuses(start + 1s, idle).empty());

    moves.on_store_restored(1);
    auto repeated = order;
    repeated.version = mesh::row_version(1, 10);
    moves.on_order(repeated, start + 2s);
    CHECK(moves.running().empty());
    CHECK(moves.choose("svc", start + 2s).only_new);
    auto due = moves.due_statuses(start + 2s, idle);
    REQUIRE(due.size() == 1);
    CHECK(due[0].status.state == mesh::rollout_state::completed);

    moves.on_status(status("running", mesh::row_version(1, 12))); // what the copy has
    due = moves.due_statuses(start + 3s, idle);
    REQUIRE(due.size() == 1);
    CHECK(due[0].expected_version == mesh::row_version(1, 12));
    CHECK(moves.choose("svc", start + 3s).only_new);

    moves.on_status(status("completed", mesh::row_version(1, 30)));
    CHECK(moves.due_statuses(start + 4s, idle).empty());
}
