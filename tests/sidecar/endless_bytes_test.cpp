// Peers that send bytes without end: each place where a message may go on has a bound.

#include "sidecar/http_message.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::sidecar;

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

} // namespace

// Holds already: Beast rejects a start line or a field that exceeds the header limit.
TEST_CASE("a start line or header field without end is rejected") {
    for (const std::string piece : {"a", "aaaaaaa"}) {
        CHECK(read_without_end<response_reader>("HTTP/1.1 200 ", piece) == read_status::header_too_large);
        CHECK(read_without_end<response_reader>(response_head + "X: ", piece) ==
              read_status::header_too_large);
        CHECK(read_without_end<request_reader>("GET /", piece) == read_status::header_too_large);
        CHECK(read_without_end<request_reader>(request_head + "X: ", piece) == read_status::header_too_large);
    }
}

// Holds already: an empty line is no start line.
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

// Holds already: Beast applies the body limit to all three framings.
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
