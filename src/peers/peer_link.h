#pragma once
/// One TCP connection to another daemon: its socket, outgoing queues and frame decoder.

#include "endive/peers.h"

#include <array>
#include <deque>

namespace endive::peers {

enum class link_phase : std::uint8_t { connecting, greeting, up, closed };
enum class send_outcome : std::uint8_t { queued, queue_full, closed };

/// Byte counters that all links share.
struct byte_counters {
    std::atomic<std::uint64_t> in{0};
    std::atomic<std::uint64_t> out{0};
};

/// Outgoing data may be queued by any thread; everything else belongs to the I/O thread.
class peer_link {
public:
    /// Takes over the non-blocking socket `fd` and registers it with `epoll`.
    peer_link(int epoll, int fd, bool dialed, byte_counters& bytes, time_point now);
    peer_link(const peer_link&) = delete;
    peer_link& operator=(const peer_link&) = delete;
    ~peer_link();

    /// Queues a frame and writes what the socket takes. Thread safe.
    send_outcome send(distribution::message_priority priority, std::string frame, time_point now);
    /// Writes queued data. False on a socket error. Thread safe.
    bool flush(time_point now);
    /// Reads what has arrived into the decoder, within a bound for fairness. False at end of stream or error.
    bool receive();
    void close();
    /// Data is queued and the peer took nothing for `limit`.
    [[nodiscard]] bool stalled(time_point now, duration limit);

    [[nodiscard]] int fd() const { return fd_; }

    // Of the I/O thread.
    link_phase phase = link_phase::connecting;
    const bool dialed;
    const time_point opened_at;
    time_point up_at;
    distribution::member_id member; ///< dialed address, or the member of the hello
    std::uint64_t incarnation = 0;
    frame_decoder decoder{config::max_frame_bytes};

private:
    [[nodiscard]] bool flush_locked(time_point now);
    void refill_locked();
    void watch_writable_locked(bool on);

    const int epoll_;
    byte_counters& bytes_;
    std::mutex mutex_;
    int fd_;
    std::array<std::deque<std::string>, distribution::message_priorities> queues_;
    std::size_t queued_bytes_ = 0;
    std::string sending_;
    std::size_t sent_ = 0;
    bool connected_;
    bool watching_writable_;
    time_point progress_at_;
};

} // namespace endive::peers
