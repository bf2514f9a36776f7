#pragma once
/// Callers library: the HTTP server on the caller port.

#include "endive/backends.h"

namespace endive::callers {

/// The parts of the active configuration that the request path reads. Immutable once passed to `set_view`.
struct request_view {
    std::shared_ptr<const model::routing_table> routes; ///< null: not ready, calls are refused as not run
    std::vector<model::endpoint_info> endpoints;
    /// A service without an entry sends all traffic to its stable version.
    std::vector<model::traffic_split> splits;
    std::uint32_t live_daemons = 1;
};

/// Receives each finished attempt. Called on caller threads; implementations are thread safe and do not
/// block.
class observer {
public:
    observer() = default;
    observer(const observer&) = delete;
    observer& operator=(const observer&) = delete;
    virtual ~observer() = default;
    virtual void on_call(const model::call_observation& observation) = 0;
};

struct proxy_settings {
    socket_address listen{"127.0.0.1", 0}; ///< port 0 selects a free port
    std::string failure_domain;
    std::uint32_t max_connections = 1024; ///< caller connections; further ones are closed immediately
    std::uint32_t max_in_flight = 512;    ///< calls in progress, queued ones included
    std::size_t max_body_bytes = config::max_body_bytes;
    milliseconds idle_timeout{30000}; ///< of caller connections that receive no data
    milliseconds read_timeout{10000}; ///< from the request line to the end of the request body
    bool hedging = true;
    calls::endpoint_settings endpoints; ///< its failure domain is replaced by `failure_domain`
    calls::admission_settings admission;
    backends::pool_settings pool;
    std::uint64_t seed = 0; ///< of endpoint and version selection; 0 seeds from the clock
};

struct proxy_stats {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< complete responses of backend servers passed to callers
    std::uint64_t refused_not_run = 0;
    std::uint64_t outcome_unknown = 0;
    std::uint64_t failed = 0; ///< other errors
    std::uint64_t retries = 0;
    std::uint64_t hedges = 0;
    std::uint64_t cancelled = 0;
    std::uint64_t in_flight = 0;
    std::uint64_t queued = 0;
    std::uint64_t caller_connections = 0;
    std::uint64_t ejected_endpoints = 0;
    backends::pool_stats pool;
    friend bool operator==(const proxy_stats&, const proxy_stats&) = default;
};

/// HTTP response that describes an operation with an idempotency key.
struct operation_response {
    std::uint32_t http_status = 200; ///< 200, 404 or 503
    json body;
};

/// HTTP proxy on the caller port. All public functions are thread safe.
///
/// Counters: `calls.refused.<result code>`, `calls.retried.<reason>`, `calls.hedged`, `calls.hedge_won`,
/// `calls.outcome_unknown`, `calls.truncated`, `calls.cancelled`, `connections.*`; see
/// docs/operators-calls.md.
class proxy_server {
public:
    /// Does not open the port. `relay` may be null: endpoints whose connection share is below 2 are then
    /// called directly.
    proxy_server(proxy_settings settings, const clock_source& clock, counter_set& counters,
                 platform::table_store& table, observer& observations,
                 backends::relay_transport* relay = nullptr);
    ~proxy_server();
    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    /// Opens the port. Throws `error` with `settings_port_unavailable`.
    void start();
    /// The bound port. Precondition: started.
    [[nodiscard]] std::uint16_t port() const;
    /// Replaces the view atomically. Calls that have selected an endpoint keep it; queued calls select again.
    void set_view(std::shared_ptr<const request_view> view);
    /// Refuses new calls with `call_draining` and waits at most `timeout` for those in flight to end. Returns
    /// the number still in flight.
    std::uint64_t drain(duration timeout);
    /// Closes the port and interrupts calls in flight; call `drain` first to let them complete.
    void stop();
    [[nodiscard]] proxy_stats stats() const;
    /// State of the endpoints of one service in this daemon's load balancer.
    [[nodiscard]] std::vector<calls::endpoint_status> endpoint_status(const std::string& service) const;
    /// Response to `GET /endive/v1/operations/<service>/<key>`, which the caller port also serves.
    [[nodiscard]] operation_response operation(const std::string& service, const std::string& key);
    /// Records the load that a probe reported for an endpoint.
    void report_load(const std::string& service, const std::string& address, double load);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endive::callers
