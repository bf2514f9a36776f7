#pragma once
// Test server that sends bytes without end.

#include "sidecar/loopback.h"

#include <array>
#include <utility>

namespace endive::sidecar::test {

/// Waits for the first bytes of each connection, then sends `opening` and after it `block` until the other
/// side closes the connection. When both are empty it stays silent. Must not outlive the loop.
class endless_server {
public:
    endless_server(boost::asio::io_context& loop, std::string opening, std::string block)
        : acceptor_{loop, {boost::asio::ip::address_v4::loopback(), 0}}, opening_{std::move(opening)},
          block_{std::move(block)} {
        accept();
    }
    endless_server(const endless_server&) = delete;
    endless_server& operator=(const endless_server&) = delete;
    [[nodiscard]] std::string address() const {
        return "127.0.0.1:" + std::to_string(acceptor_.local_endpoint().port());
    }
    /// Bytes passed to the kernel, over all connections.
    [[nodiscard]] std::size_t sent() const { return sent_; }
    [[nodiscard]] int accepted() const { return accepted_; }
    [[nodiscard]] int closed() const { return closed_; }

private:
    void accept() {
        acceptor_.async_accept([this](error_code code, tcp::socket socket) {
            if (code) {
                return;
            }
            ++accepted_;
            auto connection = std::make_shared<tcp::socket>(std::move(socket));
            connection->async_wait(tcp::socket::wait_read, [this, connection](error_code) {
                send(connection, opening_.empty() ? block_ : opening_);
            });
            accept();
        });
    }

    void send(const std::shared_ptr<tcp::socket>& connection, const std::string& bytes) {
        if (bytes.empty()) {
            read_to_end(connection);
            return;
        }
        boost::asio::async_write(*connection, boost::asio::buffer(bytes),
                                 [this, connection](error_code code, std::size_t size) {
                                     sent_ += size;
                                     if (code) {
                                         ++closed_;
                                         return;
                                     }
                                     send(connection, block_);
                                 });
    }

    void read_to_end(const std::shared_ptr<tcp::socket>& connection) {
        connection->async_read_some(boost::asio::buffer(ignored_),
                                    [this, connection](error_code code, std::size_t) {
                                        if (code) {
                                            ++closed_;
                                            return;
                                        }
                                        read_to_end(connection);
                                    });
    }

    tcp::acceptor acceptor_;
    std::array<char, 4096> ignored_{};
    std::string opening_;
    std::string block_;
    std::size_t sent_ = 0;
    int accepted_ = 0;
    int closed_ = 0;
};

} // namespace endive::sidecar::test
