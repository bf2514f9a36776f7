// Peers that send bytes without end: each place where a message may go on has a bound.

#include "sidecar/endless_server.h"
#include "sidecar/endpoint_service.h"
#include "sidecar/vm.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;
using namespace endive::sidecar::test;
using namespace std::chrono_literals;

namespace {

constexpr read_limits small_limits{.header_bytes = 4096, .body_bytes = 16384};
/// Bytes after which a reader must have rejected an endless part of a message with `small_limits`.
constexpr std::size_t max_read_bytes = 64UL * 1024;

/// Feeds `opening` and then `piece` without end, each in a call of its own. Returns the first status other
/// than `need_more`, or `need_more` when there was none within `max_read_bytes`.
template <typename reader_type>
read_status read_without_end(const std::string& opening, const std::string& piece) {
    reader_type reader{small_limits, false};
    std::string input = opening;
    auto status = input.empty() ? read_status::need_more : reader.feed(input);
    for (std::size_t sent = 0; status == read_status::need_more && sent < max_read_bytes;
         sent += piece.size()) {
        input += piece;
        status = reader.feed(input);
    }
    return status;
}

const std::string response_head = "HTTP/1.1 200 OK\r\n";
const std::string request_head = "POST / HTTP/1.1\r\nHost: a\r\n";
const std::string chunked = "Transfer-Encoding: chunked\r\n\r\n";
constexpr std::size_t mib = 1024UL * 1024;
/// Bytes that the kernel may hold for both ends of a connection on the loopback interface.
constexpr std::size_t socket_buffer_bytes = 16 * mib;
/// A chunk of one byte, most of which is its header.
const std::string sparse_chunk = "1;" + std::string(1000, 'a') + "\r\nb\r\n";

std::string repeat(const std::string& text, int count) {
    std::string result;
    for (int done = 0; done < count; ++done) {
        result += text;
    }
    return result;
}

/// A client of an endpoint. Responses may take `max_buffered_bytes`.
struct client_fixture {
    client_fixture(boost::asio::io_context& event_loop, const std::string& address)
        : loop{event_loop}, client{loop, clock, address, max_buffered_bytes} {}

    std::shared_ptr<std::optional<endpoint_result>> send(const std::string& id) {
        auto result = std::make_shared<std::optional<endpoint_result>>();
        http_message request;
        request.method = "GET";
        request.target = "/" + id;
        client.send(std::move(request), id, [result](endpoint_result value) { *result = std::move(value); });
        return result;
    }
    endpoint_result run(const std::string& id) {
        const auto result = send(id);
        REQUIRE(run_until(loop, [&] { return result->has_value(); }));
        return std::move(**result);
    }

    static constexpr std::size_t max_buffered_bytes = mib;
    boost::asio::io_context& loop;
    manual_clock clock;
    endpoint_client client;
};

/// A daemon's endpoint, whose identity is not known yet.
struct service_fixture {
    service_fixture(boost::asio::io_context& loop, const std::string& address)
        : settings{make_settings(address)}, service{loop, clock, counters, settings} {}

    static sidecar_settings make_settings(const std::string& address) {
        sidecar_settings result;
        result.service = "s";
        result.endpoint_address = address;
        result.memory_mb = 512;
        return result;
    }

    manual_clock clock;
    counter_set counters;
    sidecar_settings settings;
    endpoint_service service;
};

} // namespace

// Guards against buffering a start line or a field that never ends.
TEST_CASE("a start line or header field without end is rejected") {
    for (const std::string piece : {"a", "aaaaaaa"}) {
        CHECK(read_without_end<response_reader>("HTTP/1.1 200 ", piece) == read_status::header_too_large);
        CHECK(read_without_end<response_reader>(response_head + "X: ", piece) ==
              read_status::header_too_large);
        CHECK(read_without_end<request_reader>("GET /", piece) == read_status::header_too_large);
        CHECK(read_without_end<request_reader>(request_head + "X: ", piece) == read_status::header_too_large);
    }
}

// Guards against reading empty lines without end while waiting for a start line.
TEST_CASE("empty lines before the start line are rejected") {
    CHECK(read_without_end<response_reader>({}, "\r\n") == read_status::malformed);
    CHECK(read_without_end<request_reader>({}, "\r\n") == read_status::malformed);
}

// Guards against header fields that each arrive whole being accepted without end.
TEST_CASE("header fields without end are rejected") {
    for (const std::string piece : {"X: y\r\n", "X: y\r\nX: ", "X: y\r\nX: y\r\nX: y\r\n"}) {
        CHECK(read_without_end<response_reader>(response_head, piece) == read_status::header_too_large);
        CHECK(read_without_end<request_reader>(request_head, piece) == read_status::header_too_large);
    }
}

// Guards against a chunk header being collected without end.
TEST_CASE("a chunk header without end is rejected") {
    for (const std::string opening : {"0", "5;", "5;a=", "1\r\na\r\n5;", "0;"}) {
        CHECK(read_without_end<response_reader>(response_head + chunked + opening, "0") ==
              read_status::header_too_large);
        CHECK(read_without_end<request_reader>(request_head + chunked + opening, "0") ==
              read_status::header_too_large);
    }
}

// Guards against trailers being collected without end.
TEST_CASE("trailers without end are rejected") {
    for (const std::string piece : {"X: y\r\n", "X: y\r\nX: "}) {
        CHECK(read_without_end<response_reader>(response_head + chunked + "0\r\n", piece) ==
              read_status::header_too_large);
        CHECK(read_without_end<request_reader>(request_head + chunked + "0\r\n", piece) ==
              read_status::header_too_large);
    }
}

// Guards against a body limit that applies to some kinds of framing only.
TEST_CASE("a body beyond the limit is rejected") {
    const std::string too_long = "Content-Length: 18446744073709551615\r\n\r\n";
    const std::string chunk = "400\r\n" + std::string(0x400, 'a') + "\r\n";
    CHECK(read_without_end<response_reader>(response_head + too_long, "a") == read_status::body_too_large);
    CHECK(read_without_end<response_reader>(response_head + chunked, chunk) == read_status::body_too_large);
    CHECK(read_without_end<response_reader>(response_head + "\r\n", "aaaa") == read_status::body_too_large);
    CHECK(read_without_end<request_reader>(request_head + too_long, "a") == read_status::body_too_large);
    CHECK(read_without_end<request_reader>(request_head + chunked, chunk) == read_status::body_too_large);
    // One chunk larger than the limit.
    CHECK(read_without_end<response_reader>(response_head + chunked + "ffffffffffffffff\r\n", "a") ==
          read_status::body_too_large);
}

// Guards against a response that no limit of bytes ends and that holds its request beyond the deadline.
TEST_CASE("a response without end is ended at the deadline of its request") {
    boost::asio::io_context loop;
    const endless_server server{loop, response_head + chunked, sparse_chunk};
    service_fixture f{loop, server.address()};
    f.service.update([&](mesh::endpoint_tracker& tracker) { tracker.on_health("i-1", true, 4); });
    call_message call;
    call.service = f.settings.service;
    call.endpoint_id = "i-1";
    call.request_id = "1";
    call.method = "GET";
    call.target = "/x";
    call.remaining = 1000ms;
    call.latency_target = 1000ms;
    std::optional<reply_message> reply;
    f.service.execute(std::move(call), [&](reply_message value) { reply = std::move(value); });
    REQUIRE(run_until(loop, [&] { return server.sent() > mib; }));
    f.clock.advance(1000ms);
    f.service.tick(f.clock.now());
    REQUIRE(reply.has_value());
    CHECK(reply->why == mesh::reason::timed_out);
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
}

// Guards against a health check without a response blocking all later ones.
TEST_CASE("a health check without a response is ended and repeated") {
    const bool silent = GENERATE(true, false);
    boost::asio::io_context loop;
    const endless_server server{loop, silent ? "" : response_head + chunked, silent ? "" : sparse_chunk};
    service_fixture f{loop, server.address()};
    f.service.probe("/health");
    REQUIRE(run_until(loop, [&] { return server.accepted() == 1 && (silent || server.sent() > 4096); }));
    f.clock.advance(3s);
    f.service.tick(f.clock.now());
    f.service.probe("/health");
    CHECK(run_until(loop, [&] { return server.accepted() == 2; }));
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
}

// Guards against the body of a health check taking as much memory as a response.
TEST_CASE("a health check with a large body is ended") {
    boost::asio::io_context loop;
    const endless_server server{loop, response_head + "\r\n", std::string(4096, 'a')};
    service_fixture f{loop, server.address()};
    f.service.probe("/health");
    REQUIRE(run_until(loop, [&] { return server.closed() == 1; }));
    CHECK(server.sent() < socket_buffer_bytes);
    f.service.probe("/health");
    CHECK(run_until(loop, [&] { return server.accepted() == 2; }));
}

// Guards against the limit being lost when the first bytes of the body arrive together with the header.
TEST_CASE("a body beyond the limit is rejected when it arrives with its header") {
    for (const std::string length : {"16385", "18446744073709551615"}) {
        const auto rest = "Content-Length: " + length + "\r\n\r\na";
        CHECK(read_without_end<response_reader>(response_head + rest, "a") == read_status::body_too_large);
        CHECK(read_without_end<request_reader>(request_head + rest, "a") == read_status::body_too_large);
    }
    CHECK(read_without_end<response_reader>(response_head + chunked + "4001\r\na", "a") ==
          read_status::body_too_large);
    CHECK(read_without_end<response_reader>(response_head + "\r\na", "a") == read_status::body_too_large);
}

// Guards against responses that are not the expected one being read without end.
TEST_CASE("interim responses without end are rejected") {
    boost::asio::io_context loop;
    const std::string id_field = GENERATE(as<std::string>{}, "", "X-Request-Id: 1\r\n");
    const endless_server server{loop, {}, repeat("HTTP/1.1 103 Early Hints\r\n" + id_field + "\r\n", 1000)};
    client_fixture f{loop, server.address()};
    CHECK(f.run("1").why == mesh::reason::bad_response);
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
}

TEST_CASE("duplicates of an earlier response without end are rejected") {
    boost::asio::io_context loop;
    int number = 0;
    scripted_server server{loop, [&](const std::shared_ptr<stream>& connection, std::string&) {
                               connection->send(
                                   repeat(response_head + "X-Request-Id: 1\r\nContent-Length: 3\r\n\r\none",
                                          ++number == 1 ? 1 : 1000));
                           }};
    client_fixture f{loop, server.address()};
    CHECK(f.run("1").response.body == "one");
    CHECK(f.run("2").why == mesh::reason::bad_response);
    CHECK(run_until(loop, [&] { return server.ended() == 1; }));
}

// Guards against response bodies taking more memory than the VM has.
TEST_CASE("a response body without end is rejected at the memory limit") {
    const std::string block(64UL * 1024, 'a');
    const auto opening = GENERATE(as<std::string>{}, "Content-Length: 60000000\r\n\r\n", "\r\n",
                                  "Transfer-Encoding: chunked\r\n\r\n3938700\r\n"); // 60000000 bytes
    INFO(opening);
    boost::asio::io_context loop;
    const endless_server server{loop, response_head + "X-Request-Id: 1\r\n" + opening, block};
    client_fixture f{loop, server.address()};
    CHECK(f.run("1").why == mesh::reason::bad_response);
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
    CHECK(server.sent() < client_fixture::max_buffered_bytes + socket_buffer_bytes);
    CHECK(f.client.buffered_bytes() == 0);
}

// Guards against responses that together take more memory than the VM has.
TEST_CASE("the largest response is rejected when all together reach the memory limit") {
    boost::asio::io_context loop;
    std::map<std::string, std::shared_ptr<stream>> connections;
    scripted_server server{loop, [&](const std::shared_ptr<stream>& connection, std::string& input) {
                               const auto id = input.substr(5, 1);
                               connections[id] = connection;
                               connection->send(response_head + "X-Request-Id: " + id +
                                                "\r\nContent-Length: 700000\r\n\r\n");
                           }};
    client_fixture f{loop, server.address()};
    const auto large = f.send("1");
    const auto small = f.send("2");
    REQUIRE(run_until(loop, [&] { return connections.size() == 2; }));
    connections["1"]->send(std::string(600'000, 'a'));
    REQUIRE(run_until(loop, [&] { return f.client.buffered_bytes() >= 600'000; }));
    connections["2"]->send(std::string(500'000, 'a'));
    REQUIRE(run_until(loop, [&] { return large->has_value(); }));
    CHECK((*large)->why == mesh::reason::bad_response);
    CHECK(f.client.buffered_bytes() <= client_fixture::max_buffered_bytes);
    connections["2"]->send(std::string(200'000, 'a'));
    REQUIRE(run_until(loop, [&] { return small->has_value(); }));
    CHECK((*small)->response.body.size() == 700'000);
    CHECK(f.client.buffered_bytes() == 0);
}

// Guards against reading bytes without end on an idle connection.
TEST_CASE("bytes without end after a complete response close the connection") {
    boost::asio::io_context loop;
    const endless_server server{loop, response_head + "X-Request-Id: 1\r\nContent-Length: 2\r\n\r\nok",
                                std::string(4096, 'a')};
    client_fixture f{loop, server.address()};
    CHECK(f.run("1").response.body == "ok");
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
    CHECK(f.client.idle_connections() == 0);
}

// Guards against the daemon's own servers, whose requests are small, reading bodies as large as a caller's.
TEST_CASE("heartbeats, readiness checks and metrics queries with a large body are rejected") {
    boost::asio::io_context loop;
    const manual_clock clock;
    const store_stand_in store{loop, clock};
    const vm machine{loop, clock, store, "a", "s"};
    const auto& settings = machine.settings;
    for (const auto& address :
         {settings.announcements_address, settings.readiness_address, settings.metrics_address}) {
        raw_client client{loop, address};
        client.send("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 100000\r\n\r\n");
        CHECK(client.expect("HTTP/1.1 413"));
    }
}

// Guards against connections to the metrics server staying open without a time limit.
TEST_CASE("idle connections to the metrics server are closed") {
    boost::asio::io_context loop;
    manual_clock clock;
    const store_stand_in store{loop, clock};
    const vm machine{loop, clock, store, "a", "s"};
    const raw_client client{loop, machine.settings.metrics_address};
    run_steps(loop, 10);
    clock.advance(60s);
    CHECK(run_until(loop, [&] { return client.ended(); }));
}

// Guards against an answer of the store taking more memory than the VM has.
TEST_CASE("an answer of the store with a large body is rejected") {
    boost::asio::io_context loop;
    const endless_server server{loop, response_head + "Content-Length: 60000000\r\n\r\n",
                                std::string(64UL * 1024, 'a')};
    const manual_clock clock;
    store_connection store{loop, clock, server.address()};
    std::optional<store_answer> answer;
    store.call(platform_wire::read_rows("t", ""), 60s,
               [&](store_answer value) { answer = std::move(value); });
    REQUIRE(run_until(loop, [&] { return answer.has_value(); }));
    CHECK(answer->status == 0);
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
    CHECK(server.sent() < 2 * socket_buffer_bytes);
}

// Guards against an answer of the store that never ends and blocks the calls behind it.
TEST_CASE("an answer of the store without end is ended at its timeout") {
    boost::asio::io_context loop;
    const endless_server server{loop, response_head + chunked, sparse_chunk};
    manual_clock clock;
    store_connection store{loop, clock, server.address()};
    std::optional<store_answer> answer;
    store.call(platform_wire::read_rows("t", ""), 50ms,
               [&](store_answer value) { answer = std::move(value); });
    REQUIRE(run_until(loop, [&] { return store.received_bytes() > 0; }));
    for (int i = 0; i < 2; ++i) {
        clock.advance(25ms);
        store.tick(clock.now());
    }
    store.tick(clock.now());
    REQUIRE(answer.has_value());
    CHECK(answer->status == 0);
    CHECK(run_until(loop, [&] { return server.closed() == 1; }));
}
