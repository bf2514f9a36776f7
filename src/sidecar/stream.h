#pragma once
// A TCP connection on the event loop. All connections read into one shared buffer, so that idle connections
// need no read buffers of their own; writes are sent in order.

#include "sidecar/client_limits.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace endive::sidecar {

using tcp = boost::asio::ip::tcp;
using error_code = boost::system::error_code;

/// How a connection ended: by an orderly end of stream, or by an error of reading or writing.
enum class stream_end : std::uint8_t { clean, failed };

/// Not thread safe; owned by the event loop. Handlers are not called after `close`.
class stream : public std::enable_shared_from_this<stream> {
public:
    explicit stream(tcp::socket socket);
    stream(const stream&) = delete;
    stream& operator=(const stream&) = delete;

    /// Starts reading. `on_data` is called with received bytes, `on_end` once, when the other side has ended
    /// the connection or the connection has failed.
    void start(std::function<void(std::string_view)> on_data, std::function<void(stream_end)> on_end);
    /// Stops reading until `resume`; TCP flow control then slows the other side down.
    void pause() { paused_ = true; }
    void resume();
    /// Queues `bytes` for sending, in order of the calls.
    void send(std::string bytes);
    void send(std::shared_ptr<const std::string> bytes);
    [[nodiscard]] bool sending() const { return !queue_.empty(); }
    /// Memory of the bytes queued for sending that the kernel has not taken. A buffer counts until it is
    /// taken whole.
    [[nodiscard]] std::size_t queued_bytes() const { return queued_.bytes(); }
    /// Charges the queued bytes to `account` from now on.
    void charge_queue(std::shared_ptr<byte_account> account) { queued_.move_to(std::move(account)); }
    /// `handler` is called when the kernel has taken queued bytes that had to wait. Reset by `close`.
    void on_sent(std::function<void()> handler) { on_sent_ = std::move(handler); }
    /// IPv4 address of the other side; 0 when it has disconnected.
    [[nodiscard]] std::uint32_t remote_address() const;
    /// True while sent bytes have not been acknowledged by the other side.
    [[nodiscard]] bool is_undelivered();
    /// True when received bytes have not been read yet.
    [[nodiscard]] bool has_unread() const;
    /// Shuts down the sending side once all queued bytes are written. The connection closes when the other
    /// side has ended too, or at `close`.
    void finish_sending();
    void close();
    /// Closes the connection with a reset, so that the kernel also discards what it has not sent.
    void abort();
    [[nodiscard]] bool is_open() const { return open_; }
    /// Adds the number of received bytes to `total` from now on.
    void count_received(std::shared_ptr<std::uint64_t> total) { received_total_ = std::move(total); }

private:
    void wait_readable();
    void on_readable();
    /// Passes queued bytes to the kernel until it takes no more.
    void write_queued();
    void wait_writable();
    /// Removes `size` written bytes from the front of the queue.
    void remove_written(std::size_t size);
    void discard_queue();
    void end(stream_end how);

    tcp::socket socket_;
    std::function<void(std::string_view)> on_data_;
    std::function<void(stream_end)> on_end_;
    std::function<void()> on_sent_;
    std::deque<std::shared_ptr<const std::string>> queue_;
    std::size_t front_written_ = 0; ///< bytes of the first buffer that the kernel has taken
    std::uint64_t written_ = 0;     ///< bytes that the kernel has taken so far
    byte_charge queued_;
    std::shared_ptr<std::uint64_t> received_total_;
    bool open_ = true;
    bool paused_ = false;
    bool waiting_readable_ = false;
    bool waiting_writable_ = false;
    bool finish_after_write_ = false;
    bool write_failed_ = false;
};

/// Connects to `address`. `done` receives null when this fails or takes longer than `timeout`.
void connect_stream(boost::asio::io_context& loop, const tcp::endpoint& address,
                    std::chrono::nanoseconds timeout, std::function<void(std::shared_ptr<stream>)> done);

/// Accepts connections on one address. Not thread safe; owned by the event loop.
class listener {
public:
    using connection_handler = std::function<void(std::shared_ptr<stream>)>;
    /// `address` as `a.b.c.d:port`. Throws `error` with `settings_bad_address` or
    /// `settings_port_unavailable`.
    listener(boost::asio::io_context& loop, std::string_view address, connection_handler on_connection);

    /// Accepts no more connections; later ones are reset by the kernel.
    void close();

private:
    void accept();
    /// Accepts the connections that wait, up to a limit, so that other events are handled too.
    void accept_waiting();
    tcp::acceptor acceptor_;
    boost::asio::steady_timer retry_;
    connection_handler on_connection_;
    bool failing_ = false; ///< the last accept failed; only the first failure in a row is logged
};

/// Parses `a.b.c.d:port`. Throws `error` with `settings_bad_address`.
[[nodiscard]] tcp::endpoint to_endpoint(std::string_view address);

} // namespace endive::sidecar
