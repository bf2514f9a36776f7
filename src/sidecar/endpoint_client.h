#pragma once
// Connections to the backend server beside this daemon: one request at a time on each, matched by request id.

#include "sidecar/http_message.h"
#include "sidecar/stream.h"

#include "endive/mesh.h"

#include <map>

namespace endive::sidecar {

/// What came of a request at the endpoint.
struct endpoint_result {
    mesh::attempt_outcome outcome = mesh::attempt_outcome::unknown;
    mesh::reason why = mesh::reason::none;
    http_message response; ///< when answered
};
using endpoint_done = std::function<void(endpoint_result)>;

/// Not thread safe.
class endpoint_client {
public:
    endpoint_client(boost::asio::io_context& loop, const clock_source& clock, std::string_view address);
    /// Sends a request; `done` is called once unless `cancel` comes first. Returns its id.
    std::uint64_t send(http_message request, std::string request_id, endpoint_done done);
    /// Drops the connection of a request, which makes the endpoint stop its work.
    void cancel(std::uint64_t id);
    /// Closes idle connections, after the endpoint changed.
    void drop_idle();
    /// Closes connections that were idle for too long. Call a few times a second.
    void sweep(time_point now);
    [[nodiscard]] std::size_t idle_connections() const { return idle_.size(); }

private:
    struct connection;
    struct work;
    void dispatch(const std::shared_ptr<work>& item, const std::shared_ptr<connection>& via);
    void open(const std::shared_ptr<work>& item);
    void on_data(const std::shared_ptr<connection>& via, std::string_view bytes);
    void on_end(const std::shared_ptr<connection>& via, stream_end how);
    bool on_response(const std::shared_ptr<connection>& via);
    void complete(const std::shared_ptr<connection>& via, endpoint_result result);

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    tcp::endpoint address_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<work>> active_;
    std::vector<std::shared_ptr<connection>> idle_; ///< most recently used last
};

} // namespace endive::sidecar
