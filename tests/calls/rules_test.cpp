#include "endive/calls.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::calls;
using namespace std::chrono_literals;

TEST_CASE("version choice agrees with a naive reference and never picks a held version") {
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
        const auto slot = total == 0 ? 0 : *rc::gen::inRange(0, total);
        // The middle of the slot's range, so that rounding cannot matter.
        const double position = total == 0 ? 0.0 : (slot + 0.5) / total;
        const auto chosen =
            choose_version(shares, static_cast<std::uint64_t>(position * 18446744073709551616.0));
        std::string expected;
        int passed = 0;
        for (std::size_t i = 0; i < parts.size() && expected.empty(); ++i) {
            passed += parts[i];
            expected = slot < passed ? shares[i].version : "";
        }
        RC_ASSERT(chosen == expected);
    });
    REQUIRE(choose_version(std::vector<model::version_share>{{"a", 1.0}, {"b", 0.0}}, UINT64_MAX) == "a");
}

TEST_CASE("an outcome is called not run only without a byte sent or by the backend server's own word") {
    for (int transport = 0; transport <= static_cast<int>(transport_result::cancelled); ++transport) {
        for (const std::uint64_t bytes : {0U, 1U, 500U}) {
            for (const std::uint32_t status : {0U, 200U, 404U, 500U, 503U}) {
                for (const bool word : {false, true}) {
                    attempt_result seen;
                    seen.transport = static_cast<transport_result>(transport);
                    seen.bytes_sent = bytes;
                    seen.status = status;
                    seen.reports_not_run = word;
                    const bool never_sent = seen.transport == transport_result::connect_failed ||
                                            seen.transport == transport_result::closed_unsent || bytes == 0;
                    const bool own_word =
                        seen.transport == transport_result::answered && status == 503 && word;
                    const auto verdict = classify(seen);
                    CHECK((verdict.executed != execution::not_run || never_sent || own_word));
                    CHECK((verdict.code != result_code::ok || seen.transport == transport_result::answered));
                }
            }
        }
    }
}

TEST_CASE("retries stay below a tenth of the requests plus the burst") {
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

TEST_CASE("only one layer retries, and a request that is not idempotent only when it was not run") {
    retry_context context;
    context.remaining = 1s;
    context.executed = execution::unknown;
    REQUIRE(may_retry(context));
    context.idempotent = false;
    REQUIRE_FALSE(may_retry(context));
    context.executed = execution::not_run;
    REQUIRE(may_retry(context));
    auto marked = context;
    marked.caller_attempt = 2;
    REQUIRE_FALSE(may_retry(marked));
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

TEST_CASE("requests that are not idempotent and marked retries are never hedged") {
    REQUIRE(hedge_delay(true, 1, 20ms, 1s) == 20ms);
    REQUIRE_FALSE(hedge_delay(false, 1, 20ms, 1s));
    REQUIRE_FALSE(hedge_delay(true, 2, 20ms, 1s));
    REQUIRE_FALSE(hedge_delay(true, 1, 2s, 1s));
}

TEST_CASE("a connection that may have gone silent is not used") {
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

TEST_CASE("short, overlong and unended bodies are not complete") {
    REQUIRE(is_complete({5, false, true}, 5, false));
    REQUIRE_FALSE(is_complete({5, false, true}, 4, false));
    REQUIRE_FALSE(is_complete({5, false, true}, 6, false));
    REQUIRE(is_complete({{}, true, true}, 9, true));
    REQUIRE_FALSE(is_complete({{}, true, true}, 9, false));
    REQUIRE_FALSE(is_complete({{}, false, true}, 9, false));
    REQUIRE(is_complete({5, false, false}, 0, false)); // answer to HEAD
}

TEST_CASE("call headers are checked and the shorter deadline counts") {
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
