#pragma once
// A connection of an HTTP client: reads requests, sends responses in order, and reports what it holds. Used
// only by http_server.

#include "sidecar/http_server.h"

#include <deque>

namespace endive::sidecar {

/// A connection of a caller. Requests with a safe method are handled concurrently with earlier ones;
/// responses are sent in order of arrival of the requests. Not thread safe.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, std::shared_ptr<stream> connection,
                 std::shared_ptr<client_address> address);
    void start();
    void respond(const exchange* which, http_message response);
    /// Closes the connection when it has exceeded the idle, header or body timeout.
    void sweep(time_point now);
    void stop_reading() { connection_->pause(); }
    /// Memory of requests that have not been handed over.
    [[nodiscard]] std::size_t incomplete_bytes() const { return incomplete_.bytes(); }
    /// Memory of responses that the kernel has not taken.
    [[nodiscard]] std::size_t undelivered_bytes() const {
        return connection_->queued_bytes() + ready_.bytes();
    }
    /// What the decision which connection to close is based on.
    [[nodiscard]] client_facts facts(time_point now) const;
    /// Rejects the request that has not been read whole.
    void reject_incomplete();
    /// Closes the connection. `reset` also discards what the kernel has not sent.
    void drop(bool reset = false);
    [[nodiscard]] std::size_t open_exchanges() const { return pending_.size(); }
    [[nodiscard]] bool is_undelivered() const { return connection_->is_undelivered(); }
    [[nodiscard]] bool has_unread() const { return connection_->has_unread(); }

private:
    struct pending {
        std::shared_ptr<exchange> from;
        std::optional<http_message> response;
    };
    void on_data(std::string_view bytes);
    void on_sent();
    void on_end();
    /// True when another request may be handled concurrently with the pending ones.
    [[nodiscard]] bool may_dispatch() const;
    void parse();
    void dispatch_deferred();
    void send_continue_if_expected();
    void dispatch(read_status status);
    /// Sends the responses that are next in order.
    void flush();
    void read_on();
    void send(pending entry, bool close);
    void reject(unsigned status, std::string why);
    void end_after_response();
    void abandon_all();
    void remove_session();
    void update_charges();

    http_server* server_;
    std::shared_ptr<stream> connection_;
    std::shared_ptr<client_address> address_;
    std::string input_;
    std::unique_ptr<request_reader> reader_;
    std::optional<read_status> deferred_; ///< set while a request that was read waits to be dispatched
    std::deque<pending> pending_;         ///< in order of arrival
    byte_charge incomplete_;
    byte_charge ready_;       ///< responses that wait for an earlier one
    time_point phase_start_;  ///< start of the idle time, the header or the closing
    time_point last_active_;  ///< the client sent or read something
    time_point last_read_;    ///< the client read something, or a response became the first to be read
    time_point queued_since_; ///< when the first response in the queue became the first
    std::size_t last_queued_ = 0;
    bool used_ = false;
    bool closing_ = false;
    bool parsing_ = false;
    bool continued_ = false;
};

} // namespace endive::sidecar
