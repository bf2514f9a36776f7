#include "sidecar/http_server.h"

#include "sidecar/events.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Requests that callers send ahead of the responses are read up to here; then their window fills.
constexpr std::size_t max_pipelined_bytes = 256UL * 1024;
/// Longest wait for the caller to end a connection after its last response; a sooner close could reset it
/// before the response is read.
constexpr duration linger_time = std::chrono::seconds{1};
/// Header timers run this much longer than the limit, so that a caller at the limit is never cut.
constexpr duration limit_slack = milliseconds{500};

/// Requests of one connection that are handled at the same time.
constexpr std::size_t max_concurrent_requests = 8;
/// While the daemon stops, a connection that is idle for this long is closed, so that its caller's next
/// request does not begin shortly before the end.
constexpr duration draining_idle_time = milliseconds{300};

constexpr unsigned status_request_timeout = 408;

bool is_repeatable(std::string_view method) {
    return method == "GET" || method == "HEAD";
}

} // namespace

/// One connection of a caller. Requests that can be repeated are handled while earlier ones still run;
/// responses go out in order of arrival.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, std::shared_ptr<stream> connection)
        : server_{&server}, connection_{std::move(connection)}, since_{server.clock_.now()} {}

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
            if (now - since_ > linger_time) {
                drop();
            }
            return;
        }
        if (!pending_.empty()) {
            return;
        }
        const bool partial = reader_ && reader_->started();
        const auto patience = server_->draining_ ? draining_idle_time : limits.idle_timeout + limit_slack;
        if (!partial && now - since_ > patience) {
            drop();
        } else if (partial && !reader_->has_header() && now - since_ > limits.header_timeout + limit_slack) {
            reject(status_request_timeout, "the header took too long");
        }
    }

    void drop() {
        const auto self = shared_from_this();
        connection_->close();
        abandon_all();
        forget();
    }

    [[nodiscard]] std::size_t open_exchanges() const { return pending_.size(); }

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
        forget();
    }

    /// True when another request may be handled beside the ones that still run.
    [[nodiscard]] bool may_take() const {
        if (pending_.empty()) {
            return true;
        }
        return pending_.size() < max_concurrent_requests && pending_.back().from->request().keep_alive &&
               is_repeatable(pending_.back().from->request().method);
    }

    void parse() {
        if (parsing_) {
            return;
        }
        parsing_ = true;
        while (server_ != nullptr && !closing_ && !input_.empty() && may_take() && !held_) {
            if (!reader_) {
                reader_ = std::make_unique<request_reader>(
                    read_limits{server_->limits_.header_bytes, server_->limits_.body_bytes}, false);
                since_ = server_->clock_.now();
            }
            const auto status = reader_->feed(input_);
            if (status == read_status::need_more) {
                answer_expectation();
                break;
            }
            held_ = status;
            take_held();
        }
        parsing_ = false;
        if (!pending_.empty() && input_.size() > max_pipelined_bytes) {
            connection_->pause();
        }
    }

    /// A request that cannot be repeated waits until the ones before it are answered.
    void take_held() {
        if (!held_ || (!pending_.empty() &&
                       (*held_ != read_status::complete || !is_repeatable(reader_->message().method)))) {
            return;
        }
        take(*std::exchange(held_, std::nullopt));
    }

    void answer_expectation() {
        const bool asked = reader_->has_header() && reader_->message().expects_continue;
        if (asked && !continued_ && pending_.empty()) {
            continued_ = true;
            connection_->send(std::string{"HTTP/1.1 100 Continue\r\n\r\n"});
        }
    }

    void take(read_status status) {
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
            server_->handler_(started);
        }
    }

    /// Sends the responses whose turn has come.
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
        since_ = server_->clock_.now();
        connection_->resume();
        if (!parsing_) {
            take_held();
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
        since_ = server_ == nullptr ? since_ : server_->clock_.now();
        abandon_all();
        connection_->finish_sending();
        connection_->resume();
    }

    void abandon_all() {
        for (const auto& entry : std::exchange(pending_, {})) {
            entry.from->abandon();
        }
    }

    void forget() {
        if (server_ != nullptr) {
            const auto self = shared_from_this();
            std::exchange(server_, nullptr)->sessions_.erase(self);
        }
    }

    http_server* server_;
    std::shared_ptr<stream> connection_;
    std::string input_;
    std::unique_ptr<request_reader> reader_;
    std::optional<read_status> held_; ///< a request was read and waits for its turn
    std::deque<pending> pending_;     ///< in order of arrival
    time_point since_;                ///< of the idle time, the header or the closing
    bool closing_ = false;
    bool parsing_ = false;
    bool continued_ = false;
};

void exchange::respond(http_message response) {
    if (finished_) {
        return;
    }
    finished_ = true;
    abandoned_ = nullptr;
    if (const auto session = session_.lock()) {
        session->respond(this, std::move(response));
    }
}

void exchange::abandon() {
    if (finished_) {
        return;
    }
    finished_ = true;
    if (const auto handler = std::exchange(abandoned_, nullptr)) {
        handler();
    }
}

http_server::http_server(boost::asio::io_context& loop, const clock_source& clock, std::string_view address,
                         exchange_handler handler)
    : clock_{clock}, handler_{std::move(handler)}, listener_{loop, address,
                                                             [this](std::shared_ptr<stream> connection) {
                                                                 adopt(std::move(connection));
                                                             }} {}

void http_server::adopt(std::shared_ptr<stream> connection) {
    const auto session = std::make_shared<http_session>(*this, std::move(connection));
    sessions_.insert(session);
    session->start();
}

void http_server::start_draining() {
    draining_ = true;
}

void http_server::sweep(time_point now) {
    const auto sessions = sessions_;
    for (const auto& session : sessions) {
        session->sweep(now);
    }
}

std::size_t http_server::open_exchanges() const {
    std::size_t count = 0;
    for (const auto& session : sessions_) {
        count += session->open_exchanges();
    }
    return count;
}

http_message own_response(unsigned status, std::string body) {
    http_message response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::move(body);
    return response;
}

} // namespace endive::sidecar
