#pragma once
// Test helpers for event loops on the loopback interface: a raw client and a scripted server.

#include "sidecar/stream.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <functional>
#include <stdexcept>
#include <string>
#include <thread>

#include <unistd.h>

namespace endive::sidecar::test {

/// Returns a free port of the loopback address, as `127.0.0.1:port`. It is below the kernel's range for
/// outgoing connections, and each process starts at a different port, so that no other socket takes it before
/// it is used.
inline std::string free_address() {
    constexpr int first_port = 12000;
    constexpr int ports = 18000;
    constexpr int ports_per_process = 200;
    static int next = ::getpid() * ports_per_process % ports;
    boost::asio::io_context loop;
    for (int tried = 0; tried < ports; ++tried) {
        const auto port = static_cast<std::uint16_t>(first_port + next++ % ports);
        tcp::acceptor probe{loop};
        error_code code;
        probe.open(tcp::v4());
        probe.bind({boost::asio::ip::address_v4::loopback(), port}, code);
        if (!code) {
            return "127.0.0.1:" + std::to_string(port);
        }
    }
    throw std::runtime_error{"no free port"};
}

/// Runs the loop until `done` returns true; false on timeout, so that a test fails instead of hanging. The
/// timeout is long because no test asserts durations with it.
inline bool run_until(boost::asio::io_context& loop, const std::function<bool()>& done) {
    constexpr auto timeout = std::chrono::seconds{20};
    const auto end = std::chrono::steady_clock::now() + timeout;
    loop.restart();
    while (!done() && std::chrono::steady_clock::now() < end) {
        loop.run_one_for(std::chrono::milliseconds{5});
    }
    return done();
}

/// Runs up to `steps` handlers and waits a few milliseconds for each, so that pending work makes progress.
inline void run_steps(boost::asio::io_context& loop, int steps) {
    for (int step = 0; step < steps; ++step) {
        loop.run_one_for(std::chrono::milliseconds{5});
    }
}

/// A client that sends raw bytes and stores the received ones.
class raw_client {
public:
    raw_client(boost::asio::io_context& loop, const std::string& address) : loop_{loop} {
        bool connected = false;
        connect_stream(loop, to_endpoint(address), std::chrono::seconds{5},
                       [&](std::shared_ptr<stream> connection) {
                           connection_ = std::move(connection);
                           connected = true;
                       });
        run_until(loop, [&] { return connected; });
        connection_->start([this](std::string_view bytes) { received_.append(bytes); },
                           [this](stream_end) { ended_ = true; });
    }
    ~raw_client() { connection_->close(); }
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    void send(std::string bytes) { connection_->send(std::move(bytes)); }
    void close() { connection_->close(); }
    [[nodiscard]] const std::string& received() const { return received_; }
    [[nodiscard]] bool ended() const { return ended_; }
    /// Waits until `text` has been received `count` times; false on timeout.
    bool expect(const std::string& text, int count = 1) {
        return run_until(loop_, [&] {
            int found = 0;
            for (auto at = received_.find(text); at != std::string::npos; at = received_.find(text, at + 1)) {
                ++found;
            }
            return found >= count;
        });
    }

private:
    boost::asio::io_context& loop_;
    std::shared_ptr<stream> connection_;
    std::string received_;
    bool ended_ = false;
};

/// A client that reads nothing until `read`, so that a long response fills the buffers of its connection.
class stalled_client {
public:
    stalled_client(boost::asio::io_context& loop, const std::string& address) : loop_{loop}, socket_{loop} {
        socket_.connect(to_endpoint(address));
        socket_.non_blocking(true);
    }
    /// Returns when the bytes are in the receive buffer of the other side.
    void send(const std::string& bytes) { boost::asio::write(socket_, boost::asio::buffer(bytes)); }
    /// Reads until `size` bytes in all or the end of the connection have been received.
    void read(std::size_t size) {
        std::array<char, 65536> buffer{};
        run_until(loop_, [&] {
            error_code code;
            while (!code && received_.size() < size) {
                const auto count = socket_.read_some(boost::asio::buffer(buffer), code);
                received_.append(buffer.data(), count);
            }
            return code != boost::asio::error::would_block;
        });
    }
    [[nodiscard]] const std::string& received() const { return received_; }

private:
    boost::asio::io_context& loop_;
    tcp::socket socket_;
    std::string received_;
};

/// Accepts connections and calls a script with the connection and the received bytes.
class scripted_server {
public:
    using script = std::function<void(const std::shared_ptr<stream>&, std::string& input)>;
    scripted_server(boost::asio::io_context& loop, script on_bytes)
        : acceptor_{loop, {boost::asio::ip::address_v4::loopback(), 0}}, script_{std::move(on_bytes)} {
        accept();
    }
    ~scripted_server() {
        for (const auto& connection : connections_) {
            connection->close();
        }
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    [[nodiscard]] std::size_t accepted() const { return connections_.size(); }
    [[nodiscard]] int ended() const { return ended_; }

private:
    void accept() {
        acceptor_.async_accept([this](error_code code, tcp::socket socket) {
            if (code) {
                return;
            }
            auto connection = std::make_shared<stream>(std::move(socket));
            connections_.push_back(connection);
            auto input = std::make_shared<std::string>();
            connection->start(
                [this, connection, input](std::string_view bytes) {
                    input->append(bytes);
                    script_(connection, *input);
                },
                [this](stream_end) { ++ended_; });
            accept();
        });
    }

    tcp::acceptor acceptor_;
    script script_;
    std::vector<std::shared_ptr<stream>> connections_;
    int ended_ = 0;
};

} // namespace endive::sidecar::test
