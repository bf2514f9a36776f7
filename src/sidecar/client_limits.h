#pragma once
// Decisions about clients that take more memory or connections than the process can give: which connection is
// closed, and when a new one is refused. Reads no clock and opens no socket.

#include "endive/base.h"

#include <span>

namespace endive::sidecar {

/// Sums the bytes that the holders of buffers charge to it. Not thread safe.
class byte_account {
public:
    /// `parent` receives the same bytes; may be null.
    explicit byte_account(std::shared_ptr<byte_account> parent = nullptr) : parent_{std::move(parent)} {}
    byte_account(const byte_account&) = delete;
    byte_account& operator=(const byte_account&) = delete;
    [[nodiscard]] std::size_t total() const { return total_; }
    void add(std::size_t bytes) {
        total_ += bytes;
        if (parent_ != nullptr) {
            parent_->add(bytes);
        }
    }
    void remove(std::size_t bytes) {
        total_ -= bytes;
        if (parent_ != nullptr) {
            parent_->remove(bytes);
        }
    }

private:
    std::shared_ptr<byte_account> parent_;
    std::size_t total_ = 0;
};

/// Bytes charged to an account until the end of its lifetime. Not thread safe.
class byte_charge {
public:
    byte_charge() = default;
    explicit byte_charge(std::shared_ptr<byte_account> account) : account_{std::move(account)} {}
    ~byte_charge() { set(0); }
    byte_charge(const byte_charge&) = delete;
    byte_charge& operator=(const byte_charge&) = delete;
    [[nodiscard]] std::size_t bytes() const { return bytes_; }
    /// Changes the charged bytes to `bytes`.
    void set(std::size_t bytes);
    /// Moves the charged bytes to `account`, which may be null.
    void move_to(std::shared_ptr<byte_account> account);

private:
    std::shared_ptr<byte_account> account_;
    std::size_t bytes_ = 0;
};

/// Memory of all buffers of a process and its bound. A copy refers to the same account.
struct process_memory {
    std::shared_ptr<byte_account> account = std::make_shared<byte_account>();
    std::size_t bound = SIZE_MAX;
    /// True when new large messages are not taken in.
    [[nodiscard]] bool is_full() const { return account->total() > bound; }
    /// True when what can wait elsewhere is left there.
    [[nodiscard]] bool is_short() const { return account->total() > bound / 4 * 3; }
};

/// A message up to this size is handled also when memory is full: ordinary requests are small.
inline constexpr std::size_t max_small_message_bytes = 16UL * 1024;

/// Facts about one client connection.
struct client_facts {
    std::uint32_t address = 0;         ///< IPv4 address of the client
    std::size_t undelivered_bytes = 0; ///< response bytes that the kernel has not taken
    std::size_t incomplete_bytes = 0;  ///< of a request that has not been read whole
    duration undelivered_for{0}; ///< since the oldest undelivered response became the first in the queue
    duration unread_for{0};      ///< since the client last read some of its responses
    duration silent_for{0};      ///< since the client sent or read something
    bool has_request = false;    ///< a request is being handled
    bool used = false;           ///< has sent a complete request before
    friend bool operator==(const client_facts&, const client_facts&) = default;
};

/// Bounds of one server. Sizes in bytes.
struct client_bounds {
    std::size_t undelivered = SIZE_MAX;             ///< of all connections
    std::size_t undelivered_per_address = SIZE_MAX; ///< of the connections of one client address
    std::size_t connections = SIZE_MAX;
    std::size_t connections_per_address = SIZE_MAX;
    friend bool operator==(const client_bounds&, const client_bounds&) = default;
};

/// Indexes of the connections to close so that the undelivered bytes fall to `target`; `address` limits the
/// choice to the connections of one client address. Those with the most bytes for the longest time come
/// first, so that callers who read come last. Only those that read nothing for `unread_for` are chosen.
[[nodiscard]] std::vector<std::size_t>
choose_slow_readers(std::span<const client_facts> clients, std::size_t target,
                    std::optional<std::uint32_t> address = std::nullopt, duration unread_for = duration{0});

/// Indexes of up to `count` connections to close for new ones, in this order: those that never sent a
/// request, idle ones, those whose request stalls, and those that read nothing; each kind in the order of the
/// time without progress. None that made progress within `min_idle_for_eviction`, and none whose request runs
/// unless it reads nothing.
[[nodiscard]] std::vector<std::size_t> choose_idle(std::span<const client_facts> clients, std::size_t count,
                                                   std::optional<std::uint32_t> address = std::nullopt);

/// A connection that made progress within this time is not closed for another one.
inline constexpr duration min_idle_for_eviction = std::chrono::seconds{1};

/// Bound of all buffers of a process with this memory.
[[nodiscard]] std::size_t process_buffer_bound(std::size_t memory_bytes);

/// Bounds of a server for callers in a process with `max_descriptors` descriptors and `memory_bytes` of
/// memory.
[[nodiscard]] client_bounds caller_bounds(std::size_t max_descriptors, std::size_t memory_bytes);

} // namespace endive::sidecar
