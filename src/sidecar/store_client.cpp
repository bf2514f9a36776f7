#include "sidecar/store_client.h"

#include "sidecar/guard.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

constexpr duration connect_timeout = milliseconds{1000};
/// Time that the store holds a watch open without changes. The answer that comes then shows that the
/// connection works; each one is a billed call.
constexpr milliseconds watch_wait{700};
/// The same after a failed call, to learn soon that the store is available.
constexpr milliseconds probe_wait{20};
/// Time from the end of the wait to the first byte of the answer. The store normally answers in 4 ms, and up
/// to a hundred times slower when it is degraded.
constexpr duration watch_slack = milliseconds{700};
/// A watch whose answer has begun is not sent again while bytes arrive: a row of 1 MB takes seconds on a
/// loaded link.
constexpr duration watch_stall_timeout = milliseconds{2000};
constexpr duration watch_total_timeout = std::chrono::seconds{30};
constexpr call_timeouts read_timeouts{milliseconds{1500}, milliseconds{1500}, milliseconds{3000}};
/// A connection without calls for longer is replaced before the next one.
constexpr duration max_idle_time = milliseconds{1000};
/// After a longer time without a tick, such as a pause of the process, bytes that arrived meanwhile are read
/// before a call is ended.
constexpr duration max_tick_gap = milliseconds{500};
/// Delay of the next watch after a change. Changes in quick succession are received with one call, and each
/// is active well within the limit of two seconds.
constexpr milliseconds pause_after_change{400};
/// Time in which the first bytes of an answer that the store already has arrive, or its next bytes.
constexpr duration answer_timeout = milliseconds{300};
/// Wait of the first watch after such a delay, if it has to be shown equally often that a row is current.
constexpr milliseconds min_watch_wait = watch_wait - pause_after_change;
constexpr duration min_retry_delay = milliseconds{150};
/// The end of an outage is not announced, and entries must be restored within two seconds after it.
constexpr duration max_retry_delay = milliseconds{700};

/// Maximum size of an answer. A page of rows has 1 MB of values at most, which its encoding enlarges.
constexpr std::uint64_t max_answer_bytes = 8UL * 1024 * 1024;

constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

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

table_follower::table_follower(boost::asio::io_context& loop, const clock_source& clock,
                               counter_set& counters, std::string_view store, std::string table,
                               std::function<void(const std::vector<mesh::store_row>&)> on_rows,
                               std::function<void(bool)> on_health)
    : clock_{clock}, counters_{counters}, connection_{loop, clock, store}, pause_timer_{loop},
      table_{std::move(table)}, on_rows_{std::move(on_rows)}, on_health_{std::move(on_health)} {}

void table_follower::start() {
    if (std::exchange(active_, true)) {
        return;
    }
    ++starts_;
    healthy_.reset();
    retry_delay_ = duration{0};
    if (version_ == 0) {
        read({});
    } else {
        watch(watch_wait);
    }
}

void table_follower::stop() {
    if (!std::exchange(active_, false)) {
        return;
    }
    pausing_ = false;
    first_page_version_.reset();
    pause_timer_.cancel();
    connection_.drop();
}

void table_follower::set_available() {
    if (healthy_ != true) {
        healthy_ = true;
        log(event::store_regained, {{"table", table_}});
        on_health_(true);
    }
    retry_delay_ = duration{0};
}

void table_follower::set_lost(std::string_view call, const store_answer& answer) {
    if (healthy_ != false) {
        healthy_ = false;
        log(event::store_lost,
            {{"table", table_},
             {"call", call},
             {"status", answer.status},
             {"waited_ms", std::chrono::duration_cast<milliseconds>(answer.waited).count()},
             {"received_bytes", answer.received_bytes}});
        on_health_(false);
    }
}

void table_follower::retry(std::string_view call, const store_answer& answer, std::function<void()> step) {
    set_lost(call, answer);
    retry_delay_ = std::clamp(retry_delay_ * 2, min_retry_delay, max_retry_delay);
    schedule(retry_delay_, std::move(step));
}

void table_follower::schedule(duration pause, std::function<void()> step) {
    pausing_ = true;
    pause_timer_.expires_after(pause);
    pause_timer_.async_wait([this, start = starts_, step = std::move(step)](error_code code) {
        if (!code && active_ && start == starts_) {
            pausing_ = false;
            step();
        }
    });
}

bool table_follower::update_era(std::uint32_t era) {
    const auto before = std::exchange(era_, era);
    if (!before || *before == era) {
        return false;
    }
    log(event::store_restored, {{"table", table_}, {"era", era}, {"era_before", *before}});
    counters_.add("store_restored");
    version_ = 0;
    first_page_version_.reset();
    return true;
}

void table_follower::read(const std::string& from) {
    counters_.add("store_reads");
    connection_.call(platform_wire::read_rows(table_, from), read_timeouts,
                     [this, from](const store_answer& answer) {
                         if (active_) {
                             on_read(from, answer);
                         }
                     });
}

void table_follower::on_read(const std::string& from, const store_answer& answer) {
    if (answer.status != status_ok) {
        retry("read", answer, [this, from] { read(from); });
        return;
    }
    try {
        const auto page = platform_wire::decode_rows(answer.body, answer.era);
        set_available();
        if (update_era(answer.era) && !from.empty()) {
            read({}); // the pages before this one are of another era
            return;
        }
        // The watch starts at the version of the first page, so it repeats changes made since then.
        if (!first_page_version_) {
            first_page_version_ = page.version;
            read_sent_ = answer.sent;
            proven_version_ = 0;
        }
        continue_reading(page);
    } catch (const std::exception& cause) {
        log_malformed_answer(table_, cause);
        retry("read", answer, [this, from] { read(from); });
    }
}

/// While the store answers late, shorter watches show equally often that a row is current.
milliseconds table_follower::next_wait() const {
    if (!on_current_) {
        return watch_wait;
    }
    const auto delay = std::chrono::duration_cast<milliseconds>(answer_delay_);
    return std::clamp(watch_wait - delay, min_watch_wait, watch_wait);
}

void table_follower::continue_reading(const platform_wire::rows_page& page) {
    record_proven_row(page.rows);
    on_rows_(page.rows);
    if (page.has_more && !page.rows.empty()) {
        read(page.rows.back().key + '\x01');
        return;
    }
    version_ = *std::exchange(first_page_version_, std::nullopt);
    report_current(read_sent_);
    watch(watch_wait);
}

void table_follower::record_proven_row(const std::vector<mesh::store_row>& rows) {
    for (const auto& row : rows) {
        if (row.key == proven_key_) {
            proven_version_ = row.removed ? 0 : row.version;
        }
    }
}

void table_follower::report_current(time_point sent) {
    if (on_current_ && proven_version_ != 0) {
        on_current_(sent, proven_version_);
    }
}

bool table_follower::is_delivering() const {
    return pausing_ || clock_.now() - connection_.last_progress() < answer_timeout;
}

void table_follower::watch(milliseconds wait) {
    counters_.add("store_watches");
    wait = healthy_ == false ? probe_wait : wait;
    connection_.call(platform_wire::watch_rows(table_, version_, wait),
                     call_timeouts{wait + watch_slack, watch_stall_timeout, watch_total_timeout},
                     [this, wait](const store_answer& answer) {
                         if (active_) {
                             on_watched(answer, wait);
                         }
                     });
}

void table_follower::on_watched(const store_answer& answer, milliseconds wait) {
    if (answer.status == status_gone) {
        log(event::store_history_gone, {{"table", table_}, {"after", version_}});
        (void)update_era(answer.era);
        read({});
        return;
    }
    if (answer.status != status_ok) {
        retry("watch", answer, [this] { watch(watch_wait); });
        return;
    }
    if (update_era(answer.era)) {
        // The store may have assigned `version_` again, so the changes before it are unknown.
        read({});
        return;
    }
    try {
        const auto page = platform_wire::decode_rows(answer.body, answer.era);
        set_available();
        if (page.rows.empty()) {
            answer_delay_ = std::max(duration{0}, answer.waited - wait);
        }
        continue_watching(page, answer.sent);
    } catch (const std::exception& cause) {
        log_malformed_answer(table_, cause);
        retry("watch", answer, [this] { read({}); });
    }
}

void table_follower::continue_watching(const platform_wire::rows_page& page, time_point sent) {
    version_ = std::max(version_, page.version);
    record_proven_row(page.rows);
    if (!page.rows.empty()) {
        on_rows_(page.rows);
    }
    if (!page.has_more) {
        report_current(sent);
    }
    if (page.rows.empty()) {
        watch(next_wait());
        return;
    }
    const auto wait = on_current_ ? min_watch_wait : watch_wait;
    schedule(pause_after_change, [this, wait] { watch(wait); });
}

} // namespace endive::sidecar
