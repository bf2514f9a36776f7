#include "endive/fairness.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <numeric>

using namespace endive;
using namespace endive::fairness;
using namespace std::chrono_literals;

namespace {

/// Starts `count` requests of 100 ms, always the one with the least tag of `tenants`, which all have some.
std::map<tenant_id, int> start_backlogged(fair_shares& shares, const std::vector<tenant_id>& tenants,
                                          int count) {
    std::map<tenant_id, int> started;
    for (int i = 0; i < count; ++i) {
        const auto next = *std::min_element(tenants.begin(), tenants.end(), [&](tenant_id a, tenant_id b) {
            return shares.start_tag(a) < shares.start_tag(b);
        });
        shares.on_start(next, 100ms);
        ++started[next];
    }
    return started;
}

} // namespace

// Load pattern: one tenant keeps many more requests waiting than the others. Guards against slots that are
// given out by the number of requests.
TEST_CASE("tenants with waiting requests get equal shares of the work") {
    fair_shares shares;
    const auto started = start_backlogged(shares, {1, 2, 3, 4}, 400);
    for (const auto& [tenant, count] : started) {
        CHECK(count == 100);
    }
    // Requests that need twice the work start half as often.
    fair_shares mixed;
    double work_a = 0;
    for (int i = 0; i < 300; ++i) {
        const bool a = mixed.start_tag(1) <= mixed.start_tag(2);
        mixed.on_start(a ? 1 : 2, a ? 200ms : 100ms);
        work_a += a ? 0.2 : 0;
    }
    CHECK(work_a == Approx(20).margin(0.5));
}

// Guards against a tenant that was idle and then takes all slots for as long as it was idle, and against one
// that has to wait because it used the endpoint alone before.
TEST_CASE("an idle tenant gains no credit and unused room leaves no debt") {
    fair_shares shares;
    for (int i = 0; i < 1000; ++i) {
        shares.on_start(1, 100ms);
    }
    CHECK(shares.start_tag(1) - shares.start_tag(2) <= 0.1001);
    const auto started = start_backlogged(shares, {1, 2}, 100);
    CHECK(started.at(1) >= 49);
    CHECK(started.at(2) >= 49);
}

// Load pattern: a service whose slots are used by calls of endpoints, which carry no key, and by the requests
// of many tenants. Guards against calls that get the share of one tenant: each failed call fails its parent.
TEST_CASE("requests without a tenant weigh as much as all tenants together") {
    fair_shares shares;
    std::vector<tenant_id> tenants(41);
    std::iota(tenants.begin(), tenants.end(), 0);
    const auto started = start_backlogged(shares, tenants, 4000);
    CHECK(started.at(0) > 0.45 * 4000);
    CHECK(started.at(0) < 0.55 * 4000);
    CHECK(started.at(1) == Approx(started.at(40)).margin(1));
}

TEST_CASE("the order of waiting requests takes turns between tenants and keeps that within each") {
    const fair_shares shares;
    const std::vector<waiting_request> waiting{{1, 100ms}, {1, 100ms}, {1, 100ms}, {2, 100ms}, {3, 150ms}};
    CHECK(shares.order(waiting) == std::vector<std::size_t>{0, 3, 4, 1, 2});
    const std::vector<waiting_request> single(5, {7, 100ms});
    CHECK(shares.order(single) == std::vector<std::size_t>{0, 1, 2, 3, 4});
}

// Load pattern: requests of ever new tenants. Guards against memory that grows with every tenant ever seen.
TEST_CASE("tenants that have become idle are forgotten") {
    fair_shares shares;
    for (tenant_id tenant = 1; tenant <= 100000; ++tenant) {
        shares.on_start(tenant, 10ms);
        shares.on_start(tenant, 10ms);
    }
    CHECK(shares.size() <= 8192);
}
