#include "ctl/explain.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace endive;
using namespace endive::ctl;

namespace {

const char* const lines =
    R"(1.0 a {"time":"2026-08-07T16:21:30.000Z","process":"a","event":"started","level":"info"}
{"time":"2026-08-07T16:21:31.000Z","process":"a","event":"configuration_in_force","configuration":7}
{"time":"2026-08-07T16:21:32.000Z","process":"a","event":"peer_up","peer":"b"}
no json here
{"time":"2026-08-07T16:21:40.000Z","process":"a","event":"configuration_in_force","configuration":9}
{"time":"2026-08-07T16:21:33.500Z","process":"a","event":"request_refused","request":"r1","status":503,"reason":"no_room",)"
    R"("attempts":[{"daemon":"b","expected_ms":40.5,"outstanding":11,"load_age_ms":12,"outcome":"not_run","reason":"no_room","ms":2}]}
{"time":"2026-08-07T16:21:33.400Z","process":"b","event":"call_refused","request":"r1","reason":"no_room","running":12}
{"time":"2026-08-07T16:21:29.000Z","process":"b","event":"endpoint_changed","endpoint":"i-1","state":1}
{"time":"2026-08-07T16:21:33.600Z","process":"a","event":"request_failed","request":"r2","status":502,"reason":"none",)"
    R"("attempts":[{"daemon":"b","outcome":"unknown","reason":"connection_lost"}]}
)";

std::vector<log_line> parsed() {
    std::istringstream in{lines};
    return read_log(in);
}

} // namespace

TEST_CASE("explain follows a refused request through both daemons to its cause") {
    const auto text = explain_request(parsed(), "r1");
    CHECK(text.find("call_refused") < text.find("request_refused"));
    CHECK(text.find("attempt at b: expected 40.5 ms with 11 outstanding as told 12 ms before") !=
          std::string::npos);
    CHECK(text.find("configuration=7") != std::string::npos);
    CHECK(text.find("configuration=9") == std::string::npos); // activated after the request
    CHECK(text.find("endpoint=i-1") != std::string::npos);
    CHECK(text.find("cause: status 503, no_room: every endpoint tried was too busy") != std::string::npos);
}

TEST_CASE("the cause of a failed request is the reason of its last attempt") {
    CHECK(explain_request(parsed(), "r2").find("it may have run") != std::string::npos);
}

TEST_CASE("explain reports a request id that no log line contains") {
    CHECK_THROWS_AS(explain_request(parsed(), "r9"), error);
}

TEST_CASE("beliefs describe a daemon at the requested time") {
    const auto before = describe_beliefs(parsed(), "a", "2026-08-07T16:21:31.500Z");
    CHECK(before.find("configuration=7") != std::string::npos);
    CHECK(before.find("peer b") == std::string::npos);
    const auto after = describe_beliefs(parsed(), "a", "2026-08-07T16:22:00.000Z");
    CHECK(after.find("configuration=9") != std::string::npos);
}
