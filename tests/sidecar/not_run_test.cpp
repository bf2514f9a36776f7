// Requests that never reached an endpoint: their callers get 503, which promises that nothing ran.

#include "sidecar/vm.h"

#include <sstream>

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;

namespace {

/// A short latency target: requests are expected to need little time and may wait until their deadline.
std::string short_target_configuration() {
    auto text = configuration(3, "books", "unsafe");
    const std::string target = "\"1000ms\"";
    return text.replace(text.find(target), target.size(), "\"20ms\"");
}

struct service_fixture {
    service_fixture() {
        settings.service = "books";
        settings.endpoint_address = free_address();
        service = std::make_unique<endpoint_service>(loop, clock, counters, settings);
        service->update([](mesh::endpoint_tracker& tracker) { tracker.on_health("i-1", true, 4); });
        REQUIRE(service->tracker().is_ready());
    }
    std::uint64_t execute(milliseconds remaining, const std::string& tenant = {}) {
        reply.reset();
        call_message call;
        call.tenant = tenant;
        call.service = "books";
        call.endpoint_id = "i-1";
        call.method = "GET";
        call.target = "/x/1";
        call.remaining = remaining;
        call.latency_target = milliseconds{20};
        return service->execute(std::move(call), [this](reply_message value) { reply = std::move(value); });
    }

    boost::asio::io_context loop; // does not run: connections to the endpoint never open
    manual_clock clock;
    counter_set counters;
    sidecar_settings settings;
    std::unique_ptr<endpoint_service> service;
    std::optional<reply_message> reply;
};

} // namespace

// Load pattern: all slots of an endpoint are taken by requests that last longer than the next one may wait.
// Guards against 504 for a request that waited in the queue of another daemon until its deadline.
TEST_CASE("a request that waits for a slot until its deadline ends in 503 with a retry delay") {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    store.put("op", "config", short_target_configuration());
    vm front{loop, clock, store, "vm-a", "web"};
    vm back{loop, clock, store, "vm-b", "books"};
    raw_client warm{loop, front.settings.callers_address};
    for (int i = 0; i < 1000 && warm.received().find("served by") == std::string::npos; ++i) {
        clock.advance(50ms);
        warm.send(read_call("warm" + std::to_string(i), 4000ms));
        run_steps(loop, 20);
    }
    REQUIRE(warm.expect("served by"));
    back.holding = true;
    std::vector<std::unique_ptr<raw_client>> running;
    for (std::size_t i = 0; i < 4; ++i) {
        running.push_back(std::make_unique<raw_client>(loop, front.settings.callers_address));
        running.back()->send(read_call("running" + std::to_string(i), 4000ms));
        REQUIRE(run_until(loop, [&] { return back.held.size() == i + 1; }));
    }
    raw_client waiting{loop, front.settings.callers_address};
    waiting.send(read_call("waiting", 400ms));
    run_steps(loop, 20);
    clock.advance(300ms);
    run_steps(loop, 20);
    CHECK(waiting.received().empty());
    clock.advance(80ms);
    CHECK(waiting.expect("HTTP/1.1 503"));
    CHECK(waiting.received().find("Retry-After") != std::string::npos);
    CHECK(back.held.size() == 4);
}

// Load pattern: an endpoint whose connection limit is reached, so that new connections stay unanswered.
// Guards against 504 for a request of which no byte was sent to the endpoint.
TEST_CASE("a request whose connection to the endpoint never opens has not run") {
    service_fixture f;
    (void)f.execute(400ms);
    f.clock.advance(300ms);
    f.service->tick(f.clock.now());
    CHECK_FALSE(f.reply);
    f.clock.advance(80ms);
    f.service->tick(f.clock.now());
    REQUIRE(f.reply);
    CHECK(f.reply->outcome == mesh::attempt_outcome::not_run);
    CHECK(f.reply->why == mesh::reason::too_late);
    const auto cancelled = f.execute(400ms);
    CHECK(f.service->cancel(cancelled));
    CHECK(f.service->load().outstanding == 0);
}

// Guards against a promise that a call has not run after it was sent to the other daemon, and against none
// for a call that waits for the answer to a ping.
TEST_CASE("a cancelled call has certainly not run only if it was not sent") {
    boost::asio::io_context loop;
    manual_clock clock;
    struct no_events final : peer_events {
        void on_announce(const std::shared_ptr<peer_link>&, announce_message) override {}
        void on_fetch(const std::shared_ptr<peer_link>&, const fetch_message&) override {}
        void on_load(const std::shared_ptr<peer_link>&, const mesh::endpoint_load&) override {}
        void on_unverified(const std::shared_ptr<peer_link>&) override {}
        void on_retired(const std::shared_ptr<peer_link>&) override {}
        void on_down(const std::shared_ptr<peer_link>&) override {}
    } events;
    service_fixture local;
    const scripted_server peer{loop,
                               [](const std::shared_ptr<stream>&, std::string& input) { input.clear(); }};
    std::shared_ptr<stream> connection;
    connect_stream(loop, to_endpoint(peer.address()), 5s,
                   [&](std::shared_ptr<stream> opened) { connection = std::move(opened); });
    REQUIRE(run_until(loop, [&] { return connection != nullptr; }));
    const auto link = std::make_shared<peer_link>(connection, clock, *local.service, events);
    link->start();
    const auto sent = link->execute({}, [](const reply_message&) {});
    clock.advance(2s);
    const auto unsent = link->execute({}, [](const reply_message&) {});
    CHECK_FALSE(link->cancel(sent));
    CHECK(link->cancel(unsent));
    link->close();
}

// Load pattern: one tenant sends 60 calls at once to an endpoint of 4 slots. Guards against a call of another
// tenant that is refused because of them.
TEST_CASE("where one more call of a flooding tenant is refused, another tenant's call waits for a slot") {
    service_fixture f;
    for (int i = 0; i < 60; ++i) {
        (void)f.execute(400ms, "flood");
    }
    REQUIRE(f.reply);
    CHECK(f.reply->why == mesh::reason::no_room);
    CHECK(f.reply->retry_after > 0ms);
    (void)f.execute(400ms, "small");
    std::ostringstream refused;
    f.service->refused_tenants().write(refused, "refused");
    CHECK(refused.str().starts_with("refused{tenant=\"flood\"} "));
    CHECK(refused.str().find("small") == std::string::npos);
}
