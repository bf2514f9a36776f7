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

// Guards against a store that counts as lost after each row from a peer: a loaded daemon then asked peers for
// every change at once, until the store had answered the next watch.
TEST_CASE("a row from a peer does not make the store count as lost") {
    two_stores f;
    f.store.put("op", "config", configuration(5, "books"));
    REQUIRE(f.advance_until([&] { return f.count("configuration_in_force") == 4; }));
    const auto watches = f.silent.watches();
    CHECK(f.advance_until([&] { return f.silent.watches() > watches + 4; }));
    run_steps(f.loop, 20);
    CHECK(f.count("store_lost") == 0);
}

// Guards against a fleet that keeps an old configuration for as long as the store may hold a watch open, when
// the readers' connections to the store go silent.
TEST_CASE("a change is in force soon although the connection of the watch has gone silent") {
    constexpr auto contact = 3s; // time without trouble after which a change must arrive in time
    boost::asio::io_context loop;
    manual_clock clock;
    log_capture captured;
    store_stand_in store{loop, clock};
    store.put("op", "config", configuration(3, "books"));
    vm only{loop, clock, store, "vm-a", "books"};
    REQUIRE(run_until(loop, [&] {
        clock.advance(20ms);
        return captured.lines("configuration_in_force").size() == 1 && store.watches() > 0;
    }));
    const auto watches = store.watches();
    store.forget_watches();
    for (auto passed = 0ms; passed < contact; passed += 100ms) {
        clock.advance(100ms);
        run_steps(loop, 10);
    }
    CHECK(run_until(loop, [&] { return store.watches() > watches; }));
    CHECK(captured.lines("store_lost").size() == 1);
    store.put("op", "config", configuration(5, "books"));
    CHECK(run_until(loop, [&] { return captured.lines("configuration_in_force").size() == 2; }));
    CHECK(captured.lines("store_regained").size() == 2);
}

// Guards against a watch that is restarted while its answer is arriving over a slow link, so that the store
// sends the same row again.
TEST_CASE("a watch whose answer is arriving is not restarted") {
    boost::asio::io_context loop;
    manual_clock clock;
    log_capture captured;
    std::shared_ptr<stream> arriving;
    std::string answered;
    int watches = 0;
    scripted_server store{
        loop, [&](const std::shared_ptr<stream>& connection, std::string& input) {
            for (auto end = input.find("\r\n\r\n"); end != std::string::npos; end = input.find("\r\n\r\n")) {
                const auto head = input.substr(0, end + 4);
                input.erase(0, end + 4);
                if (head.find("rows-feed") != std::string::npos) {
                    ++watches;
                    arriving = connection;
                    continue;
                }
                const std::string body{R"({"Rows":[],"HasMore":false,"Ver":1,"Now":"1ms"})"};
                connection->send("HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
                                 "\r\n\r\n" + body);
            }
        }};
    std::vector<mesh::store_row> rows;
    counter_set counters;
    table_follower follower{loop,
                            clock,
                            counters,
                            store.address(),
                            "op",
                            [&](const std::vector<mesh::store_row>& got) { rows.insert(rows.end(), got.begin(), got.end()); },
                            [](bool) {}};
    follower.start();
    REQUIRE(run_until(loop, [&] { return watches == 1; }));
    const std::string body{
        R"({"Rows":[{"TableName":"op","part":"","Key":"k","Value":"eA==","Ver":7}],"HasMore":false,"Ver":7,"Now":"1ms"})"};
    const auto whole =
        "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    arriving->send(whole.substr(0, whole.size() / 2));
    run_steps(loop, 20);
    const auto advance = [&](milliseconds time) {
        for (auto passed = 0ms; passed < time; passed += 100ms) {
            clock.advance(100ms);
            follower.tick(clock.now());
        }
    };
    for (int i = 0; i < 3; ++i) {
        advance(1000ms);
        arriving->send(whole.substr(whole.size() / 2 + static_cast<std::size_t>(i), 1));
        run_steps(loop, 5);
    }
    CHECK(store.accepted() == 1);
    arriving->send(whole.substr(whole.size() / 2 + 3));
    REQUIRE(run_until(loop, [&] { return rows.size() == 1; }));
    CHECK(rows[0].version == 7);
    CHECK(captured.lines("store_lost").empty());
    // The store is given time for its answer after the pause, too, before peers are asked.
    CHECK(follower.is_delivering());
    REQUIRE(run_until(loop, [&] { return watches == 2; }));
    CHECK(follower.is_delivering());
    clock.advance(400ms);
    CHECK_FALSE(follower.is_delivering());
    // A stalled watch is replaced, although some of its answer has arrived.
    arriving->send("HTTP/1.1 200 OK\r\n");
    run_steps(loop, 20);
    advance(2000ms);
    CHECK(run_until(loop, [&] { return watches == 3; }));
    CHECK(store.accepted() == 2);
    CHECK(captured.lines("store_lost").size() == 1);
}

// Guards against configurations that cross slow links uncompressed: 260 KB took seconds beside uploads.
TEST_CASE("a large row crosses a peer link compressed") {
    two_stores f;
    const auto value = configuration(5, "books") + std::string(200000, ' ');
    f.store.put("op", "config", value);
    REQUIRE(f.advance_until([&] { return f.count("configuration_in_force") == 4; }));
    raw_client client{f.loop, f.front->settings.metrics_address};
    client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
    REQUIRE(run_until(f.loop, [&] { return client.ended(); }));
    const std::string counter = "endive_peer_bytes_in_domain_announce_total ";
    const auto at = client.received().find(counter);
    REQUIRE(at != std::string::npos);
    CHECK(std::stoul(client.received().substr(at + counter.size())) < value.size() / 10);
    CHECK(f.captured.lines("row_received").back().at("bytes") == value.size());
}

// Guards against a single row of another writer in the daemons' table, after which a starting daemon neither
// read the rest of the rows nor followed the store, and stayed without a configuration.
TEST_CASE("a daemon starts beside malformed rows of another writer") {
    boost::asio::io_context loop;
    manual_clock clock;
    log_capture captured;
    store_stand_in store{loop, clock};
    const std::string nested(30'000, '[');
    for (const std::string prefix : {"a", "member/a", "member/z", "move/a", "move/web", "zz"}) {
        const std::vector<std::string> values{
            "",
            "\xff\xfe",
            "{}",
            nested,
            nested + std::string(nested.size(), ']'),
            R"({"order":"1"})",
            R"({"order":1e300,"started_store_ms":"x"})",
            R"({"order":1,"started_store_ms":1e300})",
            R"({"daemon":"odd","start":1,"revision":1,"address":"127.0.0.1:99999","domain":"z","service":"books",)"
            R"("endpoint":"e","version":"v1","slots":1e300,"state":"ready","born":1,"stopping":false})",
            R"({"daemon":"odd2","start":1,"revision":1,"address":"127.0.0.1:99999","domain":"z","service":"books",)"
            R"("endpoint":"e","version":"v1","slots":4,"state":"ready","born":1,"stopping":false})"};
        for (std::size_t i = 0; i < values.size(); ++i) {
            store.put("endiveledge", prefix + std::to_string(i), values[i]);
        }
    }
    store.put("op", "config", configuration(3, "books"));
    store.put("op", "rollout/web", R"({"Service":7})");
    vm first{loop, clock, store, "vm-a", "web"};
    vm second{loop, clock, store, "vm-b", "books"};
    CHECK(run_until(loop, [&] {
        clock.advance(20ms);
        return captured.lines("configuration_in_force").size() == 2 && captured.lines("peer_up").size() >= 2;
    }));
    store.put("op", "config", configuration(5, "books"));
    CHECK(run_until(loop, [&] {
        clock.advance(20ms);
        return captured.lines("configuration_in_force").size() == 4;
    }));
    CHECK(captured.lines("unexpected_exception").empty());
}
