#pragma once
/// Backends library: pooled HTTP connections to backend servers, announcements of the local backend server,
/// and health and load probes.

#include "endive/calls.h"

namespace endive::backends {

/// One header field.
struct header {
    std::string name;
    std::string value;
    friend auto operator<=>(const header&, const header&) = default;
};

/// A request to a backend server. Views must outlive the exchange.
struct backend_request {
    std::string_view method;
    std::string_view target; ///< path and query
    std::vector<header> headers;
    std::string_view body;
    bool idempotent = true;
    bool fresh_connection = false; ///< open a new connection instead of reusing a pooled one
    time_point deadline;
};

/// Status, headers and framing of a response.
struct response_head {
    std::uint32_t status = 0;
    std::vector<header> headers; ///< hop-by-hop fields removed
    calls::response_framing framing;
};

/// One attempt in progress. Used by one thread.
class exchange {
public:
    exchange() = default;
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    virtual ~exchange() = default;

    /// Makes progress without blocking. Returns true once the response has ended or failed.
    virtual bool step() = 0;
    /// Blocks until this exchange or `other` (may be null) can make progress, `watched_socket` (may be -1)
    /// becomes readable, or `timeout` has passed.
    virtual void wait(duration timeout, exchange* other, int watched_socket) = 0;
    /// Moves out the body bytes received since the last call. Receiving pauses while more bytes than the
    /// buffer limit are buffered.
    [[nodiscard]] virtual std::string take_body() = 0;
    [[nodiscard]] virtual std::size_t buffered() const = 0;
    /// True once the head is complete.
    [[nodiscard]] virtual bool has_head() const = 0;
    [[nodiscard]] virtual const response_head& head() const = 0;
    /// Valid after `step` returned true.
    [[nodiscard]] virtual calls::attempt_result result() const = 0;
    /// Aborts the attempt and closes its connection.
    virtual void cancel() = 0;
};

/// Sends requests to endpoints: `http_pool` directly, `relay_transport` over the peer links. Thread safe.
class transport {
public:
    transport() = default;
    transport(const transport&) = delete;
    transport& operator=(const transport&) = delete;
    virtual ~transport() = default;
    [[nodiscard]] virtual std::unique_ptr<exchange> start(const model::endpoint_info& endpoint,
                                                          const backend_request& request) = 0;
};

struct pool_settings {
    std::size_t max_idle_per_endpoint = 32;
    std::size_t buffer_bytes = 256UL * 1024; ///< maximum response bytes buffered for one call
    std::size_t max_header_bytes = config::max_header_bytes;
    milliseconds connect_timeout = config::connect_timeout;
    friend bool operator==(const pool_settings&, const pool_settings&) = default;
};

struct pool_stats {
    std::uint64_t connections_opened = 0;
    std::uint64_t connections_reused = 0;
    std::uint64_t connections_replaced = 0; ///< idle too long or suspected silent
    std::uint64_t silent_connections = 0;
    std::uint64_t idle = 0;
    friend bool operator==(const pool_stats&, const pool_stats&) = default;
};

/// Pool of libcurl handles with one connection each. Thread safe.
class http_pool final : public transport {
public:
    http_pool(const clock_source& clock, counter_set& counters, pool_settings settings = {});
    ~http_pool() override;
    [[nodiscard]] std::unique_ptr<exchange> start(const model::endpoint_info& endpoint,
                                                  const backend_request& request) override;
    /// Reports that a connection to `address` did not answer while another one did. Idle connections without
    /// a response since this call are replaced instead of reused.
    void mark_silent(const std::string& address);
    /// Closes idle connections that have exceeded the idle timeout, and those of endpoints not in `live`.
    void prune(std::span<const std::string> live);
    [[nodiscard]] pool_stats stats() const;

private:
    struct state;
    std::shared_ptr<state> state_;
};

/// A request that is forwarded over a peer link in `relay` mode.
struct relay_request {
    std::string endpoint; ///< `IP:port` of the backend server
    std::string method;
    std::string target;
    std::vector<header> headers;
    std::string body;
    bool idempotent = true;
    milliseconds timeout{0};
    friend bool operator==(const relay_request&, const relay_request&) = default;
};

struct relay_response {
    calls::attempt_result result;
    std::vector<header> headers;
    std::string body;
    friend bool operator==(const relay_response&, const relay_response&) = default;
};

/// Sends relay requests to the daemon beside a backend server. Thread safe; blocks until the response, the
/// timeout or the loss of the link. Responses above `config::max_frame_bytes` are split by the
/// implementation.
class relay_transport {
public:
    relay_transport() = default;
    relay_transport(const relay_transport&) = delete;
    relay_transport& operator=(const relay_transport&) = delete;
    virtual ~relay_transport() = default;
    [[nodiscard]] virtual relay_response send(const std::string& peer, const relay_request& request) = 0;
};

/// Receiving side of `relay` mode: allocates the slots of the backend servers beside this daemon. Thread
/// safe.
class relay_receiver {
public:
    relay_receiver(transport& pool, const clock_source& clock, counter_set& counters);
    /// Endpoints that are not listed or not `serving` receive no new requests.
    void set_endpoints(std::span<const model::endpoint_info> endpoints);
    /// Forwards one relayed request and blocks until it has ended. It is rejected as not run when no slot is
    /// free.
    [[nodiscard]] relay_response handle(const relay_request& request);

private:
    struct relay_target {
        model::endpoint_info info;
        std::uint32_t in_flight = 0;
    };
    [[nodiscard]] std::optional<model::endpoint_info> take_slot(const std::string& address);
    void release_slot(const std::string& address);
    transport& pool_;
    const clock_source& clock_;
    counter_set& counters_;
    std::mutex mutex_;
    std::map<std::string, relay_target> targets_; ///< by address
};

// ---- announcements ---------------------------------------------------------------------------------------

/// Registry of the backend servers beside this daemon, built from their announcements. Reads no clock; not
/// thread safe.
class endpoint_registry {
public:
    /// `relay` and `failure_domain` are set in each registered endpoint.
    endpoint_registry(std::string relay, std::string failure_domain)
        : relay_{std::move(relay)}, failure_domain_{std::move(failure_domain)} {}
    /// Applies the body of `PUT /endive/v1/endpoint`. Returns true when the endpoint list changed. Throws
    /// `error` with `admin_bad_request` and a JSON pointer as place.
    bool announce(std::string_view body, time_point now);
    /// Marks endpoints without an announcement for 3 s as `leaving` and removes them 3 s later. Returns true
    /// when the list changed.
    bool advance(time_point now);
    [[nodiscard]] std::vector<model::endpoint_info> endpoints() const;

private:
    struct entry {
        model::endpoint_info info;
        time_point announced;
    };
    std::string relay_;
    std::string failure_domain_;
    std::map<std::string, entry> entries_; ///< by address
};

/// Result of one health and load probe.
struct probe_result {
    bool reachable = false;
    std::optional<double> load; ///< 0 idle to 1 full, as the backend server reports it
    friend bool operator==(const probe_result&, const probe_result&) = default;
};

/// Probes `GET /endive/v1/load` of a backend server: `{"load": 0.4}`. Blocks at most until `deadline`.
[[nodiscard]] probe_result probe(transport& pool, const model::endpoint_info& endpoint,
                                 const clock_source& clock, time_point deadline);

} // namespace endive::backends
