#pragma once
// Client of the platform's metadata store: one connection watches for changes, another carries all other
// calls.

#include "platform/wire.h"

#include "sidecar/http_message.h"
#include "sidecar/stream.h"

namespace endive::sidecar {

/// Status 0 means that there was no response; the call may have been performed.
struct store_answer {
    unsigned status = 0;
    std::string body;
    duration waited{0};             ///< since the call was sent or its connection was opened
    std::size_t received_bytes = 0; ///< of the response, which may be incomplete
    std::uint32_t era = 0;          ///< of the store, see `mesh::row_version`
    time_point sent{};              ///< no later than the call was sent
};
using store_callback = std::function<void(store_answer)>;

/// Logs an answer of the store that could not be handled.
void log_malformed_answer(std::string_view table, const std::exception& cause);

/// Times after which a call counts as unanswered.
struct call_timeouts {
    duration first_byte{0}; ///< until the first byte of the answer
    duration stall{0};      ///< between bytes of the answer
    duration total{0};
    friend auto operator<=>(const call_timeouts&, const call_timeouts&) = default;
};

/// One connection to the store; calls are queued and sent one at a time. A connection that was idle for long
/// is not used again, since it may have gone silent. Not thread safe.
class store_connection {
public:
    store_connection(boost::asio::io_context& loop, const clock_source& clock, std::string_view address);
    void call(platform_wire::store_call call, const call_timeouts& timeouts, store_callback done);
    void call(platform_wire::store_call call, duration timeout, store_callback done) {
        this->call(std::move(call), call_timeouts{timeout, timeout, timeout}, std::move(done));
    }
    /// Ends the current call when it is overdue; its callback gets status 0. Call about every 100 ms.
    void tick(time_point now);
    /// Aborts the current call; its callback gets status 0.
    void drop();
    /// Start of the current call, or the time of the last byte of its response.
    [[nodiscard]] time_point last_progress() const { return last_progress_; }
    /// Bytes of the current response.
    [[nodiscard]] std::size_t received_bytes() const { return received_bytes_; }

private:
    struct pending_call {
        platform_wire::store_call call;
        call_timeouts timeouts;
        store_callback done;
    };
    void next();
    void send_current();
    void on_data(std::string_view bytes);
    void finish(store_answer answer, bool reusable);

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    std::string host_;
    tcp::endpoint address_;
    std::shared_ptr<stream> connection_;
    time_point idle_since_{}; ///< end of the last call
    time_point last_tick_{};
    std::string input_;
    std::unique_ptr<response_reader> reader_;
    std::optional<pending_call> current_;
    time_point last_progress_{};
    time_point started_{};           ///< start of the current call
    std::size_t received_bytes_ = 0; ///< of the response to the current call
    std::deque<pending_call> queue_;
    std::uint64_t generation_ = 0; ///< identifies the current call, so that late events are ignored
};

/// Follows one table of the store: reads all rows, then watches for changes. The store answers each watch
/// after a short time, with or without changes: an unanswered one shows that the store or the connection is
/// lost. Not thread safe.
class table_follower {
public:
    /// `on_rows` receives the initial rows and later changes; `on_health` is called each time the store
    /// becomes available or unavailable.
    table_follower(boost::asio::io_context& loop, const clock_source& clock, counter_set& counters,
                   std::string_view store, std::string table,
                   std::function<void(const std::vector<mesh::store_row>&)> on_rows,
                   std::function<void(bool)> on_health);
    /// `on_current` is called after an answer has shown that `version` was the newest version of the row with
    /// this key when the read or watch was sent, at `sent`. An answer that shows no such row proves nothing.
    /// Watches after a change, and while the store answers late, are then shorter, so that this is
    /// shown equally often.
    void prove(std::string key, std::function<void(time_point sent, std::uint64_t version)> on_current) {
        proven_key_ = std::move(key);
        on_current_ = std::move(on_current);
    }
    /// Begins to follow the table, or continues where it stopped.
    void start();
    /// Ends the open call; nothing is delivered until the next start.
    void stop();
    [[nodiscard]] bool is_active() const { return active_; }
    /// True while active and the last call succeeded.
    [[nodiscard]] bool is_healthy() const { return active_ && healthy_ == true; }
    /// True while the next read or watch is delayed, its answer is arriving or may be on the way.
    [[nodiscard]] bool is_delivering() const;
    /// Ends an overdue call, so that the next one uses a new connection. Call about every 100 ms.
    void tick(time_point now) { connection_.tick(now); }

private:
    void read(const std::string& from);
    void on_read(const std::string& from, const store_answer& answer);
    void watch(milliseconds wait);
    void on_watched(const store_answer& answer, milliseconds wait);
    void continue_reading(const platform_wire::rows_page& page);
    void continue_watching(const platform_wire::rows_page& page, time_point sent);
    /// True when the store has been restored since the last answer, so that `version_` means nothing.
    [[nodiscard]] bool update_era(std::uint32_t era);
    [[nodiscard]] milliseconds next_wait() const;
    void record_proven_row(const std::vector<mesh::store_row>& rows);
    void report_current(time_point sent);
    void retry(std::string_view call, const store_answer& answer, std::function<void()> step);
    void schedule(duration pause, std::function<void()> step);
    void set_available();
    void set_lost(std::string_view call, const store_answer& answer);

    const clock_source& clock_;
    counter_set& counters_;
    store_connection connection_;
    boost::asio::steady_timer pause_timer_;
    std::string table_;
    std::function<void(const std::vector<mesh::store_row>&)> on_rows_;
    std::function<void(bool)> on_health_;
    std::uint64_t version_ = 0;        ///< of the store in this era
    std::optional<std::uint32_t> era_; ///< empty before the first answer
    bool active_ = false;
    std::uint64_t starts_ = 0; ///< tells a timer of an earlier start from the current one
    std::optional<std::uint64_t> first_page_version_;
    time_point read_sent_{}; ///< of the first page
    std::string proven_key_;
    std::function<void(time_point, std::uint64_t)> on_current_;
    /// Version of the row with that key as this follower has read it; 0 without one.
    std::uint64_t proven_version_ = 0;
    duration retry_delay_{0};
    bool pausing_ = false;
    duration answer_delay_{0};    ///< of the last watch that ended without a change, beyond its wait
    std::optional<bool> healthy_; ///< empty before the first answer since the start
};

} // namespace endive::sidecar
