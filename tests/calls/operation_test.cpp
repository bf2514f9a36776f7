#include "endive/calls.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::calls;

namespace {

/// Table row with injected faults: 1 is unavailable, 2 loses the request before the write, 3 loses the
/// response after it.
struct faulty_row {
    std::optional<platform::row> row;
    int writes = 0;

    write_result put(const operation_action& action, const operation_record& record, int fault,
                     std::string& etag) {
        if (fault == 1) {
            return write_result::not_written;
        }
        if (fault == 2) {
            return write_result::unknown; // request lost before the write
        }
        const bool condition_met =
            action.step == operation_step::create ? !row : row && row->etag == action.etag;
        if (!condition_met) {
            return fault == 3 ? write_result::unknown : write_result::precondition_failed;
        }
        etag = std::to_string(++writes);
        row = platform::row{"op", encode(record), etag};
        return fault == 3 ? write_result::unknown : write_result::written;
    }
};

struct running_call {
    operation_claim claim;
    operation_action action;
    bool ended = false;
};

} // namespace

TEST_CASE("at most one of several calls with the same key runs when table requests and responses are lost") {
    rc::check([] {
        faulty_row table;
        std::vector<running_call> calls;
        const int count = *rc::gen::inRange(1, 5);
        for (int i = 0; i < count; ++i) {
            operation_claim claim{"call-" + std::to_string(i), 77, 1000};
            calls.push_back({claim, {}, false});
            calls.back().action = calls.back().claim.begin();
        }
        int runs = 0;
        for (int step = 0; step < 200; ++step) {
            auto& call = calls[static_cast<std::size_t>(*rc::gen::inRange(0, count))];
            if (call.ended) {
                continue;
            }
            const int fault = *rc::gen::inRange(0, 5);
            switch (call.action.step) {
            case operation_step::create:
            case operation_step::replace: {
                std::string etag;
                const auto result = table.put(call.action, call.claim.record(), fault, etag);
                call.action = call.claim.on_write(result, etag);
                break;
            }
            case operation_step::read:
                call.action = fault == 1 ? call.claim.on_read_failed() : call.claim.on_read(table.row);
                break;
            case operation_step::run:
                ++runs;
                call.ended = true;
                break;
            default:
                call.ended = true;
            }
        }
        RC_ASSERT(runs <= 1);
        if (runs == 0 && table.row) {
            // The record of an abandoned call stays `started`, so a repeated call gets an unknown outcome.
            RC_ASSERT(decode_operation(table.row->value).state == operation_state::started);
        }
    });
}

TEST_CASE(
    "a repeat of a finished operation gets the stored response, other requests with the key are rejected") {
    operation_record record;
    record.state = operation_state::finished;
    record.write_id = "first";
    record.request_digest = 5;
    record.expires_unix_ms = 2000;
    record.status = 201;
    record.content_type = "text/plain";
    record.body = std::string{"a\0\xff", 3};
    record.body_stored = true;
    REQUIRE(decode_operation(encode(record)) == record);
    const platform::row row{"op", encode(record), "1"};

    operation_claim repeat{"second", 5, 1000};
    (void)repeat.begin();
    (void)repeat.on_write(write_result::precondition_failed, {});
    REQUIRE(repeat.on_read(row).step == operation_step::reply);

    operation_claim other{"third", 6, 1000};
    (void)other.on_write(write_result::precondition_failed, {});
    REQUIRE(other.on_read(row).code == result_code::call_key_reused);

    operation_claim late{"fourth", 6, 3000}; // after the retention
    (void)late.on_write(write_result::precondition_failed, {});
    REQUIRE(late.on_read(row).step == operation_step::replace);
}

TEST_CASE(
    "a repeated call gets an unknown outcome when the operation was started, and runs when it did not run") {
    operation_record record;
    record.write_id = "first";
    record.request_digest = 5;
    record.expires_unix_ms = 2000;
    operation_claim repeat{"second", 5, 1000};
    (void)repeat.on_write(write_result::precondition_failed, {});
    const auto unknown = repeat.on_read(platform::row{"op", encode(record), "1"});
    REQUIRE(unknown.code == result_code::call_duplicate_operation);
    REQUIRE(unknown.executed == execution::unknown);
    record.state = operation_state::not_run;
    const auto again = repeat.on_read(platform::row{"op", encode(record), "2"});
    REQUIRE(again.step == operation_step::replace);
    REQUIRE(again.etag == "2");
}

TEST_CASE("decoding a malformed operation row throws an error") {
    for (const auto* text : {"", "{}", "[]", R"({"state":"done","write_id":"a","digest":"1","expires":1})",
                             R"({"state":"finished","write_id":"a","digest":"1","expires":1,"status":200,)"
                             R"("content_type":"6g"})"}) {
        REQUIRE_THROWS_AS(decode_operation(text), error);
    }
}
