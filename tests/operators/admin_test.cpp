#include "endive/operators.h"
#include "operators/admin_api.h"
#include "operators/admin_json.h"

#include <catch2/catch.hpp>
#include <catch2/trompeloeil.hpp>

#include <thread>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

using namespace endive;
using namespace endive::operators;
using trompeloeil::_;

namespace {

class mock_service final : public admin_service {
public:
    MAKE_MOCK1(submit, submit_result(const submit_request&), override);
    MAKE_MOCK1(part, part_result(const std::string&), override);
    MAKE_MOCK0(status, fleet_status(), override);
    MAKE_MOCK1(history, std::vector<history_entry>(std::size_t), override);
    MAKE_MOCK0(moves, std::vector<move_status>(), override);
    MAKE_MOCK1(apply_action, move_status(const move_action_request&), override);
    MAKE_MOCK0(report, report_result(), override);
    MAKE_MOCK2(operation, std::optional<operation_result>(const std::string&, const std::string&), override);
    MAKE_MOCK1(announce, void(const endpoint_announcement&), override);
    MAKE_MOCK0(ready, readiness(), override);
};

admin_settings test_settings() {
    admin_settings settings;
    settings.listen = {"127.0.0.1", 0};
    settings.tokens = {{"sciacca", "token-s"}, {"granite-hearth", "token-g"}};
    settings.operators_token = "token-o";
    settings.max_body_bytes = 1000;
    return settings;
}

struct fixture {
    mock_service service;
    counter_set counters;
    admin_api api{test_settings(), service, counters, {}};

    http_response call(const std::string& method, const std::string& target, const std::string& token = "",
                       const std::string& if_match = "", const std::string& key = "",
                       const std::string& body = "", const std::string& client = "127.0.0.1") {
        http_request request{method, target, {}, {}, {}, client, body};
        if (!token.empty()) {
            request.authorization = "Bearer " + token;
        }
        if (!if_match.empty()) {
            request.if_match = if_match;
        }
        if (!key.empty()) {
            request.idempotency_key = key;
        }
        return api.handle(request);
    }
};

std::string error_name(const http_response& response) {
    return json::parse(response.body).value("name", "none");
}

move_status test_move() {
    move_status move;
    move.id = "bacheca:v2";
    move.team = "sciacca";
    move.row_version = 4;
    return move;
}

/// A connected socket, or -1 when the connection was refused.
int connect_to(std::uint16_t port) {
    const int connection = socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    inet_pton(AF_INET, "127.0.0.1", &address.sin_addr);
    if (connect(connection, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
        close(connection);
        return -1;
    }
    return connection;
}

bool can_connect(std::uint16_t port) {
    const int connection = connect_to(port);
    if (connection >= 0) {
        close(connection);
    }
    return connection >= 0;
}

/// Sends raw bytes and reads until the server closes the connection.
std::string exchange(std::uint16_t port, const std::string& bytes) {
    const int connection = connect_to(port);
    REQUIRE(connection >= 0);
    (void)send(connection, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::string received;
    char buffer[4096];
    ssize_t count = 0;
    while ((count = recv(connection, buffer, sizeof buffer, 0)) > 0) {
        received.append(buffer, static_cast<std::size_t>(count));
    }
    close(connection);
    return received;
}

} // namespace

TEST_CASE("requests without a known token are refused before the service is asked") {
    fixture f;
    for (const auto* target :
         {"/endive/v1/status", "/endive/v1/history", "/endive/v1/moves", "/endive/v1/report",
          "/endive/v1/parts/sciacca", "/endive/v1/operations/pay-desk/k1"}) {
        INFO(target);
        for (const auto* token : {"", "token", "token-ss", "token-x"}) {
            const auto response = f.call("GET", target, token);
            CHECK(response.status == 401);
            CHECK(response.headers.at("WWW-Authenticate") == "Bearer");
        }
    }
    CHECK(f.call("POST", "/endive/v1/moves/bacheca:v2/pause", "", "4").status == 401);
    CHECK(f.counters.value("admin.errors.submit_unauthorized") == 25);
}

TEST_CASE("a team submits its own part only, and the operators token submits nothing") {
    fixture f;
    CHECK(error_name(f.call("POST", "/endive/v1/parts/sciacca", "token-g", "0", "k", "{}")) ==
          "submit_wrong_team");
    CHECK(error_name(f.call("POST", "/endive/v1/parts/sciacca", "token-o", "0", "k", "{}")) ==
          "admin_forbidden");
    CHECK(error_name(f.call("GET", "/endive/v1/parts/sciacca", "token-g")) == "submit_wrong_team");
}

TEST_CASE("a submit passes body, precondition and key on and returns the version") {
    fixture f;
    const submit_request expected{"sciacca", "{\"a\":1}", 7, "key-1"};
    REQUIRE_CALL(f.service, submit(expected)).RETURN(submit_result{9, 0xABC, 9, true});
    const auto response =
        f.call("POST", "/endive/v1/parts/sciacca", "token-s", "\"7\"", "key-1", "{\"a\":1}");
    CHECK(response.status == 200);
    CHECK(response.headers.at("ETag") == "\"9\"");
    CHECK(json::parse(response.body) ==
          json{{"version", 9}, {"digest", "0000000000000abc"}, {"changed_at_version", 9}, {"changed", true}});
}

TEST_CASE("a submit without valid precondition, key or size is refused before the service is asked") {
    fixture f;
    const std::string path = "/endive/v1/parts/sciacca";
    CHECK(f.call("POST", path, "token-s", "", "k", "{}").status == 428);
    for (const auto* if_match : {"*", "x", "\"7", "-1", "7 ", "18446744073709551616", "\"\""}) {
        INFO(if_match);
        CHECK(f.call("POST", path, "token-s", if_match, "k", "{}").status == 400);
    }
    CHECK(f.call("POST", path, "token-s", "7", "", "{}").status == 400);
    CHECK(f.call("POST", path, "token-s", "7", std::string(129, 'k'), "{}").status == 400);
    CHECK(f.call("POST", path, "token-s", "7", "two words", "{}").status == 400);
    CHECK(f.call("POST", path, "token-s", "7", "k", std::string(1001, ' ')).status == 413);
}

TEST_CASE("a conflict names the current version") {
    fixture f;
    REQUIRE_CALL(f.service, submit(_))
        .THROW(conflict_error(result_code::submit_conflict, "the part changed at version 12", "sciacca", 12));
    const auto response = f.call("POST", "/endive/v1/parts/sciacca", "token-s", "7", "k", "{}");
    CHECK(response.status == 412);
    CHECK(response.headers.at("ETag") == "\"12\"");
    CHECK(json::parse(response.body) == json{{"code", 4001},
                                             {"name", "submit_conflict"},
                                             {"message", "the part changed at version 12"},
                                             {"place", "sciacca"},
                                             {"current_version", 12}});
}

TEST_CASE("errors of the service keep their code and place, other exceptions reveal nothing") {
    fixture f;
    {
        REQUIRE_CALL(f.service, submit(_)).THROW(error(result_code::answers_bad_name, "bad", "/team"));
        const auto response = f.call("POST", "/endive/v1/parts/sciacca", "token-s", "7", "k", "{}");
        CHECK(response.status == 422);
        CHECK(json::parse(response.body).at("place") == "/team");
    }
    REQUIRE_CALL(f.service, status()).THROW(std::runtime_error("secret detail"));
    const auto response = f.call("GET", "/endive/v1/status", "token-o");
    CHECK(response.status == 500);
    CHECK(response.body.find("secret") == std::string::npos);
}

TEST_CASE("move actions check owner, precondition and body") {
    fixture f;
    ALLOW_CALL(f.service, moves()).RETURN(std::vector<move_status>{test_move()});
    const std::string path = "/endive/v1/moves/bacheca%3Av2/";
    CHECK(f.call("POST", path + "pause", "token-g", "4").status == 403);
    CHECK(f.call("POST", path + "pause", "token-o", "4").status == 403);
    CHECK(f.call("POST", path + "pause", "token-s").status == 428);
    CHECK(f.call("POST", path + "pause", "token-s", "*").status == 400);
    CHECK(f.call("POST", path + "pause", "token-s", "4", "", "{\"x\":1}").status == 400);
    CHECK(f.call("POST", path + "stop", "token-s", "4").status == 404);
    CHECK(f.call("GET", path + "pause", "token-s", "4").status == 405);
    CHECK(error_name(f.call("POST", "/endive/v1/moves/none:v2/pause", "token-s", "4")) == "move_not_found");
    for (const auto* body : {"", "[]", "{}", "{\"deadline\":5}", "{\"deadline\":\"dawn\"}",
                             "{\"deadline\":\"9999-01-01T00:00:00Z\"}"}) {
        INFO(body);
        CHECK(f.call("POST", path + "extend", "token-s", "4", "", body).status == 400);
    }
    const move_action_request extend{"bacheca:v2", "sciacca", move_action::extend, 4, 2061936000000};
    REQUIRE_CALL(f.service, apply_action(extend)).RETURN(test_move());
    CHECK(f.call("POST", path + "extend", "token-s", "4", "", R"({"deadline":"2035-05-05T00:00:00Z"})")
              .status == 200);
    const move_action_request any{"bacheca:v2", "sciacca", move_action::take_back, std::nullopt, 0};
    REQUIRE_CALL(f.service, apply_action(any)).RETURN(test_move());
    CHECK(f.call("POST", path + "take-back", "token-s", "*").status == 200);
}

TEST_CASE("endpoints are announced from their own VM only and with a complete body") {
    fixture f;
    const std::string path = "/endive/v1/endpoint";
    const json good = {
        {"address", "127.0.0.1:8080"}, {"service", "bacheca"}, {"version", "v1"}, {"slots", 12},
        {"connections", 120},          {"state", "serving"}};
    CHECK(f.call("PUT", path, "", "", "", good.dump(), "10.0.0.9").status == 403);
    CHECK(f.call("PUT", path, "", "", "", good.dump(), "").status == 403);
    const std::vector<std::pair<std::string, json>> faults = {
        {"address", "localhost"}, {"address", nullptr},   {"service", ""},
        {"version", 3},           {"slots", 0},           {"slots", 4294967297},
        {"slots", "12"},          {"connections", 65536}, {"state", "gone"},
        {"state", nullptr},       {"unknown", "field"}};
    for (const auto& [field, value] : faults) {
        auto body = good;
        body[field] = value;
        const auto response = f.call("PUT", path, "", "", "", body.dump());
        CHECK(response.status == 400);
        CHECK(json::parse(response.body).at("place") == "/" + field);
    }
    const endpoint_announcement expected{
        "127.0.0.1:8080", "bacheca", "v1", 12, 120, model::endpoint_state::serving};
    REQUIRE_CALL(f.service, announce(expected));
    CHECK(f.call("PUT", path, "", "", "", good.dump()).status == 200);
}

TEST_CASE("unknown paths, methods and query values get 404, 405 and 400") {
    fixture f;
    for (const auto* target : {"/", "/endive", "/endive/v1", "/endive/v2/status", "/endive/v1/status/x",
                               "/metricsx", "/endive/v1/parts", "/endive/v1/parts/a/b"}) {
        INFO(target);
        CHECK(f.call("GET", target, "token-o").status == 404);
    }
    CHECK(f.call("GET", "/a%zz", "token-o").status == 400);
    CHECK(f.call("GET", "", "token-o").status == 400);
    const auto response = f.call("DELETE", "/endive/v1/status", "token-o");
    CHECK(response.status == 405);
    CHECK(response.headers.at("Allow") == "GET");
    for (const auto* limit : {"0", "1001", "x", "", "-1"}) {
        CHECK(f.call("GET", "/endive/v1/history?limit=" + std::string{limit}, "token-o").status == 400);
    }
    REQUIRE_CALL(f.service, history(3U)).RETURN(std::vector<history_entry>{});
    CHECK(f.call("GET", "/endive/v1/history?a=b&limit=3", "token-o").status == 200);
}

TEST_CASE("a part that does not exist yet is reported with version 0") {
    fixture f;
    REQUIRE_CALL(f.service, part("sciacca")).RETURN(part_result{});
    const auto response = f.call("GET", "/endive/v1/parts/sciacca", "token-s");
    CHECK(response.headers.at("ETag") == "\"0\"");
    CHECK(json::parse(response.body).at("part").is_null());
}

TEST_CASE("readiness is 503 with the reason while the daemon is not ready") {
    fixture f;
    REQUIRE_CALL(f.service, ready()).RETURN(readiness{false, "draining"});
    const auto response = f.call("GET", "/readyz");
    CHECK(response.status == 503);
    CHECK(json::parse(response.body).at("reason") == "draining");
    CHECK(f.call("GET", "/healthz").status == 200);
}

TEST_CASE("metrics hold each name once and only allowed characters") {
    counter_set counters;
    counters.add("admin.requests", 3);
    counters.add("retry-reason", 1);
    counters.add("retry.reason", 4);
    latency_histogram histogram;
    histogram.record(milliseconds{2});
    const auto text = metrics_text(counters, {{"call.latency", &histogram}});
    CHECK(text.find("endive_admin_requests_total 3\n") != std::string::npos);
    CHECK(text.find("endive_retry_reason_total 5\n") != std::string::npos);
    CHECK(text.find("endive_call_latency_seconds{quantile=\"0.99\"} 0.002\n") != std::string::npos);
    CHECK(text.find("endive_call_latency_seconds_count 1\n") != std::string::npos);
}

TEST_CASE("equal or empty tokens are refused, because one team could act as another") {
    mock_service service;
    counter_set counters;
    auto settings = test_settings();
    settings.tokens["third"] = "token-g";
    REQUIRE_THROWS_AS(admin_server(settings, service, counters), error);
    settings.tokens["third"] = "";
    REQUIRE_THROWS_AS(admin_server(settings, service, counters), error);
    settings.tokens["third"] = settings.operators_token;
    REQUIRE_THROWS_AS(admin_server(settings, service, counters), error);
}

TEST_CASE("the server passes headers and body on and cuts bodies over the limit") {
    mock_service service;
    counter_set counters;
    admin_server server{test_settings(), service, counters};
    const submit_request expected{"sciacca", "{}", 7, "k1"};
    REQUIRE_CALL(service, submit(expected)).RETURN(submit_result{8, 1, 8, true});
    const std::string head = "POST /endive/v1/parts/sciacca HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                             "authorization: Bearer token-s\r\nif-match: 7\r\nidempotency-key: k1\r\n";
    const auto accepted = exchange(server.port(), head + "Content-Length: 2\r\n\r\n{}");
    CHECK(accepted.starts_with("HTTP/1.1 200"));
    CHECK(accepted.find("\"changed_at_version\":8") != std::string::npos);
    const auto large =
        exchange(server.port(), head + "Content-Length: 200000\r\n\r\n" + std::string(200000, 'x'));
    CHECK(large.starts_with("HTTP/1.1 413"));
    CHECK(exchange(server.port(), "nonsense\r\n\r\n").find("200 OK") == std::string::npos);
}

TEST_CASE("a port that is in use is reported with the address") {
    mock_service service;
    counter_set counters;
    admin_server first{test_settings(), service, counters};
    auto settings = test_settings();
    settings.listen.port = first.port();
    try {
        const admin_server second{settings, service, counters};
        FAIL("opened a port that is in use");
    } catch (const error& problem) {
        CHECK(problem.code() == result_code::settings_port_unavailable);
        CHECK(problem.location() == "127.0.0.1:" + std::to_string(first.port()));
    }
}

TEST_CASE("stopping waits for the request in flight and its response") {
    mock_service service;
    counter_set counters;
    admin_server server{test_settings(), service, counters};
    std::atomic<bool> entered{false};
    // The handler returns only after the port has closed, so a server that does not wait cuts the response.
    REQUIRE_CALL(service, status())
        .LR_SIDE_EFFECT({
            entered = true;
            for (int attempts = 0; can_connect(server.port()) && attempts < 100'000; ++attempts) {
                std::this_thread::yield();
            }
        })
        .RETURN(fleet_status{});
    std::string response;
    std::thread caller{[&] {
        response =
            exchange(server.port(), "GET /endive/v1/status HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
                                    "Authorization: Bearer token-o\r\n\r\n");
    }};
    while (!entered) {
        std::this_thread::yield();
    }
    server.stop();
    caller.join();
    CHECK(response.starts_with("HTTP/1.1 200"));
    CHECK(response.ends_with("}\n"));
}
