#pragma once
// HTTP/1.1 server on the event loop: keep-alive, pipelining with ordered responses, limits on callers, and
// detection of callers that disconnect.

#include "sidecar/client_limits.h"
#include "sidecar/http_message.h"
#include "sidecar/stream.h"

#include "endive/mesh.h"

#include <limits>
#include <map>
#include <set>

namespace endive::sidecar {

class http_session;

/// A caller's request and its pending response. Not thread safe.
class exchange {
public:
    exchange(std::weak_ptr<http_session> session, http_message request, time_point arrived,
             std::shared_ptr<byte_account> account = nullptr)
        : request_{std::move(request)}, session_{std::move(session)}, arrived_{arrived}, held_{std::move(
                                                                                             account)} {
        held_.set(request_.body.size() > max_small_message_bytes ? request_.body.size() : 0);
    }
    [[nodiscard]] http_message& request() { return request_; }
    [[nodiscard]] time_point arrived() const { return arrived_; }
    /// Sends the response; later calls are ignored.
    void respond(http_message response);
    [[nodiscard]] bool finished() const { return finished_; }
    /// `handler` is called when the caller disconnects before the response.
    void on_abandoned(std::function<void()> handler) { on_abandoned_ = std::move(handler); }

private:
    friend class http_session;
    void abandon();
    http_message request_;
    std::weak_ptr<http_session> session_;
    time_point arrived_;
    byte_charge held_; ///< of a large body
    std::function<void()> on_abandoned_;
    bool finished_ = false;
};

using exchange_handler = std::function<void(const std::shared_ptr<exchange>&)>;

/// The connections of one client address.
struct client_address {
    client_address(std::uint32_t number, std::shared_ptr<byte_account> parent)
        : address{number}, undelivered{std::make_shared<byte_account>(std::move(parent))} {}
    std::uint32_t address;
    std::size_t connections = 0;
    std::shared_ptr<byte_account> undelivered; ///< bytes of responses that the clients have not read
};

/// Listens on one address. Not thread safe.
class http_server {
public:
    /// Throws `error` with `settings_port_unavailable`.
    http_server(boost::asio::io_context& loop, const clock_source& clock, std::string_view address,
                exchange_handler handler);
    void set_limits(const mesh::caller_limits& limits) { limits_ = limits; }
    /// From now on connections are closed after their last pending response, so that callers switch to
    /// another daemon.
    void start_draining();
    /// Bounds connections and undelivered responses. What the server holds is charged to `process`; closed
    /// clients are counted in `counters`, which may be null. Call before the first connection.
    void set_bounds(const client_bounds& bounds, process_memory process, counter_set* counters);
    /// Limit for the bytes of all requests that have not been read whole.
    void set_buffer_limit(std::size_t bytes) { max_buffered_bytes_ = bytes; }
    /// Reads no more requests and accepts no more connections; pending requests are still answered. A caller
    /// whose request has not been read can safely send it elsewhere.
    void stop_reading();
    /// Closes connections that exceed the idle, header or body timeout, and rejects the largest incomplete
    /// requests with 503 when they take too much memory. Call a few times per second.
    void sweep(time_point now);
    [[nodiscard]] std::size_t session_count() const { return sessions_.size(); }
    /// Number of connections accepted since the start.
    [[nodiscard]] std::uint64_t accepted_connections() const { return accepted_connections_; }
    /// Adds the bytes received on connections that are accepted from now on to `total`.
    void count_received(std::shared_ptr<std::uint64_t> total) { received_total_ = std::move(total); }
    /// Number of requests that have been received but not answered yet.
    [[nodiscard]] std::size_t open_exchanges() const;
    /// Number of connections with response bytes that the caller has not acknowledged yet.
    [[nodiscard]] std::size_t undelivered_sessions() const;

private:
    friend class http_session;
    void limit_incomplete();
    void limit_undelivered();
    void limit_undelivered(const client_address& address);
    void close_slow_readers(std::size_t target, std::optional<std::uint32_t> address = std::nullopt,
                            duration unread_for = duration{0});
    void release(client_address& address);
    void add_session(std::shared_ptr<stream> connection);
    void remove_session(const std::shared_ptr<http_session>& session, client_address& address);
    void count(const std::string& name);
    bool make_room(const client_address& address);
    void refuse(stream& connection, std::uint32_t address);
    void close_client(const std::shared_ptr<http_session>& session, const client_facts& facts,
                      std::string_view reason);
    [[nodiscard]] std::pair<std::vector<std::shared_ptr<http_session>>, std::vector<client_facts>>
    all_facts(time_point now) const;
    /// More than half of a bound is used, so that connections get one request at a time.
    [[nodiscard]] bool is_short() const;
    const clock_source& clock_;
    exchange_handler handler_;
    mesh::caller_limits limits_;
    bool draining_ = false;
    bool reading_ = true;
    std::size_t max_buffered_bytes_ = std::numeric_limits<std::size_t>::max();
    client_bounds bounds_;
    process_memory process_;
    std::shared_ptr<byte_account> undelivered_ = std::make_shared<byte_account>(process_.account);
    std::shared_ptr<byte_account> incomplete_ = std::make_shared<byte_account>(process_.account);
    counter_set* counters_ = nullptr;
    time_point next_room_search_{};
    std::map<std::uint32_t, std::shared_ptr<client_address>> addresses_;
    std::set<std::shared_ptr<http_session>> sessions_;
    std::uint64_t accepted_connections_ = 0;
    std::shared_ptr<std::uint64_t> received_total_;
    listener listener_;
};

/// A plain-text response generated by the daemon itself.
[[nodiscard]] http_message own_response(unsigned status, std::string body);

} // namespace endive::sidecar
