#include "sidecar/messages.h"

#include <catch2/catch.hpp>
#include <flatbuffers/flatbuffers.h>
#include <rapidcheck.h>

#include <limits>

using namespace endive;
using namespace endive::sidecar;
using namespace std::chrono_literals;

namespace {

peer_message round_trip(const peer_message& message) {
    frame_decoder decoder{max_message_bytes};
    decoder.feed(encode(message));
    const auto frame = decoder.next();
    REQUIRE(frame.has_value());
    return decode_message(*frame);
}

} // namespace

TEST_CASE("calls and replies keep their fields when encoded and decoded") {
    call_message call{7,
                      "svc",
                      "i-1",
                      "id",
                      "POST",
                      "/t?q",
                      {{"A", "1"}, {"B", ""}},
                      std::string("b\0dy", 4),
                      "route",
                      1500ms,
                      400ms,
                      20ms,
                      2,
                      mesh::request_kind::upload};
    call.tenant = "tenant-1";
    call.key_digest = 0x1234567890abcdefULL;
    call.expected_cost = 1500us;
    call.refused_before = 300;
    const auto got = std::get<call_message>(round_trip(call));
    CHECK(got.stream == 7);
    CHECK(got.endpoint_id == "i-1");
    CHECK(got.headers == call.headers);
    CHECK(got.body == call.body);
    CHECK(got.remaining == 1500ms);
    CHECK(got.waited == 20ms);
    CHECK(got.kind == mesh::request_kind::upload);
    CHECK(got.tenant == call.tenant);
    CHECK(got.key_digest == call.key_digest);
    CHECK(got.expected_cost == 1500us);
    CHECK(got.refused_before == 255); // the most that the field holds

    reply_message reply{
        9,      mesh::attempt_outcome::not_run, 503,  {{"A", "1"}},
        "body", mesh::reason::no_room,          80ms, {3, 12, 120ms, 0.25, false, 0.5, 90ms, 2.5},
        30ms};
    const auto back = std::get<reply_message>(round_trip(reply));
    CHECK(back.outcome == mesh::attempt_outcome::not_run);
    CHECK(back.why == mesh::reason::no_room);
    CHECK(back.retry_after == 80ms);
    CHECK(back.load == reply.load);
    CHECK(back.service_time == reply.service_time);
}

TEST_CASE("quota messages and proofs of current keys survive encoding") {
    const quota_message quota{5, true, 12, {{"tenant-1", 2.5, 0.5, 40ms}}};
    const auto got = std::get<quota_message>(round_trip(quota));
    CHECK(got.id == 5);
    CHECK(got.answer);
    CHECK(got.configuration == 12);
    CHECK(got.entries == quota.entries);

    const ping_message ping{3, true, key_proof{17, 250ms}};
    CHECK(std::get<ping_message>(round_trip(ping)).proof == ping.proof);
    CHECK_FALSE(std::get<ping_message>(round_trip(ping_message{4, false})).proof);
}

TEST_CASE("a quota message with an impossible number of tokens is malformed") {
    for (const double tokens : {-1.0, 1e300, std::numeric_limits<double>::quiet_NaN()}) {
        const quota_message quota{5, true, 12, {{"tenant-1", tokens, 0, 0ms}}};
        CHECK_THROWS_AS(round_trip(quota), error);
    }
}

TEST_CASE("announcements carry members, rows, heads and counters") {
    announce_message message;
    message.members.push_back(
        {"d", 10, 5, "a", "z", "s", "i", "v", 12, mesh::endpoint_state::draining, 1, true});
    message.rows.push_back({"op", "config", "{}", 7, false});
    message.heads.push_back({"op", "config", "", 9, false});
    message.counters.push_back({"s", "v2", "r", 5, 1, 1000});
    const auto got = std::get<announce_message>(round_trip(message));
    CHECK(got.members == message.members);
    CHECK(got.rows == message.rows);
    CHECK(got.heads == message.heads);
    CHECK(got.counters == message.counters);
    CHECK_FALSE(got.load.has_value());
}

TEST_CASE("damaged frames are rejected and never read out of bounds") {
    const auto frame = encode(call_message{7,
                                           "svc",
                                           "i-1",
                                           "id",
                                           "GET",
                                           "/",
                                           {{"A", "1"}},
                                           "body",
                                           "r",
                                           1s,
                                           1s,
                                           0ms,
                                           1,
                                           mesh::request_kind::safe});
    rc::check("decoding a changed or truncated frame returns a message or throws an error", [&] {
        auto bytes = frame.substr(frame_length_bytes);
        const auto at = *rc::gen::inRange<std::size_t>(0, bytes.size());
        bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
        const auto length = *rc::gen::inRange<std::size_t>(0, bytes.size() + 1);
        try {
            (void)decode_message(std::string_view{bytes}.substr(0, length));
        } catch (const error& cause) {
            RC_ASSERT(cause.code() == result_code::peer_frame_malformed ||
                      cause.code() == result_code::platform_bad_answer);
        }
    });
}

// Guards against a process that a frame of under 40 bytes ends: the verifier accepts a message whose payload
// has a type and no content.
TEST_CASE("a message with a payload type and no payload is rejected") {
    for (int type = 1; type <= 7; ++type) {
        flatbuffers::FlatBufferBuilder out;
        const auto start = out.StartTable();
        out.AddElement<std::uint8_t>(4, static_cast<std::uint8_t>(type), 0);
        out.Finish(flatbuffers::Offset<void>{out.EndTable(start)});
        INFO("payload type " << type);
        CHECK_THROWS_AS(
            decode_message({reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()}), error);
    }
}

// Guards against traffic shares that are no shares: each comparison with NaN is false, and such a move never
// ends.
TEST_CASE("traffic shares outside 0 to 1 are rejected") {
    for (const double share : {-0.1, 1.1, std::numeric_limits<double>::quiet_NaN()}) {
        announce_message message;
        message.moves.push_back({"s", 3, share, false});
        CHECK_THROWS_AS(round_trip(message), error);
    }
}

TEST_CASE("announcements carry deltas and whether the store answers, requests the known versions") {
    announce_message message;
    message.deltas.push_back({"op", "config", 3, 5, 0x1234567890abcdefULL, {{0, 10, "x"}, {7, 0, "y"}}});
    message.reading = false;
    const auto got = std::get<announce_message>(round_trip(message));
    CHECK(got.deltas == message.deltas);
    CHECK(got.reading == false);
    const fetch_message fetch{{{"op", "config", "", 5}}, true, {{"op", "config", "", 3}}};
    CHECK(std::get<fetch_message>(round_trip(fetch)).known == fetch.known);
}
