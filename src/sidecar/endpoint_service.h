#pragma once
// Runs requests at the backend server beside this daemon: admission, deadlines, identity, evidence.

#include "sidecar/call_target.h"
#include "sidecar/endpoint_client.h"
#include "sidecar/settings.h"

namespace endive::sidecar {

/// Not thread safe.
class endpoint_service final : public call_target {
public:
    endpoint_service(boost::asio::io_context& loop, const clock_source& clock, counter_set& counters,
                     const sidecar_settings& settings);
    /// Called whenever what others must know of the endpoint has changed.
    void on_change(std::function<void()> handler) { changed_ = std::move(handler); }

    std::uint64_t execute(call_message call, reply_handler done) override;
    void cancel(std::uint64_t id) override;

    /// Applies a change to the tracker and lets the gate follow.
    void update(const std::function<void(mesh::endpoint_tracker&)>& change);
    [[nodiscard]] const mesh::endpoint_tracker& tracker() const { return tracker_; }
    /// The daemon shuts down at `end`: nothing starts that may last longer.
    void set_end(time_point end) { end_ = end; }
    /// The version of this endpoint has been replaced: nothing new starts.
    void set_retired(bool retired);
    [[nodiscard]] mesh::endpoint_load load() const { return gate_.load(); }
    [[nodiscard]] std::size_t open_jobs() const { return jobs_.size(); }
    [[nodiscard]] const std::vector<mesh::version_evidence>& evidence() const { return evidence_; }
    /// Asks the endpoint for its identity when no heartbeat has named it yet.
    void probe(const std::string& health_path);
    /// Deadlines and hopeless requests. Call every few tens of milliseconds.
    void tick(time_point now);
    void sweep(time_point now);

private:
    struct job;
    void apply(const std::vector<mesh::gate_action>& actions);
    void start(const std::shared_ptr<job>& item);
    void on_result(const std::shared_ptr<job>& item, endpoint_result result);
    void reply(const std::shared_ptr<job>& item, reply_message message);
    void refuse(const std::shared_ptr<job>& item, mesh::reason why, duration retry_after);
    void leave_gate(const std::shared_ptr<job>& item, std::optional<duration> service_time);
    void log_call(const job& item, const reply_message& message) const;
    void record(const job& item, bool failed, duration latency);
    void follow_tracker();
    [[nodiscard]] bool may_start() const { return tracker_.is_ready() && !retired_; }
    /// Why nothing new starts. Precondition: `may_start()` does not hold or the end is near.
    [[nodiscard]] mesh::reason standstill_reason() const;

    const clock_source& clock_;
    counter_set& counters_;
    mesh::endpoint_tracker tracker_;
    mesh::endpoint_gate gate_;
    endpoint_client client_;
    std::function<void()> changed_;
    std::uint64_t seen_revision_ = 0;
    std::string current_endpoint_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<job>> jobs_;
    std::vector<mesh::version_evidence> evidence_;
    std::uint32_t connect_failures_ = 0;
    bool probing_ = false;
    std::optional<time_point> end_;
    bool retired_ = false;
};

} // namespace endive::sidecar
