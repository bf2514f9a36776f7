#pragma once
/// Internals of the peer transport: its I/O thread and shared state.

#include "peers/peer_link.h"

#include <condition_variable>
#include <shared_mutex>
#include <thread>
#include <unordered_map>

namespace endive::peers {

using link_pointer = std::shared_ptr<peer_link>;

/// A file descriptor that is closed on destruction.
class owned_fd {
public:
    explicit owned_fd(int fd = -1) : fd_{fd} {}
    owned_fd(const owned_fd&) = delete;
    owned_fd& operator=(const owned_fd&) = delete;
    owned_fd(owned_fd&& other) noexcept : fd_{std::exchange(other.fd_, -1)} {}
    owned_fd& operator=(owned_fd&& other) noexcept;
    ~owned_fd();
    [[nodiscard]] int get() const { return fd_; }
    int release() { return std::exchange(fd_, -1); }

private:
    int fd_;
};

/// Event counters; any thread may update them.
struct transport_counters {
    std::atomic<std::uint64_t> messages_in{0};
    std::atomic<std::uint64_t> messages_out{0};
    std::atomic<std::uint64_t> dropped_messages{0};
    std::atomic<std::uint64_t> malformed_frames{0};
    std::atomic<std::uint64_t> oversized_frames{0};
    std::atomic<std::uint64_t> protocol_mismatches{0};
    std::atomic<std::uint64_t> hello_timeouts{0};
    std::atomic<std::uint64_t> write_stalls{0};
    std::atomic<std::uint64_t> links_opened{0};
    std::atomic<std::uint64_t> links_closed{0};
};

struct peer_transport::impl {
    impl(transport_settings initial_settings, transport_listener& listener);
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl();

    // Called on any thread.
    void post_command(bool dial, const distribution::member_id& member);
    bool send(const distribution::member_id& to, distribution::message_priority priority,
              const frame_content& content);
    [[nodiscard]] transport_stats stats() const;
    void stop();

    transport_settings settings;
    std::string bound_address;
    std::atomic<std::uint64_t> incarnation;

private:
    struct command {
        bool dial = false; ///< otherwise the link is closed
        distribution::member_id member;
    };

    // Called on the I/O thread only.
    void run();
    void run_commands();
    void dial(const distribution::member_id& member);
    void accept_all();
    void add_link(owned_fd socket, bool dialed, const distribution::member_id& member);
    void on_event(int fd, std::uint32_t events);
    bool finish_connect(peer_link& link);
    void send_hello(peer_link& link);
    void read_frames(const link_pointer& link);
    void on_frame(const link_pointer& link, std::string_view payload);
    void on_hello(const link_pointer& link, const hello& peer_hello);
    [[nodiscard]] bool replaces(const peer_link& incoming, const peer_link& existing) const;
    void count_protocol_error(result_code code);
    /// Closes the link. Unless `notify` is false, the listener is notified when the link was up, or when it
    /// was being dialed and no other link to the member is up. Precondition: `link` is not an element of a
    /// container of this class.
    void close_link(const link_pointer& link, result_code reason, bool notify = true);
    void check_timeouts();

    transport_listener& listener_;
    owned_fd epoll_;
    owned_fd wake_event_;
    owned_fd listen_socket_;
    bool accepting_ = true; ///< false while file descriptors are exhausted
    std::atomic<bool> stopping_{false};
    std::mutex command_mutex_;
    std::vector<command> commands_;
    byte_counters bytes_;
    transport_counters counters_;
    std::unordered_map<int, link_pointer> links_; ///< by socket; used by the I/O thread only
    mutable std::shared_mutex up_mutex_;
    /// Written by the I/O thread only, under `up_mutex_`; other threads read it under that mutex.
    std::unordered_map<distribution::member_id, link_pointer> up_links_;
    std::unordered_map<distribution::member_id, link_pointer> dialing_links_; ///< used by the I/O thread only
    time_point next_check_;
    std::thread thread_;
};

} // namespace endive::peers
