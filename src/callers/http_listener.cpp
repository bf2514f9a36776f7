#include "callers/http_listener.h"

#include <arpa/inet.h>
#include <condition_variable>
#include <cstring>
#include <fcntl.h>
#include <set>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace endive::callers {
namespace {

constexpr int listen_backlog = 512;
constexpr std::size_t thread_stack_bytes = 512UL * 1024;
constexpr std::size_t stream_block_bytes = 64UL * 1024;
constexpr milliseconds watch_interval{100};

enum class connection_phase : std::uint8_t { idle, reading, running };

/// One caller connection. `socket` is a duplicated descriptor, so that its number cannot be reused by another
/// connection while the watcher uses it.
struct caller_connection {
    int socket = -1;
    std::atomic<connection_phase> phase{connection_phase::idle};
    std::atomic<time_point::rep> phase_began{0};
    bool shut_down = false; ///< by the watcher
};

/// Connection served by this thread; the server runs one thread per connection.
thread_local caller_connection* current_connection = nullptr;

[[nodiscard]] int open_socket(const socket_address& address) {
    const int listener = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_port = htons(address.port);
    const bool parsed = inet_pton(AF_INET, address.host.c_str(), &name.sin_addr) == 1;
    if (!parsed || ::bind(listener, reinterpret_cast<sockaddr*>(&name), sizeof name) != 0 ||
        ::listen(listener, listen_backlog) != 0) {
        const std::string reason = parsed ? std::strerror(errno) : "not an IPv4 address";
        ::close(listener);
        throw error{result_code::settings_port_unavailable,
                    "cannot listen on " + to_string(address) + ": " + reason, "listen"};
    }
    return listener;
}

[[nodiscard]] std::vector<backends::header> headers_of(const _u_map* map) {
    std::vector<backends::header> headers;
    const char** keys = u_map_enum_keys(map);
    for (std::size_t i = 0; keys != nullptr && keys[i] != nullptr; ++i) {
        const auto* value = u_map_get(map, keys[i]);
        headers.push_back({keys[i], value == nullptr ? "" : value});
    }
    return headers;
}

/// The server's header map holds one value per name. Repeated fields are joined with commas. `Set-Cookie`
/// cannot be joined, so its repetitions get names that differ only in case; HTTP field names ignore case.
void add_header(_u_map* map, std::string name, const std::string& value) {
    const bool cookie = strcasecmp(name.c_str(), "set-cookie") == 0;
    const auto* present = u_map_get(map, name.c_str());
    for (std::size_t i = 0; cookie && present != nullptr && i < name.size(); ++i) {
        if (std::isalpha(static_cast<unsigned char>(name[i])) != 0) {
            name[i] = static_cast<char>(name[i] ^ 0x20);
            present = u_map_get(map, name.c_str());
        }
    }
    if (present == nullptr || cookie) {
        u_map_put(map, name.c_str(), value.c_str());
    } else {
        u_map_put(map, name.c_str(), (std::string{present} + ", " + value).c_str());
    }
}

ssize_t read_stream(void* stream, std::uint64_t /*offset*/, char* out, std::size_t max) {
    const auto count = static_cast<body_stream*>(stream)->read(out, max);
    if (count < 0) {
        return U_STREAM_ERROR;
    }
    return count == 0 ? U_STREAM_END : static_cast<ssize_t>(count);
}

void free_stream(void* stream) {
    delete static_cast<body_stream*>(stream);
}

void write_reply(caller_reply reply, _u_response* response) {
    response->status = reply.status;
    for (const auto& field : reply.headers) {
        add_header(response->map_header, field.name, field.value);
    }
    if (reply.stream) {
        const auto length = reply.stream_length.value_or(U_STREAM_SIZE_UNKNOWN);
        ulfius_set_stream_response(response, reply.status, read_stream, free_stream, length,
                                   stream_block_bytes, reply.stream.release());
    } else {
        ulfius_set_binary_body_response(response, reply.status, reply.body.data(), reply.body.size());
    }
}

} // namespace

struct http_listener::state {
    state(listener_settings wanted, const clock_source& source, counter_set& counts,
          handler_function function)
        : settings{std::move(wanted)}, clock{source}, counters{counts}, handler{std::move(function)} {}

    listener_settings settings;
    const clock_source& clock;
    counter_set& counters;
    handler_function handler;
    _u_instance instance{};
    std::uint16_t port = 0;
    bool started = false;
    std::mutex mutex;
    std::condition_variable stop_signal;
    bool stopping = false;
    mutable std::atomic<std::uint64_t> running{0};
    std::set<caller_connection*> connections;
    std::thread watcher;

    void set_phase(caller_connection& caller, connection_phase phase) const {
        caller.phase_began = clock.now().time_since_epoch().count();
        caller.phase = phase;
    }
    void add(MHD_Connection* connection, void** context);
    void remove(void** context);
    void watch();
    void close_overdue();
    [[nodiscard]] bool is_overdue(const caller_connection& caller) const;
    int handle(const _u_request* request, _u_response* response) const;
    void open();

    static int on_request(const _u_request* request, _u_response* response, void* self);
    static void* on_uri(void* self, const char* uri, MHD_Connection* connection);
    static void on_completed(void* self, MHD_Connection* connection, void** context,
                             MHD_RequestTerminationCode code);
    static void on_connection(void* self, MHD_Connection* connection, void** context,
                              MHD_ConnectionNotificationCode code);
};

void http_listener::state::add(MHD_Connection* connection, void** context) {
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_CONNECTION_FD);
    auto caller = std::make_unique<caller_connection>();
    caller->socket = info == nullptr ? -1 : fcntl(info->connect_fd, F_DUPFD_CLOEXEC, 0);
    set_phase(*caller, connection_phase::idle);
    const std::scoped_lock lock{mutex};
    *context = caller.get();
    connections.insert(caller.release());
}

void http_listener::state::remove(void** context) {
    const std::unique_ptr<caller_connection> caller{static_cast<caller_connection*>(*context)};
    *context = nullptr;
    if (!caller) {
        return;
    }
    const std::scoped_lock lock{mutex};
    connections.erase(caller.get());
    ::close(caller->socket);
}

bool http_listener::state::is_overdue(const caller_connection& caller) const {
    const time_point began{duration{caller.phase_began.load()}};
    const duration age = clock.now() - began;
    switch (caller.phase.load()) {
    case connection_phase::idle:
        return age > settings.idle_timeout;
    case connection_phase::reading:
        return age > settings.read_timeout;
    case connection_phase::running:
        return false;
    }
    return false;
}

void http_listener::state::close_overdue() {
    for (auto* caller : connections) {
        if (!caller->shut_down && is_overdue(*caller)) {
            const bool reading = caller->phase == connection_phase::reading;
            counters.add(reading ? "callers.slow_sender_cut" : "callers.idle_closed");
            caller->shut_down = true;
            ::shutdown(caller->socket, SHUT_RDWR);
        }
    }
}

void http_listener::state::watch() {
    std::unique_lock lock{mutex};
    while (!stop_signal.wait_for(lock, watch_interval, [&] { return stopping; })) {
        close_overdue();
    }
}

int http_listener::state::handle(const _u_request* request, _u_response* response) const {
    auto* caller = current_connection;
    if (caller != nullptr) {
        set_phase(*caller, connection_phase::running);
        running.fetch_add(1);
    }
    caller_request call;
    call.method = request->http_verb;
    call.target = request->http_url;
    call.headers = headers_of(request->map_header);
    call.socket = caller == nullptr ? -1 : caller->socket;
    const bool too_large = request->binary_body_length > settings.max_body_bytes;
    if (!too_large && request->binary_body != nullptr) {
        call.body = {static_cast<const char*>(request->binary_body), request->binary_body_length};
    }
    write_reply(handler(call, too_large), response);
    return U_CALLBACK_COMPLETE;
}

int http_listener::state::on_request(const _u_request* request, _u_response* response, void* self) {
    try {
        return static_cast<const state*>(self)->handle(request, response);
    } catch (const std::exception& problem) {
        log_event(log_level::error, "caller_request_failed", {{"reason", problem.what()}});
        write_reply(make_reply({result_code::internal, calls::execution::unknown, {}, {}}), response);
        return U_CALLBACK_COMPLETE;
    }
}

void* http_listener::state::on_uri(void* self, const char* uri, MHD_Connection* connection) {
    const auto* info = MHD_get_connection_info(connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
    current_connection = info == nullptr ? nullptr : static_cast<caller_connection*>(info->socket_context);
    if (current_connection != nullptr) {
        static_cast<const state*>(self)->set_phase(*current_connection, connection_phase::reading);
    }
    return ulfius_uri_logger(self, uri);
}

void http_listener::state::on_completed(void* self, MHD_Connection* connection, void** context,
                                        MHD_RequestTerminationCode code) {
    if (current_connection != nullptr) {
        const auto& owner = *static_cast<const state*>(self);
        if (current_connection->phase == connection_phase::running) {
            owner.running.fetch_sub(1);
        }
        owner.set_phase(*current_connection, connection_phase::idle);
        current_connection = nullptr;
    }
    mhd_request_completed(self, connection, context, code);
}

void http_listener::state::on_connection(void* self, MHD_Connection* connection, void** context,
                                         MHD_ConnectionNotificationCode code) {
    auto& owner = *static_cast<state*>(self);
    if (code == MHD_CONNECTION_NOTIFY_STARTED) {
        owner.add(connection, context);
    } else {
        owner.remove(context);
    }
}

void http_listener::state::open() {
    const int listener = open_socket(settings.listen);
    sockaddr_in name{};
    socklen_t size = sizeof name;
    getsockname(listener, reinterpret_cast<sockaddr*>(&name), &size);
    port = ntohs(name.sin_port);
    ulfius_init_instance(&instance, port, nullptr, nullptr);
    instance.max_post_body_size = settings.max_body_bytes + 1; // the server truncates longer bodies
    instance.check_utf8 = 0;
    instance.allowed_post_processor = U_POST_PROCESS_NONE;
    ulfius_set_default_endpoint(&instance, &state::on_request, this);
    const auto idle_seconds = std::chrono::ceil<std::chrono::seconds>(settings.idle_timeout).count();
    const auto option_value = [](auto* pointer) { return reinterpret_cast<std::intptr_t>(pointer); };
    MHD_OptionItem options[] = {
        {MHD_OPTION_NOTIFY_COMPLETED, option_value(&state::on_completed), this},
        {MHD_OPTION_URI_LOG_CALLBACK, option_value(&state::on_uri), this},
        {MHD_OPTION_NOTIFY_CONNECTION, option_value(&state::on_connection), this},
        {MHD_OPTION_LISTEN_SOCKET, listener, nullptr},
        {MHD_OPTION_CONNECTION_LIMIT, settings.max_connections, nullptr},
        {MHD_OPTION_CONNECTION_TIMEOUT, idle_seconds, nullptr},
        {MHD_OPTION_CONNECTION_MEMORY_LIMIT, static_cast<std::intptr_t>(config::max_header_bytes), nullptr},
        {MHD_OPTION_THREAD_STACK_SIZE, static_cast<std::intptr_t>(thread_stack_bytes), nullptr},
        {MHD_OPTION_END, 0, nullptr}};
    constexpr unsigned int flags =
        MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_POLL;
    if (ulfius_start_framework_with_mhd_options(&instance, flags, options) != U_OK) {
        ulfius_clean_instance(&instance);
        ::close(listener);
        throw error{result_code::settings_port_unavailable, "cannot start the server on the caller port",
                    "listen"};
    }
}

http_listener::http_listener(listener_settings settings, const clock_source& clock, counter_set& counters,
                             handler_function handler)
    : state_{std::make_unique<state>(std::move(settings), clock, counters, std::move(handler))} {}

http_listener::~http_listener() {
    stop();
}

void http_listener::start() {
    state_->open();
    state_->started = true;
    state_->watcher = std::thread{[this] { state_->watch(); }};
}

void http_listener::stop() {
    auto& s = *state_;
    if (!s.started) {
        return;
    }
    s.started = false;
    {
        const std::scoped_lock lock{s.mutex};
        s.stopping = true;
    }
    s.stop_signal.notify_all();
    s.watcher.join();
    ulfius_stop_framework(&s.instance);
    ulfius_clean_instance(&s.instance);
}

std::uint16_t http_listener::port() const {
    return state_->port;
}

std::uint64_t http_listener::running() const {
    return state_->running;
}

std::uint64_t http_listener::connections() const {
    const std::scoped_lock lock{state_->mutex};
    return state_->connections.size();
}

} // namespace endive::callers
