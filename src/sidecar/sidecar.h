#pragma once
// The daemon that runs beside one backend server. Owns all components, which share one event loop.

#include "sidecar/departure_answers.h"
#include "sidecar/forwarder.h"
#include "sidecar/store_client.h"
#include "sidecar/store_era.h"

namespace endive::sidecar {

/// Not thread safe; used only from the event loop's thread.
class sidecar {
public:
    /// Opens all listening ports. Throws `error` with a `settings_*` code.
    sidecar(boost::asio::io_context& loop, const clock_source& clock, sidecar_settings settings);
    ~sidecar();
    /// Starts reading the store, publishing this daemon's member record and the timers; the work is done by
    /// the event loop.
    void start();
    /// Accepts no new work, finishes open requests and stops the event loop.
    void stop();

private:
    void limit_buffers();
    void on_readiness_call(const std::shared_ptr<exchange>& request);
    void on_announcement(const std::shared_ptr<exchange>& request);
    void on_heartbeat(const std::shared_ptr<exchange>& request, const std::string& endpoint_id);
    void on_deregister(const std::shared_ptr<exchange>& request, const std::string& endpoint_id);
    void on_metrics(const std::shared_ptr<exchange>& request);
    /// Applies a row; `via` is the delta that it was made with, if any.
    void on_row(const mesh::store_row& row, const mesh::row_delta* via = nullptr);
    void on_operator_row(const mesh::store_row& row);
    void on_own_row(const mesh::store_row& row);
    /// The store's steady clock, which all daemons share and which no step of the wall clock changes; empty
    /// before the first answer of the store.
    [[nodiscard]] std::optional<duration> store_time() const;
    void on_member_update(const mesh::member& about);
    void on_configuration(const mesh::store_row& row);
    void publish_self();
    void write_self();
    void write_due_statuses(time_point now);
    void write(const mesh::store_row& row, std::uint64_t expected, std::function<void(bool written)> done);
    void observe_era(std::uint32_t era);
    void load_table(const std::string& table, const std::string& from);
    [[nodiscard]] std::vector<mesh::store_row> row_heads() const;
    [[nodiscard]] std::vector<std::string> evaluators_of(const std::string& service) const;
    void advance_rollouts(time_point now);
    void update_contact(time_point now);
    void send_evidence(const std::string& service);
    void report_malformed(const mesh::store_row& row, std::string_view place, std::string_view reason);
    void on_store_health(bool healthy);
    void select_readers(time_point now);
    [[nodiscard]] bool is_meeting(time_point now) const;
    /// Answers a report of the endpoint; one that has left gets its answer once that is stored.
    void answer_report(const std::shared_ptr<exchange>& request, const std::string& endpoint_id);
    [[nodiscard]] bool is_departure_stored() const;
    [[nodiscard]] bool needs_member_row() const;
    [[nodiscard]] const mesh::store_row* own_member_row() const;
    /// What the own member row says; empty without one that can be read.
    [[nodiscard]] std::optional<mesh::member> stored_member() const;
    [[nodiscard]] mesh::missing_rows::store_timeouts store_timeouts() const;
    void on_row_update(const mesh::store_row& row, time_point now);
    void compare_rows(time_point now);
    void log_summary(time_point now);
    void remove_expired(time_point now);
    void tick();
    void record_loop_delay(time_point now);
    void slow_tick(time_point now);
    void finish_stop(time_point now);
    /// Rank of this daemon among the connected ones for a duty, a task that one daemon performs for all. The
    /// daemon with rank 0 performs it first.
    [[nodiscard]] std::size_t duty_rank(std::string_view duty) const;

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    sidecar_settings settings_;
    counter_set counters_;
    mesh::row_replica rows_;
    mesh::row_changes row_changes_;
    mesh::reader_selection readers_;
    key_proofs key_proofs_;
    authentication authentication_;
    endpoint_service local_;
    rollouts rollouts_;
    peer_set peers_;
    quota_service quota_;
    forwarder forwarder_;
    http_server callers_;
    http_server readiness_;
    http_server announcements_;
    std::unique_ptr<http_server> metrics_;
    table_follower operator_rows_;
    store_connection store_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<const mesh::route_index> routes_;
    mesh::member self_;
    departure_answers departure_answers_{counters_};
    std::optional<time_point> members_requested_; ///< when a read of the members first ended
    bool members_loaded_ = false;
    store_era era_;
    std::optional<duration> store_clock_offset_; ///< of the store's clock to this daemon's
    bool statuses_requested_ = false;
    bool statuses_loaded_ = false;
    bool store_available_ = false;
    bool writing_self_ = false;
    time_point started_{};
    time_point next_self_write_{};
    time_point next_member_read_{};
    std::set<std::string> writing_; ///< duties with a write in progress
    std::map<std::string, time_point> duty_since_;
    std::shared_ptr<std::uint64_t> received_bytes_ = std::make_shared<std::uint64_t>(0);
    mesh::link_meter link_meter_;
    std::optional<time_point> next_tick_; ///< when the timer of the ticks expires
    duration longest_loop_delay_{0};      ///< since the last summary
    mesh::load_reporter load_reports_;
    bool published_accepting_ = true;
    time_point next_slow_tick_{};
    std::optional<time_point> stopping_since_;
    time_point work_end_; ///< when work that is left in a stop is ended, early enough to deliver the answers
    std::optional<time_point> idle_since_; ///< while stopping
    std::vector<mesh::rollout_progress> published_progress_;
    time_point next_evidence_{};
    mesh::majority_contact contact_;
    time_point next_link_check_{};
    std::uint64_t reported_failures_ = 0;
    time_point next_summary_{};
    std::map<std::string, std::uint64_t> summarized_;
    time_point next_progress_{};
    time_point next_comparison_{};
    time_point last_row_update_{};
    std::uint64_t comparisons_ = 0;
    time_point next_reader_selection_{};
    time_point next_reading_report_{};
    bool readers_started_ = false;
};

} // namespace endive::sidecar
