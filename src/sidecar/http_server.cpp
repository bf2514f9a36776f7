#include "sidecar/http_server.h"

#include "sidecar/guard.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Maximum bytes of pipelined requests that are buffered per connection; beyond it reading pauses and TCP
/// flow control slows the caller down.
constexpr std::size_t max_pipelined_bytes = 256UL * 1024;
/// Maximum time to wait for the caller to close a connection after its last response was delivered. Closing
/// earlier could reset the connection before the caller has read the response.
constexpr duration linger_time = std::chrono::seconds{1};
/// Maximum time from the first byte of a request to the last of its body. It is longer than callers wait.
constexpr duration body_timeout = std::chrono::seconds{60};
/// Added to the header and idle timeouts so that a caller that just meets the limit is not disconnected.
constexpr duration timeout_slack = milliseconds{500};

/// Maximum number of requests of one connection that are handled concurrently.
constexpr std::size_t max_concurrent_requests = 8;
/// Idle timeout while the daemon is stopping. It is short so that a caller does not send its next request
/// shortly before the process ends.
constexpr duration draining_idle_timeout = milliseconds{300};

constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_internal_error = 500;
constexpr unsigned status_unavailable = 503;

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD";
}

} // namespace

/// A connection of a caller. Requests with a safe method are handled concurrently with earlier ones;
/// responses are sent in order of arrival of the requests.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, std::shared_ptr<stream> connection)
        : server_{&server}, connection_{std::move(connection)}, phase_start_{server.clock_.now()} {}

    void start() {
        connection_->start([self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                           [self = shared_from_this()](stream_end) { self->on_end(); });
    }

    void respond(const exchange* which, http_message response) {
        const auto found = std::find_if(pending_.begin(), pending_.end(),
                                        [&](const pending& entry) { return entry.from.get() == which; });
        if (found == pending_.end()) {
            return;
        }
        found->response = std::move(response);
        flush();
    }

    void sweep(time_point now) {
        const auto& limits = server_->limits_;
        if (closing_) {
            if (connection_->is_undelivered()) {
                phase_start_ = now;
            } else if (now - phase_start_ > linger_time) {
                drop();
            }
            return;
        }
        if (!pending_.empty()) {
            return;
        }
        const bool partial = reader_ && reader_->started();
        const auto idle_timeout =
            server_->draining_ ? draining_idle_timeout : limits.idle_timeout + timeout_slack;
        if (!partial && now - phase_start_ > idle_timeout) {
            // A request that arrived in time may not have been read yet on a busy loop.
            if (!connection_->has_unread()) {
                drop();
            }
        } else if (partial && !reader_->has_header() &&
                   now - phase_start_ > limits.header_timeout + timeout_slack) {
            reject(status_request_timeout, "the header took too long");
        } else if (partial && now - phase_start_ > body_timeout) {
            reject(status_request_timeout, "the body took too long");
        }
    }

    void stop_reading() { connection_->pause(); }

    /// Bytes of requests that have not been handed over.
    [[nodiscard]] std::size_t buffered_bytes() const {
        return closing_ ? 0 : input_.size() + (reader_ ? reader_->message().body.size() : 0);
    }

    void reject_incomplete() {
        input_.clear();
        reader_.reset();
        deferred_.reset();
        if (pending_.empty()) {
            reject(status_unavailable, "memory");
        } else {
            drop();
        }
    }

    void drop() {
        const auto self = shared_from_this();
        connection_->close();
        abandon_all();
        remove_session();
    }

    [[nodiscard]] std::size_t open_exchanges() const { return pending_.size(); }
    [[nodiscard]] bool is_undelivered() const { return connection_->is_undelivered(); }

private:
    struct pending {
        std::shared_ptr<exchange> from;
        std::optional<http_message> response;
    };

    void on_data(std::string_view bytes) {
        if (closing_ || server_ == nullptr) {
            return;
        }
        input_.append(bytes);
        parse();
    }

    void on_end() {
        abandon_all();
        remove_session();
    }

    /// True when another request may be handled concurrently with the pending ones.
    [[nodiscard]] bool may_dispatch() const {
        if (pending_.empty()) {
            return true;
        }
        return pending_.size() < max_concurrent_requests && pending_.back().from->request().keep_alive &&
               is_safe_method(pending_.back().from->request().method);
    }

    void parse() {
        if (parsing_) {
            return;
        }
        parsing_ = true;
        while (server_ != nullptr && !closing_ && !input_.empty() && may_dispatch() && !deferred_) {
            if (!reader_) {
                reader_ = std::make_unique<request_reader>(
                    read_limits{server_->limits_.header_bytes, server_->limits_.body_bytes}, false);
                phase_start_ = server_->clock_.now();
            }
            const auto status = reader_->feed(input_);
            if (status == read_status::need_more) {
                send_continue_if_expected();
                break;
            }
            deferred_ = status;
            dispatch_deferred();
        }
        parsing_ = false;
        if (!pending_.empty() && input_.size() > max_pipelined_bytes) {
            connection_->pause();
        }
    }

    /// Dispatches the deferred request, if any. One without a safe method waits until all earlier requests
    /// have been answered.
    void dispatch_deferred() {
        if (!deferred_ || (!pending_.empty() && (*deferred_ != read_status::complete ||
                                                 !is_safe_method(reader_->message().method)))) {
            return;
        }
        dispatch(*std::exchange(deferred_, std::nullopt));
    }

    void send_continue_if_expected() {
        const bool expected = reader_->has_header() && reader_->message().expects_continue;
        if (expected && !continued_ && pending_.empty()) {
            continued_ = true;
            connection_->send(std::string{"HTTP/1.1 100 Continue\r\n\r\n"});
        }
    }

    void dispatch(read_status status) {
        if (status == read_status::header_too_large) {
            reject(431, "the header is too large");
        } else if (status == read_status::body_too_large) {
            reject(413, "the body is too large");
        } else if (status == read_status::malformed) {
            reject(400, "not a valid HTTP/1.1 request");
        } else {
            continued_ = false;
            auto started = std::make_shared<exchange>(weak_from_this(), std::move(reader_->message()),
                                                      server_->clock_.now());
            reader_.reset();
            pending_.push_back({started, std::nullopt});
            if (!run_guarded("request", [&] { server_->handler_(started); }) && !started->finished()) {
                started->respond(own_response(status_internal_error, "internal error\n"));
            }
        }
    }

    /// Sends the responses that are next in order.
    void flush() {
        while (!pending_.empty() && pending_.front().response && !closing_) {
            const auto entry = std::move(pending_.front());
            pending_.pop_front();
            const bool last = pending_.empty();
            const bool draining = server_ == nullptr || server_->draining_;
            const bool close = !entry.from->request().keep_alive || (draining && last);
            send(entry, close);
            if (close) {
                end_after_response();
                return;
            }
        }
        if (server_ == nullptr) {
            return;
        }
        phase_start_ = server_->clock_.now();
        if (!server_->reading_) {
            return;
        }
        connection_->resume();
        if (!parsing_) {
            dispatch_deferred();
            parse();
        }
    }

    void send(const pending& entry, bool close) {
        const bool head = entry.from->request().method == "HEAD";
        const auto& response = *entry.response;
        std::string bytes = serialize_response_head(response, close);
        if (!head) {
            bytes += response.body;
        }
        connection_->send(std::move(bytes));
    }

    void reject(unsigned status, std::string why) {
        const auto response = own_response(status, std::move(why));
        connection_->send(serialize_response_head(response, true) + response.body);
        end_after_response();
    }

    void end_after_response() {
        closing_ = true;
        phase_start_ = server_ == nullptr ? phase_start_ : server_->clock_.now();
        abandon_all();
        connection_->finish_sending();
        if (server_ == nullptr || server_->reading_) {
            connection_->resume();
        }
    }

    void abandon_all() {
        for (const auto& entry : std::exchange(pending_, {})) {
            entry.from->abandon();
        }
    }

    void remove_session() {
        if (server_ != nullptr) {
            const auto self = shared_from_this();
            std::exchange(server_, nullptr)->sessions_.erase(self);
        }
    }

    http_server* server_;
    std::shared_ptr<stream> connection_;
    std::string input_;
    std::unique_ptr<request_reader> reader_;
    std::optional<read_status> deferred_; ///< set while a request that was read waits to be dispatched
    std::deque<pending> pending_;         ///< in order of arrival
    time_point phase_start_;              ///< start of the idle time, the header or the closing
    bool closing_ = false;
    bool parsing_ = false;
    bool continued_ = false;
};

void exchange::respond(http_message response) {
    if (finished_) {
        return;
    }
    finished_ = true;
    on_abandoned_ = nullptr;
    if (const auto session = session_.lock()) {
        session->respond(this, std::move(response));
    }
}

void exchange::abandon() {
    if (finished_) {
        return;
    }
    finished_ = true;
    if (const auto handler = std::exchange(on_abandoned_, nullptr)) {
        handler();
    }
}

http_server::http_server(boost::asio::io_context& loop, const clock_source& clock, std::string_view address,
                         exchange_handler handler)
    : clock_{clock}, handler_{std::move(handler)}, listener_{loop, address,
                                                             [this](std::shared_ptr<stream> connection) {
                                                                 add_session(std::move(connection));
                                                             }} {}

void http_server::add_session(std::shared_ptr<stream> connection) {
    ++accepted_connections_;
    connection->count_received(received_total_);
    const auto session = std::make_shared<http_session>(*this, std::move(connection));
    sessions_.insert(session);
    session->start();
}

void http_server::start_draining() {
    draining_ = true;
}

void http_server::stop_reading() {
    if (!std::exchange(reading_, false)) {
        return;
    }
    listener_.close();
    for (const auto& session : sessions_) {
        session->stop_reading();
    }
}

void http_server::sweep(time_point now) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        session->sweep(now);
    }
    limit_buffered();
}

void http_server::limit_buffered() {
    for (;;) {
        std::size_t total = 0;
        std::shared_ptr<http_session> largest;
        for (const auto& session : sessions_) {
            total += session->buffered_bytes();
            if (!largest || session->buffered_bytes() > largest->buffered_bytes()) {
                largest = session;
            }
        }
        if (total <= max_buffered_bytes_) {
            return;
        }
        largest->reject_incomplete();
    }
}

std::size_t http_server::open_exchanges() const {
    std::size_t count = 0;
    for (const auto& session : sessions_) {
        count += session->open_exchanges();
    }
    return count;
}

std::size_t http_server::undelivered_sessions() const {
    return static_cast<std::size_t>(
        std::count_if(sessions_.begin(), sessions_.end(), [](const std::shared_ptr<http_session>& session) {
            return session->is_undelivered();
        }));
}

http_message own_response(unsigned status, std::string body) {
    http_message response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::move(body);
    return response;
}

} // namespace endive::sidecar
