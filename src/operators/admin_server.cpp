#include "operators/admin_api.h"

#include <condition_variable>
#include <cstring>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <ulfius.h>
#include <unistd.h>

namespace endive::operators {
namespace {

/// A listening TCP socket. Closes it unless released.
class listening_socket {
public:
    explicit listening_socket(const socket_address& address) : descriptor_{socket(AF_INET, SOCK_STREAM, 0)} {
        sockaddr_in name{};
        name.sin_family = AF_INET;
        name.sin_port = htons(address.port);
        const int on = 1;
        socklen_t length = sizeof name;
        auto* plain = reinterpret_cast<sockaddr*>(&name);
        const bool listening = descriptor_ >= 0 &&
                               inet_pton(AF_INET, address.host.c_str(), &name.sin_addr) == 1 &&
                               setsockopt(descriptor_, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on) == 0 &&
                               bind(descriptor_, plain, length) == 0 && listen(descriptor_, SOMAXCONN) == 0 &&
                               getsockname(descriptor_, plain, &length) == 0;
        if (!listening) {
            const std::string cause = std::strerror(errno);
            reset();
            throw error{result_code::settings_port_unavailable,
                        "cannot listen on " + to_string(address) + ": " + cause, to_string(address)};
        }
        port_ = ntohs(name.sin_port);
    }
    listening_socket(const listening_socket&) = delete;
    listening_socket& operator=(const listening_socket&) = delete;
    ~listening_socket() { reset(); }

    [[nodiscard]] int descriptor() const { return descriptor_; }
    [[nodiscard]] std::uint16_t port() const { return port_; }
    void reset() {
        if (descriptor_ >= 0) {
            close(descriptor_);
            descriptor_ = -1;
        }
    }
    /// Gives up ownership.
    void release() { descriptor_ = -1; }

private:
    int descriptor_ = -1;
    std::uint16_t port_ = 0;
};

std::string host_of(const sockaddr* address) {
    if (address == nullptr || address->sa_family != AF_INET) {
        return {};
    }
    char text[INET_ADDRSTRLEN] = {};
    const auto* name = reinterpret_cast<const sockaddr_in*>(address);
    return inet_ntop(AF_INET, &name->sin_addr, text, sizeof text) == nullptr ? "" : text;
}

std::optional<std::string> header_of(const _u_request& request, const char* name) {
    const char* value = u_map_get_case(request.map_header, name);
    return value == nullptr ? std::nullopt : std::optional<std::string>{value};
}

std::string text_of(const char* value) {
    return value == nullptr ? std::string{} : std::string{value};
}

http_request convert(const _u_request& request) {
    http_request converted;
    converted.method = text_of(request.http_verb);
    converted.target = text_of(request.http_url);
    converted.authorization = header_of(request, "Authorization");
    converted.if_match = header_of(request, "If-Match");
    converted.idempotency_key = header_of(request, "Idempotency-Key");
    converted.client_host = host_of(request.client_address);
    if (request.binary_body != nullptr) {
        converted.body.assign(static_cast<const char*>(request.binary_body), request.binary_body_length);
    }
    return converted;
}

template <typename Function>
intptr_t option_value(Function* function) {
    return reinterpret_cast<intptr_t>(function);
}

} // namespace

class admin_server::implementation {
public:
    implementation(admin_settings settings, admin_service& service, counter_set& counters,
                   std::vector<named_histogram> histograms)
        : socket_{settings.listen}, limits_{settings}, api_{std::move(settings), service, counters,
                                                            std::move(histograms)} {
        start();
    }
    implementation(const implementation&) = delete;
    implementation& operator=(const implementation&) = delete;
    ~implementation() { stop(); }

    [[nodiscard]] std::uint16_t port() const { return port_; }

    void stop() {
        const std::lock_guard stop_lock{stop_mutex_};
        if (!running_) {
            return;
        }
        running_ = false;
        MHD_quiesce_daemon(instance_.mhd_daemon);
        socket_.reset();
        {
            // Stopping the server cuts its connections, so requests in flight are awaited first.
            std::unique_lock lock{in_flight_mutex_};
            in_flight_changed_.wait_for(lock, config::admin_stop_timeout, [&] { return in_flight_ == 0; });
        }
        ulfius_stop_framework(&instance_);
        ulfius_clean_instance(&instance_);
    }

private:
    void start() {
        port_ = socket_.port();
        if (ulfius_init_instance(&instance_, port_, nullptr, nullptr) != U_OK) {
            throw error{result_code::internal, "cannot set up the administration server"};
        }
        instance_.allowed_post_processor = U_POST_PROCESS_NONE;
        // ulfius cuts bodies at this size; one byte more than allowed shows that a body is too large.
        instance_.max_post_body_size = limits_.max_body_bytes + 1;
        ulfius_set_default_endpoint(&instance_, &implementation::on_request, this);
        if (!start_daemon()) {
            ulfius_clean_instance(&instance_);
            throw error{result_code::internal, "cannot start the administration server"};
        }
        running_ = true;
    }

    bool start_daemon() {
        // One client must not be able to take all connections.
        const auto per_client = std::max(1U, limits_.max_connections / 2);
        MHD_OptionItem options[] = {
            {MHD_OPTION_NOTIFY_COMPLETED, option_value(&implementation::on_completed), this},
            {MHD_OPTION_URI_LOG_CALLBACK, option_value(&implementation::on_begin), this},
            {MHD_OPTION_LISTEN_SOCKET, socket_.descriptor(), nullptr},
            {MHD_OPTION_CONNECTION_LIMIT, static_cast<intptr_t>(limits_.max_connections), nullptr},
            {MHD_OPTION_PER_IP_CONNECTION_LIMIT, static_cast<intptr_t>(per_client), nullptr},
            {MHD_OPTION_CONNECTION_TIMEOUT, static_cast<intptr_t>(limits_.idle_timeout.count()), nullptr},
            {MHD_OPTION_END, 0, nullptr}};
        const unsigned flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_ITC;
        return ulfius_start_framework_with_mhd_options(&instance_, flags, options) == U_OK;
    }

    static void* on_begin(void* self, const char* uri, MHD_Connection* /*connection*/) {
        static_cast<implementation*>(self)->count_in_flight(1);
        return ulfius_uri_logger(nullptr, uri);
    }

    static void on_completed(void* self, MHD_Connection* connection, void** context,
                             MHD_RequestTerminationCode code) {
        mhd_request_completed(nullptr, connection, context, code);
        static_cast<implementation*>(self)->count_in_flight(-1);
    }

    static int on_request(const _u_request* request, _u_response* response, void* self) {
        const auto result = static_cast<implementation*>(self)->api_.handle(convert(*request));
        u_map_put(response->map_header, "Content-Type", result.content_type.c_str());
        for (const auto& [name, value] : result.headers) {
            u_map_put(response->map_header, name.c_str(), value.c_str());
        }
        ulfius_set_binary_body_response(response, static_cast<unsigned>(result.status), result.body.data(),
                                        result.body.size());
        return U_CALLBACK_COMPLETE;
    }

    void count_in_flight(int change) {
        const std::lock_guard lock{in_flight_mutex_};
        in_flight_ += change;
        in_flight_changed_.notify_all();
    }

    listening_socket socket_;
    admin_settings limits_;
    admin_api api_;
    std::uint16_t port_ = 0;
    _u_instance instance_{};
    std::mutex stop_mutex_;
    bool running_ = false;
    std::mutex in_flight_mutex_;
    std::condition_variable in_flight_changed_;
    int in_flight_ = 0;
};

admin_server::admin_server(admin_settings settings, admin_service& service, counter_set& counters,
                           std::vector<named_histogram> histograms)
    : implementation_{
          std::make_unique<implementation>(std::move(settings), service, counters, std::move(histograms))} {}

admin_server::~admin_server() = default;

std::uint16_t admin_server::port() const {
    return implementation_->port();
}

void admin_server::stop() {
    implementation_->stop();
}

} // namespace endive::operators
