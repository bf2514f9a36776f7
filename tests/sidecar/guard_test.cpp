// Tests that an unexpected exception ends the event that caused it and nothing else.

#include "sidecar/guard.h"

#include "sidecar/http_server.h"
#include "sidecar/loopback.h"
#include "sidecar/store_client.h"

#include <catch2/catch.hpp>

#include <new>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;

TEST_CASE("an exception is counted and reported, whatever its type") {
    const auto before = caught_exceptions();
    CHECK(run_guarded("test", [] {}));
    CHECK_FALSE(run_guarded("test", [] { throw std::runtime_error{"unexpected"}; }));
    CHECK_FALSE(run_guarded("test", [] { throw std::bad_alloc{}; }));
    CHECK_FALSE(run_guarded("test", [] { throw 7; }));
    CHECK(caught_exceptions() == before + 3);
}

// Guards against a process that one request ends, and against a caller that waits for its answer for ever.
TEST_CASE("a request whose handler throws is answered, and the server goes on") {
    boost::asio::io_context loop;
    const manual_clock clock;
    const auto address = free_address();
    const http_server server{loop, clock, address, [](const std::shared_ptr<exchange>& request) {
                                 if (request->request().target == "/fails") {
                                     throw std::bad_alloc{};
                                 }
                                 request->respond(own_response(200, "fine"));
                             }};
    raw_client client{loop, address};
    client.send("GET /fails HTTP/1.1\r\nHost: a\r\n\r\n");
    REQUIRE(client.expect("HTTP/1.1 500 "));
    client.send("GET /works HTTP/1.1\r\nHost: a\r\n\r\n");
    CHECK(client.expect("fine"));
}

// Guards against a loop that the handler of one connection ends for all.
TEST_CASE("a connection whose data handler throws is closed, and others go on") {
    boost::asio::io_context loop;
    const auto address = free_address();
    std::vector<std::shared_ptr<stream>> connections;
    int ends = 0;
    const listener server{loop, address, [&](std::shared_ptr<stream> connection) {
                              connections.push_back(connection);
                              connection->start(
                                  [self = connection.get()](std::string_view bytes) {
                                      if (bytes == "bad") {
                                          throw std::logic_error{"unexpected"};
                                      }
                                      self->send(std::string{bytes});
                                  },
                                  [&](stream_end) { ++ends; });
                          }};
    raw_client bad{loop, address};
    raw_client good{loop, address};
    bad.send("bad");
    CHECK(run_until(loop, [&] { return bad.ended(); }));
    CHECK(ends == 1);
    good.send("echo");
    CHECK(good.expect("echo"));
}

// Guards against a queue of calls that stops for ever when the handler of one answer throws.
TEST_CASE("an answer of the store whose handler throws does not stop the calls behind it") {
    boost::asio::io_context loop;
    const manual_clock clock;
    const auto address = free_address();
    const http_server server{loop, clock, address, [](const std::shared_ptr<exchange>& request) {
                                 request->respond(own_response(200, "{}"));
                             }};
    store_connection store{loop, clock, address};
    unsigned status = 0;
    store.call({"GET", "/1", {}}, std::chrono::seconds{3},
               [](const store_answer&) { throw std::bad_alloc{}; });
    store.call({"GET", "/2", {}}, std::chrono::seconds{3},
               [&](const store_answer& answer) { status = answer.status; });
    CHECK(run_until(loop, [&] { return status == 200; }));
}
