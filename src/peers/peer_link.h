#pragma once
/// A TCP connection to another daemon, with its socket, send queues and frame decoder.

#include "endive/peers.h"

#include <array>
#include <deque>

namespace endive::peers {

enum class link_phase : std::uint8_t { connecting, handshake, up, closed };
enum class send_outcome : std::uint8_t { queued, queue_full, closed };

/// Byte counters shared by all links.
struct byte_counters {
    std::atomic<std::uint64_t> in{0};
    std::atomic<std::uint64_t> out{0};
};

/// Any thread may queue and flush outgoing data; all other members are used by the I/O thread only.
class peer_link {
public:
    /// Takes ownership of the non-blocking socket `fd` and registers it with `epoll`.
    peer_link(int epoll, int fd, bool dialed, byte_counters& bytes, time_point now);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link();

    /// Queues a frame and writes as much as the socket accepts. Thread safe.
    send_outcome send(distribution::message_priority priority, std::string frame, time_point now);
    /// Marks the link as connected and writes queued data. Returns false on a socket error. Thread safe.
    bool flush(time_point now);
    /// Reads available data into the decoder; the number of reads is limited for fairness between links.
    /// Returns false at the end of the stream or on a socket error.
    bool receive();
    void close();
    /// True when data is queued and the peer has accepted none of it for longer than `timeout`.
    [[nodiscard]] bool stalled(time_point now, duration timeout);

    [[nodiscard]] int fd() const { return fd_; }

    // Used by the I/O thread only.
    link_phase phase = link_phase::connecting;
    const bool dialed;
    const time_point opened_at;
    time_point up_at;
    distribution::member_id member; ///< dialed address, or the member named in the received hello
    std::uint64_t incarnation = 0;
    frame_decoder decoder{config::max_frame_bytes};

private:
    [[nodiscard]] bool flush_locked(time_point now);
    void refill_send_buffer_locked();
    void watch_writable_locked(bool enabled);

    const int epoll_;
    byte_counters& bytes_;
    std::mutex mutex_;
    int fd_;
    std::array<std::deque<std::string>, distribution::message_priorities> queues_;
    std::size_t queued_bytes_ = 0;
    std::string send_buffer_;
    std::size_t sent_bytes_ = 0;
    bool connected_;
    bool watching_writable_;
    time_point last_progress_;
};

} // namespace endive::peers
