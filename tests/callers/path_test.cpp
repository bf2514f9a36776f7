#include "callers/stand_ins.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::callers;
using namespace endive::callers::testing;

namespace {

script_step answer_ok(const script_request& request) {
    return {ok_response("answer to " + request.line())};
}

bool has_header(const raw_response& response, const std::string& line) {
    return response.head.find("\r\n" + line + "\r\n") != std::string::npos;
}

} // namespace

TEST_CASE("a call reaches the backend server and its response is returned completely") {
    scripted_backend backend{answer_ok};
    proxy_fixture proxy{{backend.address()}};
    const auto response = call(proxy.server.port(), "GET", "/read/a%2Fb?x=1&y=%20");
    REQUIRE(response.status == 200);
    REQUIRE(response.complete);
    REQUIRE(response.body == "answer to GET /read/a%2Fb?x=1&y=%20 HTTP/1.1");
    REQUIRE(backend.last_head().find("endive-depth: 1\r\n") != std::string::npos);
    REQUIRE(backend.last_head().find("endive-attempt: 1\r\n") != std::string::npos);
    REQUIRE(backend.last_head().find("endive-timeout-ms: ") != std::string::npos);
    REQUIRE(proxy.observations.all().size() == 1);
}

TEST_CASE("refusals name their reason and that nothing ran") {
    scripted_backend backend{answer_ok};
    proxy_fixture proxy{{backend.address()}};
    const auto port = proxy.server.port();
    struct sample {
        std::string method, target, headers;
        int status;
        std::string reason;
    };
    for (const auto& s :
         {sample{"GET", "/absent", "", 404, "call_no_route"},
          sample{"GET", "/read", "endive-timeout-ms: x\r\n", 400, "call_bad_request"},
          sample{"GET", "/read", "endive-depth: 32\r\n", 508, "call_too_deep"},
          sample{"GET", "/read", "endive-timeout-ms: 0\r\n", 504, "call_deadline_exceeded"}}) {
        const auto response = call(port, s.method, s.target, s.headers);
        INFO(s.target << s.headers << response.head << response.body);
        CHECK(response.status == s.status);
        CHECK(has_header(response, "endive-reason: " + s.reason));
        CHECK(has_header(response, "endive-outcome: not-run"));
        CHECK(proxy.counters.value("calls.refused." + s.reason) == 1);
    }
    REQUIRE(backend.executions() == 0);
}

TEST_CASE("non-idempotent routes follow their own shares") {
    // Non-idempotent routes must not get the larger canary traffic share of idempotent routes.
    scripted_backend old_version{answer_ok};
    scripted_backend new_version{answer_ok};
    proxy_fixture proxy{{old_version.address()}};
    proxy.set_endpoints({make_endpoint(old_version.address()), make_endpoint(new_version.address(), "2")},
                        {{"2", 1.0}}, {{"1", 1.0}});
    for (int i = 0; i < 5; ++i) {
        REQUIRE(call(proxy.server.port(), "GET", "/read").status == 200);
        REQUIRE(call(proxy.server.port(), "POST", "/pay", "", "x").status == 200);
    }
    REQUIRE(new_version.executions() == 5);
    REQUIRE(old_version.executions() == 5);
}
