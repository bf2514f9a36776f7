#include "sidecar/http_server.h"

#include "sidecar/loopback.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

std::string get(const std::string& target, const std::string& extra_headers = {}) {
    return "GET " + target + " HTTP/1.1\r\nHost: a\r\n" + extra_headers + "\r\n";
}

std::string post(const std::string& target, const std::string& body) {
    return "POST " + target + " HTTP/1.1\r\nHost: a\r\nContent-Length: " + std::to_string(body.size()) +
           "\r\n\r\n" + body;
}

/// A server that holds requests until the test answers them.
struct fixture {
    boost::asio::io_context loop;
    manual_clock clock;
    std::string address = free_address();
    std::vector<std::shared_ptr<exchange>> requests;
    int abandoned = 0;
    http_server server{loop, clock, address, [this](const std::shared_ptr<exchange>& request) {
                           request->on_abandoned([this] { ++abandoned; });
                           requests.push_back(request);
                       }};

    bool wait_for(std::size_t count) {
        return run_until(loop, [&] { return requests.size() >= count; });
    }
    void answer(std::size_t index, std::string body) {
        requests.at(index)->respond(own_response(200, std::move(body)));
    }
};

} // namespace

// Guards against pipelined reads of one connection waiting for each other and missing their latency target.
TEST_CASE("pipelined reads run concurrently and are answered in order") {
    fixture f;
    raw_client client{f.loop, f.address};
    client.send(get("/1") + get("/2") + get("/3"));
    REQUIRE(f.wait_for(3));
    f.answer(2, "third");
    f.answer(0, "first");
    f.answer(1, "second");
    REQUIRE(client.expect("third"));
    CHECK(client.received().find("first") < client.received().find("second"));
    CHECK(client.received().find("second") < client.received().find("third"));
}

TEST_CASE("a request without a safe method waits for earlier ones") {
    fixture f;
    raw_client client{f.loop, f.address};
    client.send(get("/1") + post("/2", "body") + get("/3"));
    REQUIRE(f.wait_for(1));
    f.loop.poll();
    CHECK(f.requests.size() == 1);
    f.answer(0, "first");
    REQUIRE(f.wait_for(2));
    f.loop.poll();
    CHECK(f.requests.size() == 2);
    CHECK(f.requests[1]->request().body == "body");
    f.answer(1, "second");
    REQUIRE(f.wait_for(3));
}

TEST_CASE("a caller that disconnects is detected while its request runs") {
    fixture f;
    raw_client client{f.loop, f.address};
    client.send(get("/1"));
    REQUIRE(f.wait_for(1));
    client.close();
    CHECK(run_until(f.loop, [&] { return f.abandoned == 1; }));
    f.answer(0, "too late");
    CHECK(f.server.open_exchanges() == 0);
}

TEST_CASE("while the daemon stops, connections close after their last response and when idle") {
    fixture f;
    raw_client busy{f.loop, f.address};
    raw_client idle{f.loop, f.address};
    busy.send(get("/1") + get("/2"));
    REQUIRE(f.wait_for(2));
    f.server.start_draining();
    f.answer(0, "first");
    f.answer(1, "second");
    REQUIRE(busy.expect("second"));
    REQUIRE(run_until(f.loop, [&] { return busy.ended(); }));
    CHECK(busy.received().find("Connection: close") > busy.received().find("first"));
    f.clock.advance(1s);
    f.server.sweep(f.clock.now());
    CHECK(run_until(f.loop, [&] { return idle.ended(); }));
}

// Guards against cutting a long response on a slow connection: a connection that ends after its response was
// closed one second after the response was queued.
TEST_CASE("a connection that ends after its response is not closed while the response is being sent") {
    constexpr std::size_t body_bytes = 32UL * 1024 * 1024;
    fixture f;
    stalled_client client{f.loop, f.address};
    client.send(get("/1", "Connection: close\r\n"));
    REQUIRE(f.wait_for(1));
    f.answer(0, std::string(body_bytes, 'x'));
    for (int i = 0; i < 30; ++i) {
        f.clock.advance(100ms);
        run_steps(f.loop, 2);
        f.server.sweep(f.clock.now());
    }
    CHECK(f.server.session_count() == 1);
    client.read(body_bytes + 1);
    CHECK(client.received().size() > body_bytes);
}

// Guards against resetting a connection whose next request has arrived but has not been read yet.
TEST_CASE("an idle connection with an unread request is not closed while the daemon stops") {
    fixture f;
    stalled_client client{f.loop, f.address};
    client.send(get("/1"));
    REQUIRE(f.wait_for(1));
    f.answer(0, "first");
    run_steps(f.loop, 10);
    f.server.start_draining();
    f.clock.advance(1s);
    client.send(get("/2"));
    f.server.sweep(f.clock.now());
    CHECK(f.wait_for(2));
}

// Guards against callers that send bodies slowly or not to their end on many connections, whose bytes
// together take the memory of the process.
TEST_CASE("the largest incomplete request is rejected when all together are too large") {
    fixture f;
    f.server.set_buffer_limit(100'000);
    const std::string head = "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 90000\r\n\r\n";
    raw_client small{f.loop, f.address};
    raw_client large{f.loop, f.address};
    small.send(head + std::string(40'000, 'x'));
    large.send(head + std::string(80'000, 'x'));
    run_steps(f.loop, 200);
    f.server.sweep(f.clock.now());
    CHECK(large.expect("503"));
    small.send(std::string(50'000, 'x'));
    CHECK(f.wait_for(1));
}

// Load: silent connections take all descriptors. Guards against a listener that accepts none for the idle
// timeout.
TEST_CASE(
    "the longest idle connections are closed for new ones, and a new one is refused when none is idle") {
    fixture f;
    f.server.set_bounds({.connections = 2, .connections_per_address = 2}, {}, nullptr);
    raw_client silent{f.loop, f.address};
    f.clock.advance(2s);
    raw_client busy{f.loop, f.address};
    busy.send(get("/a"));
    REQUIRE(f.wait_for(1));
    raw_client next{f.loop, f.address};
    next.send(get("/b"));
    REQUIRE(f.wait_for(2));
    CHECK(run_until(f.loop, [&] { return silent.ended(); }));
    raw_client refused{f.loop, f.address};
    CHECK(run_until(f.loop, [&] { return refused.ended(); }));
    f.answer(0, "one");
    CHECK(busy.expect("one"));
    CHECK(f.server.session_count() == 2);
}

// Load: clients that read nothing of long responses, beside one that reads.
TEST_CASE("a client that does not read is closed beyond the bound, and one that reads gets its response") {
    constexpr std::size_t response_bytes = 16UL * 1024 * 1024; // more than the kernel buffers
    fixture f;
    counter_set counters;
    f.server.set_bounds({.undelivered = response_bytes * 3 / 2}, {}, &counters);
    stalled_client stalled{f.loop, f.address};
    stalled.send(get("/a"));
    REQUIRE(f.wait_for(1));
    f.answer(0, std::string(response_bytes, 'x'));
    f.clock.advance(3s);
    raw_client reader{f.loop, f.address};
    reader.send(get("/b"));
    REQUIRE(f.wait_for(2));
    f.answer(1, std::string(response_bytes, 'y') + "end");
    CHECK(run_until(f.loop, [&] { return reader.received().ends_with("yend"); }));
    CHECK(counters.values().at("clients_closed_slow_reader") == 1);
    CHECK(f.server.session_count() == 1);
}

TEST_CASE("the next request of a connection waits while its responses are unread") {
    constexpr std::size_t response_bytes = 16UL * 1024 * 1024;
    fixture f;
    stalled_client client{f.loop, f.address};
    client.send(get("/a"));
    REQUIRE(f.wait_for(1));
    f.answer(0, std::string(response_bytes, 'x'));
    client.send(get("/b"));
    run_steps(f.loop, 20);
    CHECK(f.requests.size() == 1);
    client.read(response_bytes);
    CHECK(f.wait_for(2));
}

// Load pattern: a planned stop under load at the end of its grace time. Guards against requests that are read
// just before the process ends and cut off without a response.
TEST_CASE("a server that has stopped reading answers pending requests and leaves later ones unread") {
    fixture f;
    raw_client busy{f.loop, f.address};
    raw_client idle{f.loop, f.address};
    busy.send(post("/1", "a"));
    REQUIRE(f.wait_for(1));
    f.server.stop_reading();
    idle.send(post("/2", "b"));
    busy.send(post("/3", "c"));
    run_steps(f.loop, 50);
    f.answer(0, "first");
    REQUIRE(busy.expect("first"));
    run_steps(f.loop, 50);
    CHECK(f.requests.size() == 1);
    std::optional<bool> connected;
    connect_stream(f.loop, to_endpoint(f.address), 5s,
                   [&](const std::shared_ptr<stream>& connection) { connected = connection != nullptr; });
    CHECK(run_until(f.loop, [&] { return connected.has_value(); }));
    CHECK_FALSE(connected.value_or(true));
}

TEST_CASE("malformed and ambiguously framed requests are rejected and the connection closed") {
    const std::vector<std::string> attempts{
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET "
        "/b HTTP/1.1\r\n\r\n",
        "POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
        "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding : chunked\r\n\r\n0\r\n\r\n",
        "GET /a HTTP/1.1\nHost a\r\n\r\n",
        "GARBAGE\r\n\r\n",
    };
    for (const auto& bytes : attempts) {
        INFO(bytes);
        fixture f;
        raw_client client{f.loop, f.address};
        client.send(bytes);
        REQUIRE(client.expect("HTTP/1.1 400"));
        CHECK(run_until(f.loop, [&] { return client.ended(); }));
        CHECK(f.requests.empty());
    }
}

TEST_CASE("limits on header and body are enforced") {
    fixture f;
    mesh::caller_limits limits;
    limits.header_bytes = 200;
    limits.body_bytes = 10;
    f.server.set_limits(limits);
    raw_client large_header{f.loop, f.address};
    large_header.send(get("/1", "X: " + std::string(500, 'x') + "\r\n"));
    CHECK(large_header.expect("HTTP/1.1 431"));
    raw_client large_body{f.loop, f.address};
    large_body.send(post("/1", std::string(11, 'x')));
    CHECK(large_body.expect("HTTP/1.1 413"));
    raw_client slow{f.loop, f.address};
    slow.send("GET / HTTP/1.1\r\nHo");
    run_until(f.loop, [&] { return f.server.session_count() >= 1; });
    for (int i = 0; i < 50; ++i) {
        f.loop.run_one_for(5ms);
    }
    f.clock.advance(4s);
    f.server.sweep(f.clock.now());
    CHECK(slow.expect("HTTP/1.1 408"));
    CHECK(f.requests.empty());
}

TEST_CASE("chunked bodies are reassembled from fragments of any size") {
    fixture f;
    raw_client client{f.loop, f.address};
    const std::string bytes = "POST /a HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
                              "chunked\r\n\r\n5\r\nhello\r\n6\r\n world\r\n0\r\nT: x\r\n\r\n";
    for (const char c : bytes) {
        client.send(std::string(1, c));
        f.loop.poll();
    }
    REQUIRE(f.wait_for(1));
    CHECK(f.requests[0]->request().body == "hello world");
    CHECK_FALSE(has_header(f.requests[0]->request().headers, "T"));
}

TEST_CASE("connection headers and the headers they list are not forwarded") {
    const header_list headers{{"Connection", "close, X-Private"},
                              {"X-Private", "1"},
                              {"Keep-Alive", "timeout=5"},
                              {"X-Request-Id", "7"},
                              {"Content-Length", "3"}};
    CHECK(end_to_end_headers(headers) == header_list{{"X-Request-Id", "7"}});
}

// Guards against a request whose body never ends holding its connection and memory without a time limit.
TEST_CASE("a body without end is ended by its time limit") {
    const bool silent = GENERATE(true, false);
    fixture f;
    raw_client client{f.loop, f.address};
    client.send("POST /1 HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n");
    raw_client other{f.loop, f.address};
    other.send(get("/2"));
    REQUIRE(f.wait_for(1));
    for (int second = 0; second <= 60; ++second) {
        if (!silent) {
            client.send("a");
        }
        f.clock.advance(1s);
        run_steps(f.loop, 2);
        f.server.sweep(f.clock.now());
    }
    CHECK(client.expect("HTTP/1.1 408"));
    CHECK(f.requests.size() == 1);
    f.answer(0, "other");
    CHECK(other.expect("other"));
}
