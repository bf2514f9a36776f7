#pragma once
/// TCP server that handles the requests it receives according to a script, one step per request in order.

#include <atomic>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace test {

enum class action { reply, disconnect, no_reply };

struct step {
    action type = action::reply;
    std::string response;
};

inline std::string http(int status, const std::string& body, const std::string& headers = {}) {
    return "HTTP/1.1 " + std::to_string(status) + " X\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

class scripted_server {
public:
    explicit scripted_server(std::vector<step> script) : script_{std::move(script)} {
        listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        ::bind(listener_, reinterpret_cast<sockaddr*>(&address), length);
        ::listen(listener_, 16);
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        address_ = "127.0.0.1:" + std::to_string(ntohs(address.sin_port));
        thread_ = std::thread{[this] { accept_all(); }};
    }
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;
    ~scripted_server() {
        ::shutdown(listener_, SHUT_RDWR);
        thread_.join();
        for (const int socket : sockets_) {
            ::shutdown(socket, SHUT_RDWR);
        }
        for (auto& worker : workers_) {
            worker.join();
        }
        for (const int socket : sockets_) {
            ::close(socket);
        }
        ::close(listener_);
    }
    [[nodiscard]] const std::string& address() const { return address_; }
    /// Request heads in order of arrival, each followed by its body.
    [[nodiscard]] std::vector<std::string> requests() const {
        const std::lock_guard lock{mutex_};
        return requests_;
    }
    [[nodiscard]] std::size_t connections() const { return connections_; }

private:
    void accept_all() {
        for (int socket = 0; (socket = ::accept(listener_, nullptr, nullptr)) >= 0;) {
            ++connections_;
            sockets_.push_back(socket);
            workers_.emplace_back([this, socket] { serve(socket); });
        }
    }

    static bool is_complete(const std::string& text) {
        const auto head_end = text.find("\r\n\r\n");
        if (head_end == std::string::npos) {
            return false;
        }
        const auto field = text.find("Content-Length: ");
        const auto length = field < head_end ? std::stoul(text.substr(field + 16)) : 0;
        return text.size() >= head_end + 4 + length;
    }

    void serve(int socket) {
        std::string text;
        char buffer[4096];
        for (ssize_t received = 0; (received = ::recv(socket, buffer, sizeof buffer, 0)) > 0;) {
            text.append(buffer, static_cast<std::size_t>(received));
            if (!is_complete(text)) {
                continue;
            }
            const step next = take_step(text);
            text.clear();
            if (next.type == action::disconnect) {
                ::shutdown(socket, SHUT_RDWR);
            } else if (next.type == action::reply) {
                ::send(socket, next.response.data(), next.response.size(), MSG_NOSIGNAL);
            }
        }
    }

    step take_step(const std::string& text) {
        const std::lock_guard lock{mutex_};
        requests_.push_back(text);
        const auto index = requests_.size() - 1;
        return index < script_.size() ? script_[index] : step{action::reply, http(500, "")};
    }

    int listener_ = -1;
    std::string address_;
    std::vector<step> script_;
    std::thread thread_;
    mutable std::mutex mutex_;
    std::vector<std::string> requests_;
    std::vector<int> sockets_;
    std::vector<std::thread> workers_;
    std::atomic<std::size_t> connections_{0};
};

} // namespace test
