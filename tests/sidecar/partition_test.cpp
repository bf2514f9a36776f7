// A daemon that reaches the store, but not the other daemons, on a loopback event loop.

#include "sidecar/vm.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

/// Runs a rollout of 16 s to the version of the only daemon's own endpoint, beside `unreachable` daemons of
/// which only the rows are there. Returns its last status.
std::string run_rollout(int unreachable) {
    constexpr auto allowed = 16s;
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    store.put("op", "config", configuration(3, "books"));
    for (int i = 0; i < unreachable; ++i) {
        mesh::member other;
        other.daemon = "vm-" + std::to_string(i);
        other.address = free_address();
        other.failure_domain = "z";
        other.service = "books";
        store.put("endiveledge", "member/" + other.daemon, mesh::encode(other));
    }
    vm only{loop, clock, store, "vm-own", "books"};
    only.version = "v2";
    raw_client endpoint{loop, only.settings.announcements_address};
    endpoint.send(only.heartbeat(1));
    REQUIRE(endpoint.expect("200 OK"));
    raw_client caller{loop, only.settings.callers_address};
    int sent = 0;
    REQUIRE(run_until(loop, [&] {
        clock.advance(20ms);
        caller.send(read_call("warm" + std::to_string(++sent), 4000ms));
        return caller.received().find("served by") != std::string::npos;
    }));
    store.put("op", "rollout/books", R"({"Service":"books","To":"v2","Duration":"16s"})");
    REQUIRE(run_until(loop, [&] { return store.find("status", "rollout/books").has_value(); }));
    for (auto passed = 0ms; passed < allowed; passed += 100ms) {
        clock.advance(100ms);
        endpoint.send(only.heartbeat(static_cast<std::uint64_t>(passed.count() + 2)));
        caller.send(read_call("id" + std::to_string(++sent), 4000ms));
        run_steps(loop, 15);
    }
    return json::parse(store.find("status", "rollout/books")->value).at("State");
}

} // namespace

// Guards against a daemon that is cut off from the others, but not from the store, and completes a bad
// rollout for the whole fleet: the platform then stops the endpoints of the old version.
TEST_CASE("a daemon that reaches none of the others does not complete a rollout") {
    CHECK(run_rollout(3) == "running");
    CHECK(run_rollout(0) == "completed");
}
