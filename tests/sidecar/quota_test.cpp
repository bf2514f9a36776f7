// Quotas of tenants from the caller's request to the response, on a loopback event loop.

#include "sidecar/tenants_fixture.h"

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

/// `with_tenants`, in which bolt may send `rate` requests per second and five beyond that.
std::string with_quota(int version, double rate) {
    auto result = json::parse(with_tenants(version, {"acme-key"}));
    auto& spec = result["Resources"].back()["Spec"];
    spec["RatePerS"] = rate;
    spec["Burst"] = 5;
    return result.dump();
}

const std::string bolt = "X-Key: bolt-key\r\n";

} // namespace

// Guards against tenants that get more than their quota, against refusals without a time to come back, and
// against a tenant without a limit that is refused.
TEST_CASE("requests beyond the quota get 429 and the time until there is credit") {
    tenants_fixture f;
    f.start(with_quota(3, 5));
    f.pass(8s);
    int served = 0;
    std::string refused;
    std::vector<std::unique_ptr<raw_client>> clients;
    for (int i = 0; i < 60; ++i) {
        clients.push_back(std::make_unique<raw_client>(f.loop, f.front->settings.callers_address));
        clients.back()->send(f.request("/x/1", bolt));
    }
    REQUIRE(f.until([&] {
        return std::all_of(clients.begin(), clients.end(),
                           [](const auto& client) { return client->ended(); });
    }));
    for (const auto& client : clients) {
        const auto answer = client->received();
        const auto is_refused = answer.find("HTTP/1.1 429") == 0;
        served += is_refused ? 0 : 1;
        refused = is_refused ? answer : refused;
    }
    CHECK(served >= 5);
    CHECK(served <= 5 + 20);
    REQUIRE(refused.find("over_quota") != std::string::npos);
    const auto at = refused.find("Retry-After: ");
    REQUIRE(at != std::string::npos);
    const double wait = std::stod(refused.substr(at + std::string_view{"Retry-After: "}.size()));
    CHECK(wait > 0);
    CHECK(wait <= 10);
    CHECK(f.status("/x/1", "X-Key: acme-key\r\n") == "200");
    f.pass(3s);
    CHECK(f.status("/x/1", bolt) == "200");
}

// Guards against requests below the quota that are refused, and against tokens that are lost when requests
// are rejected without running.
TEST_CASE("requests that no endpoint runs cost no quota") {
    tenants_fixture f;
    f.start(with_quota(3, 0.5));
    f.pass(12s);
    f.back->refusing = true;
    for (int i = 0; i < 40; ++i) {
        CHECK(f.status("/x/1", bolt) == "503");
        f.pass(100ms);
    }
    f.back->refusing = false;
    f.pass(500ms);
    for (int i = 0; i < 4; ++i) {
        CHECK(f.status("/x/1", bolt) == "200");
    }
}

// Guards against a request that waits for tokens and outlives its caller or its deadline.
TEST_CASE("daemons that do not know the fleet refuse requests of limited tenants for the time being") {
    tenants_fixture f;
    f.start(with_quota(3, 5));
    const auto status =
        f.status("/x/1", bolt + std::string{platform_wire::remaining_time_header} + ": 100\r\n");
    CHECK((status == "429" || status == "200"));
    f.pass(8s);
    CHECK(f.status("/x/1", bolt) == "200");
}

// Guards against a delegation that arrives as another one, or an ask that creates tokens by a negative
// number.
TEST_CASE("delegations and asks survive encoding") {
    const auto round_trip = [](const quota_message& message) {
        const auto frame = encode(message);
        return std::get<quota_message>(decode_message(std::string_view{frame}.substr(4)));
    };
    quota_message message{5, true, 12, {{"a", 1, 0, 0ms, 2.0}}, tenants::quota_grant{7, 8, 90ms, 63}};
    const auto got = round_trip(message);
    CHECK(got.entries == message.entries);
    CHECK(got.grant == message.grant);
    message.entries[0].spent = -1;
    CHECK_THROWS_AS(round_trip(message), error);
}
