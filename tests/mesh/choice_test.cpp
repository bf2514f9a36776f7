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

TEST_CASE("a faster endpoint in another failure domain is left alone while the near one is on time") {
    const std::vector<candidate> options{option("near", true, 0.4, 2), option("far", false, 0.2, 0)};
    for (std::uint64_t draw = 0; draw < 10; ++draw) {
        CHECK(choose_endpoint(options, {0, 400ms}, draw) == 0U);
    }
}

TEST_CASE("a request crosses to another failure domain when the near endpoint would be late") {
    const std::vector<candidate> options{option("near", true, 0.4, 60), option("far", false, 0.4, 2)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) == 1U);
}

TEST_CASE("an upload crosses only when its near endpoint cannot be on time") {
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

TEST_CASE("an endpoint that keeps failing is used only when nothing better is there") {
    auto failing = option("a", true, 0.3, 0);
    failing.failures = 5;
    const std::vector<candidate> options{failing, option("b", true, 0.4, 8)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) == 1U);
    const std::vector<candidate> alone{failing};
    CHECK(choose_endpoint(alone, {0, 400ms}, 0) == 0U);
}

TEST_CASE("endpoints that are equally good share the requests") {
    const std::vector<candidate> options{option("a", true, 0.3, 2), option("b", true, 0.3, 2)};
    CHECK(choose_endpoint(options, {0, 400ms}, 0) != choose_endpoint(options, {0, 400ms}, 1));
}

TEST_CASE("no candidate, no choice") {
    CHECK_FALSE(choose_endpoint({}, {0, 400ms}, 0).has_value());
}

TEST_CASE("parts of a split follow their weights over few requests") {
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

TEST_CASE("a refusal speaks for requests that are no better off, and not for long") {
    refusal_cache memory;
    const admission_criteria refused{1, 600ms, 1500ms, 0ms};
    memory.on_refused(refused, 250ms, start);
    CHECK(memory.expected_refusal(refused, start) == 250ms);
    CHECK(memory.expected_refusal({2, 600ms, 800ms, 700ms}, start) == 250ms);
    CHECK_FALSE(memory.expected_refusal({0, 600ms, 1500ms, 0ms}, start)); // more urgent
    CHECK_FALSE(memory.expected_refusal({1, 150ms, 1500ms, 0ms}, start)); // shorter
    CHECK_FALSE(memory.expected_refusal({1, 600ms, 2500ms, 0ms}, start)); // more time
    CHECK_FALSE(memory.expected_refusal(refused, start + 200ms));
    memory.on_slot_available();
    CHECK_FALSE(memory.expected_refusal(refused, start));
}

// Failure: what a returning caller with little time is refused told nothing about a new request.
TEST_CASE("the refusal of a returned request does not keep a new one away") {
    refusal_cache memory;
    memory.on_refused({1, 600ms, 500ms, 900ms}, 250ms, start);
    CHECK_FALSE(memory.expected_refusal({1, 600ms, 1400ms, 0ms}, start));
}

// Load pattern: an endpoint gets 2.5 times what it can serve, through twelve daemons (Granite Hearth
// scale-1). Failure: each request was sent there, body and all, to be refused: most of the bytes between
// domains.
TEST_CASE("at an overloaded endpoint few requests travel only to be refused, and none is served less") {
    test::load_settings settings;
    settings.slots = 18;
    settings.work = 150ms;
    settings.rate = 300; // 120 a second fit
    settings.latency_target = 600ms;
    settings.deadline = 1500ms;
    const auto all_sent = test::run_load(settings);
    settings.first_hops = 12;
    const auto remembered = test::run_load(settings);
    const int refused_there = remembered.refused - remembered.not_sent;
    CHECK(refused_there < 0.5 * all_sent.refused);
    CHECK(remembered.served() > 0.97 * all_sent.served());
    CHECK(remembered.on_time > 0.97 * all_sent.on_time);
}
