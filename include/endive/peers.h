#pragma once
/// Peers library: TCP links between daemons, framing and the FlatBuffers codec of all messages.
///
/// A frame is a 4-byte little-endian length (1 to `config::max_frame_bytes`) and that many bytes of a
/// FlatBuffers `frame` (schema/peer.fbs). The first frame in each direction is a hello.

#include "endive/base.h"
#include "endive/config.h"
#include "endive/distribution.h"

#include <variant>

namespace endive::peers {

/// Raised when a change of the schema is not compatible; the hello exchange rejects other values.
inline constexpr std::uint32_t protocol_version = 1;

/// First frame of each side.
struct hello {
    std::uint32_t protocol = protocol_version;
    std::string member; ///< advertised peer address of the sender
    std::uint64_t incarnation = 0;
    friend auto operator<=>(const hello&, const hello&) = default;
};

/// A part of a relayed request. The first chunk has a non-empty header; the last one has `end` set.
struct relay_request {
    std::uint64_t stream = 0; ///< chosen by the requesting daemon, unique on the link
    std::string header;       ///< opaque to this library
    std::string body;
    bool end = false;
    friend auto operator<=>(const relay_request&, const relay_request&) = default;
};

/// A part of a relayed response. Header and `end` follow the rules of `relay_request`.
struct relay_response {
    std::uint64_t stream = 0;
    std::string header;
    std::string body;
    bool end = false;
    friend auto operator<=>(const relay_response&, const relay_response&) = default;
};

/// Cancels a stream; sent by either side.
struct relay_cancel {
    std::uint64_t stream = 0;
    std::uint32_t code = 0; ///< a result code
    friend auto operator<=>(const relay_cancel&, const relay_cancel&) = default;
};

using relay_message = std::variant<relay_request, relay_response, relay_cancel>;
using frame_content = std::variant<hello, distribution::message, relay_message>;

// ---- codec -----------------------------------------------------------------------------------------------

/// Bytes of one frame with its length prefix. Throws `error` with `peer_frame_too_large` when the content
/// does not fit in `config::max_frame_bytes`. Thread safe.
[[nodiscard]] std::string encode_frame(const frame_content& content);
/// Verifies and decodes a frame without its length prefix. Throws `error` with `peer_frame_malformed`.
/// Thread safe.
[[nodiscard]] frame_content decode_frame(std::string_view payload);

// ---- transport -------------------------------------------------------------------------------------------

/// Callbacks for link events and received messages. Called on the I/O thread; implementations return quickly
/// and may call `peer_transport::send`, `dial` and `close`, but not `stop`.
class transport_listener {
public:
    transport_listener() = default;
    transport_listener(const transport_listener&) = delete;
    transport_listener& operator=(const transport_listener&) = delete;
    virtual ~transport_listener() = default;
    virtual void on_link_up(const distribution::member_id& member, std::uint64_t incarnation,
                            bool dialed) = 0;
    /// A link closed or a dial failed.
    virtual void on_link_down(const distribution::member_id& member, result_code reason) = 0;
    virtual void on_message(const distribution::member_id& from, distribution::message content) = 0;
    virtual void on_relay(const distribution::member_id& from, relay_message content) = 0;
};

struct transport_settings {
    std::string listen; ///< `IP:port` to bind; port 0 picks a free one
    std::string member; ///< advertised address, sent in hello; empty: the bound address
    std::uint64_t incarnation = 0;
    milliseconds hello_timeout{2000};
    milliseconds dial_timeout{1000};
    /// A link whose peer accepts no byte for this long while data is queued is closed.
    milliseconds write_stall_timeout{5000};
    std::size_t max_links = 4096;
};

/// Byte and message counts over all links since the start.
struct transport_stats {
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
    std::uint64_t messages_in = 0;
    std::uint64_t messages_out = 0;
    std::uint64_t dropped_messages = 0; ///< queue of a slow peer was full
    std::uint64_t malformed_frames = 0;
    std::uint64_t oversized_frames = 0;
    std::uint64_t protocol_mismatches = 0;
    std::uint64_t hello_timeouts = 0;
    std::uint64_t write_stalls = 0;
    std::uint64_t links_opened = 0;
    std::uint64_t links_closed = 0;
    std::uint64_t links = 0; ///< up now
    friend auto operator<=>(const transport_stats&, const transport_stats&) = default;
};

/// TCP links to other daemons: one epoll I/O thread, any number of links. All members are thread safe except
/// the destructor and `stop`, which one thread calls outside the listener.
class peer_transport {
public:
    /// Binds the port and starts the I/O thread. Throws `error` with `settings_port_unavailable`.
    /// Precondition: `listener` outlives the transport.
    peer_transport(transport_settings settings, transport_listener& listener);
    peer_transport(const peer_transport&) = delete;
    peer_transport& operator=(const peer_transport&) = delete;
    ~peer_transport();

    /// The bound `IP:port`.
    [[nodiscard]] const std::string& address() const;
    /// Opens a link to the address `member`; no effect when one is up or being opened.
    void dial(const distribution::member_id& member);
    void close(const distribution::member_id& member);
    /// Queues a message. False when no link is up or the queue of that priority is full; the message is
    /// dropped.
    bool send(const distribution::member_id& to, distribution::message_priority priority,
              const distribution::message& content);
    /// Queues a relay chunk with priority `calls`. On false, nothing of this chunk was sent.
    bool send(const distribution::member_id& to, const relay_message& content);
    /// Incarnation sent in later hellos.
    void set_incarnation(std::uint64_t incarnation);
    [[nodiscard]] transport_stats stats() const;
    /// Closes all links and joins the I/O thread.
    void stop();

private:
    struct impl;
    std::unique_ptr<impl> impl_;
};

} // namespace endive::peers
