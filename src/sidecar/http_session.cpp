#include "sidecar/http_session.h"

#include "sidecar/guard.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Maximum bytes of pipelined requests that are buffered per connection; beyond it reading pauses and TCP
/// flow control slows the caller down.
constexpr std::size_t max_pipelined_bytes = 256UL * 1024;
/// While a connection has more undelivered response bytes than this, its next request is not handled.
constexpr std::size_t max_undelivered_at_dispatch = 256UL * 1024;
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
/// An empty input buffer larger than this is released, since connections stay open for long.
constexpr std::size_t max_kept_input_bytes = 4UL * 1024;
/// A body up to this size is sent in one piece with its head.
constexpr std::size_t max_joined_body_bytes = 16UL * 1024;

constexpr unsigned status_request_timeout = 408;
constexpr unsigned status_internal_error = 500;
constexpr unsigned status_unavailable = 503;

bool is_safe_method(std::string_view method) {
    return method == "GET" || method == "HEAD";
}

/// The response to a request that is not handled for lack of memory.
http_message memory_refusal() {
    auto response = own_response(status_unavailable, "memory\n");
    response.headers.push_back({"Retry-After", "0.300"});
    return response;
}

} // namespace

http_session::http_session(http_server& server, std::shared_ptr<stream> connection,
                           std::shared_ptr<client_address> address)
    : server_{&server}, connection_{std::move(connection)}, address_{std::move(address)},
      incomplete_{server.incomplete_}, ready_{address_->undelivered}, phase_start_{server.clock_.now()},
      last_active_{phase_start_}, last_read_{phase_start_}, queued_since_{phase_start_} {
    connection_->charge_queue(address_->undelivered);
}

void http_session::start() {
    connection_->on_sent([self = shared_from_this()] { self->on_sent(); });
    connection_->start([self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                       [self = shared_from_this()](stream_end) { self->on_end(); });
}

void http_session::respond(const exchange* which, http_message response) {
    const auto found = std::find_if(pending_.begin(), pending_.end(),
                                    [&](const pending& entry) { return entry.from.get() == which; });
    if (found == pending_.end()) {
        return;
    }
    const auto self = shared_from_this();
    found->response = std::move(response);
    flush();
    if (server_ != nullptr) {
        update_charges();
        server_->limit_undelivered(*address_);
    }
}

void http_session::sweep(time_point now) {
    if (server_ == nullptr) {
        return;
    }
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

client_facts http_session::facts(time_point now) const {
    const auto since = [&](time_point start) { return now - start; };
    return {.address = address_->address,
            .undelivered_bytes = undelivered_bytes(),
            .incomplete_bytes =
                reader_ && reader_->started() ? std::max<std::size_t>(1, incomplete_bytes()) : 0,
            .undelivered_for = since(queued_since_),
            .unread_for = since(last_read_),
            .silent_for = since(last_active_),
            .has_request = !pending_.empty(),
            .used = used_};
}

void http_session::reject_incomplete() {
    input_.clear();
    reader_.reset();
    deferred_.reset();
    if (pending_.empty()) {
        const auto response = memory_refusal();
        connection_->send(serialize_response_head(response, true) + response.body);
        end_after_response();
    } else {
        drop();
    }
}

void http_session::drop(bool reset) {
    const auto self = shared_from_this();
    if (reset) {
        connection_->abort();
    } else {
        connection_->close();
    }
    abandon_all();
    remove_session();
}

void http_session::on_data(std::string_view bytes) {
    if (closing_ || server_ == nullptr) {
        return;
    }
    const auto self = shared_from_this();
    last_active_ = server_->clock_.now();
    input_.append(bytes);
    parse();
    if (server_ != nullptr && !closing_) {
        update_charges();
        server_->limit_incomplete();
    }
}

/// The client has read some of its responses.
void http_session::on_sent() {
    if (server_ == nullptr) {
        return;
    }
    const auto now = server_->clock_.now();
    last_active_ = now;
    last_read_ = now;
    if (connection_->queued_bytes() < last_queued_) {
        queued_since_ = now;
    }
    last_queued_ = connection_->queued_bytes();
    if (pending_.empty() && !(reader_ && reader_->started())) {
        phase_start_ = now;
    }
    if (!closing_ && server_->reading_ && undelivered_bytes() <= max_undelivered_at_dispatch) {
        read_on();
    }
}

void http_session::on_end() {
    abandon_all();
    remove_session();
}

bool http_session::may_dispatch() const {
    if (undelivered_bytes() > max_undelivered_at_dispatch) {
        return false;
    }
    if (pending_.empty()) {
        return true;
    }
    const auto concurrent = server_->is_short() ? 1 : max_concurrent_requests;
    return pending_.size() < concurrent && pending_.back().from->request().keep_alive &&
           is_safe_method(pending_.back().from->request().method);
}

void http_session::parse() {
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
    if (server_ == nullptr) {
        return;
    }
    if (!may_dispatch() && input_.size() > max_pipelined_bytes) {
        connection_->pause();
    }
    if (input_.empty() && input_.capacity() > max_kept_input_bytes) {
        input_ = std::string{};
    }
}

/// Dispatches the deferred request, if any. One without a safe method waits until all earlier requests have
/// been answered.
void http_session::dispatch_deferred() {
    if (!deferred_ || (!pending_.empty() &&
                       (*deferred_ != read_status::complete || !is_safe_method(reader_->message().method)))) {
        return;
    }
    dispatch(*std::exchange(deferred_, std::nullopt));
}

void http_session::send_continue_if_expected() {
    const bool expected = reader_->has_header() && reader_->message().expects_continue;
    if (expected && !continued_ && pending_.empty()) {
        continued_ = true;
        connection_->send(std::string{"HTTP/1.1 100 Continue\r\n\r\n"});
    }
}

void http_session::dispatch(read_status status) {
    if (status == read_status::header_too_large) {
        reject(431, "the header is too large");
    } else if (status == read_status::body_too_large) {
        reject(413, "the body is too large");
    } else if (status == read_status::malformed) {
        reject(400, "not a valid HTTP/1.1 request");
    } else {
        continued_ = false;
        auto started = std::make_shared<exchange>(weak_from_this(), std::move(reader_->message()),
                                                  server_->clock_.now(), server_->process_.account);
        reader_.reset();
        used_ = true;
        update_charges();
        pending_.push_back({started, std::nullopt});
        if (server_->process_.is_full() && started->request().body.size() > max_small_message_bytes) {
            server_->count("clients_refused_memory");
            started->respond(memory_refusal());
            return;
        }
        if (!run_guarded("request", [&] { server_->handler_(started); }) && !started->finished()) {
            started->respond(own_response(status_internal_error, "internal error\n"));
        }
    }
}

void http_session::flush() {
    while (!pending_.empty() && pending_.front().response && !closing_) {
        auto entry = std::move(pending_.front());
        pending_.pop_front();
        const bool last = pending_.empty();
        const bool draining = server_ == nullptr || server_->draining_;
        const bool close = !entry.from->request().keep_alive || (draining && last);
        send(std::move(entry), close);
        if (close) {
            end_after_response();
            return;
        }
    }
    if (server_ == nullptr) {
        return;
    }
    phase_start_ = server_->clock_.now();
    last_active_ = phase_start_;
    if (server_->reading_) {
        read_on();
    }
}

void http_session::read_on() {
    connection_->resume();
    if (!parsing_) {
        dispatch_deferred();
        parse();
    }
}

void http_session::send(pending entry, bool close) {
    const bool head_only = entry.from->request().method == "HEAD";
    auto& response = *entry.response;
    auto bytes = serialize_response_head(response, close);
    const bool joined = response.body.size() <= max_joined_body_bytes;
    if (!head_only && joined) {
        bytes += response.body;
    }
    const bool was_empty = !connection_->sending();
    connection_->send(std::move(bytes));
    if (!head_only && !joined) {
        connection_->send(std::move(response.body));
    }
    last_queued_ = connection_->queued_bytes();
    if (was_empty && server_ != nullptr) {
        queued_since_ = server_->clock_.now();
        last_read_ = queued_since_;
    }
}

void http_session::reject(unsigned status, std::string why) {
    const auto response = own_response(status, std::move(why));
    connection_->send(serialize_response_head(response, true) + response.body);
    end_after_response();
}

void http_session::end_after_response() {
    closing_ = true;
    phase_start_ = server_ == nullptr ? phase_start_ : server_->clock_.now();
    abandon_all();
    input_ = std::string{};
    reader_.reset();
    update_charges();
    connection_->finish_sending();
    if (server_ == nullptr || server_->reading_) {
        connection_->resume();
    }
}

void http_session::abandon_all() {
    for (const auto& entry : std::exchange(pending_, {})) {
        entry.from->abandon();
    }
}

void http_session::remove_session() {
    incomplete_.set(0);
    ready_.set(0);
    if (server_ != nullptr) {
        const auto self = shared_from_this();
        std::exchange(server_, nullptr)->remove_session(self, *address_);
    }
}

/// Charges what the connection holds to the accounts.
void http_session::update_charges() {
    incomplete_.set(input_.size() + (reader_ ? reader_->message().body.size() : 0));
    std::size_t ready = 0;
    for (const auto& entry : pending_) {
        ready += entry.response ? entry.response->body.size() : 0;
    }
    ready_.set(ready);
}

} // namespace endive::sidecar
