#pragma once
/// TCP proxy for pairs of a listening port and a target, with faults per pair, connection and direction.

#include "pipe.h"

#include <thread>

#include <poll.h>

namespace stand_in {

enum class direction { to_target, to_client };

/// Change to one direction of a pair or connection. Absent fields leave the value unchanged.
struct direction_change {
    std::optional<endive::milliseconds> delay;
    std::optional<std::int64_t> bytes_per_second;
    std::optional<bool> hold;
    std::optional<std::int64_t> cut_after_bytes;
    bool silence = false; ///< silences existing connections permanently; new ones work
    bool cut = false;     ///< resets the existing connections towards this direction's receiver
};

struct proxy_change {
    std::string pair;                        ///< empty: every pair
    std::optional<std::uint64_t> connection; ///< only this connection
    direction_change to_target;
    direction_change to_client;
    std::optional<bool> refuse_new;
};

/// Forwards all connections on one thread. The public functions are thread safe.
class proxy {
public:
    proxy();
    proxy(const proxy&) = delete;
    proxy& operator=(const proxy&) = delete;
    ~proxy();

    /// Opens a listening port on loopback (0: any) or retargets an existing pair; returns the port.
    std::uint16_t set_pair(const std::string& name, std::uint16_t port, const endive::socket_address& target);
    /// Throws `endive::error` when the pair or the connection is unknown.
    void change(const proxy_change& change);
    /// Returns the pairs and the open connections with their forwarded bytes.
    [[nodiscard]] endive::json state() const;

private:
    struct pair {
        std::uint16_t port = 0;
        endive::socket_address target;
        int listener = -1;
        direction_faults faults[2];
        std::uint64_t accepted = 0;
    };
    struct connection {
        std::uint64_t id = 0;
        std::string pair_name;
        int client = -1;
        int target = -1;
        pipe pipes[2];
        direction_faults faults[2];
    };
    struct poll_entry {
        std::string pair_name;
        std::uint64_t connection = 0;
        bool is_client = false;
    };

    void run();
    void wake() const;
    void accept_from(const std::string& name);
    void apply(connection& link, direction dir, const direction_change& change);
    void reset(connection& link);
    [[nodiscard]] direction_faults faults_of(const connection& link, direction dir) const;
    void fill_poll_list();
    void handle_events(endive::time_point now);
    void handle_socket(connection& link, bool is_client, short events, endive::time_point now);
    void write_all(endive::time_point now);
    void remove_closed();
    [[nodiscard]] int poll_timeout(endive::time_point now) const;

    mutable std::mutex mutex_;
    std::map<std::string, pair> pairs_;
    std::map<std::uint64_t, connection> connections_;
    std::vector<pollfd> poll_list_;
    std::vector<poll_entry> poll_entries_;
    std::uint64_t last_id_ = 0;
    int wake_event_ = -1;
    bool stopping_ = false;
    std::thread thread_;
};

} // namespace stand_in
