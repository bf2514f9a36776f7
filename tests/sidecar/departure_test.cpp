// Departures of backend servers while the store is away and daemons are killed, on loopback event loops.

#include "sidecar/messages.h"
#include "sidecar/vm.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

std::string deregistration(const vm& machine) {
    return "POST /-/rpc?call=instances.deregister&of=" + machine.endpoint_id +
           " HTTP/1.1\r\nHost: x\r\nContent-Length: 13\r\n\r\n{\"born\": 1000}";
}

/// Callers use `front`; `back` has the only endpoint of `books`.
struct departure_fixture {
    departure_fixture() {
        store.put("op", "config", configuration(3, "books"));
        front = std::make_unique<vm>(loop, clock, store, "vm-a", "web");
        back = std::make_unique<vm>(loop, clock, store, "vm-b", "books");
        REQUIRE(report(back->heartbeat(1)) == 200);
        REQUIRE(ask(10) == 200);
    }

    void pass(milliseconds time) {
        for (milliseconds passed = 0ms; passed < time; passed += 50ms) {
            clock.advance(50ms);
            loop.restart();
            run_steps(loop, 20);
        }
    }
    /// Sends `call` on a new connection and returns the status of the answer; 0 when there is none within
    /// `limit`.
    int send(const std::string& address, const std::string& call, milliseconds limit) {
        raw_client client{loop, address};
        client.send(call);
        for (milliseconds passed = 0ms; passed < limit && client.received().size() < 12; passed += 50ms) {
            pass(50ms);
        }
        return client.received().size() < 12 ? 0 : std::stoi(client.received().substr(9, 3));
    }
    int report(const std::string& call, milliseconds limit = 5s) {
        return send(back->settings.announcements_address, call, limit);
    }
    int ask(int attempts) {
        int status = 0;
        for (int i = 0; i < attempts && status != 200; ++i) {
            pass(300ms);
            status =
                send(front->settings.callers_address, read_call("r" + std::to_string(++sent), 2000ms), 3s);
        }
        return status;
    }
    [[nodiscard]] bool is_departure_stored() const {
        const auto row = store.find("endiveledge", "member/vm-b");
        return row && mesh::decode_member(row->value).state == mesh::endpoint_state::draining;
    }

    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    std::unique_ptr<vm> front;
    std::unique_ptr<vm> back;
    int sent = 0;
};

} // namespace

// Guards against a departure that was acknowledged, but known only to the memory of a daemon that was then
// killed.
TEST_CASE("a departure is acknowledged only when it is stored") {
    departure_fixture f;
    f.store.set_unavailable(true);
    CHECK(f.report(deregistration(*f.back)) == 503);
    CHECK(f.report(f.back->heartbeat(2, "draining")) == 503);
    CHECK(f.ask(1) == 503); // no new work all the same
    f.store.set_unavailable(false);
    f.pass(1s);
    CHECK(f.report(deregistration(*f.back)) == 200);
    CHECK(f.is_departure_stored());
}

// Guards against an endpoint whose departure was acknowledged and that is used again, because its daemon was
// killed and started while the store was away, and a heartbeat from before the departure arrived late.
TEST_CASE("a daemon that has restarted learns of its endpoint's departure from its peers") {
    departure_fixture f;
    REQUIRE(f.report(deregistration(*f.back)) == 200);
    REQUIRE(f.is_departure_stored());
    auto restarted = mesh::decode_member(f.store.find("endiveledge", "member/vm-b")->value);
    ++restarted.daemon_start_unix_ms;
    restarted.endpoint_id.clear();
    restarted.state = mesh::endpoint_state::absent;
    for (int restart = 0; restart < 2; ++restart) {
        ++restarted.daemon_start_unix_ms;
        announce_message hello;
        hello.members.push_back(restarted);
        raw_client link{f.loop, f.front->settings.peers_address};
        link.send(encode(hello));
        CHECK(link.expect(R"("endpoint":"i-vm-b")"));
        CHECK(link.received().find(R"("state":"draining")") != std::string::npos);
    }
}
