#include "endive/platform.h"
#include "platform/http_client.h"
#include "platform/outcome.h"
#include "platform/scripted_server.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::platform;
using namespace std::chrono_literals;
using test::action;
using test::http;
using test::scripted_server;

namespace {

const std::string etag_header = "ETag: \"7\"\r\n";

template <typename Call>
result_code error_code_of(Call&& call) {
    try {
        call();
    } catch (const error& failure) {
        return failure.code();
    }
    return result_code::ok;
}

} // namespace

TEST_CASE("a row is read with its ETag and an absent row is empty") {
    scripted_server server{
        {{action::reply, http(200, "value", etag_header)}, {action::reply, http(404, "")}}};
    counter_set counters;
    const auto table = make_http_table({server.address()}, counters);
    REQUIRE(table->get("head") == row{"head", "value", "\"7\""});
    REQUIRE_FALSE(table->get("head"));
    REQUIRE(server.connections() == 1);
    REQUIRE(counters.value("platform_reads") == 2);
}

TEST_CASE("writes carry their precondition and keys are encoded") {
    scripted_server server{{{action::reply, http(201, "", etag_header)},
                            {action::reply, http(200, "", etag_header)},
                            {action::reply, http(204, "")}}};
    counter_set counters;
    const auto table = make_http_table({server.address()}, counters);
    REQUIRE(table->put("op/a b", "one", precondition::absent()) == "\"7\"");
    (void)table->put("op/a b", "two", precondition::matches("\"7\""));
    table->remove("op/a b", "\"7\"");
    const auto requests = server.requests();
    REQUIRE(requests[0].starts_with("PUT /rows/op/a%20b HTTP"));
    REQUIRE(requests[0].find("If-None-Match: *\r\n") != std::string::npos);
    REQUIRE(requests[1].find("If-Match: \"7\"\r\n") != std::string::npos);
    REQUIRE(requests[1].ends_with("\r\n\r\ntwo"));
    REQUIRE(requests[2].starts_with("DELETE /rows/op/a%20b HTTP"));
}

TEST_CASE("a refused connection means that nothing was written") {
    std::string address;
    {
        const scripted_server server{{}};
        address = server.address();
    }
    counter_set counters;
    const auto table = make_http_table({address}, counters);
    REQUIRE(error_code_of([&] { (void)table->put("k", "v", precondition::absent()); }) ==
            result_code::platform_unavailable);
    REQUIRE(counters.value("platform_error_unavailable") == 1);
}

// Guards against libcurl repeating a write whose response was lost: the repetition of a write that took
// effect would fail with 412 and look like a conflict with another writer.
TEST_CASE("a write whose response is lost on a reused connection is not sent again") {
    scripted_server server{{{action::reply, http(200, "value", etag_header)}, {action::disconnect, ""}}};
    counter_set counters;
    const auto table = make_http_table({server.address()}, counters);
    (void)table->get("k");
    SECTION("put") {
        REQUIRE(error_code_of([&] { (void)table->put("k", "v", precondition::matches("\"7\"")); }) ==
                result_code::platform_outcome_unknown);
    }
    SECTION("put of an empty value") {
        REQUIRE(error_code_of([&] { (void)table->put("k", "", precondition::matches("\"7\"")); }) ==
                result_code::platform_outcome_unknown);
    }
    SECTION("remove") {
        REQUIRE(error_code_of([&] { table->remove("k", "\"7\""); }) == result_code::platform_outcome_unknown);
    }
    REQUIRE(server.requests().size() == 2);
    REQUIRE(counters.value("platform_error_outcome_unknown") == 1);
}

TEST_CASE("a request without a response times out and the next one uses a new connection") {
    scripted_server server{{{action::reply, http(200, "", etag_header)},
                            {action::no_reply, ""},
                            {action::reply, http(200, "", etag_header)}}};
    counter_set counters;
    const auto table = make_http_table({server.address(), 50ms}, counters);
    (void)table->get("k");
    REQUIRE(error_code_of([&] { (void)table->put("k", "v", precondition::absent()); }) ==
            result_code::platform_timeout);
    REQUIRE(table->get("k"));
    REQUIRE(server.connections() == 2);
    REQUIRE(counters.value("platform_error_timeout") == 1);
}

TEST_CASE("a truncated response is not accepted as complete") {
    const std::string truncated = "HTTP/1.1 200 X\r\nETag: \"1\"\r\nContent-Length: 100\r\n\r\nhalf";
    scripted_server server{{{action::reply, truncated}}};
    counter_set counters;
    const auto objects = make_http_objects({server.address(), 50ms}, counters);
    REQUIRE(error_code_of([&] { (void)objects->get("k"); }) == result_code::platform_timeout);
}

TEST_CASE("invalid responses are distinguished from absent rows") {
    scripted_server server{{{action::reply, http(200, "no etag")},
                            {action::reply, http(200, "no etag")},
                            {action::reply, http(200, "[{\"key\":1}]")},
                            {action::reply, http(404, "")},
                            {action::reply, http(302, "")}}};
    counter_set counters;
    const auto table = make_http_table({server.address()}, counters);
    REQUIRE(error_code_of([&] { (void)table->get("k"); }) == result_code::platform_bad_answer);
    REQUIRE(error_code_of([&] { (void)table->put("k", "v", precondition::absent()); }) ==
            result_code::platform_outcome_unknown);
    REQUIRE(error_code_of([&] { (void)table->list("k"); }) == result_code::platform_bad_answer);
    REQUIRE(error_code_of([&] { (void)table->put("k", "v", precondition::absent()); }) ==
            result_code::platform_bad_answer);
    REQUIRE(error_code_of([&] { (void)table->get("k"); }) == result_code::platform_bad_answer);
}

TEST_CASE("statuses and transfer errors map to the code that states whether a write may have taken effect") {
    struct example {
        transfer_result end;
        std::optional<result_code> expected;
    };
    const auto example_list = std::vector<example>{
        {{CURLE_OK, true, true, 204}, std::nullopt},
        {{CURLE_OK, true, true, 412}, result_code::platform_precondition_failed},
        {{CURLE_OK, true, true, 503}, result_code::platform_unavailable},
        {{CURLE_OK, true, true, 500}, result_code::platform_outcome_unknown},
        {{CURLE_OK, true, false, 500}, result_code::platform_bad_answer},
        {{CURLE_OK, true, true, 400}, result_code::platform_bad_answer},
        {{CURLE_OPERATION_TIMEDOUT, false, true, 0}, result_code::platform_unavailable},
        {{CURLE_OPERATION_TIMEDOUT, true, true, 0}, result_code::platform_timeout},
        {{CURLE_GOT_NOTHING, true, true, 0}, result_code::platform_outcome_unknown},
        {{CURLE_GOT_NOTHING, true, false, 0}, result_code::platform_unavailable},
        {{CURLE_RECV_ERROR, true, true, 200}, result_code::platform_outcome_unknown},
        {{CURLE_WRITE_ERROR, true, false, 200}, result_code::platform_bad_answer},
    };
    for (const auto& [end, expected] : example_list) {
        INFO(end.curl_result << " status " << end.status << " write " << end.is_write);
        REQUIRE(classify(end) == expected);
    }
}

TEST_CASE("concurrent requests get their own responses") {
    constexpr int thread_count = 8;
    constexpr int rounds = 20;
    std::vector<test::step> script(thread_count * rounds, {action::reply, http(200, "v", etag_header)});
    scripted_server server{script};
    counter_set counters;
    const auto table = make_http_table({server.address()}, counters);
    std::atomic<int> complete{0};
    std::vector<std::thread> threads;
    for (int id = 0; id < thread_count; ++id) {
        threads.emplace_back([&, key = std::to_string(id)] {
            for (int round = 0; round < rounds; ++round) {
                complete += table->get(key) == row{key, "v", "\"7\""} ? 1 : 0;
            }
        });
    }
    for (auto& thread : threads) {
        thread.join();
    }
    REQUIRE(complete == thread_count * rounds);
    REQUIRE(server.connections() <= thread_count);
}
