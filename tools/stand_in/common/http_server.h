#pragma once
/// HTTP server of the test tools, based on ulfius with one thread per connection. Gives handlers access to
/// the socket of a request, so that they can cut the connection or detect that the client disconnected.

#include "endive/base.h"

#include <functional>

#include <arpa/inet.h>
#include <poll.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace stand_in {

/// Finds the socket of a request by its client port, because ulfius does not expose it. Thread safe.
class connection_sockets {
public:
    void set_server_port(std::uint16_t port) { server_port_ = port; }

    /// Returns a negative value when there is none.
    [[nodiscard]] int find(std::uint16_t client_port) {
        const std::lock_guard lock{mutex_};
        const auto cached = sockets_.find(client_port);
        if (cached != sockets_.end() && belongs_to(cached->second, client_port)) {
            return cached->second;
        }
        const int socket = search(client_port);
        sockets_[client_port] = socket;
        return socket;
    }

private:
    using name_function = int (*)(int, sockaddr*, socklen_t*);

    static std::uint16_t port_of(int socket, name_function name) {
        sockaddr_in address{};
        socklen_t length = sizeof address;
        return name(socket, reinterpret_cast<sockaddr*>(&address), &length) == 0 ? ntohs(address.sin_port)
                                                                                 : 0;
    }

    [[nodiscard]] bool belongs_to(int socket, std::uint16_t client_port) const {
        return port_of(socket, &::getpeername) == client_port &&
               port_of(socket, &::getsockname) == server_port_;
    }

    [[nodiscard]] int search(std::uint16_t client_port) const {
        // Larger than the connection limit plus the few other descriptors of a tool.
        constexpr int max_descriptor = 4096;
        for (int socket = 3; socket < max_descriptor; ++socket) {
            if (belongs_to(socket, client_port)) {
                return socket;
            }
        }
        return -1;
    }

    std::mutex mutex_;
    std::map<std::uint16_t, int> sockets_;
    std::uint16_t server_port_ = 0;
};

/// One request; valid during the call of the handler.
class request {
public:
    request(const struct _u_request* raw, int socket) : raw_{raw}, socket_{socket} {}
    [[nodiscard]] std::string method() const { return raw_->http_verb; }
    /// Percent-decoded path without the query.
    [[nodiscard]] std::string path() const;
    [[nodiscard]] std::string query(const char* name) const { return text(u_map_get(raw_->map_url, name)); }
    /// Empty when the header is absent.
    [[nodiscard]] std::string header(const char* name) const {
        return text(u_map_get_case(raw_->map_header, name));
    }
    [[nodiscard]] std::string body() const {
        return {static_cast<const char*>(raw_->binary_body), raw_->binary_body_length};
    }
    /// True when the client has closed its side of the connection.
    [[nodiscard]] bool client_gone() const { return wait_for_disconnect(0); }
    /// Waits up to `timeout_ms` for the client to close its side; returns whether it did.
    [[nodiscard]] bool wait_for_disconnect(int timeout_ms) const {
        pollfd state{.fd = socket_, .events = POLLRDHUP, .revents = 0};
        return ::poll(&state, 1, timeout_ms) > 0;
    }
    /// Closes the connection without a response.
    void cut() const { ::shutdown(socket_, SHUT_RDWR); }

private:
    static std::string text(const char* value) { return value == nullptr ? "" : value; }
    const struct _u_request* raw_;
    int socket_;
};

inline std::string decode_percent(std::string_view text) {
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        const bool escape = text[at] == '%' && at + 2 < text.size();
        if (!escape) {
            decoded += text[at];
            continue;
        }
        decoded += static_cast<char>(std::stoi(std::string{text.substr(at + 1, 2)}, nullptr, 16));
        at += 2;
    }
    return decoded;
}

inline std::string request::path() const {
    const std::string_view url{raw_->http_url};
    return decode_percent(url.substr(0, url.find('?')));
}

struct reply {
    int status = 200;
    std::string body{};
    std::map<std::string, std::string> headers{};
    /// Sends the full Content-Length, but closes the connection after this many bytes of the body.
    std::optional<std::size_t> cut_after{};
};

inline reply json_reply(int status, const endive::json& body) {
    return {status, body.dump() + "\n", {{"Content-Type", "application/json"}}};
}

/// A truncated body, sent through the stream callback of ulfius.
struct truncated_body {
    std::string sent;
    std::size_t offset = 0;
    static ssize_t next(void* context, uint64_t /*offset*/, char* buffer, size_t max) {
        auto& self = *static_cast<truncated_body*>(context);
        const auto length = std::min(max, self.sent.size() - self.offset);
        if (length == 0) {
            return static_cast<ssize_t>(U_STREAM_ERROR);
        }
        self.sent.copy(buffer, length, self.offset);
        self.offset += length;
        return static_cast<ssize_t>(length);
    }
    static void free(void* context) { delete static_cast<truncated_body*>(context); }
};

class http_server {
public:
    using handler = std::function<reply(const request&)>;

    /// Listens on loopback; port 0 selects a free port. Throws `endive::error` when the port is in use.
    http_server(std::uint16_t port, handler handle) : handle_{std::move(handle)} {
        listen_on(port);
        start();
    }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server() {
        ulfius_stop_framework(&instance_);
        ulfius_clean_instance(&instance_);
    }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    /// Number of requests whose response has not been sent completely.
    [[nodiscard]] std::size_t active_requests() const {
        const std::lock_guard lock{active_mutex_};
        return active_.size();
    }

private:
    void listen_on(std::uint16_t port) {
        listener_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(listener_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(port);
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        socklen_t length = sizeof address;
        if (::bind(listener_, reinterpret_cast<sockaddr*>(&address), length) != 0 ||
            ::listen(listener_, SOMAXCONN) != 0) {
            throw endive::error{endive::result_code::settings_port_unavailable,
                                "cannot listen on port " + std::to_string(port), "port"};
        }
        ::getsockname(listener_, reinterpret_cast<sockaddr*>(&address), &length);
        port_ = ntohs(address.sin_port);
        sockets_.set_server_port(port_);
    }

    void start() {
        ulfius_init_instance(&instance_, port_, nullptr, nullptr);
        instance_.allowed_post_processor = U_POST_PROCESS_NONE;
        instance_.check_utf8 = 0;
        ulfius_set_default_endpoint(&instance_, &http_server::on_request, this);
        MHD_OptionItem options[] = {
            {MHD_OPTION_NOTIFY_COMPLETED, reinterpret_cast<intptr_t>(&http_server::on_completed), this},
            {MHD_OPTION_URI_LOG_CALLBACK, reinterpret_cast<intptr_t>(&ulfius_uri_logger), nullptr},
            {MHD_OPTION_LISTEN_SOCKET, listener_, nullptr},
            {MHD_OPTION_CONNECTION_LIMIT, connection_limit, nullptr},
            {MHD_OPTION_END, 0, nullptr}};
        const auto flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
        if (ulfius_start_framework_with_mhd_options(&instance_, flags, options) != U_OK) {
            throw endive::error{endive::result_code::internal, "cannot start the HTTP server"};
        }
    }

    static std::uint16_t port_of(const sockaddr* address) {
        return ntohs(reinterpret_cast<const sockaddr_in*>(address)->sin_port);
    }

    static void on_completed(void* context, MHD_Connection* connection, void** state,
                             MHD_RequestTerminationCode reason) {
        auto& self = *static_cast<http_server*>(context);
        if (*state != nullptr) {
            const std::lock_guard lock{self.active_mutex_};
            self.active_.erase(static_cast<connection_info_struct*>(*state)->request);
        }
        mhd_request_completed(nullptr, connection, state, reason);
    }

    static int on_request(const struct _u_request* raw, struct _u_response* response, void* context) {
        auto& self = *static_cast<http_server*>(context);
        {
            const std::lock_guard lock{self.active_mutex_};
            self.active_.insert(raw);
        }
        const request incoming{raw, self.sockets_.find(port_of(raw->client_address))};
        reply answer;
        try {
            answer = self.handle_(incoming);
        } catch (const std::exception& failure) {
            answer = json_reply(400, {{"error", failure.what()}});
        }
        fill(response, answer);
        return U_CALLBACK_COMPLETE;
    }

    static void fill(struct _u_response* response, const reply& answer) {
        // ulfius leaves the status at 200 when the body is empty.
        response->status = answer.status;
        for (const auto& [name, value] : answer.headers) {
            u_map_put(response->map_header, name.c_str(), value.c_str());
        }
        if (!answer.cut_after) {
            ulfius_set_binary_body_response(response, static_cast<unsigned>(answer.status),
                                            answer.body.data(), answer.body.size());
            return;
        }
        const auto sent = std::min(*answer.cut_after, answer.body.size());
        ulfius_set_stream_response(response, static_cast<unsigned>(answer.status), &truncated_body::next,
                                   &truncated_body::free, answer.body.size(),
                                   ULFIUS_STREAM_BLOCK_SIZE_DEFAULT,
                                   new truncated_body{answer.body.substr(0, sent)});
    }

    // Larger than the few hundred connections that the integration tests open to one tool.
    static constexpr intptr_t connection_limit = 2000;
    handler handle_;
    connection_sockets sockets_;
    mutable std::mutex active_mutex_;
    std::set<const struct _u_request*> active_;
    struct _u_instance instance_ {};
    int listener_ = -1;
    std::uint16_t port_ = 0;
};

} // namespace stand_in
