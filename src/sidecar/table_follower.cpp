// Following of one table of the store.

#include "sidecar/store_client.h"

#include "sidecar/events.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

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
constexpr unsigned status_ok = 200;
constexpr unsigned status_gone = 410;

} // namespace

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
