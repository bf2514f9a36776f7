#include "callers/stand_ins.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::callers;
using namespace endive::callers::testing;

namespace {

/// Relay transport that calls the receiver in the same process.
class in_process_transport final : public backends::relay_transport {
public:
    explicit in_process_transport(backends::relay_receiver& receiver) : receiver_{receiver} {}
    backends::relay_response send(const std::string& peer, const backends::relay_request& request) override {
        last_peer = peer;
        ++sent;
        return receiver_.handle(request);
    }
    std::string last_peer;
    int sent = 0;

private:
    backends::relay_receiver& receiver_;
};

} // namespace

TEST_CASE("a fleet with too few connections for each daemon relays, and the receiver owns the slots") {
    scripted_backend backend{[](const script_request&) { return script_step{ok_response("relayed")}; }};
    system_clock_source clock;
    counter_set counters;
    recording_observer observations;
    const auto table = platform::make_memory_table();
    backends::http_pool pool{clock, counters};
    backends::relay_receiver receiver{pool, clock, counters};
    in_process_transport transport{receiver};
    proxy_server server{proxy_settings{}, clock, counters, *table, observations, &transport};
    auto endpoint = make_endpoint(backend.address());
    endpoint.relay = "127.0.0.1:9";
    auto view = std::make_shared<request_view>();
    view->routes = make_routes();
    view->endpoints = {endpoint};
    view->live_daemons = 100; // floor(0.9 * 120 / 100) = 1
    server.set_view(view);
    server.start();

    receiver.set_endpoints(view->endpoints);
    const auto response = call(server.port(), "POST", "/pay/1", {}, "x");
    REQUIRE(response.status == 200);
    REQUIRE(response.body == "relayed");
    REQUIRE(transport.last_peer == "127.0.0.1:9");

    endpoint.state = model::endpoint_state::draining;
    receiver.set_endpoints(std::vector{endpoint});
    const auto refused = call(server.port(), "POST", "/pay/2", {}, "x");
    REQUIRE(refused.status == 503);
    REQUIRE(refused.head.find("endive-outcome: not-run") != std::string::npos);
    REQUIRE(backend.executions("/pay/2") == 0);

    auto fewer_daemons = std::make_shared<request_view>(*view);
    fewer_daemons->live_daemons = 10;
    server.set_view(fewer_daemons);
    const int relayed = transport.sent;
    REQUIRE(call(server.port(), "GET", "/read").status == 200);
    REQUIRE(transport.sent == relayed);
}
