#include "callers/stand_ins.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

using namespace endive;
using namespace endive::callers;
using namespace endive::callers::testing;
using namespace std::chrono_literals;

namespace {

script_step answer_ok(const script_request& request) {
    return {ok_response("answer to " + request.line())};
}
script_step shed() {
    return {"HTTP/1.1 503 Busy\r\nendive-outcome: not-run\r\nContent-Length: 0\r\n\r\n", 0ms, false, false};
}
bool has_outcome(const raw_response& response, const std::string& outcome) {
    return response.head.find("endive-outcome: " + outcome + "\r\n") != std::string::npos;
}
bool has_reason(const raw_response& response, const std::string& reason) {
    return response.head.find("endive-reason: " + reason + "\r\n") != std::string::npos;
}
/// Waits at most 10 s until `done` returns true; the caller must check the condition itself.
void wait_until(const std::function<bool()>& done) {
    for (int i = 0; i < 1000 && !done(); ++i) {
        std::this_thread::sleep_for(10ms);
    }
}

/// Table whose operations all fail as unavailable.
class unavailable_table final : public platform::table_store {
public:
    std::optional<platform::row> get(const std::string&) override { fail(); }
    std::vector<platform::row> list(const std::string&) override { fail(); }
    std::string put(const std::string&, const std::string&, const platform::precondition&) override {
        fail();
    }
    void remove(const std::string&, const std::string&) override { fail(); }

private:
    [[noreturn]] static void fail() { throw error{result_code::platform_unavailable, "table unavailable"}; }
};

} // namespace

TEST_CASE("a payment whose reused connection closes unanswered is not sent again") {
    scripted_backend backend{[](const script_request& request) {
        return request.on_connection == 1 ? answer_ok(request) : script_step{"", 0ms, true};
    }};
    proxy_fixture proxy{{backend.address()}};
    REQUIRE(call(proxy.server.port(), "POST", "/pay/1", {}, "x").status == 200);
    const auto second = call(proxy.server.port(), "POST", "/pay/2", {}, "x");
    REQUIRE(second.status == 502);
    REQUIRE(has_outcome(second, "unknown"));
    REQUIRE(backend.executions("/pay/2") == 1);
}

TEST_CASE("short, unended and unverifiable responses are errors, never short successes") {
    for (const auto* bytes : {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc",
                              "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
                              "HTTP/1.1 200 OK\r\n\r\nends with the connection"}) {
        scripted_backend backend{[&](const script_request&) { return script_step{bytes, 0ms, true}; }};
        proxy_fixture proxy{{backend.address()}};
        const auto response = call(proxy.server.port(), "POST", "/pay", {}, "x");
        INFO(bytes << response.head);
        CHECK(response.status == 502);
        CHECK(has_reason(response, "call_upstream_truncated"));
        CHECK(has_outcome(response, "unknown"));
        CHECK(backend.executions() == 1);
    }
}

// Guards against a 200 with an empty body, made of a head that broke off.
TEST_CASE("a response that ends within its head is an error") {
    for (const auto* bytes :
         {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Sign", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n",
          "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n", "HTTP/1.1 204 No Content\r\n",
          "HTTP/1.1 200 OK\r\n", "HTTP/1.1 200"}) {
        scripted_backend backend{[&](const script_request&) { return script_step{bytes, 0ms, true}; }};
        proxy_fixture proxy{{backend.address()}};
        const auto response = call(proxy.server.port(), "POST", "/pay", {}, "x");
        INFO(bytes << "\n" << response.head);
        CHECK(response.status == 502);
        CHECK(has_outcome(response, "unknown"));
        CHECK(backend.executions() == 1);
    }
}

// Guards against a status of an endpoint in trouble that reaches the caller as a response.
TEST_CASE("a status outside 200 to 599 is an error") {
    for (const std::string status : {"000", "099", "600", "999"}) {
        const auto bytes = "HTTP/1.1 " + status + " X\r\nContent-Length: 2\r\n\r\nok";
        scripted_backend backend{[&](const script_request&) { return script_step{bytes, 0ms, true}; }};
        proxy_fixture proxy{{backend.address()}};
        const auto response = call(proxy.server.port(), "POST", "/pay", {}, "x");
        INFO(status << "\n" << response.head);
        CHECK(response.status == 502);
        CHECK(has_outcome(response, "unknown"));
        CHECK(backend.executions() == 1);
    }
}

// Guards against a response head without end that takes the memory of the VM.
TEST_CASE("a response head that goes on beyond the limit is an error") {
    constexpr std::size_t endless = 8UL * 1024 * 1024;
    const auto repeat = [](std::string_view part) {
        std::string result;
        while (result.size() < endless) {
            result += part;
        }
        return result;
    };
    const std::string status_line = "HTTP/1.1 200 OK\r\n";
    for (const auto& bytes : {status_line + repeat("X-A: aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa\r\n"),
                              status_line + "X-A: " + repeat("aaaaaaaaaaaaaaaaaaaaaaaa"),
                              repeat("HTTP/1.1 100 Continue\r\n\r\n"), repeat("HTTP/1.1 200")}) {
        scripted_backend backend{[&](const script_request&) { return script_step{bytes}; }};
        proxy_fixture proxy{{backend.address()}};
        const auto response = call(proxy.server.port(), "POST", "/pay", {}, "x");
        INFO(bytes.substr(0, 64) << "\n" << response.head);
        CHECK(response.status == 502);
        CHECK(has_outcome(response, "unknown"));
    }
}

// Guards against a caller who is told that its request has not run, because the backend server repeats an
// earlier refusal on a kept connection while it runs the request.
TEST_CASE("a duplicate of an earlier refusal is not taken for the answer to a running request") {
    scripted_backend backend{[](const script_request& request) {
        const auto answer = answer_ok(request);
        if (request.line().find("/pay/1") != std::string::npos) {
            return shed();
        }
        return request.on_connection > 1 ? script_step{shed().bytes + answer.bytes} : answer;
    }};
    proxy_fixture proxy{{backend.address()}};
    CHECK(call(proxy.server.port(), "POST", "/pay/1", {}, "x").status == 503);
    CHECK(call(proxy.server.port(), "POST", "/pay/2", {}, "x").status == 200);
    CHECK(backend.executions("/pay/2") == 1);
}

TEST_CASE("garbage from a backend server is a gateway error") {
    scripted_backend backend{[](const script_request&) {
        return script_step{"\x01\x02 garbage\r\n\r\n", 0ms, true};
    }};
    proxy_fixture proxy{{backend.address()}};
    REQUIRE(call(proxy.server.port(), "POST", "/pay", {}, "x").status == 502);
}

TEST_CASE("a shed request runs elsewhere, but a marked retry is left to the layer that made it") {
    scripted_backend busy{[](const script_request&) { return shed(); }};
    scripted_backend free{answer_ok};
    proxy_fixture proxy{{busy.address(), free.address()}};
    for (int i = 0; i < 8; ++i) {
        const auto response = call(proxy.server.port(), "POST", "/pay/" + std::to_string(i), {}, "x");
        CHECK(response.status == 200);
    }
    REQUIRE(free.executions("/pay") == 8);
    proxy_fixture alone{{busy.address()}};
    const auto marked = call(alone.server.port(), "GET", "/read", "endive-attempt: 2\r\n");
    REQUIRE(marked.status == 503);
    REQUIRE(has_outcome(marked, "not-run"));
    REQUIRE(busy.last_head().find("endive-attempt: 2\r\n") != std::string::npos);
    REQUIRE(alone.server.stats().retries == 0);
}

TEST_CASE("a repeated key gets the stored response and runs once") {
    scripted_backend backend{answer_ok};
    proxy_fixture proxy{{backend.address()}};
    const auto port = proxy.server.port();
    const auto first = call(port, "POST", "/pay/1", "idempotency-key: k1\r\n", "x");
    const auto repeat = call(port, "POST", "/pay/1", "idempotency-key: k1\r\n", "x");
    REQUIRE(first.status == 200);
    REQUIRE(repeat.status == 200);
    REQUIRE(repeat.body == first.body);
    REQUIRE(backend.executions() == 1);
    REQUIRE(call(port, "POST", "/pay/1", "idempotency-key: k1\r\n", "other").status == 422);
    REQUIRE(call(port, "GET", "/endive/v1/operations/desk/k1").body.find("finished") != std::string::npos);
    REQUIRE(call(port, "GET", "/endive/v1/operations/desk/absent").status == 404);
}

TEST_CASE("a keyed payment that did not run may be repeated, one of unknown outcome may not") {
    std::atomic<int> mode{0};
    scripted_backend backend{[&](const script_request& request) {
        return mode == 0 ? shed() : (mode == 1 ? script_step{"", 0ms, true} : answer_ok(request));
    }};
    proxy_fixture proxy{{backend.address()}};
    const auto port = proxy.server.port();
    REQUIRE(has_outcome(call(port, "POST", "/pay", "idempotency-key: a\r\n", "x"), "not-run"));
    mode = 1;
    const auto lost = call(port, "POST", "/pay", "idempotency-key: a\r\n", "x");
    REQUIRE(has_outcome(lost, "unknown"));
    REQUIRE(lost.body.find("/endive/v1/operations/desk/a") != std::string::npos);
    mode = 2;
    const auto repeat = call(port, "POST", "/pay", "idempotency-key: a\r\n", "x");
    REQUIRE(repeat.status == 409);
    REQUIRE(has_outcome(repeat, "unknown"));
    REQUIRE(backend.executions() == 1);
}

TEST_CASE("while the table is unavailable, keyed payments are refused as not run and reads continue") {
    scripted_backend backend{answer_ok};
    system_clock_source clock;
    counter_set counters;
    recording_observer observations;
    unavailable_table table;
    proxy_server server{proxy_settings{}, clock, counters, table, observations};
    auto view = std::make_shared<request_view>();
    view->routes = make_routes();
    view->endpoints = {make_endpoint(backend.address())};
    server.set_view(view);
    server.start();
    const auto refused = call(server.port(), "POST", "/pay", "idempotency-key: a\r\n", "x");
    REQUIRE(refused.status == 503);
    REQUIRE(has_reason(refused, "call_operation_store_unavailable"));
    REQUIRE(has_outcome(refused, "not-run"));
    REQUIRE(backend.executions() == 0);
    REQUIRE(call(server.port(), "GET", "/read").status == 200);
}

TEST_CASE("a read on a silent endpoint is answered by a hedge on a fresh connection") {
    scripted_backend silent{[](const script_request&) { return script_step{"", 0ms, false, true, true}; }};
    scripted_backend good{answer_ok};
    proxy_fixture proxy{{silent.address(), good.address()}};
    for (int i = 0; i < 6; ++i) {
        REQUIRE(call(proxy.server.port(), "GET", "/read").status == 200);
    }
    if (silent.executions() > 0) {
        REQUIRE(proxy.counters.value("calls.hedge_won") > 0);
    }
}

TEST_CASE("a call whose caller disconnected is cancelled at the backend server") {
    scripted_backend backend{[](const script_request&) { return script_step{"", 0ms, false, true, true}; }};
    proxy_settings settings;
    settings.hedging = false;
    proxy_fixture proxy{{backend.address()}, settings};
    const int socket = connect_to(proxy.server.port());
    send_all(socket, "GET /read HTTP/1.1\r\nHost: a\r\n\r\n");
    wait_until([&] { return backend.executions() == 1; });
    ::close(socket);
    wait_until([&] { return proxy.counters.value("calls.cancelled") == 1; });
    REQUIRE(proxy.counters.value("calls.cancelled") == 1);
    REQUIRE(proxy.counters.value("calls.refused.call_deadline_exceeded") == 0);
}

TEST_CASE("a large response is streamed completely and a truncated one does not look complete") {
    const std::string body(8UL * 1024 * 1024, 'b');
    scripted_backend backend{[&](const script_request& request) {
        auto step = script_step{ok_response(body)};
        if (request.line().find("cut") != std::string::npos) {
            step = {step.bytes.substr(0, step.bytes.size() / 2), 0ms, true};
        }
        return step;
    }};
    proxy_fixture proxy{{backend.address()}};
    const auto whole = call(proxy.server.port(), "GET", "/read/whole");
    REQUIRE(whole.complete);
    REQUIRE(whole.body == body);
    const auto cut = call(proxy.server.port(), "GET", "/read/cut");
    REQUIRE_FALSE(cut.complete);
    REQUIRE(proxy.counters.value("calls.truncated") == 1);
}

TEST_CASE("a held version gets no call after the view has been replaced") {
    scripted_backend old_version{answer_ok};
    scripted_backend new_version{answer_ok};
    proxy_fixture proxy{{}};
    const std::vector endpoints{make_endpoint(old_version.address(), "1"),
                                make_endpoint(new_version.address(), "2")};
    proxy.set_endpoints(endpoints, {{"2", 1.0}});
    REQUIRE(call(proxy.server.port(), "GET", "/read").status == 200);
    proxy.set_endpoints(endpoints, {{"1", 1.0}});
    for (int i = 0; i < 20; ++i) {
        REQUIRE(call(proxy.server.port(), "GET", "/read").status == 200);
    }
    REQUIRE(new_version.executions() == 1);
    proxy.set_endpoints(endpoints, {});
    REQUIRE(has_reason(call(proxy.server.port(), "GET", "/read"), "call_no_endpoint"));
}

TEST_CASE("a drain lets calls in flight end and refuses new ones as not run") {
    scripted_backend backend{[](const script_request& request) {
        auto step = answer_ok(request);
        step.delay = 300ms;
        return step;
    }};
    proxy_fixture proxy{{backend.address()}};
    raw_response response;
    std::thread caller{[&] { response = call(proxy.server.port(), "GET", "/read"); }};
    wait_until([&] { return proxy.server.stats().in_flight == 1; });
    std::uint64_t remaining = 99;
    std::thread drainer{[&] { remaining = proxy.server.drain(10s); }};
    wait_until([&] { return has_reason(call(proxy.server.port(), "GET", "/read"), "call_draining"); });
    REQUIRE(has_reason(call(proxy.server.port(), "GET", "/read"), "call_draining"));
    drainer.join();
    proxy.server.stop();
    caller.join();
    REQUIRE(remaining == 0);
    REQUIRE(response.status == 200);
    REQUIRE(response.complete);
}

TEST_CASE("under random faults payments run at most once and 'not run' is true") {
    scripted_backend backend{[](const script_request& request) {
        switch (stable_hash(request.line(), 3) % 5) {
        case 0:
            return shed();
        case 1:
            return script_step{"", 0ms, true};
        case 2:
            return script_step{"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nab", 0ms, true};
        default:
            return answer_ok(request);
        }
    }};
    proxy_settings settings;
    settings.admission.max_queued = 4; // some calls are refused by admission
    proxy_fixture proxy{{backend.address()}, settings};
    std::vector<std::thread> callers;
    std::vector<std::vector<std::pair<std::string, raw_response>>> responses(24);
    for (std::size_t c = 0; c < responses.size(); ++c) {
        callers.emplace_back([&, c] {
            for (int i = 0; i < 20; ++i) {
                const auto id = "/pay/" + std::to_string(c) + "-" + std::to_string(i) + "/";
                responses[c].emplace_back(id, call(proxy.server.port(), "POST", id, {}, "x"));
            }
        });
    }
    for (auto& caller : callers) {
        caller.join();
    }
    for (const auto& list : responses) {
        for (const auto& [id, response] : list) {
            const int executions = backend.executions(id);
            INFO(id << response.head);
            CHECK(executions <= 1);
            CHECK((!has_outcome(response, "not-run") || executions == 0));
            CHECK((response.status != 200 || (executions == 1 && response.complete &&
                                              response.body == "answer to POST " + id + " HTTP/1.1")));
        }
    }
}
