#pragma once
/// I/O thread of the transport.

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

/// Event counts, written by any thread.
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
    impl(transport_settings given, transport_listener& target);
    impl(const impl&) = delete;
    impl& operator=(const impl&) = delete;
    ~impl();

    // Any thread.
    void post(bool dial, const distribution::member_id& member);
    bool send(const distribution::member_id& to, distribution::message_priority priority,
              const frame_content& content);
    [[nodiscard]] transport_stats stats() const;
    void stop();

    transport_settings settings;
    std::string bound_address;
    std::atomic<std::uint64_t> incarnation;

private:
    struct command {
        bool dial = false;
        distribution::member_id member;
    };

    // I/O thread.
    void run();
    void run_commands();
    void dial(const distribution::member_id& member);
    void accept_all();
    void add(owned_fd socket, bool dialed, const distribution::member_id& member);
    void on_event(int fd, std::uint32_t events);
    bool finish_connect(peer_link& link);
    void greet(peer_link& link);
    void read(const link_pointer& link);
    void on_frame(const link_pointer& link, std::string_view payload);
    void on_hello(const link_pointer& link, const hello& greeting);
    [[nodiscard]] bool replaces(const peer_link& incoming, const peer_link& existing) const;
    void count_fault(result_code code);
    /// Closes the link; the listener hears of it when the link was up or was being dialed.
    /// Precondition: `link` is not an element of a container of this class.
    void drop(const link_pointer& link, result_code reason, bool report = true);
    void check_timeouts();

    transport_listener& listener_;
    owned_fd epoll_;
    owned_fd wake_;
    owned_fd listen_;
    bool listening_ = true;
    std::atomic<bool> stopping_{false};
    std::mutex command_mutex_;
    std::vector<command> commands_;
    byte_counters bytes_;
    transport_counters counters_;
    std::unordered_map<int, link_pointer> links_; ///< of the I/O thread, by socket
    mutable std::shared_mutex up_mutex_;
    std::unordered_map<distribution::member_id, link_pointer> up_;
    std::unordered_map<distribution::member_id, link_pointer> dialing_; ///< of the I/O thread
    time_point next_check_;
    std::thread thread_;
};

} // namespace endive::peers
