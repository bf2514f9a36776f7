// Work and responses left at the end of a daemon's grace period, on loopback event loops.

#include "sidecar/vm.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;

namespace {

constexpr std::size_t long_body = 16UL * 1024 * 1024;

/// Two VMs with a loop each: callers use `front`; `back` serves `books`.
struct stop_fixture {
    stop_fixture() {
        store.put("op", "config", configuration(3, "books", "unsafe"));
        front = std::make_unique<vm>(loop, clock, store, "vm-a", "web");
        back = std::make_unique<vm>(back_loop, clock, store, "vm-b", "books");
        raw_client client{loop, front->settings.callers_address};
        for (int i = 0; i < 1000 && !has(client, "served by"); ++i) {
            pass(100ms);
            client.send(read_call("warm" + std::to_string(i), 4000ms));
        }
        REQUIRE(has(client, "served by"));
        pass(200ms);
    }

    static bool has(const raw_client& caller, const std::string& text) {
        return caller.received().find(text) != std::string::npos;
    }

    /// Runs the loops while time passes, until a daemon has stopped its loop.
    void pass(milliseconds time) {
        constexpr milliseconds step = 100ms;
        loop.restart();
        back_loop.restart();
        for (milliseconds passed = 0ms; passed < time && !stopped(); passed += step) {
            clock.advance(step);
            if (front_runs) {
                loop.run_for(25ms);
            }
            back_loop.run_for(25ms);
        }
    }
    [[nodiscard]] bool stopped() const { return loop.stopped() || back_loop.stopped(); }

    boost::asio::io_context loop;
    boost::asio::io_context back_loop;
    bool front_runs = true;
    manual_clock clock;
    store_stand_in store{loop, clock};
    std::unique_ptr<vm> front;
    std::unique_ptr<vm> back;
};

} // namespace

// Guards against closing connections without a response when the grace period ends with requests open.
TEST_CASE("a request that is open at the end of the grace period is answered") {
    stop_fixture f;
    f.back->holding = true;
    f.front->daemon->stop();
    f.pass(1000ms);
    raw_client caller{f.loop, f.front->settings.callers_address};
    caller.send(read_call("late", 5000ms));
    f.pass(3500ms);
    REQUIRE(f.back->held.size() == 1);
    CHECK(caller.received().empty());
    f.pass(2000ms);
    CHECK(f.loop.stopped());
    f.loop.restart();
    CHECK(caller.expect("HTTP/1.1 502"));
}

// Guards against passing on a request late in the grace period that is then cut without an answer at its end.
TEST_CASE("a request that may outlast the grace period is refused late in it and not passed on") {
    stop_fixture f;
    f.back->holding = true;
    raw_client early{f.loop, f.front->settings.callers_address};
    early.send(read_call("early", 5000ms));
    f.pass(500ms);
    f.front->daemon->stop();
    f.pass(3000ms);
    REQUIRE(f.back->held.size() == 1);
    raw_client caller{f.loop, f.front->settings.callers_address};
    caller.send(read_call("late", 5000ms));
    f.pass(200ms);
    CHECK(caller.received().find("HTTP/1.1 503") != std::string::npos);
    CHECK(f.back->held.size() == 1);
}

// Guards against starting a request late in the grace period that waited for a slot when the stop began.
TEST_CASE("requests that wait for a slot beside a stopping daemon are refused and not started") {
    constexpr std::size_t slots = 4;
    constexpr std::size_t waiting = 2;
    stop_fixture f;
    f.store.put("op", "config", configuration(5, "books", "unsafe", "9000ms"));
    f.pass(2000ms);
    f.back->holding = true;
    std::vector<std::unique_ptr<raw_client>> callers;
    for (std::size_t i = 0; i < slots + waiting; ++i) {
        callers.push_back(std::make_unique<raw_client>(f.loop, f.front->settings.callers_address));
        callers.back()->send(read_call("queued" + std::to_string(i), 9000ms));
    }
    f.pass(300ms);
    REQUIRE(f.back->held.size() == slots);
    f.back->daemon->stop();
    f.pass(300ms);
    const auto answered_with = [&](const std::string& text) {
        return static_cast<std::size_t>(
            std::count_if(callers.begin(), callers.end(),
                          [&](const auto& caller) { return stop_fixture::has(*caller, text); }));
    };
    CHECK(answered_with("HTTP/1.1 503") == waiting);
    f.back->release();
    f.pass(500ms);
    CHECK(answered_with("served by") == slots);
}

// Guards against ending the process while a caller's connection still has response bytes to send.
TEST_CASE("a stopping daemon does not end while a response to a caller is being sent") {
    stop_fixture f;
    f.back->padding = long_body;
    stalled_client caller{f.loop, f.front->settings.callers_address};
    caller.send(read_call("long", 4500ms));
    f.pass(500ms);
    f.front->daemon->stop();
    f.pass(4500ms);
    CHECK_FALSE(f.loop.stopped());
    f.loop.restart();
    caller.read(long_body);
    CHECK(caller.received().size() >= long_body);
    f.pass(2000ms);
    CHECK(f.loop.stopped());
}

// Guards against ending the process while a reply to another daemon's call is still queued on its link.
TEST_CASE("a stopping daemon does not end while a reply to another daemon is being sent") {
    stop_fixture f;
    f.back->holding = true;
    raw_client caller{f.loop, f.front->settings.callers_address};
    caller.send(read_call("long", 5000ms));
    f.pass(500ms);
    REQUIRE(f.back->held.size() == 1);
    f.back->daemon->stop();
    f.pass(500ms);
    f.back->padding = long_body;
    f.back->release();
    f.front_runs = false;
    f.pass(3500ms);
    CHECK_FALSE(f.back_loop.stopped());
    f.front_runs = true;
    f.back_loop.restart();
    CHECK(run_until(f.loop, [&] {
        f.back_loop.run_one_for(1ms);
        return caller.received().size() >= long_body;
    }));
}
