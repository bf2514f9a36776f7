#pragma once
// The daemon beside one backend server: owns every part and the one event loop.

#include "sidecar/forwarder.h"
#include "sidecar/store_client.h"

namespace endive::sidecar {

/// Not thread safe; the event loop's thread owns it.
class sidecar {
public:
    /// Opens all ports. Throws `error` with a `settings_*` code.
    sidecar(boost::asio::io_context& loop, const clock_source& clock, sidecar_settings settings);
    ~sidecar();
    /// Reads the store, enters this daemon and begins the timers; the loop does the rest.
    void start();
    /// Takes no new work, finishes what there is and ends the loop.
    void stop();

private:
    void on_ready_call(const std::shared_ptr<exchange>& request);
    void on_announcement(const std::shared_ptr<exchange>& request);
    void on_heartbeat(const std::shared_ptr<exchange>& request, const std::string& endpoint_id);
    void on_deregister(const std::shared_ptr<exchange>& request, const std::string& endpoint_id);
    void on_metrics(const std::shared_ptr<exchange>& request);
    void on_row(const mesh::store_row& row);
    void on_operator_row(const mesh::store_row& row);
    void on_own_row(const mesh::store_row& row);
    void on_member_news(const mesh::member& about);
    void on_configuration(const mesh::store_row& row);
    void publish_self();
    void write_self();
    void write_due_statuses(time_point now);
    void write(const mesh::store_row& row, std::uint64_t expected, std::function<void(bool written)> done);
    void load_table(const std::string& table, const std::string& from);
    [[nodiscard]] std::vector<mesh::store_row> row_heads() const;
    [[nodiscard]] std::vector<std::string> judges_of(const std::string& service) const;
    void advance_moves(time_point now);
    void tell_judges(const std::string& service);
    void on_peer_row(const mesh::store_row& row);
    [[nodiscard]] duration fetch_delay() const;
    void note_news(time_point now);
    void compare_rows(time_point now);
    void log_summary(time_point now);
    void remove_gone(time_point now);
    void tick();
    void slow_tick(time_point now);
    void finish_stop(time_point now);
    /// Position of this daemon among the live ones for a duty; 0 goes first.
    [[nodiscard]] std::size_t duty_rank(std::string_view duty) const;

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    sidecar_settings settings_;
    counter_set counters_;
    mesh::row_replica rows_;
    endpoint_service local_;
    rollouts moves_;
    peer_set peers_;
    forwarder forwarder_;
    http_server callers_;
    http_server readiness_;
    http_server announcements_;
    std::unique_ptr<http_server> metrics_;
    table_follower orders_;
    store_connection store_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<const mesh::route_index> routes_;
    mesh::member self_;
    std::uint64_t written_revision_ = 0; ///< of `self_`, in the store
    bool members_loaded_ = false;
    bool statuses_loaded_ = false;
    bool store_answers_ = false;
    bool writing_self_ = false;
    time_point started_{};
    time_point next_self_write_{};
    time_point next_member_read_{};
    std::set<std::string> writing_; ///< keys with a write under way
    std::map<std::string, time_point> duty_since_;
    mesh::endpoint_load spread_load_;
    time_point next_slow_tick_{};
    time_point next_load_{};
    std::optional<time_point> stopping_since_;
    std::optional<time_point> idle_since_; ///< while stopping
    std::vector<mesh::rollout_progress> told_progress_;
    time_point next_evidence_{};
    time_point next_summary_{};
    std::map<std::string, std::uint64_t> summarized_;
    time_point next_progress_{};
    time_point next_comparison_{};
    time_point last_news_{};
    std::uint64_t comparisons_ = 0;
};

} // namespace endive::sidecar
