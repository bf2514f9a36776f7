// Over- and under-admission of quotas over a fleet of the pure classes, with delayed messages.

#include "tenants/quota_fleet.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::tenants;
using namespace endive::tenants::test;

namespace {

/// Usual demand is the quota divided by this.
constexpr double reserve = 1.6;

std::vector<mesh::tenant> usual_tenants() {
    std::vector<mesh::tenant> result;
    for (const double rate : {5.0, 60.0, 352.0}) {
        result.push_back({"rate-" + std::to_string(static_cast<int>(rate)), {}, {}, rate, rate});
    }
    return result;
}

struct fixture {
    explicit fixture(std::size_t daemons) : fleet{{daemons, tenants}} { fleet.run(4s); }
    /// All tenants send `factor` times their usual demand from now on.
    void load(duration length, double factor = 1) {
        for (const auto& entry : tenants) {
            fleet.load(entry.name, entry.rate_per_s / reserve * factor, length);
        }
    }
    [[nodiscard]] double refused_share(const std::string& tenant) const {
        const auto& record = fleet.record(tenant);
        const auto refused = static_cast<double>(record.refused);
        return refused / std::max(1.0, refused + static_cast<double>(record.admitted.size()));
    }
    void check_bound() const {
        for (const auto& entry : tenants) {
            INFO(entry.name);
            CHECK(fleet.over_admission(entry) <= fleet.excess(entry));
        }
    }
    void partition(std::size_t daemons) {
        for (std::size_t i = 0; i < daemons; ++i) {
            fleet.set_group(i, 1);
        }
    }
    std::vector<mesh::tenant> tenants = usual_tenants();
    quota_fleet fleet;
};

} // namespace

// Guards against tenants below their limit that are refused, at their usual demand.
TEST_CASE("nobody is refused at the usual demand") {
    const auto daemons = GENERATE(std::size_t{3}, std::size_t{63}, std::size_t{300});
    fixture f{daemons};
    f.load(6s);
    f.fleet.run(7s);
    for (const auto& entry : f.tenants) {
        INFO(daemons << " daemons, " << entry.name);
        CHECK(f.fleet.record(entry.name).refused == 0);
    }
    f.check_bound();
}

// The load: one tenant at 7.5 times its usual demand for 6 s. Guards against a flood that gets more than the
// quota allows, or less than the quota, and against others that suffer from it.
TEST_CASE("a tenant far beyond its quota gets its quota, and the others are not refused") {
    const auto daemons = GENERATE(std::size_t{3}, std::size_t{63}, std::size_t{300});
    fixture f{daemons};
    const auto& flooding = f.tenants.back();
    f.load(6s);
    f.fleet.load(flooding.name, flooding.rate_per_s / reserve * 6.5, 6s);
    f.fleet.run(7s);
    f.check_bound();
    const auto served = static_cast<double>(f.fleet.record(flooding.name).admitted.size());
    CHECK(served >= 0.95 * (flooding.rate_per_s * 6 + flooding.burst));
    CHECK(f.fleet.record(f.tenants[0].name).refused == 0);
    CHECK(f.fleet.record(f.tenants[1].name).refused == 0);
}

// Guards against two sides of a partition that both distribute the whole quota, at the usual demand and at
// five times it, and against sides that stop serving.
TEST_CASE("a fifth of the daemons that are cut off and come back keep the quota") {
    const auto daemons = GENERATE(std::size_t{5}, std::size_t{63}, std::size_t{300});
    const auto factor = GENERATE(1.0, 5.0);
    fixture f{daemons};
    f.load(13s, factor);
    f.fleet.run(1s);
    f.partition(daemons / 5);
    f.fleet.run(8s);
    f.partition(0);
    for (std::size_t i = 0; i < daemons; ++i) {
        f.fleet.set_group(i, 0);
    }
    f.fleet.run(5s);
    f.check_bound();
    INFO(daemons << " daemons, " << factor << " times the usual demand");
    if (factor == 1.0) {
        CHECK(f.refused_share("rate-60") <= 0.15);
        CHECK(f.refused_share("rate-352") <= 0.15);
    }
    CHECK(f.fleet.record("rate-352").admitted.size() >= 13 * 352 / reserve * 0.85);
}

// Guards against allowance that a new coordinator creates, and against one that is missing for long.
TEST_CASE("the loss and the return of a coordinator create no allowance") {
    const auto daemons = GENERATE(std::size_t{3}, std::size_t{63});
    const auto factor = GENERATE(1.0, 5.0);
    fixture f{daemons};
    f.load(10s, factor);
    f.fleet.run(2s);
    const auto coordinator = f.fleet.coordinator_of("rate-352");
    f.fleet.kill(coordinator);
    f.fleet.run(4s);
    f.fleet.restart(coordinator);
    f.fleet.run(5s);
    f.check_bound();
    if (factor == 1.0) {
        CHECK(f.refused_share("rate-352") <= 0.15);
    }
    CHECK(f.fleet.record("rate-352").admitted.size() >=
          10 * 352 / reserve * 0.7); // a killed daemon's callers wait
}

// Guards against daemons that count the quota in full after all have lost each other, and against quotas of
// less than one request a daemon that are all used in the same window.
TEST_CASE("daemons that have lost all others admit their part") {
    fixture f{63};
    for (std::size_t i = 0; i < f.fleet.size(); ++i) {
        f.fleet.set_group(i, static_cast<int>(i));
    }
    f.fleet.run(20s);
    f.load(8s, 5.0);
    f.fleet.run(9s);
    f.check_bound();
    CHECK(f.fleet.record("rate-352").admitted.size() >= 352 * 8 / 2);
}

// Guards against a lower limit that tokens or buckets of the earlier one outlast.
TEST_CASE("a lower limit is binding within one window") {
    fixture f{63};
    f.load(14s, 5.0);
    f.fleet.run(3s);
    f.tenants.back().rate_per_s = 50;
    f.tenants.back().burst = 50;
    f.fleet.set_tenants(f.tenants);
    const auto from = f.fleet.now() + 5s;
    f.fleet.run(12s);
    CHECK(f.fleet.over_admission(f.tenants.back(), from) <= f.fleet.excess(f.tenants.back()));
    CHECK(f.fleet.record("rate-352").admitted.size() >= 9 * 50);
}

// Guards against tokens that stay at daemons whose callers have left.
TEST_CASE("the allowance follows callers that move to other daemons") {
    fixture f{63};
    const double demand = 352 * 0.95;
    f.fleet.load("rate-352", demand, 4s, 0, 6);
    f.fleet.run(4s);
    f.fleet.clear_records();
    f.fleet.load("rate-352", demand, 4s, 40, 46);
    f.fleet.run(5s);
    CHECK(f.fleet.record("rate-352").refused == 0);
}

// Guards against a daemon that uses its leases, or answers old probes, after it was suspended.
TEST_CASE("a daemon that was frozen uses no expired tokens") {
    fixture f{10};
    f.load(12s, 5.0);
    f.fleet.run(3s);
    const auto coordinator = f.fleet.coordinator_of("rate-352");
    for (const auto daemon : {coordinator, (coordinator + 1) % 10}) {
        f.fleet.freeze(daemon);
    }
    f.fleet.run(4s);
    for (const auto daemon : {coordinator, (coordinator + 1) % 10}) {
        f.fleet.thaw(daemon);
    }
    f.fleet.run(6s);
    f.check_bound();
}

// Guards against tokens that are granted although their daemon holds a wrong view, and against returns that
// create tokens.
TEST_CASE("a coordinator leases whole tokens of its bucket and takes returned ones up to the burst") {
    const time_point start{1h};
    const std::vector<mesh::tenant> tenants{{"a", {}, {}, 10, 4}};
    quota_view view{"x", 100};
    (void)view.update({}, 1, true, start);
    quota_coordinator coordinator{{5s, 0.1, 20}, "x"};
    coordinator.set_tenants(tenants, view, start);
    CHECK(coordinator.share("a", view, start + 1s) == 1.0);
    CHECK(coordinator.on_ask({"a", 0, 0, 0}, view, start + 1s).tokens == 0);
    const auto lease = coordinator.on_ask({"a", 10, 0, 0}, view, start + 2s);
    CHECK(lease.tokens == 4);
    CHECK(lease.wait > 0ms);
    CHECK(lease.wait <= 100ms);
    CHECK(coordinator.on_ask({"a", 9, 4, 9}, view, start + 2s).tokens == 4);
    CHECK(coordinator.on_ask({"a", 1, 0, 0}, view, start + 2s).tokens == 0);
    CHECK(coordinator.on_ask({"other", 1, 0, 0}, view, start + 2s).tokens == 0);
    // Before it knows how many daemons there are, a coordinator has no part of the quota.
    (void)view.update({}, 0, true, start + 3s);
    CHECK(coordinator.share("a", view, start + 3s) == 0.0);
}

// Guards against a request that did not run and keeps its token, and against further runs without one.
TEST_CASE("a client returns tokens that are not needed and pays for further runs") {
    const time_point start{1h};
    const std::vector<mesh::tenant> tenants{{"a", {}, {}, 10, 10}, {"free", {}, {}, 0, 0}};
    quota_client client;
    client.set_tenants(tenants);
    CHECK_FALSE(client.is_limited("free"));
    CHECK(client.on_request("free", start).verdict == quota_verdict::admit);
    CHECK(client.on_request("a", start).verdict == quota_verdict::wait);
    REQUIRE(client.take_asks(start) == std::vector<quota_ask>{{"a", 1, 0, 0}});
    CHECK(client.take_asks(start).empty());
    client.on_lease({"a", 3, 0ms}, start, start + 2ms);
    CHECK(client.resume("a", start, start + 2ms).verdict == quota_verdict::admit);
    CHECK(client.in_hand("a", start + 2ms) == 2);
    client.give_back("a");
    CHECK(client.take_asks(start + 3ms) == std::vector<quota_ask>{{"a", 0, 1, 1}});
    client.tick(start + 400ms);
    CHECK(client.take_asks(start + 400ms) == std::vector<quota_ask>{{"a", 0, 2, 2}});
    CHECK(client.in_hand("a", start + 400ms) == 0);
    client.charge("a");
    CHECK(client.take_asks(start + 410ms) == std::vector<quota_ask>{{"a", 1, 0, 0}});
    client.on_lease({"a", 1, 0ms}, start + 410ms, start + 412ms);
    CHECK(client.in_hand("a", start + 412ms) == 0);
    // An answer that comes after the tokens have expired brings none.
    CHECK(client.on_request("a", start + 2s).verdict == quota_verdict::wait);
    (void)client.take_asks(start + 2s);
    client.on_lease({"a", 1, 0ms}, start + 2s, start + 2s + quota_lease_time);
    CHECK(client.resume("a", start + 2s, start + 2s + quota_lease_time).verdict == quota_verdict::wait);
    CHECK(client.resume("a", start + 2s, start + 3s).verdict == quota_verdict::refuse);
}
