#include "callers/stand_ins.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endive::callers::testing {
namespace {

[[nodiscard]] std::size_t length_of(const std::string& head) {
    for (std::size_t at = head.find("\r\n"); at != std::string::npos; at = head.find("\r\n", at + 2)) {
        if (strncasecmp(head.c_str() + at + 2, "content-length:", 15) == 0) {
            return std::stoul(head.substr(at + 17));
        }
    }
    return 0;
}

/// Reads one message; false if the connection closes first. `buffered` keeps bytes received after the
/// message.
bool read_message(int socket, std::string& buffered, std::string& head, std::string& body) {
    char chunk[16384];
    const auto receive_more = [&] {
        const auto count = ::recv(socket, chunk, sizeof chunk, 0);
        if (count > 0) {
            buffered.append(chunk, static_cast<std::size_t>(count));
        }
        return count > 0;
    };
    std::size_t end = 0;
    while ((end = buffered.find("\r\n\r\n")) == std::string::npos) {
        if (!receive_more()) {
            return false;
        }
    }
    head = buffered.substr(0, end + 4);
    buffered.erase(0, end + 4);
    const auto length = length_of(head);
    bool complete = true;
    while (complete && buffered.size() < length) {
        complete = receive_more();
    }
    body = buffered.substr(0, length);
    buffered.erase(0, std::min(buffered.size(), length));
    return complete;
}

} // namespace

std::string ok_response(const std::string& body, const std::string& extra_headers) {
    return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + extra_headers +
           "\r\n" + body;
}

scripted_backend::scripted_backend(script_function script) : script_{std::move(script)} {
    listener_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    ::bind(listener_, reinterpret_cast<sockaddr*>(&name), sizeof name);
    ::listen(listener_, 128);
    socklen_t size = sizeof name;
    getsockname(listener_, reinterpret_cast<sockaddr*>(&name), &size);
    port_ = ntohs(name.sin_port);
    acceptor_ = std::thread{[this] { accept_loop(); }};
}

scripted_backend::~scripted_backend() {
    stopping_ = true;
    ::shutdown(listener_, SHUT_RDWR);
    acceptor_.join();
    ::close(listener_);
    {
        const std::scoped_lock lock{mutex_};
        for (const int socket : sockets_) {
            ::shutdown(socket, SHUT_RDWR);
        }
    }
    for (auto& thread : threads_) {
        thread.join();
    }
    for (const int socket : sockets_) {
        ::close(socket);
    }
}

void scripted_backend::accept_loop() {
    while (!stopping_) {
        const int socket = ::accept(listener_, nullptr, nullptr);
        if (socket < 0) {
            return;
        }
        const int on = 1;
        setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        ++connections_;
        const std::scoped_lock lock{mutex_};
        sockets_.push_back(socket);
        threads_.emplace_back([this, socket] { serve(socket); });
    }
}

void scripted_backend::serve(int socket) {
    std::string buffered;
    script_request request;
    for (request.on_connection = 1; read_message(socket, buffered, request.head, request.body);
         ++request.on_connection) {
        const auto step = script_(request);
        {
            const std::scoped_lock lock{mutex_};
            last_head_ = request.head;
            if (step.executes) {
                executed_lines_.push_back(request.line());
            }
        }
        if (!answer(socket, step)) {
            return;
        }
    }
}

bool scripted_backend::answer(int socket, const script_step& step) {
    std::this_thread::sleep_for(step.delay);
    if (step.hang) {
        char byte = 0;
        while (::recv(socket, &byte, 1, 0) > 0) {
        }
        return false;
    }
    send_all(socket, step.bytes);
    if (step.close_after) {
        ::shutdown(socket, SHUT_RDWR);
    }
    return !step.close_after;
}

int scripted_backend::executions(const std::string& text) const {
    const std::scoped_lock lock{mutex_};
    return static_cast<int>(
        std::count_if(executed_lines_.begin(), executed_lines_.end(),
                      [&](const auto& line) { return line.find(text) != std::string::npos; }));
}

std::string scripted_backend::last_head() const {
    const std::scoped_lock lock{mutex_};
    return last_head_;
}

int connect_to(std::uint16_t port) {
    const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(port);
    const timeval limit{20, 0}; // a response that takes longer counts as a failure
    setsockopt(socket, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    ::connect(socket, reinterpret_cast<sockaddr*>(&name), sizeof name);
    return socket;
}

void send_all(int socket, std::string_view bytes) {
    while (!bytes.empty()) {
        const auto count = ::send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (count <= 0) {
            return;
        }
        bytes.remove_prefix(static_cast<std::size_t>(count));
    }
}

raw_response read_response(int socket) {
    raw_response response;
    std::string buffered;
    response.complete = read_message(socket, buffered, response.head, response.body);
    if (response.head.size() > 12) {
        response.status = std::stoi(response.head.substr(9, 3));
    }
    if (response.head.find("Transfer-Encoding: chunked") != std::string::npos) {
        response.complete = false;
        char chunk[16384];
        response.body = buffered;
        while (!response.body.ends_with("0\r\n\r\n")) {
            const auto count = ::recv(socket, chunk, sizeof chunk, 0);
            if (count <= 0) {
                return response;
            }
            response.body.append(chunk, static_cast<std::size_t>(count));
        }
        response.complete = true;
    }
    return response;
}

raw_response call(std::uint16_t port, const std::string& method, const std::string& target,
                  const std::string& headers, const std::string& body) {
    const int socket = connect_to(port);
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: test\r\n" + headers;
    if (!body.empty() || method == "POST") {
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    }
    send_all(socket, text + "\r\n" + body);
    auto response = read_response(socket);
    ::close(socket);
    return response;
}

void recording_observer::on_call(const model::call_observation& observation) {
    const std::scoped_lock lock{mutex_};
    all_.push_back(observation);
}

std::vector<model::call_observation> recording_observer::all() const {
    const std::scoped_lock lock{mutex_};
    return all_;
}

model::endpoint_info make_endpoint(const std::string& address, const std::string& version) {
    model::endpoint_info info;
    info.address = address;
    info.service = "desk";
    info.version = version;
    info.failure_domain = "here";
    info.state = model::endpoint_state::serving;
    return info;
}

std::shared_ptr<const model::routing_table> make_routes() {
    model::snapshot snapshot;
    snapshot.version = 1;
    auto& part = snapshot.parts.emplace_back();
    part.team = "team";
    auto& service = part.services.emplace_back();
    service.name = "desk";
    service.team = "team";
    service.releases = {{"1"}, {"2"}};
    service.stable_version = "1";
    part.routes.push_back({"read", "team", "*", "/read", "desk", true, 3000, 1});
    part.routes.push_back({"pay", "team", "POST", "/pay", "desk", false, 3000, 1});
    return std::make_shared<model::routing_table>(std::move(snapshot));
}

namespace {

proxy_settings with_defaults(proxy_settings settings) {
    settings.failure_domain = "here";
    settings.seed = 7;
    return settings;
}

} // namespace

proxy_fixture::proxy_fixture(const std::vector<std::string>& addresses, proxy_settings settings)
    : table{platform::make_memory_table()}, server{with_defaults(std::move(settings)), clock, counters,
                                                   *table, observations} {
    std::vector<model::endpoint_info> endpoints;
    for (const auto& address : addresses) {
        endpoints.push_back(make_endpoint(address));
    }
    set_endpoints(endpoints);
    server.start();
}

void proxy_fixture::set_endpoints(const std::vector<model::endpoint_info>& endpoints,
                                  const std::vector<model::version_share>& shares,
                                  const std::vector<model::version_share>& non_idempotent_shares) {
    auto view = std::make_shared<request_view>();
    view->routes = make_routes();
    view->endpoints = endpoints;
    view->splits = {{"desk", shares, non_idempotent_shares}};
    server.set_view(view);
}

} // namespace endive::callers::testing
