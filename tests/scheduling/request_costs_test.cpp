#include "endive/scheduling.h"

#include <catch2/catch.hpp>

#include <random>

using namespace endive;
using namespace endive::scheduling;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

} // namespace

// Load pattern: one request in 33 takes seven times the mean. Guards against an estimate that follows the
// latest long request, so that an endpoint looks full after it.
TEST_CASE("the cost of a route is known after a few responses and hardly moved by long ones") {
    cost_model costs;
    const auto key = make_cost_key("s", "r", "GET", 0);
    CHECK(costs.estimate(key, 500ms).mean == 500ms);
    std::mt19937_64 random{3};
    std::lognormal_distribution<double> spread{-0.06, 0.35};
    for (int i = 0; i < 600; ++i) {
        const double factor = i % 33 == 32 ? 7 : spread(random);
        costs.record(key, 500ms, std::chrono::duration_cast<duration>(factor * 100ms));
        if (i >= 8) {
            INFO(i);
            CHECK(costs.estimate(key, 500ms).mean > 75ms);
            CHECK(costs.estimate(key, 500ms).mean < 160ms);
        }
    }
    CHECK(costs.estimate(key, 500ms).variation > 0.3);
    CHECK(costs.estimate(key, 500ms).variation < 0.9);
}

// Load pattern: reads of 600 ms and uploads of 180 ms on one route. Guards against one cost for both.
TEST_CASE("costs of one route are told apart by method and body size") {
    cost_model costs;
    const auto read = make_cost_key("s", "r", "GET", 0);
    const auto upload = make_cost_key("s", "r", "PUT", 60'000);
    for (int i = 0; i < 40; ++i) {
        costs.record(read, 300ms, 600ms);
        costs.record(upload, 300ms, 180ms);
    }
    CHECK(costs.estimate(read, 300ms).mean > 540ms);
    CHECK(costs.estimate(upload, 300ms).mean < 240ms);
    // A kind that has not been seen costs what the route does.
    const auto mean = costs.estimate(make_cost_key("s", "r", "POST", 100), 300ms).mean;
    CHECK(mean > 250ms);
    CHECK(mean < 550ms);
}

// Load pattern: every new configuration is checked by a request on each of its routes. Guards against memory
// that grows with the routes, and against busy routes that are forgotten for idle ones.
TEST_CASE("costs of many idle routes take bounded memory and push out no busy one") {
    cost_model costs;
    const auto busy = make_cost_key("s", "busy", "GET", 0);
    for (int i = 0; i < 100; ++i) {
        costs.record(busy, 400ms, 90ms);
    }
    for (int i = 0; i < 5000; ++i) {
        costs.record(make_cost_key("s", std::to_string(i), "GET", 0), 400ms, 3ms);
    }
    CHECK(costs.size() <= 512);
    CHECK(costs.estimate(busy, 400ms).mean < 100ms);
}

// Guards against an endpoint that looks a hundred times faster after answering checks of its routes.
TEST_CASE("very short responses hardly lower the cost of a route") {
    cost_model costs;
    const auto key = make_cost_key("s", "r", "GET", 0);
    for (int i = 0; i < 6; ++i) {
        costs.record(key, 500ms, 5ms);
    }
    CHECK(costs.estimate(key, 500ms).mean > 400ms);
}

// Load pattern: one request in 33 takes seven times the mean. Guards against a long request that counts as
// nearly done while it still takes most of its time.
TEST_CASE("the remaining work of a request depends on how long it has run") {
    const cost_estimate cost{100ms, 0.5, 30};
    CHECK(remaining_work(cost, 0ms) == 100ms);
    CHECK(remaining_work(cost, 40ms) == 60ms);
    CHECK(remaining_work(cost, 90ms) == 40ms);
    CHECK(remaining_work(cost, 400ms) == 200ms);
    CHECK(remaining_work(cost, 10s) == 300ms);
}

TEST_CASE("the outstanding work covers what runs and waits") {
    outstanding_work work;
    work.add(1, {100ms, 0.5, 30});
    work.add(2, {300ms, 0.5, 30});
    work.start(1, start);
    CHECK(work.remaining(start, 1) == 400ms);
    CHECK(work.remaining(start + 40ms, 1) == 360ms);
    CHECK(work.remaining(start + 40ms, 2) == 380ms);
    work.remove(1);
    work.remove(1);
    CHECK(work.remaining(start, 1) == 300ms);
    work.remove(2);
    work.start(2, start);
    CHECK(work.remaining(start, 1) == 0ms);
}

// Load pattern: a VM runs 2.5 times as slow for 600 ms. Guards against an endpoint that is avoided long after
// its last report, since no response tells that it is fast again.
TEST_CASE("an old report of a slow pace loses its weight") {
    pace_estimator pace;
    for (int i = 0; i < 20; ++i) {
        pace.on_report(1.0, start);
    }
    pace.on_report(2.5, start);
    CHECK(pace.pace(start) == Approx(2.5));
    CHECK(pace.pace(start + 600ms) < 1.7);
    CHECK(pace.pace(start + 3s) < 1.1);
    pace.set_cold(true);
    CHECK(pace.pace(start) == Approx(5.0));
}

// Load pattern: endpoints of speeds from 0.5 to 1.6 that report no pace. Guards against costs and paces that
// drift away together, since each is learned from the other.
TEST_CASE("the paces of endpoints that report none are learned and stay around 1") {
    const std::vector<double> actual{0.6, 0.8, 1.0, 1.2, 1.6};
    std::vector<pace_estimator> paces(actual.size());
    cost_model costs;
    const auto key = make_cost_key("s", "r", "GET", 0);
    std::mt19937_64 random{5};
    std::lognormal_distribution<double> spread{-0.125, 0.5};
    for (int i = 0; i < 20'000; ++i) {
        const auto at = random() % actual.size();
        const auto taken = std::chrono::duration_cast<duration>(actual[at] * spread(random) * 100ms);
        paces[at].on_response(costs.estimate(key, 400ms).mean, taken);
        costs.record(key, 400ms, std::chrono::duration_cast<duration>(taken / paces[at].pace(start)));
    }
    CHECK(paces[4].pace(start) / paces[0].pace(start) > 2);
    CHECK(paces[4].pace(start) / paces[0].pace(start) < 3.5);
    CHECK(costs.estimate(key, 400ms).mean > 70ms);
    CHECK(costs.estimate(key, 400ms).mean < 140ms);
}

// Guards against requests that the endpoint never answers: one that was cancelled or sent before a restart of
// the daemon may still occupy a slot there.
TEST_CASE("requests at the endpoint that this daemon does not know take slots for a short time") {
    foreign_requests foreign;
    CHECK(foreign.count(start) == 0);
    foreign.on_report({4, 1, 12, std::nullopt}, 3, start);
    CHECK(foreign.count(start + 100ms) == 2);
    CHECK(foreign.count(start + 2s) == 0);
    foreign.on_report({2, 0, 12, std::nullopt}, 3, start);
    CHECK(foreign.count(start) == 0);
    foreign.on_report({4'000'000'000, 4'000'000'000, 12, std::nullopt}, 0, start);
    CHECK(foreign.count(start) == 12);
}
