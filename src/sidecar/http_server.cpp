#include "sidecar/http_server.h"

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

constexpr unsigned status_request_timeout = 408;

} // namespace

/// One connection of a caller.
class http_session : public std::enable_shared_from_this<http_session> {
public:
    http_session(http_server& server, std::shared_ptr<stream> connection)
        : server_{&server}, connection_{std::move(connection)}, since_{server.clock_.now()} {}

    void start() {
        connection_->start([self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                           [self = shared_from_this()](stream_end) { self->on_end(); });
    }

    void respond(http_message response) {
        if (current_ == nullptr) {
            return;
        }
        const bool head = current_->request().method == "HEAD";
        const bool close = !keep_alive_ || server_ == nullptr || server_->draining_;
        current_.reset();
        std::string bytes = serialize_response_head(response, close);
        constexpr std::size_t max_joined_bytes = 16UL * 1024;
        if (!head && response.body.size() <= max_joined_bytes) {
            bytes += response.body;
            connection_->send(std::move(bytes));
        } else {
            connection_->send(std::move(bytes));
            if (!head) {
                connection_->send(std::move(response.body));
            }
        }
        if (close) {
            end_after_response();
            return;
        }
        since_ = server_->clock_.now();
        reader_.reset();
        connection_->resume();
        parse();
    }

    void sweep(time_point now) {
        const auto& limits = server_->limits_;
        if (closing_) {
            if (now - since_ > linger_time) {
                drop();
            }
            return;
        }
        if (current_ != nullptr) {
            return;
        }
        const bool partial = reader_ && reader_->started();
        if (!partial && now - since_ > limits.idle_timeout + limit_slack) {
            drop();
        } else if (partial && !reader_->has_header() && now - since_ > limits.header_timeout + limit_slack) {
            reject(status_request_timeout, "the header took too long");
        }
    }

    void drop() {
        const auto self = shared_from_this();
        connection_->close();
        abandon_current();
        forget();
    }

    [[nodiscard]] bool busy() const { return current_ != nullptr; }
    void detach() { server_ = nullptr; }

private:
    void on_data(std::string_view bytes) {
        if (closing_ || server_ == nullptr) {
            return;
        }
        input_.append(bytes);
        parse();
    }

    void on_end() {
        abandon_current();
        forget();
    }

    /// Reads the next request when the last one is answered.
    void parse() {
        if (parsing_) {
            return;
        }
        parsing_ = true;
        while (server_ != nullptr && current_ == nullptr && !closing_ && !input_.empty()) {
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
            take(status);
        }
        parsing_ = false;
        if (current_ != nullptr && input_.size() > max_pipelined_bytes) {
            connection_->pause();
        }
    }

    void answer_expectation() {
        if (reader_->has_header() && reader_->message().expects_continue && !continued_) {
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
            keep_alive_ = reader_->message().keep_alive;
            continued_ = false;
            current_ = std::make_shared<exchange>(weak_from_this(), std::move(reader_->message()),
                                                  server_->clock_.now());
            const auto started = current_;
            server_->handler_(started);
        }
    }

    void reject(unsigned status, std::string why) {
        const auto response = own_response(status, std::move(why));
        connection_->send(serialize_response_head(response, true) + response.body);
        end_after_response();
    }

    void end_after_response() {
        closing_ = true;
        since_ = server_ == nullptr ? since_ : server_->clock_.now();
        connection_->finish_sending();
        connection_->resume();
    }

    void abandon_current() {
        if (current_ != nullptr) {
            const auto abandoned = std::exchange(current_, nullptr);
            abandoned->abandon();
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
    std::shared_ptr<exchange> current_;
    time_point since_; ///< of the idle time, the header or the closing
    bool keep_alive_ = true;
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
        session->respond(std::move(response));
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
    : acceptor_{loop}, clock_{clock}, handler_{std::move(handler)} {
    try {
        const auto endpoint = to_endpoint(address);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(tcp::acceptor::reuse_address{true});
        acceptor_.bind(endpoint);
        acceptor_.listen(boost::asio::socket_base::max_listen_connections);
    } catch (const boost::system::system_error& cause) {
        throw error{result_code::settings_port_unavailable,
                    "cannot listen on " + std::string{address} + ": " + cause.what()};
    }
    accept();
}

void http_server::accept() {
    acceptor_.async_accept([this](error_code code, tcp::socket socket) {
        if (code == boost::asio::error::operation_aborted) {
            return;
        }
        if (code) {
            log_event(log_level::warning, "accept_failed", {{"reason", code.message()}});
        } else {
            const auto session =
                std::make_shared<http_session>(*this, std::make_shared<stream>(std::move(socket)));
            sessions_.insert(session);
            session->start();
        }
        accept();
    });
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
    return static_cast<std::size_t>(std::count_if(sessions_.begin(), sessions_.end(),
                                                  [](const auto& session) { return session->busy(); }));
}

void http_server::close() {
    error_code ignored; // the process ends
    acceptor_.close(ignored);
    for (const auto& session : std::exchange(sessions_, {})) {
        session->detach();
        session->drop();
    }
}

http_message own_response(unsigned status, std::string body) {
    http_message response;
    response.status = status;
    response.headers.push_back({"Content-Type", "text/plain"});
    response.body = std::move(body);
    return response;
}

} // namespace endive::sidecar
