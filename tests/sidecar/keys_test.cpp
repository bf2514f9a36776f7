// API keys and tenants from the caller's request to the endpoint, on a loopback event loop.

#include "sidecar/tenants_fixture.h"

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

/// Values of the headers that an endpoint may take for `name`.
std::vector<std::string> values_of(const header_list& headers, const std::string& name) {
    std::vector<std::string> result;
    for (auto field : headers) {
        std::replace(field.name.begin(), field.name.end(), '_', '-');
        if (equal_ignoring_case(field.name, name)) {
            result.push_back(field.value);
        }
    }
    return result;
}

} // namespace

// Guards against requests that pass without a valid key, and against public routes that ask for one.
TEST_CASE("a request needs a key that a tenant holds unless its route is public") {
    tenants_fixture f;
    f.start(with_tenants(3, {"acme-key"}));
    CHECK(f.status("/x/1", "X-Key: acme-key\r\n") == "200");
    CHECK(f.status("/x/1", "x-key: bolt-key\r\nX-KEY: bolt-key\r\n") == "200");
    CHECK(f.back->seen.size() == 2);
    CHECK(f.status("/x/1") == "401");
    CHECK(f.status("/x/1", "X-Key:\r\n") == "401");
    CHECK(f.status("/x/1", "X-Key: other\r\n") == "401");
    CHECK(f.status("/x/1", "X_Key: acme-key\r\n") == "401");
    CHECK(f.status("/x/1", "X-Key: acme-key\r\nX-Key: bolt-key\r\n") == "401");
    CHECK(f.back->seen.size() == 2);
    CHECK(f.status("/open/1", "X-Key: other\r\n") == "200");
    CHECK(f.status("/none/1", "X-Key: other\r\n") == "404");
}

// Guards against an endpoint that learns a key, or takes a tenant's name from the caller.
TEST_CASE("the endpoint gets the tenant of the key and neither a key nor a forged tenant") {
    tenants_fixture f;
    f.start(with_tenants(3, {"acme-key"}));
    const std::string forged =
        "X-Tenant: forged\r\nx_tenant: forged\r\nX-tenant: forged\r\nX_KEY: forged\r\n";
    for (const auto* path : {"/x/1", "/open/1"}) {
        f.back->seen.clear();
        REQUIRE(f.status(path, forged + "X-Key: acme-key\r\n") == "200");
        REQUIRE(f.back->seen.size() == 1);
        CHECK(values_of(f.back->seen[0], "X-Tenant") == std::vector<std::string>{"acme"});
        CHECK(values_of(f.back->seen[0], "X-Key").empty());
    }
    f.back->seen.clear();
    REQUIRE(f.status("/open/1", forged + "X-Key: other\r\n") == "200");
    CHECK(values_of(f.back->seen.at(0), "X-Tenant").empty());
    CHECK(values_of(f.back->seen.at(0), "X-Key").empty());
}

// Guards against a deployment without tenants whose own headers of these names are removed or checked.
TEST_CASE("without tenants requests need no key and keep their headers") {
    tenants_fixture f;
    auto open = json::parse(with_tenants(3, {}));
    open["Resources"].erase(open["Resources"].size() - 1);
    open["Resources"].erase(open["Resources"].size() - 1);
    f.start(open.dump());
    REQUIRE(f.status("/x/1", "X-Key: a\r\nX-Tenant: b\r\n") == "200");
    CHECK(values_of(f.back->seen.at(0), "X-Key") == std::vector<std::string>{"a"});
    CHECK(values_of(f.back->seen.at(0), "X-Tenant") == std::vector<std::string>{"b"});
}

// Guards against a removed key that is accepted further, and a configuration that contradicts itself and
// takes the keys of all tenants away.
TEST_CASE("keys change with the configuration, and contradicting tenants leave the last good one in force") {
    tenants_fixture f;
    f.start(with_tenants(3, {"acme-key", "old-key"}));
    REQUIRE(f.status("/x/1", "X-Key: old-key\r\n") == "200");
    f.store.put("op", "config", with_tenants(4, {"acme-key", "new-key"}));
    REQUIRE(f.until([&] { return f.status("/x/1", "X-Key: new-key\r\n") == "200"; }));
    CHECK(f.until([&] { return f.status("/x/1", "X-Key: old-key\r\n") == "401"; }));
    f.store.put("op", "config", with_tenants(5, {"bolt-key"}));
    f.pass(2s);
    CHECK(f.status("/x/1", "X-Key: acme-key\r\n") == "200");
    CHECK(f.status("/x/1", "X-Key: new-key\r\n") == "200");
}

// Guards against a daemon without a configuration that takes every key for unknown.
TEST_CASE("a daemon without a configuration answers 503 to a request with a key") {
    tenants_fixture f;
    f.front = std::make_unique<vm>(f.loop, f.clock, f.store, "vm-a", "web");
    const auto answer = f.ask("/x/1", "X-Key: acme-key\r\n");
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("no_configuration") != std::string::npos);
}

// Guards against a request that waited for a slot and runs after its key was revoked.
TEST_CASE("a queued request whose key is revoked meanwhile is refused") {
    tenants_fixture f;
    f.start(with_tenants(3, {"acme-key", "old-key"}));
    f.back->holding = true;
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 5; ++i) { // the endpoint has four slots
        clients.push_back(std::make_unique<raw_client>(f.loop, f.front->settings.callers_address));
        clients.back()->send(f.request("/x/1", i < 4 ? "X-Key: acme-key\r\n" : "X-Key: old-key\r\n"));
        REQUIRE(f.until([&] { return f.back->held.size() == std::min<std::size_t>(i + 1, 4); }));
    }
    REQUIRE(f.until([&] { return f.metric(*f.back, "endive_endpoint_outstanding") == 5.0; }));
    f.store.put("op", "config", with_tenants(4, {"acme-key"}));
    // Both daemons have the new configuration after the time that one takes to be in force everywhere.
    f.pass(2500ms);
    REQUIRE(f.status("/x/1", "X-Key: old-key\r\n") == "401");
    f.back->release();
    REQUIRE(f.until([&] { return clients.back()->ended(); }));
    CHECK(clients.back()->received().starts_with("HTTP/1.1 401"));
    CHECK(clients.front()->expect("200 OK"));
}
