#pragma once
/// Callers library: the HTTP server on the caller port.

#include "endive/backends.h"

namespace endive::callers {

/// Everything one request needs to know of the active configuration. Immutable once given to `set_view`.
struct request_view {
    std::shared_ptr<const model::routing_table> routes; ///< null: not ready, every call is refused as not run
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
    socket_address listen{"127.0.0.1", 0}; ///< port 0 takes a free port
    std::string failure_domain;
    std::uint32_t max_connections = 1024; ///< caller connections; further ones are closed at once
    std::uint32_t max_in_flight = 512;    ///< calls in the daemon, queued ones included
    std::size_t max_body_bytes = config::max_body_bytes;
    milliseconds idle_timeout{30000}; ///< caller connections without a byte
    milliseconds read_timeout{10000}; ///< from the request line to the end of the request body
    bool hedging = true;
    calls::endpoint_settings endpoints; ///< its failure domain is replaced by `failure_domain`
    calls::admission_settings admission;
    backends::pool_settings pool;
    std::uint64_t seed = 0; ///< of endpoint and version choice; 0 takes one from the clock
};

struct proxy_stats {
    std::uint64_t requests = 0;
    std::uint64_t answered = 0; ///< responses of backend servers passed on complete
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

/// What is known about a keyed operation.
struct operation_answer {
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
    /// Does not open the port. `relay` may be null: endpoints whose connection share is below 2 are then sent
    /// to directly.
    proxy_server(proxy_settings settings, const clock_source& clock, counter_set& counters,
                 platform::table_store& table, observer& observations,
                 backends::relay_transport* relay = nullptr);
    ~proxy_server();
    proxy_server(const proxy_server&) = delete;
    proxy_server& operator=(const proxy_server&) = delete;

    /// Opens the port. Throws `error` with `settings_port_unavailable`.
    void start();
    /// Port in use. Precondition: started.
    [[nodiscard]] std::uint16_t port() const;
    /// Replaces the view at one point; calls that have chosen an endpoint keep theirs, queued calls choose
    /// again.
    void set_view(std::shared_ptr<const request_view> view);
    /// Refuses new calls with `call_draining` and waits until those in flight have ended, at most `limit`.
    /// Returns the number still in flight.
    std::uint64_t drain(duration limit);
    /// Closes the port. Call `drain` first to cut no call.
    void stop();
    [[nodiscard]] proxy_stats stats() const;
    /// Endpoints of one service as this daemon sees them.
    [[nodiscard]] std::vector<calls::endpoint_status> endpoint_status(const std::string& service) const;
    /// Answer for `GET /endive/v1/operations/<service>/<key>`, which the caller port serves too.
    [[nodiscard]] operation_answer operation(const std::string& service, const std::string& key);
    /// Adds the load that a probe reported for an endpoint.
    void report_load(const std::string& service, const std::string& address, double load);

private:
    struct state;
    std::unique_ptr<state> state_;
};

} // namespace endive::callers
