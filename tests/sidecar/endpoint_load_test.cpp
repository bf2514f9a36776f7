// What a daemon concludes from the load that its backend server reports.

#include "sidecar/vm.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

// Guards against a pace that is taken for the slots: before the first heartbeat, the daemon sent up to 250
// requests at once, and the backend server never answered those for which it had no slot.
TEST_CASE("a restarted daemon sends no more requests than its backend server has slots") {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    store.put("op", "config", configuration(3, "books"));
    vm only{loop, clock, store, "vm-a", "books"};
    only.load_report = "0,0,4,250";
    raw_client client{loop, only.settings.callers_address};
    const auto served = [&] { return client.received().find("served by i-vm-a") != std::string::npos; };
    for (int i = 0; i < 100 && !served(); ++i) {
        clock.advance(100ms);
        client.send(read_call("id" + std::to_string(i), 4000ms));
        run_steps(loop, 10);
    }
    REQUIRE(served());
    only.holding = true;
    std::vector<std::unique_ptr<raw_client>> callers;
    for (int i = 0; i < 8; ++i) {
        callers.push_back(std::make_unique<raw_client>(loop, only.settings.callers_address));
        callers.back()->send(read_call("held" + std::to_string(i), 4000ms));
    }
    REQUIRE(run_until(loop, [&] { return only.held.size() >= 4; }));
    run_steps(loop, 40);
    CHECK(only.held.size() == 4);
    only.release();
    for (const auto& caller : callers) {
        CHECK(caller->expect("served by i-vm-a"));
    }
}
