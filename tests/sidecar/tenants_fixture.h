#pragma once
// Two VMs and a configuration with tenants, on a loopback event loop.

#include "sidecar/vm.h"

#include <catch2/catch.hpp>

namespace endive::sidecar::test {

/// `configuration` with the tenants acme, which holds `keys`, and bolt, and with a public route `/open/`.
inline std::string with_tenants(int version, const std::vector<std::string>& keys) {
    auto result = json::parse(configuration(version, "books", "safe", "20000ms"));
    auto open = result["Resources"][0];
    open["Metadata"]["Name"] = "open";
    open["Spec"]["Prefix"] = "/open/";
    open["Spec"]["Public"] = true;
    result["Resources"].push_back(open);
    const auto add = [&](const std::string& name, const json& spec) {
        result["Resources"].push_back(
            {{"ResourceType", "Tenants"}, {"Metadata", {{"Name", name}}}, {"Spec", spec}});
    };
    add("acme", {{"ApiKeys", keys}, {"Priority", 1}});
    add("bolt", {{"ApiKeys", {"bolt-key"}}});
    return result.dump();
}

/// Two VMs: `front` takes the requests, the endpoint of `back` runs them.
struct tenants_fixture {
    boost::asio::io_context loop;
    manual_clock clock;
    store_stand_in store{loop, clock};
    std::unique_ptr<vm> front;
    std::unique_ptr<vm> back;
    std::vector<std::unique_ptr<vm>> replaced;
    std::function<void(sidecar_settings&)> adjust;
    int sent = 0;

    void start(const std::string& first_configuration) {
        store.put("op", "config", first_configuration);
        back = std::make_unique<vm>(loop, clock, store, "vm-b", "books", 256, false, adjust);
        front = std::make_unique<vm>(loop, clock, store, "vm-a", "web", 256, false, adjust);
        REQUIRE(until([&] { return ask("/open/1").find("200 OK") != std::string::npos; }));
        back->seen.clear();
    }
    /// Requests go to a new daemon from now on. The earlier one stays, as its timers refer to it.
    void replace_front(const std::string& name, const store_stand_in& its_store) {
        replaced.push_back(std::move(front));
        front = std::make_unique<vm>(loop, clock, its_store, name, "web", 256, false, adjust);
    }
    /// Lets time pass, in steps that leave the daemons time to handle what is due.
    void pass(duration time) {
        for (duration passed{0}; passed < time; passed += 20ms) {
            clock.advance(20ms);
            run_steps(loop, 8);
        }
    }
    bool until(const std::function<bool()>& done) {
        constexpr int max_steps = 2000;
        for (int step = 0; step < max_steps && !done(); ++step) {
            pass(20ms);
        }
        return done();
    }
    std::string request(const std::string& path, const std::string& headers) {
        return "GET " + path + " HTTP/1.1\r\nHost: a.example\r\n" +
               std::string{platform_wire::request_id_header} + ": id" + std::to_string(++sent) +
               "\r\nConnection: close\r\n" + headers + "\r\n";
    }
    /// Sends a request to `front` and returns the response.
    std::string ask(const std::string& path, const std::string& headers = {}) {
        raw_client client{loop, front->settings.callers_address};
        client.send(request(path, headers));
        REQUIRE(until([&] { return client.ended(); }));
        return client.received();
    }
    /// A figure of the daemon's metrics page; empty when it is not there.
    std::optional<double> metric(const vm& of, const std::string& name) {
        raw_client client{loop, of.settings.metrics_address};
        client.send("GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n");
        run_until(loop, [&] { return client.ended(); });
        const auto at = client.received().find("\n" + name + " ");
        return at == std::string::npos
                   ? std::nullopt
                   : std::optional{std::stod(client.received().substr(at + name.size() + 2))};
    }
    /// Status of the response.
    std::string status(const std::string& path, const std::string& headers = {}) {
        return ask(path, headers).substr(std::string_view{"HTTP/1.1 "}.size(), 3);
    }
};

} // namespace endive::sidecar::test
