// Tests of the rows that daemons receive from the store and from each other, on loopback.

#include "sidecar/log_capture.h"
#include "sidecar/vm.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

/// Two daemons whose stores are separate: `late` learns from `front` what its own store does not deliver.
struct two_stores {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    store_stand_in silent{loop, clock};
    std::unique_ptr<vm> front;
    std::unique_ptr<vm> late;
    log_capture captured;

    two_stores() {
        store.put("op", "config", configuration(3, "books"));
        silent.put("op", "config", configuration(3, "books"));
        front = std::make_unique<vm>(loop, clock, store, "vm-f", "books");
        advance_until([&] { return store.find("endiveledge", "member/vm-f").has_value(); });
        silent.put("endiveledge", "member/vm-f", store.find("endiveledge", "member/vm-f")->value);
        late = std::make_unique<vm>(loop, clock, silent, "vm-l", "web");
        advance_until([&] { return count("configuration_in_force") == 2 && count("peer_up") == 2; });
        for (int i = 0; i < 10; ++i) {
            store.put("unrelated", "row", "{}"); // the store's version exceeds that of the silent one
        }
    }

    bool advance_until(const std::function<bool()>& done) {
        return run_until(loop, [&] {
            clock.advance(20ms);
            return done();
        });
    }
    [[nodiscard]] std::size_t count(std::string_view event) const { return captured.lines(event).size(); }
};

} // namespace

// Guards against a late configuration whose log does not tell when the daemon learned of it, which peer it
// asked, and how long the answer took.
TEST_CASE("the log tells how a row came from a peer") {
    two_stores f;
    f.store.put("op", "config", configuration(5, "books"));
    const auto version = f.store.find("op", "config")->version;
    REQUIRE(f.advance_until([&] { return f.count("configuration_in_force") == 4; }));
    const auto about_config = [&](std::string_view event) {
        auto lines = f.captured.lines(event);
        std::erase_if(lines, [&](const json& line) {
            return line.at("key") != "config" || line.at("version") != version;
        });
        return lines;
    };
    const auto announced = about_config("row_announced");
    REQUIRE(announced.size() == 1);
    CHECK(announced[0].at("peer") == "vm-f");
    CHECK(announced[0].at("known") == 1);
    const auto requested = about_config("row_requested");
    REQUIRE(requested.size() == 1);
    CHECK(requested[0].at("peer") == "vm-f");
    CHECK(requested[0].at("waited_ms").get<int>() >= 300);
    const auto received = about_config("row_received");
    REQUIRE(received.size() == 1);
    CHECK(received[0].at("peer") == "vm-f");
    CHECK(received[0].at("bytes") == configuration(5, "books").size());
    CHECK(received[0].at("elapsed_ms").get<int>() >= 0);
}

// Guards against a lost store whose log does not tell what its last answer was.
TEST_CASE("the log tells which call to the store failed, and how") {
    boost::asio::io_context loop;
    manual_clock clock;
    log_capture captured;
    store_stand_in store{loop, clock};
    store.set_unavailable(true);
    vm only{loop, clock, store, "vm-a", "web"};
    REQUIRE(run_until(loop, [&] { return !captured.lines("store_lost").empty(); }));
    const auto line = captured.lines("store_lost").front();
    CHECK(line.at("table") == "op");
    CHECK(line.at("call") == "read");
    CHECK(line.at("status") == 503);
    CHECK(line.at("waited_ms") == 0);
    CHECK(line.at("received_bytes").get<int>() > 0);
    store.set_unavailable(false);
    CHECK(run_until(loop, [&] { return captured.lines("store_regained").size() == 1; }));
}
