#include "endive/peers.h"

#include "distribution/random_source.h"

#include <algorithm>
#include <arpa/inet.h>
#include <catch2/catch.hpp>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <condition_variable>
#include <thread>

using namespace endive;
using namespace endive::peers;
using namespace std::chrono_literals;
namespace dist = endive::distribution;

namespace {

std::string random_text(dist::random_source& random) {
    std::string text(random.below(40), '\0');
    for (auto& byte : text) {
        byte = static_cast<char>(random.below(256));
    }
    return text;
}

dist::member_record random_member(dist::random_source& random) {
    dist::member_record member;
    member.id = random_text(random);
    member.incarnation = random.next();
    member.state = static_cast<dist::member_state>(random.below(4));
    member.version_floor = random.next();
    member.revision = random.next();
    member.failure_domain = "domain";
    member.region = "region";
    for (auto count = random.below(3); count > 0; --count) {
        member.endpoints.push_back({"10.0.0.1:80", "10.0.0.1:7000", random_text(random), "v1", "domain", 12,
                                    120, static_cast<model::endpoint_state>(random.below(4))});
    }
    return member;
}

/// Returns one frame content of each type with random values.
std::vector<frame_content> all_contents(dist::random_source& random) {
    const auto number = [&] { return random.next(); };
    const auto text = [&] { return random_text(random); };
    const std::vector<dist::version_count> counts{{number(), number()}, {number(), number()}};
    const std::vector<dist::laggard> laggards{{text(), number(), text()}};
    return {
        hello{protocol_version, "10.0.0.1:7000", number()},
        dist::message{dist::heartbeat{number(), number(), number(), number(), number(), number(), number()}},
        dist::message{dist::version_notice{number(), number()}},
        dist::message{dist::config_request{number(), number(), 3}},
        dist::message{dist::config_chunk{number(), number(), number(), 1, 2, text()}},
        dist::message{dist::config_refusal{number(), number(), dist::config_refusal_reason::base_absent}},
        dist::message{dist::state_request{number()}},
        dist::message{dist::state_answer{number(), true, number(), number(), number()}},
        dist::message{dist::table_digests{dist::table_kind::records, true, {number(), number(), number()}}},
        dist::message{dist::member_update{{random_member(random), random_member(random)}}},
        dist::message{
            dist::record_update{{{dist::record_kind::hold, text(), number(), number(), true, text()}}}},
        dist::message{
            dist::subtree_report{number(), number(), counts, laggards, {{text(), {number(), number()}}}}},
        dist::message{dist::fleet_totals{text(), number(), counts, laggards}},
        relay_message{relay_request{number(), text(), text(), true}},
        relay_message{relay_response{number(), text(), text(), false}},
        relay_message{relay_cancel{number(), 5001}}};
}

/// Records the callbacks of a transport.
class recorder final : public transport_listener {
public:
    void on_link_up(const dist::member_id& member, std::uint64_t /*incarnation*/, bool /*dialed*/) override {
        record("up " + member);
    }
    void on_link_down(const dist::member_id& member, result_code /*reason*/) override {
        record("down " + member);
    }
    void on_message(const dist::member_id& /*from*/, dist::message content) override {
        record("message " + std::to_string(content.index()));
    }
    void on_relay(const dist::member_id& /*from*/, relay_message content) override {
        record("relay " + std::get<relay_request>(content).body);
    }
    /// Returns false when the event does not occur. The timeout only limits how long a failing test runs.
    bool wait_for(const std::string& event) {
        std::unique_lock lock{mutex_};
        return changed_.wait_for(lock, 20s, [&] { return std::ranges::count(events_, event) > 0; });
    }

private:
    void record(std::string event) {
        const std::lock_guard guard{mutex_};
        events_.push_back(std::move(event));
        changed_.notify_all();
    }
    std::mutex mutex_;
    std::condition_variable changed_;
    std::vector<std::string> events_;
};

transport_settings loopback_settings() {
    transport_settings settings;
    settings.listen = "127.0.0.1:0";
    settings.incarnation = 1;
    return settings;
}

/// Sends raw bytes to a transport and waits until it closes the connection.
void send_raw(const std::string& address, const std::string& bytes) {
    const auto target = *parse_address(address);
    const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in to{};
    to.sin_family = AF_INET;
    to.sin_port = htons(target.port);
    REQUIRE(inet_pton(AF_INET, target.host.c_str(), &to.sin_addr) == 1);
    REQUIRE(::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) == 0);
    (void)!::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    std::array<char, 4096> block{};
    while (::recv(fd, block.data(), block.size(), 0) > 0) {
    }
    (void)::close(fd);
}

} // namespace

TEST_CASE("every message round-trips through the codec, wherever the byte stream is split") {
    dist::random_source random{1};
    for (int round = 0; round < 50; ++round) {
        const auto contents = all_contents(random);
        std::string stream;
        for (const auto& content : contents) {
            stream += encode_frame(content);
        }
        frame_decoder decoder{config::max_frame_bytes};
        std::vector<frame_content> decoded;
        for (std::size_t at = 0; at < stream.size();) {
            const auto step = std::min<std::size_t>(1 + random.below(200), stream.size() - at);
            decoder.feed(std::string_view{stream}.substr(at, step));
            at += step;
            while (const auto payload = decoder.next()) {
                decoded.push_back(decode_frame(*payload));
            }
        }
        REQUIRE((decoded == contents));
        REQUIRE(decoder.buffered() == 0);
    }
}

TEST_CASE("random and mutated bytes either decode or are rejected as malformed") {
    dist::random_source random{2};
    std::size_t rejected = 0;
    for (int round = 0; round < 20000; ++round) {
        const auto contents = all_contents(random);
        auto bytes = encode_frame(contents[random.below(contents.size())]).substr(4);
        switch (random.below(4)) {
        case 0:
            bytes.resize(random.below(bytes.size()));
            break;
        case 1:
            bytes = random_text(random) + random_text(random);
            break;
        default:
            for (auto count = 1 + random.below(4); count > 0; --count) {
                bytes[random.below(bytes.size())] = static_cast<char>(random.below(256));
            }
            break;
        }
        try {
            (void)decode_frame(bytes);
        } catch (const error& failure) {
            REQUIRE(failure.code() == result_code::peer_frame_malformed);
            ++rejected;
        }
    }
    REQUIRE(rejected > 5000);
}

TEST_CASE("frames of an invalid length are rejected before their payload is read") {
    frame_decoder empty{config::max_frame_bytes};
    empty.feed(std::string(4, '\0'));
    REQUIRE_THROWS_AS(empty.next(), error);
    frame_decoder large{config::max_frame_bytes};
    large.feed("\xff\xff\xff\x7f");
    REQUIRE_THROWS_AS(large.next(), error);
    const relay_message body = relay_request{1, {}, std::string(config::max_frame_bytes, 'x'), true};
    REQUIRE_THROWS_AS(encode_frame(body), error);
}

TEST_CASE("two transports that dial each other at once keep one link and pass messages both ways") {
    recorder left_events;
    recorder right_events;
    peer_transport left{loopback_settings(), left_events};
    peer_transport right{loopback_settings(), right_events};
    left.dial(right.address());
    right.dial(left.address());
    REQUIRE(left_events.wait_for("up " + right.address()));
    REQUIRE(right_events.wait_for("up " + left.address()));
    // Messages queued on the link that is closed in favor of the simultaneous one may be lost, so they are
    // repeated.
    for (int round = 0; round < 100; ++round) {
        (void)left.send(right.address(), dist::message_priority::urgent, dist::version_notice{1, 2});
        (void)right.send(left.address(), dist::message_priority::urgent, dist::state_request{1});
        std::this_thread::sleep_for(5ms);
    }
    REQUIRE(right_events.wait_for("message 1"));
    REQUIRE(left_events.wait_for("message 5"));
    REQUIRE(left.send(right.address(), relay_message{relay_request{1, "h", "body", true}}));
    REQUIRE(right_events.wait_for("relay body"));
    REQUIRE(left.stats().links == 1);
    REQUIRE(right.stats().links == 1);
    left.close(right.address());
    REQUIRE(left_events.wait_for("down " + right.address()));
    REQUIRE(right_events.wait_for("down " + left.address()));
    REQUIRE_FALSE(left.send(right.address(), dist::message_priority::urgent, dist::state_request{1}));
}

TEST_CASE("a dial to a closed port is reported as down") {
    recorder events;
    std::string closed_address;
    {
        recorder unused;
        peer_transport closed{loopback_settings(), unused};
        closed_address = closed.address();
    }
    peer_transport transport{loopback_settings(), events};
    transport.dial(closed_address);
    REQUIRE(events.wait_for("down " + closed_address));
}

TEST_CASE("hostile bytes close the link and are counted") {
    recorder events;
    peer_transport transport{loopback_settings(), events};
    send_raw(transport.address(), "GET / HTTP/1.1\r\n\r\n");
    REQUIRE(transport.stats().oversized_frames == 1);
    send_raw(transport.address(), std::string("\x05\0\0\0hello", 9));
    REQUIRE(transport.stats().malformed_frames == 1);
    send_raw(transport.address(), encode_frame(hello{protocol_version + 1, "10.0.0.9:7000", 1}));
    REQUIRE(transport.stats().protocol_mismatches == 1);
    send_raw(transport.address(), encode_frame(dist::message{dist::state_request{1}}));
    REQUIRE(transport.stats().malformed_frames == 2);
    const auto valid_hello = encode_frame(hello{protocol_version, "10.0.0.9:7000", 1});
    send_raw(transport.address(), valid_hello + valid_hello);
    REQUIRE(events.wait_for("up 10.0.0.9:7000"));
    REQUIRE(events.wait_for("down 10.0.0.9:7000"));
    REQUIRE(transport.stats().malformed_frames == 3);
    REQUIRE(transport.stats().links == 0);
}
