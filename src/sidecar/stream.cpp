#include "sidecar/stream.h"

#include "sidecar/guard.h"

#include "endive/base.h"

#include <array>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

namespace endive::sidecar {
namespace {

constexpr std::size_t read_buffer_bytes = 64UL * 1024;
/// Maximum number of buffers passed to the kernel in one call.
constexpr std::size_t max_write_buffers = 16;
/// A connection with data unacknowledged for this long is considered broken. This bounds how long an
/// unresponsive connection holds the data sent on it.
constexpr unsigned unacknowledged_timeout_ms = 5000;
/// Delay after a failed accept. When the process has run out of descriptors, further accepts fail immediately
/// until one is closed.
constexpr std::chrono::milliseconds accept_retry_delay{50};

/// Number of connections that one event accepts at most. With one at a time, connections wait while a busy
/// loop handles everything else in between.
constexpr std::size_t max_accepts_per_event = 64;

/// Read buffer of all connections. Used only by the event loop's thread, and only within one event.
std::array<char, read_buffer_bytes>& read_buffer() {
    static std::array<char, read_buffer_bytes> buffer;
    return buffer;
}

} // namespace

stream::stream(tcp::socket socket) : socket_{std::move(socket)} {
    error_code ignored; // a failed socket reports its error on the first read
    socket_.non_blocking(true, ignored);
    socket_.set_option(tcp::no_delay{true}, ignored);
    const unsigned timeout = unacknowledged_timeout_ms;
    (void)::setsockopt(socket_.native_handle(), IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout, sizeof timeout);
}

void stream::start(std::function<void(std::string_view)> on_data, std::function<void(stream_end)> on_end) {
    on_data_ = std::move(on_data);
    on_end_ = std::move(on_end);
    wait_readable();
}

void stream::resume() {
    paused_ = false;
    wait_readable();
}

void stream::wait_readable() {
    if (!open_ || paused_ || waiting_readable_) {
        return;
    }
    waiting_readable_ = true;
    socket_.async_wait(tcp::socket::wait_read, [self = shared_from_this()](error_code code) {
        self->waiting_readable_ = false;
        if (!self->open_) {
            return;
        }
        if (code) {
            self->end(stream_end::failed);
            return;
        }
        self->on_readable();
    });
}

void stream::on_readable() {
    if (paused_) {
        return;
    }
    error_code code;
    auto& buffer = read_buffer();
    const auto size = socket_.read_some(boost::asio::buffer(buffer), code);
    if (code == boost::asio::error::would_block) {
        wait_readable();
        return;
    }
    if (code) {
        // A failed write takes the error of the connection with it, so that the read sees only its end.
        const bool clean = code == boost::asio::error::eof && !write_failed_;
        end(clean ? stream_end::clean : stream_end::failed);
        return;
    }
    if (received_total_) {
        *received_total_ += size;
    }
    if (on_data_) {
        const auto handler = on_data_; // `close` inside the handler resets the member
        if (!run_guarded("received data", [&] { handler({buffer.data(), size}); })) {
            end(stream_end::failed);
            return;
        }
    }
    wait_readable();
}

void stream::send(std::string bytes) {
    send(std::make_shared<const std::string>(std::move(bytes)));
}

void stream::send(std::shared_ptr<const std::string> bytes) {
    if (!open_ || write_failed_ || bytes->empty()) {
        return;
    }
    queued_.set(queued_.bytes() + bytes->size());
    queue_.push_back(std::move(bytes));
    write_queued();
}

void stream::write_queued() {
    while (open_ && !write_failed_ && !waiting_writable_ && !queue_.empty()) {
        std::array<boost::asio::const_buffer, max_write_buffers> buffers;
        std::size_t count = 0;
        for (const auto& bytes : queue_) {
            if (count == buffers.size()) {
                break;
            }
            buffers.at(count) = boost::asio::buffer(*bytes);
            if (count++ == 0) {
                buffers.front() += front_written_;
            }
        }
        error_code code;
        const auto size = socket_.write_some(std::span{buffers.data(), count}, code);
        if (code == boost::asio::error::would_block) {
            wait_writable();
            return;
        }
        if (code) {
            // Data that the other side sent before it stopped reading can still be read; the read side
            // detects the end.
            discard_queue();
            write_failed_ = true;
            return;
        }
        remove_written(size);
    }
    if (finish_after_write_ && open_ && queue_.empty() && !write_failed_) {
        error_code ignored; // the peer may have disconnected already
        socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
}

void stream::wait_writable() {
    waiting_writable_ = true;
    socket_.async_wait(tcp::socket::wait_write, [self = shared_from_this()](error_code) {
        self->waiting_writable_ = false;
        if (!self->open_) {
            return;
        }
        const auto before = self->written_;
        self->write_queued(); // a failed connection reports its error here
        if (self->on_sent_ && self->written_ > before) {
            const auto handler = self->on_sent_; // `close` inside the handler resets the member
            run_guarded("sent data", handler);
        }
    });
}

void stream::remove_written(std::size_t size) {
    written_ += size;
    front_written_ += size;
    while (!queue_.empty() && front_written_ >= queue_.front()->size()) {
        front_written_ -= queue_.front()->size();
        queued_.set(queued_.bytes() - queue_.front()->size());
        queue_.pop_front();
    }
}

void stream::discard_queue() {
    queue_.clear();
    front_written_ = 0;
    queued_.set(0);
}

bool stream::is_undelivered() {
    if (!open_ || write_failed_) {
        return false;
    }
    int unacknowledged = 0;
    // NOLINTNEXTLINE(cppcoreguidelines-pro-type-vararg): the kernel's interface
    return sending() ||
           (::ioctl(socket_.native_handle(), SIOCOUTQ, &unacknowledged) == 0 && unacknowledged > 0);
}

bool stream::has_unread() const {
    error_code ignored; // a failed socket reports its error on the next read
    return open_ && socket_.available(ignored) > 0;
}

void stream::finish_sending() {
    finish_after_write_ = true;
    write_queued();
}

void stream::end(stream_end how) {
    const auto self = shared_from_this(); // `on_end_` may hold the last other reference
    const auto handler = on_end_;
    close();
    if (handler) {
        run_guarded("end of a connection", [&] { handler(how); });
    }
}

void stream::close() {
    if (!open_) {
        return;
    }
    open_ = false;
    discard_queue();
    error_code ignored; // a failed close cannot be handled
    socket_.close(ignored);
    // Reset later, since the handlers may be running and often hold a reference to their owner.
    boost::asio::post(socket_.get_executor(), [self = shared_from_this()] {
        self->on_data_ = nullptr;
        self->on_end_ = nullptr;
        self->on_sent_ = nullptr;
    });
}

void stream::abort() {
    error_code ignored; // the connection may have failed already
    socket_.set_option(boost::asio::socket_base::linger{true, 0}, ignored);
    close();
}

std::uint32_t stream::remote_address() const {
    error_code code;
    const auto remote = socket_.remote_endpoint(code);
    return code || !remote.address().is_v4() ? 0 : remote.address().to_v4().to_uint();
}

void connect_stream(boost::asio::io_context& loop, const tcp::endpoint& address,
                    std::chrono::nanoseconds timeout, std::function<void(std::shared_ptr<stream>)> done) {
    struct attempt {
        tcp::socket socket;
        boost::asio::steady_timer timer;
        std::function<void(std::shared_ptr<stream>)> done;
        bool finished = false;
    };
    auto state = std::make_shared<attempt>(
        attempt{tcp::socket{loop}, boost::asio::steady_timer{loop, timeout}, std::move(done)});
    state->socket.async_connect(address, [state](error_code code) {
        if (state->finished) {
            return;
        }
        state->finished = true;
        state->timer.cancel();
        state->done(code ? nullptr : std::make_shared<stream>(std::move(state->socket)));
    });
    state->timer.async_wait([state](error_code code) {
        if (code || state->finished) {
            return;
        }
        state->finished = true;
        error_code ignored; // the attempt has timed out
        state->socket.close(ignored);
        state->done(nullptr);
    });
}

listener::listener(boost::asio::io_context& loop, std::string_view address, connection_handler on_connection)
    : acceptor_{loop}, retry_{loop}, on_connection_{std::move(on_connection)} {
    try {
        const auto endpoint = to_endpoint(address);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address{true});
        acceptor_.bind(endpoint);
        acceptor_.listen(boost::asio::socket_base::max_listen_connections);
        acceptor_.non_blocking(true);
    } catch (const boost::system::system_error& cause) {
        throw error{result_code::settings_port_unavailable,
                    "cannot listen on " + std::string{address} + ": " + cause.what()};
    }
    accept();
}

void listener::close() {
    error_code ignored; // nothing is left to do for a listener that fails to close
    acceptor_.close(ignored);
    retry_.cancel();
}

void listener::accept() {
    acceptor_.async_wait(tcp::acceptor::wait_read, [this](error_code code) {
        if (code == boost::asio::error::operation_aborted || !acceptor_.is_open()) {
            return;
        }
        accept_waiting();
    });
}

void listener::accept_waiting() {
    for (std::size_t i = 0; i < max_accepts_per_event; ++i) {
        error_code code;
        tcp::socket socket{acceptor_.get_executor()};
        acceptor_.accept(socket, code);
        if (code == boost::asio::error::would_block || code == boost::asio::error::try_again) {
            break;
        }
        if (code) {
            if (!std::exchange(failing_, true)) {
                log(event::accept_failed, {{"reason", code.message()}});
            }
            retry_.expires_after(accept_retry_delay);
            retry_.async_wait([this](error_code cancelled) {
                if (!cancelled) {
                    accept();
                }
            });
            return;
        }
        failing_ = false;
        run_guarded("accepted connection",
                    [&] { on_connection_(std::make_shared<stream>(std::move(socket))); });
        if (!acceptor_.is_open()) {
            return;
        }
    }
    accept();
}

tcp::endpoint to_endpoint(std::string_view address) {
    const auto parsed = parse_address(address);
    error_code code;
    const auto host =
        parsed ? boost::asio::ip::make_address_v4(parsed->host, code) : boost::asio::ip::address_v4{};
    if (!parsed || code) {
        throw error{result_code::settings_bad_address,
                    "not an IPv4 address and port: " + std::string{address}};
    }
    return {host, parsed->port};
}

} // namespace endive::sidecar
