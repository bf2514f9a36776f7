#include "callers/stand_ins.h"

#include <catch2/catch.hpp>

#include <sys/socket.h>
#include <unistd.h>

using namespace endive;
using namespace endive::callers;
using namespace endive::callers::testing;
using namespace std::chrono_literals;

namespace {

script_step answer_ok(const script_request&) {
    return {ok_response("ok")};
}

/// Sends raw bytes and returns the response.
raw_response exchange_raw(std::uint16_t port, const std::string& bytes) {
    const int socket = connect_to(port);
    send_all(socket, bytes);
    auto response = read_response(socket);
    ::close(socket);
    return response;
}

} // namespace

TEST_CASE("malformed HTTP reaches no backend server and does not stop the proxy") {
    scripted_backend backend{answer_ok};
    proxy_settings settings;
    settings.read_timeout = 300ms;
    settings.idle_timeout = 1000ms;
    proxy_fixture proxy{{backend.address()}, settings};
    const auto port = proxy.server.port();
    for (const std::string bytes :
         {"\r\n\r\n\r\n", "GET\r\n\r\n", "GET /read HTTP/9.9\r\n\r\n", "\x16\x03\x01\x02\x00\x01",
          "GET /read HTTP/1.1\r\nContent-Length: -5\r\n\r\n",
          "POST /read HTTP/1.1\r\nHost: a\r\nContent-Length: 5x\r\n\r\nabcde"}) {
        (void)exchange_raw(port, bytes);
    }
    REQUIRE(backend.executions() == 0);
    REQUIRE(call(port, "GET", "/read").status == 200);
}

TEST_CASE("huge headers are refused by the server") {
    scripted_backend backend{answer_ok};
    proxy_fixture proxy{{backend.address()}};
    const auto response = exchange_raw(
        proxy.server.port(), "GET /read HTTP/1.1\r\nHost: a\r\nX: " + std::string(100000, 'x') + "\r\n\r\n");
    REQUIRE(response.status >= 400);
    REQUIRE(backend.executions() == 0);
}

TEST_CASE("bodies above the limit are refused as not run, those at the limit pass") {
    scripted_backend backend{answer_ok};
    proxy_settings settings;
    settings.max_body_bytes = 1000;
    proxy_fixture proxy{{backend.address()}, settings};
    REQUIRE(call(proxy.server.port(), "POST", "/pay", {}, std::string(1000, 'x')).status == 200);
    for (const std::size_t size : {1001UL, 200000UL}) {
        const auto response = call(proxy.server.port(), "POST", "/pay", {}, std::string(size, 'x'));
        REQUIRE(response.status == 413);
        REQUIRE(response.head.find("endive-outcome: not-run") != std::string::npos);
    }
    REQUIRE(backend.executions() == 1);
}

TEST_CASE("senders that never finish a head or a body are disconnected") {
    scripted_backend backend{answer_ok};
    proxy_settings settings;
    settings.read_timeout = 200ms;
    proxy_fixture proxy{{backend.address()}, settings};
    for (const std::string bytes :
         {"GET /read HTTP/1.1\r\nHost: a\r\nX: ",
          "POST /pay HTTP/1.1\r\nHost: a\r\nContent-Length: 900\r\n\r\nabc",
          "POST /pay HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n"}) {
        REQUIRE_FALSE(exchange_raw(proxy.server.port(), bytes).complete);
    }
    REQUIRE(proxy.counters.value("callers.slow_sender_cut") == 3);
    REQUIRE(backend.executions() == 0);
}

TEST_CASE("calls succeed again after a connection flood, which stays within the limit") {
    scripted_backend backend{answer_ok};
    proxy_settings settings;
    settings.max_connections = 8;
    settings.idle_timeout = 400ms;
    proxy_fixture proxy{{backend.address()}, settings};
    std::vector<int> sockets;
    for (int i = 0; i < 40; ++i) {
        sockets.push_back(connect_to(proxy.server.port()));
    }
    REQUIRE(proxy.server.stats().caller_connections <= 8);
    for (const int socket : sockets) {
        ::close(socket);
    }
    // Connections above the limit are closed immediately, so calls may fail until the flood's connections
    // expire.
    int status = 0;
    for (int i = 0; i < 500 && status != 200; ++i) {
        status = call(proxy.server.port(), "GET", "/read").status;
        std::this_thread::sleep_for(10ms);
    }
    REQUIRE(status == 200);
}

TEST_CASE("repeated response fields survive, fields of one connection do not") {
    scripted_backend backend{[](const script_request&) {
        return script_step{ok_response("ok", "Set-Cookie: a=1\r\nSet-Cookie: b=2\r\nVary: x\r\nVary: y\r\n"
                                             "Keep-Alive: timeout=5\r\n")};
    }};
    proxy_fixture proxy{{backend.address()}};
    const auto response =
        call(proxy.server.port(), "GET", "/read", "X-Own: 1\r\nConnection: X-Private\r\nX-Private: 2\r\n");
    REQUIRE(response.head.find(": a=1\r\n") != std::string::npos);
    REQUIRE(response.head.find(": b=2\r\n") != std::string::npos);
    REQUIRE(response.head.find("Vary: x, y\r\n") != std::string::npos);
    REQUIRE(response.head.find("timeout=5") == std::string::npos);
    REQUIRE(backend.last_head().find("X-Own: 1\r\n") != std::string::npos);
    REQUIRE(backend.last_head().find("X-Private") == std::string::npos);
}
