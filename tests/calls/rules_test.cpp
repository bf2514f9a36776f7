#include "endive/calls.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::calls;
using namespace std::chrono_literals;

TEST_CASE("version selection matches a reference model and never picks a version with a zero share") {
    rc::check([] {
        std::vector<model::version_share> shares;
        const auto parts = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 5));
        int total = 0;
        for (const int part : parts) {
            total += part;
        }
        for (std::size_t i = 0; i < parts.size(); ++i) {
            shares.push_back(
                {"v" + std::to_string(i), total == 0 ? 0.0 : static_cast<double>(parts[i]) / total});
        }
        const auto point = total == 0 ? 0 : *rc::gen::inRange(0, total);
        // The middle of the interval, so that rounding does not change the result.
        const double position = total == 0 ? 0.0 : (point + 0.5) / total;
        const auto chosen =
            choose_version(shares, static_cast<std::uint64_t>(position * 18446744073709551616.0));
        std::string expected;
        int cumulative = 0;
        for (std::size_t i = 0; i < parts.size() && expected.empty(); ++i) {
            cumulative += parts[i];
            expected = point < cumulative ? shares[i].version : "";
        }
        RC_ASSERT(chosen == expected);
    });
    REQUIRE(choose_version(std::vector<model::version_share>{{"a", 1.0}, {"b", 0.0}}, UINT64_MAX) == "a");
}

TEST_CASE("an attempt is classified as not run only when no byte was sent or the backend server reports it") {
    for (int transport = 0; transport <= static_cast<int>(transport_result::cancelled); ++transport) {
        for (const std::uint64_t bytes : {0U, 1U, 500U}) {
            for (const std::uint32_t status : {0U, 200U, 404U, 500U, 503U}) {
                for (const bool not_run_header : {false, true}) {
                    attempt_result seen;
                    seen.transport = static_cast<transport_result>(transport);
                    seen.bytes_sent = bytes;
                    seen.status = status;
                    seen.reports_not_run = not_run_header;
                    const bool never_sent = seen.transport == transport_result::connect_failed ||
                                            seen.transport == transport_result::closed_unsent || bytes == 0;
                    const bool reported_not_run =
                        seen.transport == transport_result::answered && status == 503 && not_run_header;
                    const auto classified = classify(seen);
                    CHECK((classified.executed != execution::not_run || never_sent || reported_not_run));
                    CHECK(
                        (classified.code != result_code::ok || seen.transport == transport_result::answered));
                }
            }
        }
    }
}

TEST_CASE("retries are limited to a tenth of the requests plus the burst") {
    rc::check([] {
        retry_budget budget{0.1, 10};
        int requests = 0;
        int taken = 0;
        for (const bool request : *rc::gen::container<std::vector<bool>>(500, rc::gen::arbitrary<bool>())) {
            if (request) {
                budget.on_request();
                ++requests;
            } else if (budget.take()) {
                ++taken;
            }
            RC_ASSERT(taken <= 10 + requests / 10 + 1);
        }
    });
}

TEST_CASE(
    "only one layer retries, and requests that are not idempotent are retried only if they were not run") {
    retry_context context;
    context.remaining = 1s;
    context.executed = execution::unknown;
    REQUIRE(may_retry(context));
    context.idempotent = false;
    REQUIRE_FALSE(may_retry(context));
    context.executed = execution::not_run;
    REQUIRE(may_retry(context));
    auto retried_by_caller = context;
    retried_by_caller.caller_attempt = 2;
    REQUIRE_FALSE(may_retry(retried_by_caller));
    auto deeper = context;
    deeper.from_deeper_layer = true;
    REQUIRE_FALSE(may_retry(deeper));
    auto late = context;
    late.remaining = 5ms;
    late.service_time = 10ms;
    REQUIRE_FALSE(may_retry(late));
    auto often = context;
    often.attempts_made = max_attempts;
    REQUIRE_FALSE(may_retry(often));
    auto executed = context;
    executed.idempotent = true;
    executed.executed = execution::ran;
    REQUIRE_FALSE(may_retry(executed));
}

TEST_CASE("requests that are not idempotent and retries by the caller are never hedged") {
    REQUIRE(hedge_delay(true, 1, 20ms, 1s) == 20ms);
    REQUIRE_FALSE(hedge_delay(false, 1, 20ms, 1s));
    REQUIRE_FALSE(hedge_delay(true, 2, 20ms, 1s));
    REQUIRE_FALSE(hedge_delay(true, 1, 2s, 1s));
}

TEST_CASE("a connection that may be unresponsive is not reused") {
    const time_point now{1h};
    const auto used = [&](duration idle, bool idempotent, time_point suspect = {}) {
        return decide_use({now - 1min, now - idle}, idempotent, suspect, now) == connection_use::reuse;
    };
    REQUIRE(used(1900ms, true));
    REQUIRE_FALSE(used(2100ms, true));
    REQUIRE(used(900ms, false));
    REQUIRE_FALSE(used(1100ms, false));
    REQUIRE_FALSE(used(500ms, true, now - 100ms));
    REQUIRE(used(50ms, true, now - 100ms));
}

TEST_CASE("truncated, overlong and unterminated bodies are not complete") {
    REQUIRE(is_complete({5, false, true}, 5, false));
    REQUIRE_FALSE(is_complete({5, false, true}, 4, false));
    REQUIRE_FALSE(is_complete({5, false, true}, 6, false));
    REQUIRE(is_complete({{}, true, true}, 9, true));
    REQUIRE_FALSE(is_complete({{}, true, true}, 9, false));
    REQUIRE_FALSE(is_complete({{}, false, true}, 9, false));
    REQUIRE(is_complete({5, false, false}, 0, false)); // response to HEAD
}

TEST_CASE("call headers are validated and the shorter timeout applies") {
    const auto parsed = parse_headers({"150", "3", "2", "0", "abc-1"});
    REQUIRE(parsed == call_headers{150ms, 3, 2, 0, "abc-1"});
    REQUIRE_THROWS_AS(parse_headers({"-1", "", "", "", ""}), error);
    REQUIRE_THROWS_AS(parse_headers({"", "", "", "4", ""}), error);
    REQUIRE_THROWS_AS(parse_headers({"", "99999999999999999999", "", "", ""}), error);
    REQUIRE_THROWS_AS(parse_headers({"", "", "", "", "a/b"}), error);
    REQUIRE_THROWS_AS(parse_headers({"", "", "", "", std::string(129, 'a')}), error);
    model::route route;
    route.timeout_ms = 100;
    const time_point now{1h};
    REQUIRE(deadline_of(parsed, route, now) == now + 100ms);
    REQUIRE(deadline_of(parse_headers({"40", "", "", "", ""}), route, now) == now + 40ms);
}
