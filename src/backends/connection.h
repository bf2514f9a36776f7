#pragma once
/// One pooled connection: a libcurl handle that owns at most one socket.

#include "endive/backends.h"

#include <curl/curl.h>

namespace endive::backends {

/// Response data as the libcurl callbacks collect it.
struct response_buffer {
    response_head head;
    std::string body;
    std::uint64_t received = 0;
    std::size_t header_bytes = 0;
    std::size_t max_header_bytes = 0;
    std::size_t max_buffered = 0;
    bool head_complete = false;
    bool paused = false;
    bool no_body_request = false;
    bool bad_status = false;   ///< not that of an interim or final response
    bool unverifiable = false; ///< the body would end with the connection
};

/// Owns the handles. Used by one thread at a time; the pool hands it over.
class connection {
public:
    connection();
    ~connection();
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Prepares and starts one transfer. `address` is `IP:port`.
    void begin(const std::string& address, const backend_request& request, response_buffer& buffer,
               milliseconds timeout, milliseconds connect_timeout);
    /// Detaches the transfer; the socket stays open when libcurl keeps it.
    void end();

    [[nodiscard]] CURLM* multi() const { return multi_; }
    [[nodiscard]] CURL* easy() const { return easy_; }
    [[nodiscard]] bool is_open() const { return socket_ != CURL_SOCKET_BAD; }
    [[nodiscard]] curl_socket_t socket() const { return socket_; }
    /// True when this transfer opened its own socket.
    [[nodiscard]] bool opened_now() const { return opened_now_; }
    /// True when libcurl wanted to send the request again on a new socket after bytes had been sent.
    [[nodiscard]] bool resend_denied() const { return resend_denied_; }
    /// Bytes of the request handed to the socket.
    [[nodiscard]] std::uint64_t bytes_sent() const;

    calls::connection_record record;

private:
    static curl_socket_t on_open(void* self, curlsocktype purpose, curl_sockaddr* address);
    static int on_close(void* self, curl_socket_t socket);
    static int on_socket_options(void* self, curl_socket_t socket, curlsocktype purpose);
    void set_constant_options();
    void set_method(const backend_request& request);
    void set_headers(const backend_request& request);

    CURLM* multi_ = nullptr;
    CURL* easy_ = nullptr;
    curl_slist* header_list_ = nullptr;
    curl_socket_t socket_ = CURL_SOCKET_BAD;
    std::string url_;
    std::string target_;
    std::string method_;
    bool attached_ = false;
    bool opened_now_ = false;
    bool resend_denied_ = false;
};

} // namespace endive::backends
