#include "endive/mesh.h"

#include "mesh/load_model.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

gate_request request(std::uint64_t ticket, std::uint32_t priority, milliseconds target,
                     milliseconds deadline) {
    return {ticket, priority, target, start + target, start + deadline};
}

endpoint_gate ready_gate(std::uint32_t slots) {
    endpoint_gate gate;
    gate.set_slots(slots);
    (void)gate.set_ready(true, start);
    return gate;
}

gate_verdict verdict_of(const std::vector<gate_action>& actions, std::uint64_t ticket) {
    for (const auto& action : actions) {
        if (action.ticket == ticket) {
            return action.verdict;
        }
    }
    FAIL("no verdict for the request");
    return gate_verdict::refused;
}

} // namespace

TEST_CASE("the endpoint never receives more requests than it has slots") {
    auto gate = ready_gate(2);
    CHECK(verdict_of(gate.offer(request(1, 0, 400ms, 1000ms), start), 1) == gate_verdict::start);
    CHECK(verdict_of(gate.offer(request(2, 0, 400ms, 1000ms), start), 2) == gate_verdict::start);
    CHECK(verdict_of(gate.offer(request(3, 0, 400ms, 1000ms), start), 3) == gate_verdict::queued);
    CHECK(gate.running() == 2);
    const auto actions = gate.finish(1, 100ms, start + 100ms);
    CHECK(verdict_of(actions, 3) == gate_verdict::start);
    CHECK(gate.running() == 2);
}

TEST_CASE("queued requests start in order of priority, then of target") {
    auto gate = ready_gate(1);
    (void)gate.offer(request(1, 0, 400ms, 5000ms), start);
    (void)gate.offer(request(2, 2, 400ms, 5000ms), start);
    (void)gate.offer(request(3, 1, 900ms, 5000ms), start);
    (void)gate.offer(request(4, 1, 600ms, 5000ms), start);
    CHECK(verdict_of(gate.finish(1, 50ms, start + 50ms), 4) == gate_verdict::start);
    CHECK(verdict_of(gate.finish(4, 50ms, start + 100ms), 3) == gate_verdict::start);
    CHECK(verdict_of(gate.finish(3, 50ms, start + 150ms), 2) == gate_verdict::start);
}

TEST_CASE("a request that cannot finish before its deadline is refused at once with a retry delay") {
    auto gate = ready_gate(1);
    (void)gate.offer(request(1, 0, 400ms, 5000ms), start);
    const auto actions = gate.offer(request(2, 0, 400ms, 50ms), start);
    REQUIRE(verdict_of(actions, 2) == gate_verdict::refused);
    CHECK(actions.front().retry_after > 0ms);
    CHECK(gate.waiting() == 0);
}

TEST_CASE("an endpoint that is no longer ready refuses queued requests and finishes running ones") {
    auto gate = ready_gate(1);
    (void)gate.offer(request(1, 0, 400ms, 5000ms), start);
    (void)gate.offer(request(2, 0, 400ms, 5000ms), start);
    CHECK(verdict_of(gate.set_ready(false, start), 2) == gate_verdict::refused);
    CHECK(gate.running() == 1);
    CHECK(gate.finish(1, 100ms, start + 100ms).empty());
    CHECK(verdict_of(gate.offer(request(3, 0, 400ms, 5000ms), start), 3) == gate_verdict::refused);
}

TEST_CASE("a queued request whose caller disconnected takes no slot") {
    auto gate = ready_gate(1);
    (void)gate.offer(request(1, 0, 400ms, 5000ms), start);
    (void)gate.offer(request(2, 0, 400ms, 5000ms), start);
    CHECK(gate.remove(2));
    CHECK(gate.finish(1, 100ms, start + 100ms).empty());
    CHECK_FALSE(gate.remove(2));
}

// Load pattern: a few short requests on the routes of a new configuration before the first callers, and many
// in a series of configurations. Guards against an endpoint that looks a hundred times faster than it is, so
// that all daemons send their requests there.
TEST_CASE("short requests on new routes do not make an endpoint look fast") {
    auto gate = ready_gate(4);
    auto now = start;
    std::uint64_t ticket = 0;
    const auto run = [&](duration service_time) {
        (void)gate.offer({++ticket, 0, 1500ms, now + 1500ms, now + 10s}, now);
        now += service_time;
        (void)gate.finish(ticket, service_time, now);
    };
    for (int i = 0; i < 6; ++i) {
        run(5ms);
    }
    CHECK(gate.load().slowness > 0.25);
    CHECK(gate.load().service_time > 300ms);
    for (int i = 0; i < 20; ++i) {
        run(480ms);
    }
    CHECK(gate.load().slowness == Approx(0.32).epsilon(0.1));
    for (int i = 0; i < 80; ++i) {
        run(i % 4 == 0 ? 480ms : 5ms);
    }
    CHECK(gate.load().slowness > 0.25);
    CHECK(gate.load().service_time > 300ms);
}

// Guards against an endpoint that is avoided for long after it was slow, or that looks slower than it is in a
// service whose requests take a small part of their target.
TEST_CASE("the speed of an endpoint is known again after some tens of responses") {
    auto gate = ready_gate(4);
    auto now = start;
    std::uint64_t ticket = 0;
    const auto run = [&](int count, duration service_time) {
        for (int i = 0; i < count; ++i) {
            (void)gate.offer({++ticket, 0, 1500ms, now + 1500ms, now + 60s}, now);
            now += service_time;
            (void)gate.finish(ticket, service_time, now);
        }
    };
    run(40, 5760ms);
    CHECK(gate.load().slowness > 3);
    run(60, 480ms);
    CHECK(gate.load().slowness < 0.7);
    endive::mesh::endpoint_gate fast;
    fast.set_slots(4);
    (void)fast.set_ready(true, start);
    for (std::uint64_t i = 1; i <= 30; ++i) {
        (void)fast.offer({i, 0, 1500ms, now + 1500ms, now + 60s}, now);
        now += 60ms;
        (void)fast.finish(i, 60ms, now);
    }
    CHECK(fast.load().slowness < 0.12);
}

// Load pattern: reads arrive at twice the capacity of the endpoint for a long time, as after a scale-in.
TEST_CASE("at twice its capacity an endpoint serves most of the admitted requests on time") {
    test::load_settings settings;
    settings.slots = 12;
    settings.rate = 200; // the capacity is 100 per second
    settings.service_time = 120ms;
    settings.latency_target = 400ms;
    settings.deadline = 1200ms;
    const auto result = test::run_load(settings);
    CHECK(result.served() > 0.85 * 100 * settings.seconds);
    CHECK(result.on_time > 0.8 * result.served());
    // Requests are refused at once rather than shortly before their deadline.
    CHECK(result.median_refusal_wait < 50ms);
}

// Load pattern: bursts of arrivals above capacity for half a second, then a pause.
TEST_CASE("requests of short bursts are queued and served, not refused") {
    test::load_settings settings;
    settings.slots = 12;
    settings.rate = 70;
    settings.burst_factor = 1.8;
    settings.burst_every = 2000ms;
    settings.burst_length = 500ms;
    settings.service_time = 120ms;
    settings.latency_target = 400ms;
    settings.deadline = 1200ms;
    const auto result = test::run_load(settings);
    CHECK(result.refused < 0.02 * result.offered());
    CHECK(result.on_time > 0.9 * result.offered());
}

// Load pattern: urgent requests and many more less urgent ones of the same service.
TEST_CASE("an overload of less urgent requests does not starve urgent ones") {
    test::load_settings settings;
    settings.slots = 12;
    settings.rate = 250;
    settings.urgent_share = 0.2;
    settings.service_time = 120ms;
    settings.latency_target = 400ms;
    settings.deadline = 1200ms;
    const auto result = test::run_load(settings);
    CHECK(result.urgent_served > 0.98 * result.urgent_offered);
}

// Load pattern: new and retried requests at an endpoint so slow that no request is certain to be on time,
// such as service times of 200 ms for a target of 400 ms. Guards against classifying all of them as late, in
// which case the retried ones, which have the earliest targets, started first.
TEST_CASE("at a slow endpoint retried requests do not delay those that can still be on time") {
    test::load_settings settings;
    settings.slots = 12;
    settings.rate = 72; // the capacity is 48 per second
    settings.retried_share = 0.4;
    settings.service_time = 250ms;
    settings.latency_target = 400ms;
    settings.deadline = 1200ms;
    const auto result = test::run_load(settings);
    // There is capacity for 43 new requests per second; nine in ten finish within the target.
    CHECK(result.on_time > 0.8 * 0.9 * 0.6 * settings.rate * settings.seconds);
    CHECK(result.served() > 0.85 * 48 * settings.seconds);
}

// Load pattern: short calls of other endpoints, with little time remaining, and longer requests at an
// endpoint that receives 1.7 times its capacity, as with two of three endpoints of a service removed. Guards
// against a queue of long requests that leaves no time for the short ones: each refused call also wasted the
// slot that its caller held.
TEST_CASE("longer requests do not starve the short calls of other endpoints") {
    test::load_settings settings;
    settings.slots = 18;
    settings.rate = 60;
    settings.service_time = 350ms;
    settings.latency_target = 1500ms;
    settings.deadline = 4000ms;
    settings.short_rate = 150;
    const auto result = test::run_load(settings);
    CHECK(result.short_served > 0.9 * result.short_offered);
    // The remaining slots still serve the longer ones: 18 slots less 10.5 for the calls.
    const double remaining = (18 - 150 * 0.07) / 0.35 * settings.seconds;
    CHECK(result.served() - result.short_served > 0.7 * remaining);
}

TEST_CASE("a request with less time remaining than its caller's timeout is recognized as a retry") {
    age_estimator ages;
    CHECK(ages.age("r", 2500ms, start) == 0ms);
    // The caller's timeout lies between 2125 and 2500 ms, so the first attempt was 425 to 800 ms ago.
    const auto age = ages.age("r", 1700ms, start + 1s);
    CHECK(age >= 425ms);
    CHECK(age <= 800ms);
    CHECK(ages.age("r", 2495ms, start + 1s) == 0ms);
    // Another first request with the full timeout confirms it; it expires after a long time without one.
    CHECK(ages.age("r", 1700ms, start + 20s) == 0ms);
}

// Guards against estimating an age of up to 375 ms, most of a target of 400 ms, for first requests of callers
// with shorter timeouts. An endpoint with a queue put them behind the others and refused nine in ten of them.
TEST_CASE("the first request of a caller with a shorter timeout is not taken for a retry") {
    age_estimator ages;
    (void)ages.age("r", 2500ms, start);
    for (auto timeout = 2130ms; timeout <= 2500ms; timeout += 10ms) {
        CHECK(ages.age("r", timeout, start + 1s) == 0ms);
    }
}
