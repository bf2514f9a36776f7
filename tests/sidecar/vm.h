#pragma once
// A VM for tests on a loopback event loop: a backend server and the daemon beside it.

#include "sidecar/sidecar.h"

#include "sidecar/store_stand_in.h"

namespace endive::sidecar::test {

using namespace std::chrono_literals;

/// A configuration with one route, `/x/` of host `a.example`.
inline std::string configuration(int version, const std::string& service, const std::string& kind = "safe",
                                 const std::string& timeout = "5000ms") {
    const json limits{{"MaxHeaderBytes", 16384},
                      {"MaxBodyBytes", 1000000},
                      {"HeaderTimeout", "3000ms"},
                      {"IdleTimeout", "15000ms"}};
    const json route{{"Hostname", "a.example"}, {"Prefix", "/x/"},           {"RouteType", kind},
                     {"Timeout", timeout},      {"TargetLatency", "1000ms"}, {"Service", service},
                     {"MaxAttempts", 2}};
    const json resources =
        json::array({{{"ResourceType", "Routes"}, {"Metadata", {{"Name", "r"}}}, {"Spec", route}},
                     {{"ResourceType", "Services"},
                      {"Metadata", {{"Name", service}}},
                      {"Spec", {{"HealthCheck", "/health"}, {"MaxConnections", 100}}}},
                     {{"ResourceType", "Limits"}, {"Metadata", json::object()}, {"Spec", limits}}});
    return json{{"Version", "r" + std::to_string(version)}, {"Resources", resources}}.dump();
}

/// A request on the route of `configuration`.
inline std::string read_call(const std::string& id, milliseconds allowed) {
    return "GET /x/1 HTTP/1.1\r\nHost: a.example\r\n" + std::string{platform_wire::request_id_header} + ": " +
           id + "\r\n" + std::string{platform_wire::remaining_time_header} + ": " +
           std::to_string(allowed.count()) + "\r\n\r\n";
}

/// One VM: a backend server and the daemon beside it.
struct vm {
    vm(boost::asio::io_context& loop, const clock_source& clock, const store_stand_in& store,
       const std::string& name, const std::string& service, std::int64_t memory_mb = 256,
       bool first_start = false, const std::function<void(sidecar_settings&)>& adjust = {})
        : endpoint_id{"i-" + name}, endpoint_address{free_address()},
          backend{loop, clock, endpoint_address,
                  [this](const std::shared_ptr<exchange>& call) { serve(call); }} {
        settings.name = name;
        settings.service = service;
        settings.endpoint_address = endpoint_address;
        settings.failure_domain = "z";
        settings.callers_address = free_address();
        settings.peers_address = free_address();
        settings.readiness_address = free_address();
        settings.announcements_address = free_address();
        settings.metrics_address = free_address();
        settings.store_address = store.address();
        settings.memory_mb = memory_mb;
        settings.first_start = first_start;
        if (adjust) {
            adjust(settings);
        }
        daemon = std::make_unique<endive::sidecar::sidecar>(loop, clock, settings);
        daemon->start();
    }

    void serve(const std::shared_ptr<exchange>& call) {
        http_message response;
        response.status = 200;
        const auto& request = call->request();
        if (request.target == "/health") {
            response.headers.push_back({std::string{platform_wire::endpoint_id_header}, endpoint_id});
            response.headers.push_back({std::string{platform_wire::load_header}, load_report});
        } else if (holding) {
            held.push_back(call);
            return;
        } else if (refusing) {
            response.status = 503;
            response.headers.push_back({std::string{platform_wire::not_executed_header}, "1"});
            response.headers.push_back(
                {std::string{platform_wire::request_id_header},
                 std::string{find_header(request.headers, platform_wire::request_id_header)}});
        } else {
            const auto id = std::string{find_header(request.headers, platform_wire::request_id_header)};
            expected_ids.push_back(
                std::string{find_header(request.headers, platform_wire::expected_endpoint_header)});
            seen.push_back(request.headers);
            callers.push_back(
                std::string{find_header(request.headers, platform_wire::caller_service_header)});
            response.headers.push_back({std::string{platform_wire::request_id_header}, id});
            response.body = "served by " + endpoint_id + std::string(padding, ' ');
        }
        call->respond(std::move(response));
    }

    std::string heartbeat(std::uint64_t sequence, const std::string& state = "ready") const {
        const json body{{"Service", settings.service},
                        {"Address", endpoint_address},
                        {"Zone", "z"},
                        {"Version", version},
                        {"Slots", 4},
                        {"State", state},
                        {"ColdRemaining", "0ms"},
                        {"Sequence", sequence},
                        {"born", 1000}};
        const auto text = body.dump();
        return "POST /-/rpc?call=instances.heartbeat&of=" + endpoint_id +
               " HTTP/1.1\r\nHost: x\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text;
    }

    /// Answers the requests that arrived while `holding`.
    void release() {
        holding = false;
        for (const auto& call : std::exchange(held, {})) {
            serve(call);
        }
    }

    std::string load_report = "0,0,4"; ///< of the health checks
    std::string version = "v1";        ///< of the backend server, told by its heartbeats
    std::size_t padding = 0;           ///< bytes added to the bodies of responses
    bool holding = false;              ///< requests are kept open until `release`
    bool refusing = false;             ///< requests are refused as not executed
    std::vector<std::shared_ptr<exchange>> held;
    std::string endpoint_id;
    std::string endpoint_address;
    http_server backend;
    sidecar_settings settings;
    std::vector<std::string> expected_ids;
    std::vector<std::string> callers;
    std::vector<header_list> seen; ///< headers of the requests that were served
    std::unique_ptr<endive::sidecar::sidecar> daemon;
};

} // namespace endive::sidecar::test
