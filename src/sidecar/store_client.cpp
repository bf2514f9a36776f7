#include "sidecar/store_client.h"

#include "sidecar/guard.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

constexpr duration connect_timeout = milliseconds{1000};
/// A connection without calls for longer is replaced before the next one.
constexpr duration max_idle_time = milliseconds{1000};
/// After a longer time without a tick, such as a pause of the process, bytes that arrived meanwhile are read
/// before a call is ended.
constexpr duration max_tick_gap = milliseconds{500};
/// Maximum size of an answer. A page of rows has 1 MB of values at most, which its encoding enlarges.
constexpr std::uint64_t max_answer_bytes = 8UL * 1024 * 1024;

} // namespace

void log_malformed_answer(std::string_view table, const std::exception& cause) {
    const auto* located = dynamic_cast<const error*>(&cause);
    log(event::store_answer_malformed, {{"table", table},
                                        {"place", located == nullptr ? std::string{} : located->location()},
                                        {"reason", cause.what()}});
}

store_connection::store_connection(boost::asio::io_context& loop, const clock_source& clock,
                                   std::string_view address)
    : loop_{loop}, clock_{clock}, host_{address}, address_{to_endpoint(address)} {}

void store_connection::call(platform_wire::store_call call, const call_timeouts& timeouts,
                            store_callback done) {
    queue_.push_back({std::move(call), timeouts, std::move(done)});
    next();
}

void store_connection::tick(time_point now) {
    const bool was_paused = now - std::exchange(last_tick_, now) > max_tick_gap;
    if (!current_ || was_paused) {
        return;
    }
    const auto& timeouts = current_->timeouts;
    const auto silent_for = now - last_progress_;
    if (silent_for >= (received_bytes_ == 0 ? timeouts.first_byte : timeouts.stall) ||
        now - started_ >= timeouts.total) {
        finish({}, false);
    }
}

void store_connection::next() {
    if (current_ || queue_.empty()) {
        return;
    }
    current_ = std::move(queue_.front());
    queue_.pop_front();
    const auto generation = ++generation_;
    started_ = clock_.now();
    last_progress_ = started_;
    received_bytes_ = 0;
    if (connection_ && started_ - idle_since_ > max_idle_time) {
        connection_->close();
        connection_.reset();
    }
    if (connection_ && connection_->is_open()) {
        send_current();
        return;
    }
    connect_stream(loop_, address_, connect_timeout, [this, generation](std::shared_ptr<stream> connection) {
        const bool wanted = current_ && generation == generation_;
        if (!wanted) {
            if (connection) {
                connection->close();
            }
            return;
        }
        if (!connection) {
            finish({}, false);
            return;
        }
        connection_ = std::move(connection);
        input_.clear();
        reader_.reset();
        connection_->start(
            [this, via = connection_.get()](std::string_view bytes) {
                if (via == connection_.get()) {
                    on_data(bytes);
                }
            },
            [this, via = connection_.get()](stream_end) {
                if (via == connection_.get() && current_) {
                    finish({}, false);
                }
            });
        send_current();
    });
}

void store_connection::send_current() {
    http_message request;
    request.method = current_->call.method;
    request.target = current_->call.target;
    request.headers.push_back({"Host", host_});
    request.body = current_->call.body;
    if (!request.body.empty()) {
        request.headers.push_back({"Content-Type", "application/json"});
    }
    connection_->send(serialize_request_head(request) + request.body);
}

void store_connection::on_data(std::string_view bytes) {
    if (!current_) {
        connection_->close(); // data without an outstanding call
        return;
    }
    received_bytes_ += bytes.size();
    last_progress_ = clock_.now();
    input_.append(bytes);
    if (!reader_) {
        reader_ = std::make_unique<response_reader>(read_limits{.body_bytes = max_answer_bytes}, false);
    }
    const auto status = reader_->feed(input_);
    if (status == read_status::need_more) {
        return;
    }
    if (status != read_status::complete) {
        finish({}, false);
        return;
    }
    auto response = std::move(reader_->message());
    try {
        const auto era =
            platform_wire::decode_store_era(find_header(response.headers, platform_wire::store_era_header));
        finish({response.status, std::move(response.body), {}, 0, era},
               response.keep_alive && input_.empty());
    } catch (const error& cause) {
        log_malformed_answer({}, cause);
        finish({}, false);
    }
}

void store_connection::finish(store_answer answer, bool reusable) {
    reader_.reset();
    idle_since_ = clock_.now();
    answer.waited = idle_since_ - started_;
    answer.received_bytes = received_bytes_;
    answer.sent = started_;
    auto done = std::move(current_->done);
    current_.reset();
    if (!reusable && connection_) {
        connection_->close();
        connection_.reset();
    }
    run_guarded("answer of the store", [&] { done(answer); });
    next();
}

void store_connection::drop() {
    if (current_) {
        finish({}, false);
    }
}

} // namespace endive::sidecar
