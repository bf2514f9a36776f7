#include "endive/mesh.h"

#include "mesh/load_model.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

candidate option(std::string daemon, bool same_domain, double slowness, std::uint32_t outstanding) {
    return {std::move(daemon), false, same_domain, {outstanding, 12, 120ms, slowness, true}, 0, 0};
}

} // namespace

TEST_CASE("a faster endpoint in another failure domain is not chosen while the local one is on time") {
    const std::vector<candidate> options{option("near", true, 0.4, 2), option("far", false, 0.2, 0)};
    for (std::uint64_t random = 0; random < 10; ++random) {
        CHECK(choose_endpoint(options, {0, 400ms}, random) == 0U);
    }
}

TEST_CASE("a request crosses into another failure domain when the local endpoint would be late") {
    const std::vector<candidate> options{option("near", true, 0.4, 60), option("far", false, 0.4, 2)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) == 1U);
}

TEST_CASE("an upload crosses only when no endpoint in its failure domain can be on time") {
    const std::size_t body = 60UL * 1024;
    const std::vector<candidate> slow{option("near", true, 0.6, 11), option("far", false, 0.3, 0)};
    CHECK(choose_endpoint(slow, {body, 500ms}, 0) == 0U);
    const std::vector<candidate> only_far{option("far", false, 0.3, 0)};
    CHECK(choose_endpoint(only_far, {body, 500ms}, 0) == 0U);
}

TEST_CASE("requests sent since the last report count as load") {
    auto busy = option("a", true, 0.3, 4);
    busy.sent_since_load = 30;
    const std::vector<candidate> options{busy, option("b", true, 0.3, 10)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) == 1U);
}

TEST_CASE("an endpoint with consecutive failures is used only when no better one is available") {
    auto failing = option("a", true, 0.3, 0);
    failing.failures = 5;
    const std::vector<candidate> options{failing, option("b", true, 0.4, 8)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) == 1U);
    const std::vector<candidate> alone{failing};
    CHECK(choose_endpoint(alone, {0, 400ms}, 0) == 0U);
}

TEST_CASE("requests are distributed among endpoints of equal cost") {
    const std::vector<candidate> options{option("a", true, 0.3, 2), option("b", true, 0.3, 2)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) != choose_endpoint(options, {0, 400ms}, 1));
}

TEST_CASE("no endpoint is chosen without candidates") {
    CHECK_FALSE(choose_endpoint({}, {0, 400ms}, 0).has_value());
}

TEST_CASE("the parts of a split receive traffic by weight even over few requests") {
    route split;
    split.name = "r";
    split.parts = {{"a", 90}, {"b", 10}};
    split_chooser chooser;
    int second = 0;
    for (int i = 0; i < 50; ++i) {
        second += chooser.choose(split) == 1 ? 1 : 0;
    }
    CHECK(second == 5);
    split.parts = {{"a", 0}, {"b", 10}};
    for (int i = 0; i < 10; ++i) {
        CHECK(chooser.choose(split) == 1);
    }
}

TEST_CASE("a refusal applies to requests that are no more likely to be admitted, for a limited time") {
    refusal_cache cache;
    const admission_criteria refused{1, 600ms, 1500ms, 0ms};
    cache.on_refused(refused, 250ms, start);
    CHECK(cache.expected_refusal(refused, start) == 250ms);
    CHECK(cache.expected_refusal({2, 600ms, 800ms, 700ms}, start) == 250ms);
    CHECK_FALSE(cache.expected_refusal({0, 600ms, 1500ms, 0ms}, start)); // more urgent
    CHECK_FALSE(cache.expected_refusal({1, 150ms, 1500ms, 0ms}, start)); // stricter latency target
    CHECK_FALSE(cache.expected_refusal({1, 600ms, 2500ms, 0ms}, start)); // more time left
    CHECK_FALSE(cache.expected_refusal(refused, start + 200ms));
    cache.on_slot_available();
    CHECK_FALSE(cache.expected_refusal(refused, start));
}

// Guards against applying the refusal of a retried request with little time left to a new request.
TEST_CASE("the refusal of a retried request does not apply to a new one") {
    refusal_cache cache;
    cache.on_refused({1, 600ms, 500ms, 900ms}, 250ms, start);
    CHECK_FALSE(cache.expected_refusal({1, 600ms, 1400ms, 0ms}, start));
}

// Load pattern: an endpoint receives 2.5 times its capacity through twelve daemons. Guards against sending
// each request with its body to the endpoint only to be refused there, which caused most of the traffic
// between failure domains.
TEST_CASE("few requests are sent to an overloaded endpoint only to be refused, and as many are served") {
    test::load_settings settings;
    settings.slots = 18;
    settings.service_time = 150ms;
    settings.rate = 300; // the capacity is 120 per second
    settings.latency_target = 600ms;
    settings.deadline = 1500ms;
    const auto all_sent = test::run_load(settings);
    settings.first_hops = 12;
    const auto with_cache = test::run_load(settings);
    const int refused_by_endpoint = with_cache.refused - with_cache.not_sent;
    CHECK(refused_by_endpoint < 0.5 * all_sent.refused);
    CHECK(with_cache.served() > 0.97 * all_sent.served());
    CHECK(with_cache.on_time > 0.97 * all_sent.on_time);
}
