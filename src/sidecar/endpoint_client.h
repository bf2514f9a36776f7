#pragma once
// HTTP client for the daemon's own backend server. Each connection carries one request at a time; responses
// are matched by request id.

#include "sidecar/http_message.h"
#include "sidecar/stream.h"

#include "endive/mesh.h"

#include <map>
#include <set>

namespace endive::sidecar {

/// Result of a request to the endpoint.
struct endpoint_result {
    mesh::attempt_outcome outcome = mesh::attempt_outcome::unknown;
    mesh::reason why = mesh::reason::none;
    http_message response; ///< only when `outcome` is `answered`
};
/// True when the endpoint says that it has not run the request.
[[nodiscard]] bool is_refusal(const http_message& response);

using endpoint_result_handler = std::function<void(endpoint_result)>;

/// Maximum body size of a response, which has to fit into a frame to another daemon.
inline constexpr std::uint64_t max_response_bytes = 64UL * 1024 * 1024;

/// Not thread safe.
class endpoint_client {
public:
    /// The responses being received may take `max_buffered_bytes` together. Above half of it, only the
    /// largest one is received further, and the others wait at the endpoint. Beyond it the largest one is
    /// ended with `bad_response`.
    endpoint_client(boost::asio::io_context& loop, const clock_source& clock, std::string_view address,
                    std::size_t max_buffered_bytes);
    /// Charges responses being received and requests being sent to `memory`. While `is_congested` returns
    /// true, responses wait at the endpoint.
    void set_memory(const process_memory& memory, std::function<bool()> is_congested);
    /// Receives waiting responses again where memory allows. Call every few tens of milliseconds.
    void resume_waiting();
    /// Sends a request and calls `done` exactly once unless `cancel` is called first. Returns an id for
    /// `cancel`. A response with a body of more than `max_body_bytes` is ended with `bad_response`.
    std::uint64_t send(http_message request, std::string request_id, endpoint_result_handler done,
                       std::uint64_t max_body_bytes = max_response_bytes);
    /// Cancels a request by closing its connection, which makes the endpoint stop processing it. Returns true
    /// when nothing of the request has been sent.
    bool cancel(std::uint64_t id);
    /// Closes all idle connections. Call when the endpoint has been replaced.
    void close_idle();
    /// False while the request waits for its connection.
    [[nodiscard]] bool is_sent(std::uint64_t id) const;
    /// Closes connections whose idle timeout has expired. Call a few times per second.
    void sweep(time_point now);
    [[nodiscard]] std::size_t idle_connections() const { return idle_.size(); }
    /// Bytes of the responses being received.
    [[nodiscard]] std::size_t buffered_bytes() const { return buffered_bytes_; }

private:
    struct connection;
    struct active_request;
    void dispatch(const std::shared_ptr<active_request>& item, const std::shared_ptr<connection>& conn);
    [[nodiscard]] std::shared_ptr<connection> take_idle(std::string_view request_id);
    void open(const std::shared_ptr<active_request>& item);
    void on_data(const std::shared_ptr<connection>& conn, std::string_view bytes);
    void on_end(const std::shared_ptr<connection>& conn, stream_end how);
    bool on_response(const std::shared_ptr<connection>& conn);
    void complete(const std::shared_ptr<connection>& conn, endpoint_result result);
    /// Updates the bytes that the response on `conn` takes.
    void set_buffered(connection& conn, std::size_t bytes);
    /// Lets responses wait when all together exceed half the limit, and ends the largest one beyond it.
    void limit_buffered();
    [[nodiscard]] std::shared_ptr<connection> largest_response() const;
    [[nodiscard]] bool must_wait(const std::shared_ptr<connection>& conn) const;

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    tcp::endpoint address_;
    std::size_t max_buffered_bytes_;
    std::size_t buffered_bytes_ = 0;
    process_memory memory_;
    std::function<bool()> is_congested_;
    std::set<std::shared_ptr<connection>> waiting_; ///< connections that are not read for lack of memory
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<active_request>> requests_;
    std::vector<std::shared_ptr<connection>> idle_; ///< the most recently used one last
};

} // namespace endive::sidecar
