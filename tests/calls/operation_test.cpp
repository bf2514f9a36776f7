#include "endive/calls.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::calls;

namespace {

/// Table row with faults: unavailable, answer lost before or after the write.
struct faulty_row {
    std::optional<platform::row> row;
    int writes = 0;

    write_result put(const operation_action& action, const operation_record& record, int fault,
                     std::string& etag) {
        if (fault == 1) {
            return write_result::not_written;
        }
        if (fault == 2) {
            return write_result::unknown; // lost before the write
        }
        const bool fits = action.step == operation_step::create ? !row : row && row->etag == action.etag;
        if (!fits) {
            return fault == 3 ? write_result::unknown : write_result::precondition_failed;
        }
        etag = std::to_string(++writes);
        row = platform::row{"op", encode(record), etag};
        return fault == 3 ? write_result::unknown : write_result::written;
    }
};

struct running_call {
    operation_claim machine;
    operation_action action;
    bool ended = false;
};

} // namespace

TEST_CASE("of any number of calls with one key at most one runs, whatever the table loses") {
    rc::check([] {
        faulty_row table;
        std::vector<running_call> calls;
        const int count = *rc::gen::inRange(1, 5);
        for (int i = 0; i < count; ++i) {
            operation_claim machine{"call-" + std::to_string(i), 77, 1000};
            calls.push_back({machine, {}, false});
            calls.back().action = calls.back().machine.begin();
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
                const auto result = table.put(call.action, call.machine.record(), fault, etag);
                call.action = call.machine.on_write(result, etag);
                break;
            }
            case operation_step::read:
                call.action = fault == 1 ? call.machine.on_read_failed() : call.machine.on_read(table.row);
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
            // The record of a call that gave up stays `started`, so a repeat is answered as unknown.
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

TEST_CASE("a repeat of a started operation is unknown, of one that did not run it runs") {
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

TEST_CASE("malformed operation rows are reported, not guessed") {
    for (const auto* text : {"", "{}", "[]", R"({"state":"done","write_id":"a","digest":"1","expires":1})",
                             R"({"state":"finished","write_id":"a","digest":"1","expires":1,"status":200,)"
                             R"("content_type":"6g"})"}) {
        REQUIRE_THROWS_AS(decode_operation(text), error);
    }
}
