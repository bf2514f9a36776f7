#include "fuzz/decoders.h"

#include "sidecar/messages.h"

#include "platform/wire.h"

#include <array>

namespace endive::fuzz {
namespace {

using namespace std::chrono_literals;

void decode_peer_message(std::string_view bytes) {
    const auto message = sidecar::decode_message(bytes);
    if (const auto* announced = std::get_if<sidecar::announce_message>(&message)) {
        const mesh::store_row base{"op", "config", "{\"a\":1}{\"b\":2}", 1};
        for (const auto& delta : announced->deltas) {
            (void)mesh::apply_delta(base, delta);
        }
    }
    // What has been accepted can be passed on.
    (void)sidecar::encode(message);
}

void decode_request(std::string_view bytes) {
    sidecar::request_reader reader{{4096, 4096}, false};
    std::string input{bytes};
    (void)reader.feed(input);
}

void decode_response(std::string_view bytes) {
    sidecar::response_reader reader{{4096, 4096}, false};
    std::string input{bytes};
    if (reader.feed(input) == sidecar::read_status::need_more) {
        (void)reader.feed_end();
    }
}

void decode_frames(std::string_view bytes) {
    frame_decoder decoder{1024};
    decoder.feed(bytes);
    while (decoder.next()) {
    }
}

struct decoder {
    void (*run)(std::string_view);
    std::string example;
};

const std::array<decoder, decoder_count>& decoders() {
    static const std::array<decoder, decoder_count> all{{
        {decode_peer_message,
         [] {
             sidecar::announce_message message;
             message.members.push_back({"d", 10, 5, "10.0.0.1:1", "z", "s", "i", "v", 12});
             message.rows.push_back({"op", "config", "{}", 7, false});
             message.heads.push_back({"op", "config", "", 9, false});
             message.counters.push_back({"s", "v2", "r", 5, 1, 1000});
             message.moves.push_back({"s", 4, 0.25, false});
             message.packed_rows.push_back(sidecar::pack({"op", "config", std::string(2000, 'x'), 7}));
             message.deltas.push_back({"op", "config", 1, 2, 3, {{0, 7, "x"}}});
             message.reading = true;
             return sidecar::encode(message).substr(frame_length_bytes);
         }()},
        {decode_peer_message,
         sidecar::encode(
             sidecar::call_message{7, "svc", "i-1", "id", "GET", "/", {{"A", "1"}}, "body", "r", 1s, 1s})
             .substr(frame_length_bytes)},
        {[](std::string_view text) { (void)mesh::decode_member(text); },
         mesh::encode(mesh::member{"d", 10, 5, "10.0.0.1:1", "z", "s", "i", "v", 12})},
        {[](std::string_view text) { (void)platform_wire::decode_heartbeat("i-1", text); },
         R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":18,"State":"ready","ColdRemaining":"0ms","Sequence":4,"born":1})"},
        {[](std::string_view text) { (void)platform_wire::decode_configuration(text); },
         R"({"Version":"r3","Resources":[{"ResourceType":"Routes","Metadata":{"Name":"r"},"Spec":{"Hostname":"a","Prefix":"/x/","RouteType":"safe","Timeout":"5s","TargetLatency":"1s","TrafficSplit":[{"Service":"s","Weight":1}],"MaxAttempts":2}},{"ResourceType":"Services","Metadata":{"Name":"s"},"Spec":{"HealthCheck":"/h","MaxConnections":9}},{"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":1,"MaxBodyBytes":1,"HeaderTimeout":"3s","IdleTimeout":"9s"}}]})"},
        {[](std::string_view text) { (void)platform_wire::decode_rollout_order(text); },
         R"({"Service":"s","To":"v2","Duration":"16s"})"},
        {[](std::string_view text) { (void)platform_wire::decode_rollout_status(text); },
         R"({"Service":"s","To":"v2","State":"running"})"},
        {[](std::string_view text) {
             (void)platform_wire::decode_rows(text);
             (void)platform_wire::decode_transaction_version(text);
         },
         R"({"Rows":[{"TableName":"op","part":"","Key":"k","Value":"eA==","Ver":7}],"HasMore":false,"Ver":7,"Now":"1ms"})"},
        {decode_request,
         "POST /a?b HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n"},
        {decode_response, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nKeep-Alive: timeout=5\r\n\r\nabc"},
        {decode_frames, make_frame("abc") + make_frame("")},
    }};
    return all;
}

} // namespace

void decode(std::size_t index, std::string_view bytes) {
    try {
        decoders().at(index).run(bytes);
    } catch (const error&) { // NOLINT(bugprone-empty-catch): the documented way of rejecting input
    }
}

std::string_view example_of(std::size_t index) {
    return decoders().at(index).example;
}

} // namespace endive::fuzz
