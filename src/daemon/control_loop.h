#pragma once
/// The control thread: owns `control_node` and the moves, executes their actions, and publishes immutable
/// views.

#include "daemon/move_control.h"
#include "daemon/observation_buffer.h"
#include "daemon/settings.h"
#include "daemon/task_queue.h"

#include "endive/backends.h"
#include "endive/distribution.h"
#include "endive/peers.h"

#include <future>

namespace endive::daemon {

/// State that the request path reads; replaced as a whole.
struct control_view {
    std::shared_ptr<const model::routing_table> table; ///< null until the first configuration
    std::vector<model::endpoint_info> endpoints;
    std::vector<model::traffic_split> splits;
    std::size_t live_daemons = 1;
    bool ready = false;
};

/// Receives each new view, on the control thread.
class view_listener {
public:
    view_listener() = default;
    view_listener(const view_listener&) = delete;
    view_listener& operator=(const view_listener&) = delete;
    virtual ~view_listener() = default;
    virtual void on_view(const control_view& view) = 0;
    /// The process was paused: work that relied on uninterrupted time is void.
    virtual void on_paused() = 0;
};

/// Copy of the control state for operators.
struct control_status {
    distribution::config_status config;
    distribution::convergence_status convergence;
    distribution::ownership_status ownership;
    distribution::control_stats stats;
    std::vector<distribution::member_record> members;
    std::vector<model::endpoint_info> endpoints;
    std::vector<moves::move_row> moves;
    std::string not_ready_reason;
};

/// What the loop works with; all outlive it.
struct control_dependencies {
    clock_source& clock;
    platform::table_store& table;
    platform::object_store& objects;
    counter_set& counters;
    observation_buffer& observations;
    view_listener& views;
};

/// Runs the control thread. Public members are thread safe.
class control_loop final : private peers::transport_listener, private move_effects {
public:
    control_loop(const daemon_settings& settings, control_dependencies dependencies);
    ~control_loop() override;

    void start();
    /// Announces leaving and gives the announcement time to spread to the neighbours.
    void leave();
    /// Joins all threads. Idempotent.
    void stop();

    /// Accepts a part; the future holds the result. The wait is bounded by the platform's time-outs.
    std::future<distribution::submit_finished> submit(model::team_part part, std::uint64_t precondition,
                                                      std::string idempotency_key);
    /// An announcement of the local backend server, as checked JSON.
    void announce(std::string body);
    void publish_all(std::vector<moves::record> records);
    /// Throws `not_ready` when the control thread does not answer within a second.
    [[nodiscard]] control_status status();
    [[nodiscard]] std::shared_ptr<const model::routing_table> active() const;
    [[nodiscard]] const latency_histogram& convergence_times() const { return convergence_times_; }
    [[nodiscard]] peers::transport_stats transport_stats() const;

private:
    // transport_listener, on the I/O thread
    void on_link_up(const distribution::member_id& member, std::uint64_t incarnation, bool dialed) override;
    void on_link_down(const distribution::member_id& member, result_code reason) override;
    void on_message(const distribution::member_id& from, distribution::message content) override;
    void on_relay(const distribution::member_id& from, peers::relay_message content) override;
    // move_effects, on the control thread
    void publish(const distribution::replicated_record& record) override;
    void publish_evidence(std::vector<distribution::counter_vector> increments) override;
    void write_move_row(const moves::write_row& request) override;
    void read_move_row(const moves::read_row& request) override;
    void list_move_rows() override;
    void splits_changed() override { view_stale_ = true; }

    void run();
    void on_tick();
    void post_event(distribution::event input);
    void queue_event(distribution::event input) { pending_.push_back(std::move(input)); }
    void handle_pending();
    void renew_incarnation();
    void execute(distribution::action& action);
    void execute_platform(const distribution::action& action);
    void run_platform(std::uint64_t request_id, std::function<void(distribution::platform_result&)> work);
    void finish_submit(const distribution::submit_finished& result);
    void apply(const distribution::apply_snapshot& action);
    void track_convergence();
    /// Copies byte counts and processor time into the counters that the metrics show.
    void publish_counters();
    void publish_view();
    [[nodiscard]] control_status collect_status();

    daemon_settings settings_;
    control_dependencies dependencies_;
    std::uint64_t incarnation_;
    task_queue queue_;
    worker_pool platform_workers_;
    distribution::control_node node_;
    move_control moves_;
    backends::endpoint_registry registry_;
    std::unique_ptr<peers::peer_transport> transport_;
    std::deque<distribution::event> pending_;
    std::map<std::uint64_t, std::promise<distribution::submit_finished>> submits_;
    std::uint64_t next_submit_ = 1;
    std::atomic<std::shared_ptr<const model::routing_table>> active_;
    latency_histogram convergence_times_;
    struct convergence_probe {
        std::uint64_t version = 0;
        time_point accepted;
    };
    std::optional<convergence_probe> convergence_probe_;
    bool ready_ = false;
    std::string not_ready_reason_ = "starting";
    bool view_stale_ = false;
    std::atomic<duration::rep> control_cpu_ns_{0};
    std::thread thread_;
};

} // namespace endive::daemon
