#pragma once
// HTTP/1.1 server on the event loop: keep-alive, pipelining in order, limits of callers, callers that leave.

#include "sidecar/http_message.h"
#include "sidecar/stream.h"

#include "endive/mesh.h"

#include <set>

namespace endive::sidecar {

class http_session;

/// One request of a caller until its response. Not thread safe.
class exchange {
public:
    exchange(std::weak_ptr<http_session> session, http_message request, time_point arrived)
        : request_{std::move(request)}, session_{std::move(session)}, arrived_{arrived} {}
    [[nodiscard]] http_message& request() { return request_; }
    [[nodiscard]] time_point arrived() const { return arrived_; }
    /// Sends the response; later calls are ignored.
    void respond(http_message response);
    [[nodiscard]] bool finished() const { return finished_; }
    /// Called when the caller leaves before the response.
    void on_abandoned(std::function<void()> handler) { abandoned_ = std::move(handler); }

private:
    friend class http_session;
    void abandon();
    http_message request_;
    std::weak_ptr<http_session> session_;
    time_point arrived_;
    std::function<void()> abandoned_;
    bool finished_ = false;
};

using exchange_handler = std::function<void(const std::shared_ptr<exchange>&)>;

/// Listens on one address. Not thread safe.
class http_server {
public:
    /// Throws `error` with `settings_port_unavailable`.
    http_server(boost::asio::io_context& loop, const clock_source& clock, std::string_view address,
                exchange_handler handler);
    void set_limits(const mesh::caller_limits& limits) { limits_ = limits; }
    /// Each further response ends its connection, so that callers find another daemon.
    void start_draining();
    /// Closes connections that are idle or send a header too slowly. Call a few times a second.
    void sweep(time_point now);
    [[nodiscard]] std::size_t session_count() const { return sessions_.size(); }
    /// Requests that were read and not answered yet.
    [[nodiscard]] std::size_t open_exchanges() const;

private:
    friend class http_session;
    void adopt(std::shared_ptr<stream> connection);
    const clock_source& clock_;
    exchange_handler handler_;
    mesh::caller_limits limits_;
    bool draining_ = false;
    std::set<std::shared_ptr<http_session>> sessions_;
    listener listener_;
};

/// A plain-text or JSON response of the daemon's own.
[[nodiscard]] http_message own_response(unsigned status, std::string body);

} // namespace endive::sidecar
