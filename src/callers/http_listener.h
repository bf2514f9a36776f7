#pragma once
/// HTTP server (ulfius) on the caller port. Limits connections, header sizes and slow senders.

#include "callers/reply.h"

#include <functional>
#include <thread>

namespace endive::callers {

/// Settings of the listener; see `proxy_settings`.
struct listener_settings {
    socket_address listen;
    std::uint32_t max_connections = 1024;
    std::size_t max_body_bytes = config::max_body_bytes;
    milliseconds idle_timeout{30000};
    milliseconds read_timeout{10000};
};

/// Runs one thread per connection and calls `handler` on it. Thread safe.
class http_listener {
public:
    /// `too_large` is true if the body exceeds the limit; the request then has an empty body.
    using handler_function = std::function<caller_reply(const caller_request&, bool too_large)>;

    http_listener(listener_settings settings, const clock_source& clock, counter_set& counters,
                  handler_function handler);
    ~http_listener();
    http_listener(const http_listener&) = delete;
    http_listener& operator=(const http_listener&) = delete;

    void start();
    void stop();
    [[nodiscard]] std::uint16_t port() const;
    [[nodiscard]] std::uint64_t connections() const;
    /// Number of requests whose handler has started and whose reply has not been sent completely.
    [[nodiscard]] std::uint64_t running() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endive::callers
