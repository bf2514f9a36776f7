#pragma once
/// Backend server, baseline proxy and open-loop load generator for the calls benchmark.

#include "bench_report.h"

#include "endive/callers.h"

#include <atomic>
#include <cstdio>
#include <curl/curl.h>
#include <functional>
#include <thread>
#include <ulfius.h>

namespace endive::bench {

enum class behaviour : std::uint8_t { good, slow, silent, cold, flapping, lying };

/// HTTP server on a free loopback port. The handler runs on the connection's thread.
class http_server {
public:
    using handler_function = std::function<void(const _u_request*, _u_response*)>;
    explicit http_server(handler_function handler);
    ~http_server();
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    [[nodiscard]] std::uint16_t port() const { return port_; }
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }

private:
    static int on_request(const _u_request* request, _u_response* response, void* self);
    handler_function handler_;
    _u_instance instance_{};
    std::uint16_t port_ = 0;
};

/// Backend server with slots, a service time and one configurable fault. Sheds with 503 above its slots.
class backend_server {
public:
    backend_server(std::uint32_t slots, milliseconds service_time)
        : slots_{slots}, service_time_{service_time}, server_{[this](const _u_request* request,
                                                                     _u_response* response) {
              handle(request, response);
          }} {}
    [[nodiscard]] std::string address() const { return server_.address(); }
    [[nodiscard]] std::uint64_t calls() const { return calls_; }
    void set_behaviour(behaviour kind) {
        kind_ = kind;
        behaviour_since_ = std::chrono::steady_clock::now();
    }

private:
    void handle(const _u_request* request, _u_response* response);
    std::uint32_t slots_;
    milliseconds service_time_;
    std::atomic<behaviour> kind_{behaviour::good};
    time_point behaviour_since_ = std::chrono::steady_clock::now();
    std::atomic<std::uint32_t> in_service_{0};
    std::atomic<std::uint64_t> calls_{0};
    http_server server_;
};

/// Baseline proxy: round robin, up to three attempts for any failure, one libcurl handle per thread, and none
/// of the other mechanisms.
class naive_proxy {
public:
    explicit naive_proxy(std::vector<std::string> endpoints)
        : endpoints_{std::move(endpoints)}, server_{[this](const _u_request* request, _u_response* response) {
              handle(request, response);
          }} {}
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }

private:
    void handle(const _u_request* request, _u_response* response);
    std::vector<std::string> endpoints_;
    std::atomic<std::size_t> next_{0};
    http_server server_;
};

struct load_plan {
    std::uint16_t port = 0;
    double calls_per_second = 100;
    duration length = std::chrono::seconds{1};
    std::uint32_t timeout_ms = 3000;
    std::size_t connections = 32;
};

struct load_result {
    latency_histogram good; ///< responses with status 200 within the timeout, from the intended send time
    std::atomic<std::uint64_t> sent{0};
    std::atomic<std::uint64_t> failed{0};
    double cpu_us_per_call = 0; ///< whole process: generator, proxy and backend server
    double seconds = 0;
    [[nodiscard]] double goodput() const { return static_cast<double>(good.count()) / seconds; }
};

/// Sends at fixed intervals, independently of the responses.
void run_load(const load_plan& plan, load_result& result);

/// Sends GET requests on a keep-alive connection and reconnects when necessary. Not thread safe.
class simple_client {
public:
    explicit simple_client(std::uint16_t port) : port_{port} {}
    ~simple_client();
    simple_client(const simple_client&) = delete;
    simple_client& operator=(const simple_client&) = delete;
    /// Returns the status, or 0 without a response. `head` receives the response text.
    int get(const std::string& headers, std::uint32_t timeout_ms, std::string* head = nullptr);

private:
    bool connect(std::uint32_t timeout_ms);
    void close();
    std::uint16_t port_;
    int socket_ = -1;
};

/// Prints one figure as a JSON line. A negative target or baseline is printed as null.
void print_figure(const std::string& metric, double value, const std::string& unit, double target = -1,
                  double baseline = -1);

} // namespace endive::bench
