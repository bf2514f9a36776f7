#include "backends/connection.h"

#include <algorithm>
#include <charconv>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <new>
#include <sys/socket.h>
#include <unistd.h>

namespace endive::backends {
namespace {

[[nodiscard]] bool contains_token(std::string_view list, std::string_view token) {
    const auto found = std::search(list.begin(), list.end(), token.begin(), token.end(),
                                   [](char a, char b) { return std::tolower(a) == std::tolower(b); });
    return found != list.end();
}

/// Fields that belong to one connection, and those the server library writes itself.
[[nodiscard]] bool is_hop_by_hop(std::string_view name) {
    constexpr std::string_view names[] = {
        "connection", "keep-alive",       "transfer-encoding", "te",   "trailer",
        "upgrade",    "proxy-connection", "content-length",    "date", "proxy-authenticate"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](auto n) { return equal_ignoring_case(n, name); });
}

[[nodiscard]] std::string_view trim(std::string_view text) {
    while (!text.empty() && (text.front() == ' ' || text.front() == '\t')) {
        text.remove_prefix(1);
    }
    while (!text.empty() &&
           (text.back() == ' ' || text.back() == '\t' || text.back() == '\r' || text.back() == '\n')) {
        text.remove_suffix(1);
    }
    return text;
}

void begin_head(response_buffer& buffer, std::string_view status_line) {
    buffer.head = {};
    const auto space = status_line.find(' ');
    if (space != std::string_view::npos) {
        const auto digits = status_line.substr(space + 1, 3);
        std::from_chars(digits.data(), digits.data() + digits.size(), buffer.head.status);
    }
}

void add_field(response_buffer& buffer, std::string_view line) {
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) {
        return;
    }
    const auto name = line.substr(0, colon);
    const auto value = trim(line.substr(colon + 1));
    auto& framing = buffer.head.framing;
    if (equal_ignoring_case(name, "content-length")) {
        std::uint64_t length = 0;
        std::from_chars(value.data(), value.data() + value.size(), length);
        framing.content_length = length;
    } else if (equal_ignoring_case(name, "transfer-encoding") && contains_token(value, "chunked")) {
        framing.chunked = true;
    }
    if (!is_hop_by_hop(name)) {
        buffer.head.headers.push_back({std::string{name}, std::string{value}});
    }
}

void end_head(response_buffer& buffer) {
    const auto status = buffer.head.status;
    if (status >= 100 && status < 200) {
        return; // interim response; the final one follows
    }
    if (status < 200 || status > 599) {
        buffer.bad_status = true;
        return;
    }
    buffer.head.framing.body_allowed = !buffer.no_body_request && status != 204 && status != 304;
    buffer.head_complete = true;
}

std::size_t on_header(char* data, std::size_t size, std::size_t count, void* target) {
    auto& buffer = *static_cast<response_buffer*>(target);
    const std::string_view raw{data, size * count};
    buffer.header_bytes += raw.size();
    if (buffer.header_bytes > buffer.max_header_bytes) {
        return 0;
    }
    const auto line = trim(raw);
    if (buffer.head_complete) {
        return raw.size(); // trailer
    }
    if (line.empty()) {
        end_head(buffer);
        if (buffer.bad_status) {
            return 0;
        }
    } else if (line.substr(0, 5) == "HTTP/" && line.find(':') > line.find(' ')) {
        begin_head(buffer, line);
    } else {
        add_field(buffer, line);
    }
    return raw.size();
}

std::size_t on_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto& buffer = *static_cast<response_buffer*>(target);
    const auto& framing = buffer.head.framing;
    if (!framing.chunked && !framing.content_length) {
        buffer.unverifiable = true;
        return 0;
    }
    if (buffer.body.size() >= buffer.max_buffered) {
        buffer.paused = true;
        return CURL_WRITEFUNC_PAUSE;
    }
    buffer.body.append(data, size * count);
    buffer.received += size * count;
    return size * count;
}

} // namespace

connection::connection() : multi_{curl_multi_init()}, easy_{curl_easy_init()} {
    if (multi_ == nullptr || easy_ == nullptr) {
        throw std::bad_alloc{};
    }
    curl_multi_setopt(multi_, CURLMOPT_MAXCONNECTS, 1L);
    set_constant_options();
}

connection::~connection() {
    end();
    curl_easy_cleanup(easy_);
    curl_multi_cleanup(multi_);
}

void connection::set_constant_options() {
    curl_easy_setopt(easy_, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(easy_, CURLOPT_PROXY, "");
    curl_easy_setopt(easy_, CURLOPT_PROTOCOLS_STR, "http");
    curl_easy_setopt(easy_, CURLOPT_HTTP_VERSION, static_cast<long>(CURL_HTTP_VERSION_1_1));
    curl_easy_setopt(easy_, CURLOPT_HTTP_CONTENT_DECODING, 0L);
    curl_easy_setopt(easy_, CURLOPT_PATH_AS_IS, 1L);
    curl_easy_setopt(easy_, CURLOPT_HEADERFUNCTION, on_header);
    curl_easy_setopt(easy_, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(easy_, CURLOPT_OPENSOCKETFUNCTION, &connection::on_open);
    curl_easy_setopt(easy_, CURLOPT_OPENSOCKETDATA, this);
    curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETFUNCTION, &connection::on_close);
    curl_easy_setopt(easy_, CURLOPT_CLOSESOCKETDATA, this);
    curl_easy_setopt(easy_, CURLOPT_SOCKOPTFUNCTION, &connection::on_socket_options);
    curl_easy_setopt(easy_, CURLOPT_SOCKOPTDATA, this);
}

curl_socket_t connection::on_open(void* self, curlsocktype /*purpose*/, curl_sockaddr* address) {
    auto& owner = *static_cast<connection*>(self);
    // libcurl repeats a request when a reused connection closes without an answer. The backend server may
    // have executed it by then, so a second socket is refused once bytes were sent.
    if (owner.bytes_sent() > 0) {
        owner.resend_denied_ = true;
        return CURL_SOCKET_BAD;
    }
    owner.opened_now_ = true;
    owner.socket_ = ::socket(address->family, address->socktype | SOCK_CLOEXEC, address->protocol);
    return owner.socket_;
}

int connection::on_close(void* self, curl_socket_t socket) {
    auto& owner = *static_cast<connection*>(self);
    if (owner.socket_ == socket) {
        owner.socket_ = CURL_SOCKET_BAD;
    }
    return ::close(socket);
}

int connection::on_socket_options(void* /*self*/, curl_socket_t socket, curlsocktype /*purpose*/) {
    // Ends a connection whose peer no longer acknowledges data.
    const unsigned int limit = std::chrono::milliseconds{config::silent_connection_timeout}.count();
    setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit, sizeof limit);
    return CURL_SOCKOPT_OK;
}

std::uint64_t connection::bytes_sent() const {
    long bytes = 0;
    curl_easy_getinfo(easy_, CURLINFO_REQUEST_SIZE, &bytes);
    return static_cast<std::uint64_t>(bytes);
}

void connection::set_method(const backend_request& request) {
    method_ = request.method;
    const bool head = method_ == "HEAD";
    const bool has_body =
        !request.body.empty() || method_ == "POST" || method_ == "PUT" || method_ == "PATCH";
    curl_easy_setopt(easy_, CURLOPT_NOBODY, head ? 1L : 0L);
    if (has_body && !head) {
        curl_easy_setopt(easy_, CURLOPT_POST, 1L);
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDS, request.body.empty() ? "" : request.body.data());
        curl_easy_setopt(easy_, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    } else if (!head) {
        curl_easy_setopt(easy_, CURLOPT_HTTPGET, 1L);
    }
    curl_easy_setopt(easy_, CURLOPT_CUSTOMREQUEST, method_.c_str());
}

void connection::set_headers(const backend_request& request) {
    // libcurl adds these fields by itself unless they are given or suppressed.
    bool accept = false;
    bool content_type = false;
    for (const auto& field : request.headers) {
        accept = accept || equal_ignoring_case(field.name, "accept");
        content_type = content_type || equal_ignoring_case(field.name, "content-type");
        const auto line = field.value.empty() ? field.name + ";" : field.name + ": " + field.value;
        header_list_ = curl_slist_append(header_list_, line.c_str());
    }
    header_list_ = curl_slist_append(header_list_, "Expect:");
    if (!accept) {
        header_list_ = curl_slist_append(header_list_, "Accept:");
    }
    if (!content_type) {
        header_list_ = curl_slist_append(header_list_, "Content-Type:");
    }
    curl_easy_setopt(easy_, CURLOPT_HTTPHEADER, header_list_);
}

void connection::begin(const std::string& address, const backend_request& request, response_buffer& buffer,
                       milliseconds timeout, milliseconds connect_timeout) {
    end();
    opened_now_ = false;
    resend_denied_ = false;
    url_ = "http://" + address + "/";
    target_ = request.target;
    buffer.no_body_request = request.method == "HEAD";
    set_method(request);
    set_headers(request);
    curl_easy_setopt(easy_, CURLOPT_URL, url_.c_str());
    curl_easy_setopt(easy_, CURLOPT_REQUEST_TARGET, target_.c_str());
    curl_easy_setopt(easy_, CURLOPT_HEADERDATA, &buffer);
    curl_easy_setopt(easy_, CURLOPT_WRITEDATA, &buffer);
    curl_easy_setopt(easy_, CURLOPT_TIMEOUT_MS,
                     static_cast<long>(std::max<std::int64_t>(1, timeout.count())));
    curl_easy_setopt(easy_, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect_timeout.count()));
    curl_multi_add_handle(multi_, easy_);
    attached_ = true;
}

void connection::end() {
    if (attached_) {
        curl_multi_remove_handle(multi_, easy_);
        attached_ = false;
    }
    curl_slist_free_all(header_list_);
    header_list_ = nullptr;
}

} // namespace endive::backends
