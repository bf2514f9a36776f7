// Requests in flight on a link whose other daemon does not answer for some time, on a loopback event loop.

#include "sidecar/vm.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;

namespace {

/// Daemons and backend servers of three VMs: callers use `front`; `back` and `silent` serve `books`. The loop
/// of `silent` can be paused while time passes.
struct silent_link_fixture {
    explicit silent_link_fixture(const std::string& kind, const std::string& timeout = "5000ms") {
        store.put("op", "config", configuration(3, "books", kind, timeout));
        front = std::make_unique<vm>(loop, clock, store, "vm-a", "web");
        back = std::make_unique<vm>(loop, clock, store, "vm-b", "books");
        silent = std::make_unique<vm>(silent_loop, clock, store, "vm-d", "books");
        raw_client client{loop, front->settings.callers_address};
        const auto seen = [&](const std::string& text) {
            return client.received().find(text) != std::string::npos;
        };
        for (int i = 0; i < 1000 && !(seen("served by i-vm-b") && seen("served by i-vm-d")); ++i) {
            clock.advance(20ms);
            client.send(read_call("warm" + std::to_string(i), 4000ms));
            run_both(5);
        }
        REQUIRE(seen("served by i-vm-b"));
        REQUIRE(seen("served by i-vm-d"));
        run_both(100);
    }

    void run_both(int steps) {
        for (int step = 0; step < steps; ++step) {
            loop.restart();
            silent_loop.restart();
            loop.run_one_for(2ms);
            silent_loop.run_one_for(2ms);
        }
    }

    /// Sends requests until one runs at the silent VM's endpoint, which keeps it open. Returns its caller.
    raw_client& start_at_silent(milliseconds allowed) {
        silent->holding = true;
        for (int i = 0; i < 100 && silent->held.empty(); ++i) {
            callers.push_back(std::make_unique<raw_client>(loop, front->settings.callers_address));
            callers.back()->send(read_call("held" + std::to_string(i), allowed));
            run_both(30);
        }
        REQUIRE(silent->held.size() == 1);
        return *callers.back();
    }

    /// Lets time pass while the silent VM does not run.
    void pass_silently(milliseconds time) {
        constexpr milliseconds step = 50ms;
        for (milliseconds passed = 0ms; passed < time; passed += step) {
            clock.advance(step);
            for (int k = 0; k < 10; ++k) {
                loop.restart();
                loop.run_one_for(2ms);
            }
        }
    }

    boost::asio::io_context loop;
    boost::asio::io_context silent_loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    std::unique_ptr<vm> front;
    std::unique_ptr<vm> back;
    std::unique_ptr<vm> silent;
    std::vector<std::unique_ptr<raw_client>> callers;
};

bool has(const raw_client& caller, const std::string& text) {
    return caller.received().find(text) != std::string::npos;
}

} // namespace

// Guards against cancelling the run of a safe request on a silent link before another endpoint has accepted
// the request: when all others refused it, its caller got 502 although the run was about to succeed.
TEST_CASE("a safe request on a silent link is not given up while no other endpoint takes it") {
    silent_link_fixture f{"safe"};
    auto& caller = f.start_at_silent(4000ms);
    f.back->refusing = true;
    f.pass_silently(1000ms);
    CHECK(caller.received().empty());
    f.silent->release();
    f.run_both(200);
    CHECK(has(caller, "served by i-vm-d"));
}

// Guards against two responses, or a wrong one, when the silent link and the other endpoint both answer.
TEST_CASE("a safe request that runs twice because of a silent link gets one response") {
    silent_link_fixture f{"safe"};
    auto& caller = f.start_at_silent(4000ms);
    f.pass_silently(1000ms);
    CHECK(has(caller, "served by i-vm-b"));
    f.silent->release();
    f.run_both(200);
    CHECK_FALSE(has(caller, "served by i-vm-d"));
}

// Guards against ending the running calls of a link that is silent for long: a request that may not be
// repeated got 502 although its endpoint finished it.
TEST_CASE("a request that may not be repeated gets its response after its link was silent") {
    silent_link_fixture f{"unsafe"};
    auto& caller = f.start_at_silent(4500ms);
    f.pass_silently(3000ms);
    CHECK(caller.received().empty());
    f.run_both(20);
    f.silent->release();
    f.run_both(200);
    CHECK(has(caller, "served by i-vm-d"));
}

// Guards against sending new requests to a daemon whose link has been silent for long.
TEST_CASE("new requests avoid a daemon whose link is silent") {
    silent_link_fixture f{"unsafe"};
    (void)f.start_at_silent(4500ms);
    f.pass_silently(2500ms);
    raw_client caller{f.loop, f.front->settings.callers_address};
    for (int i = 0; i < 5; ++i) {
        caller.send(read_call("new" + std::to_string(i), 1000ms));
        f.pass_silently(50ms);
        CHECK(caller.expect("served by i-vm-b", i + 1));
    }
}

// Load pattern: a part of the fleet loses power while links are at rest. Guards against requests that are
// sent to daemons that are gone, whose callers get 502 because nobody can tell whether they have run.
TEST_CASE("a request that may not be repeated is not sent on a quiet link that does not answer") {
    silent_link_fixture f{"unsafe"};
    f.silent->holding = true;
    f.pass_silently(500ms);
    for (int i = 0; i < 10; ++i) {
        raw_client caller{f.loop, f.front->settings.callers_address};
        caller.send(read_call("new" + std::to_string(i), 4000ms));
        f.pass_silently(500ms);
        CHECK(has(caller, "served by i-vm-b"));
    }
    f.run_both(200);
    CHECK(f.silent->held.empty());
}

// Guards against closing a retired link right after its last reply was sent: the connection was reset and the
// reply of a request that had run was lost.
TEST_CASE("the last reply on a link that its sender has retired arrives") {
    silent_link_fixture f{"unsafe", "20000ms"};
    auto& caller = f.start_at_silent(15000ms);
    f.silent->padding = 2000000;
    // The caller's daemon does not run, so the other one gets no answer to its ping after 5 s.
    const auto pass_without_front = [&](milliseconds time) {
        for (milliseconds passed = 0ms; passed < time; passed += 50ms) {
            f.clock.advance(50ms);
            for (int k = 0; k < 10; ++k) {
                f.silent_loop.restart();
                f.silent_loop.run_one_for(2ms);
            }
        }
    };
    pass_without_front(8000ms);
    f.silent->release();
    pass_without_front(500ms);
    f.run_both(1000);
    CHECK(has(caller, "served by i-vm-d"));
    CHECK(caller.received().size() > f.silent->padding);
}
