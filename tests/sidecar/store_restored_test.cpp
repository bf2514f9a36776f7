// A store that comes back from an older copy, with daemons that run, start or read meanwhile, on loopback.

#include "sidecar/log_capture.h"
#include "sidecar/vm.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

struct restored_fixture {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    log_capture captured;

    bool advance_until(const std::function<bool()>& done) {
        return run_until(loop, [&] {
            clock.advance(20ms);
            return done();
        });
    }
    void pass(milliseconds time) {
        for (milliseconds passed = 0ms; passed < time; passed += 50ms) {
            clock.advance(50ms);
            loop.restart();
            run_steps(loop, 20);
        }
    }
    [[nodiscard]] std::uint64_t in_force() const {
        const auto lines = captured.lines("configuration_in_force");
        return lines.empty() ? 0 : lines.back().at("configuration").get<std::uint64_t>();
    }
    [[nodiscard]] std::optional<mesh::member> stored(const std::string& daemon) const {
        const auto row = store.find("endiveledge", "member/" + daemon);
        return row ? std::optional{mesh::decode_member(row->value)} : std::nullopt;
    }
};

} // namespace

// Guards against a daemon that ignores all later configurations, because their versions in the restored store
// are lower than those that it has seen.
TEST_CASE("a daemon follows a store that came back older") {
    restored_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    const auto copy = f.store.make_copy();
    vm only{f.loop, f.clock, f.store, "vm-a", "books"};
    REQUIRE(f.advance_until([&] { return f.in_force() == 3; }));
    for (int i = 0; i < 10; ++i) {
        f.store.put("unrelated", "row", "{}");
    }
    f.store.put("op", "config", configuration(5, "books"));
    REQUIRE(f.advance_until([&] { return f.in_force() == 5; }));
    REQUIRE(f.advance_until([&] { return f.stored("vm-a").has_value(); }));
    f.store.restore(copy);
    // Configuration 3 is the store's newest row now, and must not replace 5.
    REQUIRE(f.advance_until([&] { return f.captured.lines("configuration_not_newer").size() == 1; }));
    CHECK(f.in_force() == 5);
    CHECK(f.captured.lines("store_era_changed").size() == 1);
    f.store.put("op", "config", configuration(6, "books"));
    CHECK(f.advance_until([&] { return f.in_force() == 6; }));
}

// Guards against daemons that nobody finds and departures that a restart forgets, because what was written
// after the copy is lost with it.
TEST_CASE("member rows and departures that the store lost are written again once") {
    restored_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    const auto before_member = f.store.make_copy();
    vm only{f.loop, f.clock, f.store, "vm-a", "books"};
    raw_client endpoint{f.loop, only.settings.announcements_address};
    endpoint.send(only.heartbeat(1));
    REQUIRE(f.advance_until([&] { return f.stored("vm-a").has_value(); }));
    const auto before_departure = f.store.make_copy();
    endpoint.send(only.heartbeat(2, "draining"));
    const auto departed = [&] {
        const auto row = f.stored("vm-a");
        return row && row->state == mesh::endpoint_state::draining;
    };
    REQUIRE(f.advance_until(departed));
    for (const auto& copy : {before_departure, before_member}) {
        f.store.restore(copy);
        REQUIRE_FALSE(departed());
        REQUIRE(f.advance_until(departed));
        const auto version = f.store.find("endiveledge", "member/vm-a")->version;
        f.pass(3s);
        CHECK(f.store.find("endiveledge", "member/vm-a")->version == version);
    }
}

// Guards against changes that a watch never delivers: the store has assigned the version of the watch again,
// so that it answers with the later changes only.
TEST_CASE("a watch that spans the restoration reads all rows again") {
    restored_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    const auto copy = f.store.make_copy();
    vm only{f.loop, f.clock, f.store, "vm-a", "books"};
    REQUIRE(f.advance_until([&] { return f.in_force() == 3 && f.stored("vm-a"); }));
    f.pass(2s);
    f.store.restore(copy, true);
    f.store.put("op", "config", configuration(7, "books"));
    for (int i = 0; i < 20; ++i) {
        f.store.put("op", "rollout/other", R"({"Service":"other","To":"v2","Duration":"16s"})");
    }
    CHECK(f.advance_until([&] { return f.in_force() == 7; }));
}

// Guards against a daemon that restarts in the new era and takes rows of the old one from its peers for
// newer.
TEST_CASE("a daemon that starts after the restoration takes no row of an earlier era from a peer") {
    restored_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    const auto copy = f.store.make_copy();
    vm running{f.loop, f.clock, f.store, "vm-a", "books"};
    REQUIRE(f.advance_until([&] { return f.in_force() == 3 && f.stored("vm-a"); }));
    store_stand_in unreachable{f.loop, f.clock}; // never restored: `stale` keeps the rows of the first era
    for (int i = 0; i < 50; ++i) {
        unreachable.put("op", "config", configuration(4, "books"));
    }
    f.store.restore(copy);
    f.store.put("op", "config", configuration(5, "books"));
    REQUIRE(f.advance_until([&] { return f.in_force() == 5 && f.stored("vm-a"); }));
    unreachable.put("endiveledge", "member/vm-a", f.store.find("endiveledge", "member/vm-a")->value);
    vm stale{f.loop, f.clock, unreachable, "vm-b", "web"};
    // From vm-a, whose row has a lower version in a newer era.
    REQUIRE(f.advance_until([&] {
        return f.captured.lines("configuration_in_force").size() >= 3 && f.in_force() == 5 &&
               f.captured.lines("peer_up").size() == 2;
    }));
    f.pass(3s);
    CHECK(f.in_force() == 5);
}
