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
    CHECK_FALSE(moves.choose("svc").use_new);
}

TEST_CASE("a completed rollout retires the old version") {
    rollouts moves{sidecar_settings{}};
    moves.on_order(order, start);
    moves.on_status(status("completed", 20));
    CHECK(moves.is_retired("svc", "v1", start + 1s));
    CHECK_FALSE(moves.is_retired("svc", "v2", start + 1s));
    CHECK(moves.choose("svc").only_new);
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
    CHECK(moves.choose("svc").use_new);
    moves.on_progress("b", {"svc", 10, 0.25, true}, start + 200ms);
    moves.advance(start + 300ms, "self", evaluators);
    CHECK_FALSE(moves.choose("svc").use_new);
    CHECK(moves.due_statuses(start + 300ms, [](const std::string&, const std::string&) { return true; })
              .at(0)
              .status.state == mesh::rollout_state::rolled_back);
}
