#pragma once
/// Test support: a scripted backend server that records executions, a raw HTTP client and a proxy fixture.

#include "endive/callers.h"

#include <functional>
#include <thread>

namespace endive::callers::testing {

/// Action of the backend server for one request.
struct script_step {
    std::string bytes;        ///< sent unchanged
    milliseconds delay{0};    ///< before the bytes are sent
    bool close_after = false; ///< closes the connection after sending
    bool executes = true;     ///< recorded as an execution
    bool hang = false;        ///< sends nothing, keeps the connection open until the server stops
};

struct script_request {
    std::string head;
    std::string body;
    int on_connection = 1; ///< number of the request on its connection
    [[nodiscard]] std::string line() const { return head.substr(0, head.find('\r')); }
};

[[nodiscard]] std::string ok_response(const std::string& body, const std::string& extra_headers = {});

/// TCP server that reads HTTP requests and sends scripted responses.
class scripted_backend {
public:
    using script_function = std::function<script_step(const script_request&)>;
    explicit scripted_backend(script_function script);
    ~scripted_backend();
    scripted_backend(const scripted_backend&) = delete;
    scripted_backend& operator=(const scripted_backend&) = delete;
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(port_); }
    /// Executions of requests whose first line contains `text`.
    [[nodiscard]] int executions(const std::string& text = {}) const;
    [[nodiscard]] int connections() const { return connections_; }
    [[nodiscard]] std::string last_head() const;

private:
    void accept_loop();
    void serve(int socket);
    bool answer(int socket, const script_step& step);
    script_function script_;
    int listener_ = -1;
    std::uint16_t port_ = 0;
    std::atomic<bool> stopping_{false};
    std::atomic<int> connections_{0};
    mutable std::mutex mutex_;
    std::vector<std::string> executed_lines_;
    std::string last_head_;
    std::vector<int> sockets_;
    std::vector<std::thread> threads_;
    std::thread acceptor_;
};

/// Response read until the message was complete or the connection closed.
struct raw_response {
    int status = 0;
    std::string head;
    std::string body;
    bool complete = false;
};

[[nodiscard]] int connect_to(std::uint16_t port);
void send_all(int socket, std::string_view bytes);
[[nodiscard]] raw_response read_response(int socket);
/// Sends one request on a new connection, reads the response and closes the connection.
[[nodiscard]] raw_response call(std::uint16_t port, const std::string& method, const std::string& target,
                                const std::string& headers = {}, const std::string& body = {});

class recording_observer final : public observer {
public:
    void on_call(const model::call_observation& observation) override;
    [[nodiscard]] std::vector<model::call_observation> all() const;

private:
    mutable std::mutex mutex_;
    std::vector<model::call_observation> all_;
};

/// A started proxy with one service `desk`: idempotent `/read`, not idempotent `/pay`.
struct proxy_fixture {
    explicit proxy_fixture(const std::vector<std::string>& addresses, proxy_settings settings = {});
    void set_endpoints(const std::vector<model::endpoint_info>& endpoints,
                       const std::vector<model::version_share>& shares = {{"1", 1.0}},
                       const std::vector<model::version_share>& non_idempotent_shares = {});
    system_clock_source clock;
    counter_set counters;
    recording_observer observations;
    std::unique_ptr<platform::table_store> table;
    proxy_server server;
};

[[nodiscard]] model::endpoint_info make_endpoint(const std::string& address,
                                                 const std::string& version = "1");
[[nodiscard]] std::shared_ptr<const model::routing_table> make_routes();

} // namespace endive::callers::testing
