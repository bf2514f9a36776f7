#pragma once
/// Definitions for calls_bench_support.h, in a header because each benchmark is built from one source file.

#include "calls_bench_support.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endive::bench {

inline std::uint16_t free_port() {
    const int probe = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof name;
    if (::bind(probe, reinterpret_cast<sockaddr*>(&name), size) != 0) {
        throw error{result_code::settings_port_unavailable, "no free port"};
    }
    getsockname(probe, reinterpret_cast<sockaddr*>(&name), &size);
    ::close(probe);
    return ntohs(name.sin_port);
}

inline http_server::http_server(handler_function handler) : handler_{std::move(handler)} {
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const auto function = [](auto* pointer) { return reinterpret_cast<std::intptr_t>(pointer); };
    for (int attempt = 0; attempt < 10; ++attempt) {
        port_ = free_port();
        name.sin_port = htons(port_);
        ulfius_init_instance(&instance_, port_, nullptr, nullptr);
        ulfius_set_default_endpoint(&instance_, &http_server::on_request, this);
        MHD_OptionItem options[] = {{MHD_OPTION_NOTIFY_COMPLETED, function(&mhd_request_completed), nullptr},
                                    {MHD_OPTION_URI_LOG_CALLBACK, function(&ulfius_uri_logger), nullptr},
                                    {MHD_OPTION_SOCK_ADDR, 0, &name},
                                    {MHD_OPTION_END, 0, nullptr}};
        constexpr unsigned int flags = MHD_USE_THREAD_PER_CONNECTION | MHD_USE_INTERNAL_POLLING_THREAD;
        if (ulfius_start_framework_with_mhd_options(&instance_, flags, options) == U_OK) {
            return;
        }
        ulfius_clean_instance(&instance_);
    }
    throw error{result_code::settings_port_unavailable, "no free port"};
}

inline http_server::~http_server() {
    ulfius_stop_framework(&instance_);
    ulfius_clean_instance(&instance_);
}

inline int http_server::on_request(const _u_request* request, _u_response* response, void* self) {
    static_cast<http_server*>(self)->handler_(request, response);
    return U_CALLBACK_COMPLETE;
}

inline void backend_server::handle(const _u_request* request, _u_response* response) {
    if (std::string_view{request->http_url} == "/endive/v1/load") {
        ulfius_set_string_body_response(response, 200, R"({"load":0.0})");
        return;
    }
    calls_.fetch_add(1);
    const auto age = std::chrono::steady_clock::now() - behaviour_since_;
    const auto kind = kind_.load();
    const bool down = kind == behaviour::flapping && (age / std::chrono::milliseconds{300}) % 2 == 1;
    if (kind == behaviour::silent) {
        std::this_thread::sleep_for(std::chrono::seconds{4});
    }
    if (in_service_.fetch_add(1) >= slots_) {
        u_map_put(response->map_header, "endive-outcome", "not-run");
        ulfius_set_string_body_response(response, 503, "busy");
    } else if (down || kind == behaviour::lying) {
        // The lying endpoint reports no load and fails immediately.
        ulfius_set_string_body_response(response, 500, "failed");
    } else {
        auto time = service_time_;
        time += kind == behaviour::slow ? milliseconds{200} : milliseconds{0};
        time += kind == behaviour::cold && age < std::chrono::seconds{1} ? milliseconds{50} : milliseconds{0};
        if (time.count() > 0) {
            std::this_thread::sleep_for(time);
        }
        ulfius_set_string_body_response(response, 200, "ok");
    }
    in_service_.fetch_sub(1);
}

inline std::size_t discard(char* /*data*/, std::size_t size, std::size_t count, void* /*target*/) {
    return size * count;
}

inline void naive_proxy::handle(const _u_request* request, _u_response* response) {
    struct handle_owner {
        CURL* easy = curl_easy_init();
        ~handle_owner() { curl_easy_cleanup(easy); }
    };
    thread_local const handle_owner owner;
    long status = 0;
    for (int attempt = 0; attempt < 3; ++attempt) {
        const auto url = "http://" + endpoints_[next_++ % endpoints_.size()] + request->http_url;
        curl_easy_setopt(owner.easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(owner.easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(owner.easy, CURLOPT_TIMEOUT_MS, 3000L);
        curl_easy_setopt(owner.easy, CURLOPT_WRITEFUNCTION, discard);
        const bool answered = curl_easy_perform(owner.easy) == CURLE_OK;
        curl_easy_getinfo(owner.easy, CURLINFO_RESPONSE_CODE, &status);
        if (answered && status < 500) {
            break;
        }
    }
    ulfius_set_string_body_response(response, status == 0 ? 502 : static_cast<unsigned int>(status), "ok");
}

inline simple_client::~simple_client() {
    close();
}

inline void simple_client::close() {
    if (socket_ >= 0) {
        ::close(socket_);
        socket_ = -1;
    }
}

inline bool simple_client::connect(std::uint32_t timeout_ms) {
    socket_ = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in name{};
    name.sin_family = AF_INET;
    name.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    name.sin_port = htons(port_);
    const int on = 1;
    setsockopt(socket_, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const timeval limit{static_cast<time_t>(timeout_ms / 1000),
                        static_cast<suseconds_t>(timeout_ms % 1000 * 1000)};
    setsockopt(socket_, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    return ::connect(socket_, reinterpret_cast<sockaddr*>(&name), sizeof name) == 0;
}

inline int simple_client::get(const std::string& headers, std::uint32_t timeout_ms, std::string* head) {
    if (socket_ < 0 && !connect(timeout_ms)) {
        close();
        return 0;
    }
    const auto text = "GET /read HTTP/1.1\r\nHost: bench\r\n" + headers + "\r\n";
    std::string received;
    if (::send(socket_, text.data(), text.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(text.size())) {
        close();
        return 0;
    }
    char chunk[4096];
    while (true) {
        const auto count = ::recv(socket_, chunk, sizeof chunk, 0);
        if (count <= 0) {
            close();
            return 0;
        }
        received.append(chunk, static_cast<std::size_t>(count));
        const auto end = received.find("\r\n\r\n");
        const auto length = received.find("Content-Length: ");
        if (end != std::string::npos && length < end &&
            received.size() >= end + 4 + std::stoul(received.substr(length + 16))) {
            break;
        }
    }
    if (head != nullptr) {
        *head = received;
    }
    return std::stoi(received.substr(9, 3));
}

inline double cpu_seconds() {
    rusage usage{};
    getrusage(RUSAGE_SELF, &usage);
    const auto seconds = [](const timeval& t) { return static_cast<double>(t.tv_sec) + t.tv_usec / 1e6; };
    return seconds(usage.ru_utime) + seconds(usage.ru_stime);
}

inline void run_load(const load_plan& plan, load_result& result) {
    const auto interval = duration{static_cast<duration::rep>(1e9 / plan.calls_per_second)};
    const auto total = static_cast<std::uint64_t>(plan.length / interval);
    const auto start = std::chrono::steady_clock::now() + std::chrono::milliseconds{5};
    const double cpu_before = cpu_seconds();
    std::atomic<std::uint64_t> next{0};
    const auto headers = "endive-timeout-ms: " + std::to_string(plan.timeout_ms) + "\r\n";
    const auto work = [&] {
        simple_client client{plan.port};
        for (auto i = next++; i < total; i = next++) {
            const auto intended = start + interval * i;
            std::this_thread::sleep_until(intended);
            const int status = client.get(headers, plan.timeout_ms + 500);
            const duration latency = std::chrono::steady_clock::now() - intended;
            if (status == 200 && latency <= milliseconds{plan.timeout_ms}) {
                result.good.record(latency);
            } else {
                ++result.failed;
            }
            ++result.sent;
        }
    };
    std::vector<std::thread> threads;
    for (std::size_t i = 0; i < plan.connections; ++i) {
        threads.emplace_back(work);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    const duration elapsed = std::chrono::steady_clock::now() - start;
    result.seconds = std::max(std::chrono::duration<double>(elapsed).count(),
                              std::chrono::duration<double>(plan.length).count());
    result.cpu_us_per_call =
        (cpu_seconds() - cpu_before) * 1e6 / static_cast<double>(std::max<std::uint64_t>(1, total));
}

inline void print_figure(const std::string& metric, double value, const std::string& unit, double target,
                         double baseline) {
    endive::print_figure("calls", metric, value, unit, target < 0 ? json{} : json(target),
                         baseline < 0 ? json{} : json(baseline));
}

} // namespace endive::bench
