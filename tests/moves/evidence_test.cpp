#include "endive/moves.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>
#include <random>

using namespace endive;
using namespace endive::moves;
using namespace std::chrono_literals;

namespace {

const std::vector<model::version_move> single_move{{"s:b", "t", "s", "a", "b", 1}};

model::call_observation call(const std::string& version, model::call_outcome outcome, duration latency = 20ms,
                             bool cold = false) {
    return {"s", version, "r", true, outcome, latency, cold};
}

model::call_observation random_call() {
    using model::call_outcome;
    auto value =
        call(*rc::gen::element<std::string>("a", "b", "c"),
             *rc::gen::element(call_outcome::success, call_outcome::server_error, call_outcome::timeout,
                               call_outcome::connection_failed, call_outcome::shed, call_outcome::cancelled),
             milliseconds{*rc::gen::inRange(1, 200)}, *rc::gen::inRange(0, 5) == 0);
    value.service = *rc::gen::element<std::string>("s", "s", "s", "other");
    return value;
}

/// Reference implementation of all counts except `slow`.
evidence_counts reference_counts(const std::vector<model::call_observation>& calls,
                                 const std::string& version) {
    using model::call_outcome;
    const auto count = [&](auto wanted) {
        return static_cast<std::uint64_t>(std::count_if(calls.begin(), calls.end(), [&](const auto& c) {
            return c.service == "s" && c.version == version && wanted(c);
        }));
    };
    const auto reached = [](const auto& c) {
        return c.outcome != call_outcome::shed && c.outcome != call_outcome::cancelled;
    };
    const auto failed = [](const auto& c) {
        return c.outcome == call_outcome::server_error || c.outcome == call_outcome::timeout;
    };
    evidence_counts result;
    result.requests = count([&](const auto& c) { return reached(c) && !c.cold; });
    result.failures = count([&](const auto& c) { return failed(c) && !c.cold; });
    result.connection_failures =
        count([&](const auto& c) { return c.outcome == call_outcome::connection_failed && !c.cold; });
    result.shed = count([&](const auto& c) { return c.outcome == call_outcome::shed; });
    result.cancelled = count([&](const auto& c) { return c.outcome == call_outcome::cancelled; });
    result.cold_requests = count([&](const auto& c) { return reached(c) && c.cold; });
    result.cold_failures = count([&](const auto& c) { return failed(c) && c.cold; });
    return result;
}

paired_evidence paired(evidence_counts old_counts, evidence_counts new_counts) {
    return {"s:b", "s", "r", "a", "b", true, old_counts, new_counts};
}

/// Seconds until the tests find the new version bad, over a stream of binomial counts; 0 when they never do.
int detection_seconds(rule_kind kind, double old_rate, double new_rate, int seconds, int old_total,
                      int new_total) {
    decision_settings settings;
    settings.rule = kind;
    verdict_tests tests{settings, settings.take_back_threshold};
    std::mt19937_64 random{7};
    for (int second = 1; second <= seconds; ++second) {
        evidence_counts a;
        evidence_counts b;
        a.requests = static_cast<std::uint64_t>(old_total);
        b.requests = static_cast<std::uint64_t>(new_total);
        a.failures = static_cast<std::uint64_t>(std::binomial_distribution<int>{old_total, old_rate}(random));
        b.failures = static_cast<std::uint64_t>(std::binomial_distribution<int>{new_total, new_rate}(random));
        const std::vector<paired_evidence> interval{paired(a, b)};
        tests.add(interval, 1);
        if (tests.bad()) {
            return second;
        }
    }
    return 0;
}

} // namespace

// Guards against taking back a good version because each of its few requests opens a connection.
TEST_CASE("connection set-up of a canary is no evidence of a slow version") {
    evidence_collector collector;
    collector.set_moves(single_move);
    for (int i = 0; i < 200; ++i) {
        collector.add(call("a", model::call_outcome::success, 3ms));
    }
    const auto slow_after = [&](duration latency, bool opened) {
        auto observation = call("b", model::call_outcome::success, latency);
        observation.opened_connection = opened;
        collector.add(observation);
        return collector.take_local_evidence().front().new_counts.slow;
    };
    REQUIRE(slow_after(6ms, true) == 0);
    REQUIRE(slow_after(6ms, false) == 1);
    REQUIRE(slow_after(60ms, true) == 1);
}

// Guards against evidence that is lost or counted twice between reports.
TEST_CASE("increments add up to the counts of a naive reference") {
    REQUIRE(rc::check([] {
        const auto calls =
            *rc::gen::container<std::vector<model::call_observation>>(rc::gen::exec(random_call));
        evidence_collector collector;
        collector.set_moves(single_move);
        counter_map sum;
        for (const auto& item : calls) {
            collector.add(item);
            if (item.latency % 3 == 0ms) {
                add_counters(sum, collector.take_increments());
            }
        }
        add_counters(sum, collector.take_increments());
        for (const std::string version : {"a", "b"}) {
            auto counts = from_vector(sum[to_string(evidence_key{"s:b", "r", version})]);
            counts.slow = 0;
            RC_ASSERT(counts == reference_counts(calls, version));
        }
    }));
}

// Guards against an estimate of the old version's p90 that does not follow a load change.
TEST_CASE("the quantile estimate stays near the true quantile and follows a change") {
    std::mt19937_64 random{3};
    quantile_tracker tracker;
    for (const double scale : {1.0, 3.0}) {
        std::vector<double> recent;
        for (int i = 0; i < 3000; ++i) {
            const double ms = scale * 20 * std::lognormal_distribution<double>{0, 0.5}(random);
            recent.push_back(ms);
            tracker.add(std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms}));
        }
        std::sort(recent.begin(), recent.end());
        const double exact = recent[recent.size() * 9 / 10];
        const double estimate = std::chrono::duration<double, std::milli>(tracker.estimate()).count();
        REQUIRE(estimate == Approx(exact).epsilon(0.25));
    }
}

// Guards against evidence keys that the owner cannot parse.
TEST_CASE("evidence keys survive a round trip and malformed ones are rejected") {
    const evidence_key key{"s:b", "route-1", "v2"};
    REQUIRE(parse_evidence_key(to_string(key)) == key);
    for (const auto* text : {"", "move/", "move/a|b", "convergence/1", "a|b|c"}) {
        REQUIRE_FALSE(parse_evidence_key(text));
    }
}

// Guards against a rule that misses an obvious fault or finds a fault when both versions are equal.
TEST_CASE("each rule finds a fault and passes equal versions") {
    const auto kind = GENERATE(rule_kind::fixed_window_z, rule_kind::sprt, rule_kind::mixture_e_process);
    REQUIRE(detection_seconds(kind, 0.005, 0.5, 60, 594, 6) > 0);
    REQUIRE(detection_seconds(kind, 0.005, 0.05, 300, 450, 150) > 0);
    REQUIRE(detection_seconds(kind, 0.005, 0.005, 1000, 594, 6) == 0);
    REQUIRE(detection_seconds(kind, 0.30, 0.30, 1000, 300, 300) == 0);
}

// Guards against a local guard that depends on the owner, loses a hold, or publishes the same hold
// repeatedly.
TEST_CASE("a daemon puts a failing version on hold from local evidence and publishes the hold once") {
    local_guard guard{"d"};
    guard.set_moves(single_move, {});
    evidence_counts old_counts;
    old_counts.requests = 50;
    evidence_counts bad;
    bad.requests = bad.failures = 5;
    const std::vector<paired_evidence> interval{paired(old_counts, bad)};
    std::vector<record> holds;
    for (int i = 0; i < 20; ++i) {
        for (auto& hold : guard.on_evidence(interval, 0.1, {})) {
            holds.push_back(std::move(hold));
        }
    }
    REQUIRE(holds.size() == 1);
    REQUIRE(guard.held("s", "b"));
    const auto payload = decode_hold(holds.front().payload);
    REQUIRE(payload);
    REQUIRE(payload->evidence.new_bad > 0);
    // A release of a higher epoch ends the hold and discards its evidence; a second fault creates a new hold.
    auto released = *payload;
    released.state = hold_state::released;
    REQUIRE(guard.on_record({std::string{hold_kind}, "s|b", 2, 2, false, encode(released)}));
    REQUIRE_FALSE(guard.held("s", "b"));
    REQUIRE(guard.on_evidence({}, 0.1, {}).empty());
    const auto again = guard.on_evidence(interval, 0.1, {});
    REQUIRE(again.size() == 1);
    REQUIRE(again.front().epoch == 2);
}

// Guards against holding a version when possibly only this daemon cannot reach its endpoints.
TEST_CASE("connection failures alone create no hold") {
    local_guard guard{"d"};
    guard.set_moves(single_move, {});
    evidence_counts old_counts;
    old_counts.requests = 50;
    evidence_counts unreachable;
    unreachable.requests = unreachable.connection_failures = 5;
    const std::vector<paired_evidence> interval{paired(old_counts, unreachable)};
    for (int i = 0; i < 50; ++i) {
        REQUIRE(guard.on_evidence(interval, 0.1, {}).empty());
    }
}

// Guards against rows and payloads that are altered by encoding and decoding.
TEST_CASE("rows, directives and holds survive a round trip and malformed ones are rejected") {
    move_row row;
    row.id = "s:b";
    row.state = move_state::ramping;
    row.share = 0.25;
    row.evidence = {{"r", signal::slow, 100, 10, 20, 18, 1.2}};
    row.history = {{1, 0.01, move_state::canary}, {2, 0.25, move_state::ramping}};
    row.write_id = "w";
    REQUIRE(decode_move_row(encode(row)) == row);
    REQUIRE_THROWS_AS(decode_move_row("{}"), error);
    REQUIRE_THROWS_AS(decode_move_row("["), error);
    const auto sent = decode_directive(directive_record(row).payload);
    REQUIRE(sent);
    REQUIRE(sent->share == 0.25);
    REQUIRE_FALSE(decode_directive("{}"));
    REQUIRE_FALSE(decode_hold("3"));
    const auto report = make_report(row);
    REQUIRE(to_json(report).at("history").size() == 2);
    REQUIRE(to_svg(report).find("<path") != std::string::npos);
    REQUIRE(to_table(std::vector{report}).find("ramping") != std::string::npos);
}
