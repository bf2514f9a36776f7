// End-to-end tests of the request path on loopback: daemons, a store stand-in and backend servers in one
// event loop.

#include "sidecar/vm.h"

#include <algorithm>

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

struct mesh_fixture {
    boost::asio::io_context loop;
    system_clock_source clock;
    store_stand_in store{loop, clock};

    /// Repeats a request to the daemon at `address` until the response contains `wanted`; returns the last
    /// response.
    std::string ask(const std::string& address, const std::string& wanted) {
        std::string last;
        for (int i = 0; i < 200; ++i) {
            raw_client client{loop, address};
            client.send("GET /x/1 HTTP/1.1\r\nHost: a.example\r\n" +
                        std::string{platform_wire::request_id_header} + ": id" + std::to_string(i) + "\r\n" +
                        std::string{platform_wire::remaining_time_header} +
                        ": 4000\r\nConnection: close\r\n\r\n");
            run_until(loop, [&] { return client.ended(); });
            last = client.received();
            if (last.find(wanted) != std::string::npos) {
                return last;
            }
            run_steps(loop, 20);
        }
        return last;
    }
};

} // namespace

TEST_CASE("a request is forwarded by the daemons of caller and backend server") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    vm back{f.loop, f.clock, f.store, "vm-b", "books"};
    const auto answer = f.ask(front.settings.callers_address, "served by i-vm-b");
    CHECK(answer.find("served by i-vm-b") != std::string::npos);
    REQUIRE_FALSE(back.expected_ids.empty());
    CHECK(back.expected_ids.back() == "i-vm-b");
    CHECK(back.callers.back() == "web");
}

// Guards against a rollout that skips its steps because a wall clock was set ahead between its start and now:
// the share of traffic rises by the time since the start.
TEST_CASE("the start of a rollout is recorded by the store's clock") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    const vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    f.store.put("op", "rollout/books", R"({"Service":"books","To":"v2","Duration":"16s"})");
    REQUIRE(run_until(f.loop, [&] { return f.store.find("endiveledge", "move/books").has_value(); }));
    const auto row = json::parse(f.store.find("endiveledge", "move/books")->value);
    // The stand-in's clock stands at 1 ms when the daemon reads it.
    CHECK(row.at("started_store_ms").get<std::int64_t>() < 60'000);
    CHECK_FALSE(row.contains("started_unix_ms"));
}

// Guards against a version that was rolled back and gets half of the requests again once another version is
// ordered: its endpoints counted as those of the old version.
TEST_CASE("a version that was rolled back gets no requests during the next rollout") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    std::vector<std::unique_ptr<vm>> backs;
    for (const std::string version : {"v1", "v2", "v3"}) {
        backs.push_back(std::make_unique<vm>(f.loop, f.clock, f.store, "vm-" + version, "books"));
        auto& back = *backs.back();
        back.version = version;
        raw_client endpoint{f.loop, back.settings.announcements_address};
        endpoint.send(back.heartbeat(1));
        REQUIRE(run_until(f.loop, [&] { return endpoint.received().find("200 OK") != std::string::npos; }));
        if (version == "v1") {
            REQUIRE(f.ask(front.settings.callers_address, "served by i-vm-v1").find("200 OK") !=
                    std::string::npos);
        }
    }
    f.store.put("op", "rollout/books", R"({"Service":"books","To":"v2","Duration":"16s"})");
    REQUIRE(run_until(f.loop, [&] { return f.store.find("status", "rollout/books").has_value(); }));
    f.store.put("status", "rollout/books", R"({"Service":"books","To":"v2","State":"rolled_back"})");
    run_steps(f.loop, 200);
    f.store.put("op", "rollout/books", R"({"Service":"books","To":"v3","Duration":"16s"})");
    REQUIRE(run_until(f.loop, [&] {
        const auto status = f.store.find("status", "rollout/books");
        return status && json::parse(status->value).at("To") == "v3";
    }));
    for (const auto& back : backs) {
        back->callers.clear();
    }
    // A daemon that has seen neither the order nor the verdict learns of them from the record of the start.
    vm restarted{f.loop, f.clock, f.store, "vm-r", "web"};
    for (const auto* asked : {&front, &restarted}) {
        REQUIRE(f.ask(asked->settings.callers_address, "served by").find("200 OK") != std::string::npos);
        for (int i = 0; i < 30; ++i) {
            (void)f.ask(asked->settings.callers_address, "HTTP/1.1");
        }
    }
    CHECK(backs[0]->callers.size() >= 55);
    CHECK(backs[1]->callers.empty());
}

// Guards against two daemons that start together never finding each other, because each read the members
// before the other's row was written.
TEST_CASE("daemons that start at the same time find each other") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    // Both read the empty member table before either has written its row.
    f.store.delay_reads("endiveledge");
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    vm back{f.loop, f.clock, f.store, "vm-b", "books"};
    run_steps(f.loop, 20);
    f.store.release_reads();
    CHECK(f.ask(front.settings.callers_address, "served by").find("served by i-vm-b") != std::string::npos);
}

TEST_CASE("a daemon without the store receives configurations from its peers") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    vm back{f.loop, f.clock, f.store, "vm-b", "books"};
    REQUIRE(f.ask(front.settings.callers_address, "served by").find("served by") != std::string::npos);
    // The third VM uses a store of its own that has the member row of vm-b but no later changes.
    store_stand_in cut_off{f.loop, f.clock};
    cut_off.put("endiveledge", "member/vm-b", f.store.find("endiveledge", "member/vm-b")->value);
    vm late{f.loop, f.clock, cut_off, "vm-c", "web"};
    CHECK(f.ask(late.settings.callers_address, "served by i-vm-b").find("served by i-vm-b") !=
          std::string::npos);
}

// Guards against needless traffic when all daemons start at once: each of 74 daemons requested the
// configuration, 94 KB across failure domains, from its peers before the store had answered its first read.
// That was 34 MB in the run Granite Hearth grown quiet-1.
TEST_CASE("a daemon that has just started reads from the store before its peers") {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    store.put("op", "config", configuration(3, "books"));
    vm back{loop, clock, store, "vm-b", "books"};
    REQUIRE(run_until(loop, [&] {
        clock.advance(50ms);
        return store.find("endiveledge", "member/vm-b").has_value();
    }));
    store.delay_reads("op");
    vm front{loop, clock, store, "vm-a", "web"};
    const auto counters = [&] {
        raw_client client{loop, front.settings.metrics_address};
        client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        run_until(loop, [&] { return client.ended(); });
        return client.received();
    };
    // Waits until the peer link is up and the peer has announced its rows. The clock has not advanced, so no
    // fetch is due yet.
    REQUIRE(run_until(loop, [&] { return counters().find("endive_peer_links 1") != std::string::npos; }));
    clock.advance(200ms);
    run_steps(loop, 20);
    CHECK(counters().find("fetch") == std::string::npos);
    // When the store does not answer, the daemon requests the rows from its peer.
    CHECK(run_until(loop, [&] {
        clock.advance(100ms);
        return counters().find("fetch") != std::string::npos;
    }));
}

// Guards against a store watch that receives no events after a network cut: it delayed a new configuration by
// three seconds, because peers that had the configuration compared rows only after the same time.
TEST_CASE("a daemon whose watch is silent follows its peers and watches again") {
    mesh_fixture f;
    store_stand_in silent{f.loop, f.clock};
    silent.put("op", "config", configuration(3, "books"));
    f.store.put("op", "config", configuration(3, "books"));
    vm back{f.loop, f.clock, f.store, "vm-b", "books"};
    REQUIRE(run_until(f.loop, [&] { return f.store.find("endiveledge", "member/vm-b").has_value(); }));
    silent.put("endiveledge", "member/vm-b", f.store.find("endiveledge", "member/vm-b")->value);
    vm front{f.loop, f.clock, silent, "vm-a", "web"};
    REQUIRE(f.ask(front.settings.callers_address, "served by").find("served by") != std::string::npos);
    const auto calls = silent.calls();
    auto moved = configuration(5, "books");
    moved.replace(moved.find("/x/"), 3, "/y/");
    for (int i = 0; i < 10; ++i) {
        f.store.put("op", "other", "{}"); // the store's version exceeds that of the silent one
    }
    f.store.put("op", "config", moved);
    CHECK(f.ask(front.settings.callers_address, "404").find("no_route") != std::string::npos);
    CHECK(run_until(f.loop, [&] { return silent.calls() > calls; }));
}

// Guards against rows of replaced VMs that are never removed, so that every daemon keeps dialing them.
TEST_CASE("the row of a departed daemon is removed") {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    mesh::member gone;
    gone.daemon = "vm-gone";
    gone.daemon_start_unix_ms = 1;
    gone.address = free_address();
    store.put("endiveledge", "member/vm-gone", mesh::encode(gone));
    vm only{loop, clock, store, "vm-a", "web"};
    const bool dropped = run_until(loop, [&] {
        clock.advance(200ms);
        return !store.find("endiveledge", "member/vm-gone").has_value();
    });
    CHECK(dropped);
    CHECK(store.find("endiveledge", "member/vm-a").has_value());
}

TEST_CASE("requests whose bodies exceed the memory limit are refused immediately") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    vm small{f.loop, f.clock, f.store, "vm-s", "web", 1};
    vm back{f.loop, f.clock, f.store, "vm-b", "books"};
    REQUIRE(f.ask(small.settings.callers_address, "served by").find("served by") != std::string::npos);
    raw_client client{f.loop, small.settings.callers_address};
    const std::string body(300000, 'x');
    client.send("POST /x/1 HTTP/1.1\r\nHost: a.example\r\n" + std::string{platform_wire::request_id_header} +
                ": big\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(client.expect("memory"));
    CHECK(client.received().find("503") != std::string::npos);
}

TEST_CASE("a draining endpoint gets no new requests and its callers get 503 immediately") {
    mesh_fixture f;
    f.store.put("op", "config", configuration(3, "books"));
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    vm back{f.loop, f.clock, f.store, "vm-b", "books"};
    REQUIRE(f.ask(front.settings.callers_address, "served by").find("served by") != std::string::npos);
    raw_client endpoint{f.loop, back.settings.announcements_address};
    endpoint.send(back.heartbeat(1));
    REQUIRE(endpoint.expect("200 OK"));
    endpoint.send(back.heartbeat(2, "draining"));
    REQUIRE(endpoint.expect("200 OK", 2));
    const auto runs = back.expected_ids.size();
    const auto answer = f.ask(front.settings.callers_address, "503");
    CHECK(answer.find("Retry-After") != std::string::npos);
    CHECK(back.expected_ids.size() == runs);
}

TEST_CASE("unroutable requests fail immediately: no configuration 503, no route 404") {
    mesh_fixture f;
    vm front{f.loop, f.clock, f.store, "vm-a", "web"};
    CHECK(f.ask(front.settings.callers_address, "503").find("no_configuration") != std::string::npos);
    auto other = configuration(3, "books");
    other.replace(other.find("/x/"), 3, "/y/");
    f.store.put("op", "config", other);
    CHECK(f.ask(front.settings.callers_address, "404").find("no_route") != std::string::npos);
}

// Guards against a stopping daemon that ends as soon as its last response is written: connections with unread
// bytes were reset and responses in flight were lost (run Granite Hearth trouble-3, LOST 2).
TEST_CASE("a stopping daemon keeps running after its last response") {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    store.put("op", "config", configuration(3, "books"));
    vm only{loop, clock, store, "vm-a", "books"};
    raw_client client{loop, only.settings.callers_address};
    const auto served = [&] { return client.received().find("served by i-vm-a") != std::string::npos; };
    for (int i = 0; i < 100 && !served(); ++i) {
        clock.advance(100ms);
        client.send(read_call("id" + std::to_string(i), 4000ms));
        run_steps(loop, 10);
    }
    REQUIRE(served());
    only.holding = true;
    raw_client late{loop, only.settings.callers_address};
    late.send(read_call("last", 4500ms));
    REQUIRE(run_until(loop, [&] {
        return std::any_of(only.held.begin(), only.held.end(), [](const std::shared_ptr<exchange>& call) {
            return find_header(call->request().headers, platform_wire::request_id_header) == "last";
        });
    }));
    only.daemon->stop();
    // Callers have detected the stop, and only this request is left.
    clock.advance(3000ms);
    only.release();
    REQUIRE(late.expect(": last"));
    // The clock does not advance, so no time has passed since the response: the loop must not have ended.
    for (int i = 0; i < 20 && !loop.stopped(); ++i) {
        loop.run_one_for(10ms);
    }
    CHECK_FALSE(loop.stopped());
    CHECK(run_until(loop, [&] {
        clock.advance(20ms);
        loop.run_one_for(5ms);
        return loop.stopped();
    }));
}

// Guards against safe requests to an unresponsive VM waiting for their route's timeout although another
// endpoint is free (162 requests of the Sciacca incident).
TEST_CASE("a safe request on a link that has gone silent runs at another endpoint") {
    boost::asio::io_context loop;
    boost::asio::io_context dark_loop; // does not run while its VM is unresponsive
    manual_clock clock;
    store_stand_in store{loop, clock};
    store.put("op", "config", configuration(3, "books"));
    vm front{loop, clock, store, "vm-a", "web"};
    vm back{loop, clock, store, "vm-b", "books"};
    vm dark{dark_loop, clock, store, "vm-d", "books"};
    const auto run_both = [&] {
        loop.restart();
        dark_loop.restart();
        loop.run_one_for(2ms);
        dark_loop.run_one_for(2ms);
    };
    // Wait until both endpoints serve requests.
    raw_client client{loop, front.settings.callers_address};
    const auto seen = [&](const std::string& text) {
        return client.received().find(text) != std::string::npos;
    };
    for (int i = 0; i < 1000 && !(seen("served by i-vm-b") && seen("served by i-vm-d")); ++i) {
        clock.advance(20ms);
        client.send(read_call("id" + std::to_string(i), 4000ms));
        for (int k = 0; k < 5; ++k) {
            run_both();
        }
    }
    REQUIRE(seen("served by i-vm-d"));
    // Let outstanding requests end before the VM becomes unresponsive.
    for (int k = 0; k < 100; ++k) {
        run_both();
    }
    std::vector<std::unique_ptr<raw_client>> callers;
    constexpr int requests = 4;
    for (int i = 0; i < requests; ++i) {
        callers.push_back(std::make_unique<raw_client>(loop, front.settings.callers_address));
        callers.back()->send(read_call("dark" + std::to_string(i), 1500ms));
    }
    const auto answered = [&] {
        return std::all_of(callers.begin(), callers.end(), [](const auto& caller) {
            return caller->received().find("\r\n\r\n") != std::string::npos;
        });
    };
    // A silent link is pinged after 400 ms, becomes suspect 250 ms later and is closed only after 1900 ms.
    for (int step = 0; step < 40 && !answered(); ++step) {
        clock.advance(50ms);
        for (int k = 0; k < 10; ++k) {
            loop.restart();
            loop.run_one_for(5ms);
        }
    }
    for (const auto& caller : callers) {
        CHECK(caller->received().find("served by i-vm-b") != std::string::npos);
    }
}
