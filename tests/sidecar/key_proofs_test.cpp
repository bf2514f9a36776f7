// Revocation of API keys with `fail_closed`, on a loopback event loop.

#include "sidecar/tenants_fixture.h"

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

const std::string acme = "X-Key: acme-key\r\n";

struct fail_closed_fixture : tenants_fixture {
    fail_closed_fixture() {
        adjust = [](sidecar_settings& settings) { settings.fail_closed = true; };
    }
    /// Starts both daemons and waits until requests with a key are served.
    void start_proven() {
        start(with_tenants(3, {"acme-key", "old-key"}));
        REQUIRE(until([&] { return status("/x/1", acme) == "200"; }));
    }
    /// The age that the daemon of `of` reports in seconds; infinite without a proof.
    double age(const vm& of) {
        return metric(of, "endive_key_age_seconds").value_or(std::numeric_limits<double>::infinity());
    }
};

} // namespace

// Guards against a daemon that refuses its callers as soon as it loses the store, and one that serves them
// without a proof for as long as the store is away.
TEST_CASE("requests with a key are served for a while without the store, then refused, public ones served") {
    fail_closed_fixture f;
    f.start_proven();
    REQUIRE(f.until([&] { return std::max(f.age(*f.front), f.age(*f.back)) < 1.6; }));
    f.store.set_unavailable(true);
    const auto cut = f.clock.now();
    while (f.clock.now() < cut + 2900ms) {
        CHECK(f.status("/x/1", acme) == "200");
        f.pass(100ms);
    }
    REQUIRE(f.until([&] { return std::min(f.age(*f.front), f.age(*f.back)) > 4.95; }));
    const auto refused = f.ask("/x/1", acme);
    CHECK(refused.starts_with("HTTP/1.1 503"));
    INFO(refused);
    CHECK(refused.find("keys_stale") != std::string::npos);
    CHECK(refused.find("Retry-After") != std::string::npos);
    CHECK(f.status("/x/1", "X-Key: other\r\n") == "503");
    CHECK(f.status("/x/1") == "401");
    f.back->seen.clear();
    CHECK(f.status("/open/1", acme) == "200");
    CHECK_FALSE(has_header(f.back->seen.at(0), platform_wire::tenant_header));
    f.store.set_unavailable(false);
    CHECK(f.until([&] { return f.status("/x/1", acme) == "200"; }));
}

// Guards against a daemon without the store that refuses its callers although a peer reads it, against one
// that takes answers of a store which does not show the configuration for a proof, and against two daemons
// that make each other believe that their knowledge is young.
TEST_CASE("a daemon whose store does not show the configuration relies on the proofs of its peers") {
    fail_closed_fixture f;
    f.start_proven();
    store_stand_in other{f.loop, f.clock};
    other.put("endiveledge", "member/vm-b", f.store.find("endiveledge", "member/vm-b")->value);
    f.replace_front("vm-c", other);
    REQUIRE(f.until([&] { return f.status("/x/1", acme) == "200"; }));
    f.pass(6s);
    REQUIRE(f.until([&] { return f.age(*f.front) < 1.9; }));
    CHECK(f.status("/x/1", acme) == "200");
    const auto watches = other.watches();
    f.store.set_unavailable(true);
    REQUIRE(f.until([&] { return f.age(*f.back) > 4.95; }));
    CHECK(f.age(*f.front) >= 4.95);
    CHECK(f.status("/x/1", acme) == "503");
    CHECK(other.watches() > watches);
}

// Guards against a daemon that was suspended with its endpoint's machine and serves a key that was revoked
// meanwhile, and one that restarts and relies on the rows of its peers.
TEST_CASE("a daemon that was suspended or has restarted does not serve a revoked key") {
    fail_closed_fixture f;
    f.start_proven();
    f.store.set_unavailable(true); // both are cut off, and the operator revokes the key
    f.store.forget_watches();
    f.store.put("op", "config", with_tenants(4, {"acme-key"}));
    REQUIRE(f.status("/x/1", "X-Key: old-key\r\n") == "200");
    f.clock.advance(6s);
    f.back->seen.clear();
    CHECK(f.status("/x/1", "X-Key: old-key\r\n") == "503");
    f.replace_front("vm-c", f.store);
    f.pass(2s);
    CHECK(f.status("/x/1", "X-Key: old-key\r\n") == "503");
    CHECK(f.back->seen.empty());
    f.store.set_unavailable(false);
    CHECK(f.until([&] { return f.status("/x/1", acme) == "200"; }));
    CHECK(f.status("/x/1", "X-Key: old-key\r\n") == "401");
}

// Guards against a request that waited for a slot and runs when the knowledge has become too old.
TEST_CASE("a queued request is refused when the knowledge becomes too old meanwhile") {
    fail_closed_fixture f;
    f.start_proven();
    f.back->holding = true;
    std::vector<std::unique_ptr<raw_client>> clients;
    for (std::size_t i = 0; i < 5; ++i) { // the endpoint has four slots
        clients.push_back(std::make_unique<raw_client>(f.loop, f.front->settings.callers_address));
        clients.back()->send(f.request("/x/1", acme));
        REQUIRE(f.until([&] { return f.back->held.size() == std::min<std::size_t>(i + 1, 4); }));
    }
    REQUIRE(f.until([&] { return f.metric(*f.back, "endive_endpoint_outstanding") == 5.0; }));
    f.store.set_unavailable(true);
    REQUIRE(f.until([&] { return f.age(*f.back) > 4.95; }));
    const auto served = f.back->expected_ids.size();
    f.back->release();
    REQUIRE(f.until([&] { return clients.back()->ended(); }));
    CHECK(clients.back()->received().starts_with("HTTP/1.1 503"));
    CHECK(clients.back()->received().find("keys_stale") != std::string::npos);
    CHECK(f.back->expected_ids.size() == served + 4);
}

// Guards against knowledge that is older when the store answers late, so that too little time is left to
// serve callers after a loss.
TEST_CASE("watches are shorter while the store answers late") {
    fail_closed_fixture f;
    f.start_proven();
    REQUIRE_FALSE(f.store.waited(300ms));
    f.clock.advance(1200ms); // the answers to the open watches come late by at least 500 ms
    CHECK(f.until([&] { return f.store.waited(300ms); }));
}
