#pragma once
// Runs requests at the daemon's own backend server: admission control, deadlines, endpoint identity and
// rollout evidence.

#include "sidecar/call_target.h"
#include "sidecar/endpoint_client.h"
#include "sidecar/request_costs.h"
#include "sidecar/settings.h"
#include "sidecar/tenant_counts.h"

namespace endive::sidecar {

/// Not thread safe.
class endpoint_service final : public call_target {
public:
    endpoint_service(boost::asio::io_context& loop, const clock_source& clock, counter_set& counters,
                     const sidecar_settings& settings);
    /// `handler` is called whenever the endpoint's published state has changed.
    void on_change(std::function<void()> handler) { on_change_ = std::move(handler); }

    using key_check = std::function<mesh::reason(std::uint64_t key_digest, std::string_view tenant)>;
    /// `check` tells whether a call may start as far as its key is concerned: `none`, or why not. It is
    /// called immediately before a call is sent to the endpoint, and on arrival.
    void on_key_check(key_check check) { check_key_ = std::move(check); }

    std::uint64_t execute(call_message call, reply_handler done) override;
    bool cancel(std::uint64_t id) override;

    /// Applies a change to the tracker and updates the gate accordingly.
    void update(const std::function<void(mesh::endpoint_tracker&)>& change);
    [[nodiscard]] const mesh::endpoint_tracker& tracker() const { return tracker_; }
    /// The daemon shuts down at `end`: requests with a later deadline are refused, those in the queue at
    /// once.
    void set_stop_deadline(time_point end);
    /// Sets whether the version of this endpoint has been replaced. A retired endpoint starts no requests.
    void set_retired(bool retired);
    [[nodiscard]] mesh::endpoint_load load() const;
    /// Charges requests and responses to `memory`. While `is_congested` returns true, responses wait at the
    /// endpoint. Call before the first request.
    void set_memory(const process_memory& memory, std::function<bool()> is_congested);
    /// Sets the use of the VM's network link, which is reported with the load.
    void set_link_use(double use) { link_use_ = use; }
    /// Share of repeated requests among the latest runs.
    [[nodiscard]] double repeat_share() const { return repeats_.share(); }
    /// Costs of the requests that this daemon sends to any endpoint.
    [[nodiscard]] caller_costs& sent_costs() { return sent_costs_; }
    [[nodiscard]] const endpoint_costs& costs() const { return costs_; }
    /// Refused calls by tenant.
    [[nodiscard]] const tenant_counts& refused_tenants() const { return refused_tenants_; }
    [[nodiscard]] std::size_t open_jobs() const { return jobs_.size(); }
    [[nodiscard]] const std::vector<mesh::version_evidence>& evidence() const { return evidence_; }
    /// Queries the endpoint's health path for its identity while no heartbeat has reported it.
    void probe(const std::string& health_path);
    /// Ends requests whose deadline has passed and refuses queued ones that can no longer meet theirs. Call
    /// every few tens of milliseconds.
    void tick(time_point now);
    /// Closes connections whose idle timeout has expired. Call a few times per second.
    void sweep(time_point now);

private:
    struct job;
    void apply(std::vector<mesh::gate_action> actions);
    void start(const std::shared_ptr<job>& item);
    [[nodiscard]] mesh::reason key_refusal(const job& item) const;
    void on_result(const std::shared_ptr<job>& item, endpoint_result result);
    void reply(const std::shared_ptr<job>& item, reply_message message);
    void refuse(const std::shared_ptr<job>& item, mesh::reason why, duration retry_after);
    [[nodiscard]] std::optional<duration> unfinished_service_time(const job& item) const;
    void release_slot(const std::shared_ptr<job>& item, std::optional<duration> service_time);
    void log_unanswered(const job& item, const reply_message& message) const;
    void record_evidence(const job& item, bool failed, duration latency);
    void apply_tracker_state();
    /// Takes the load that the endpoint reported with a response, and updates the gate by it.
    void take_report(const http_message& response);
    /// Updates what the gate knows of the endpoint's slots and pace.
    void refresh_gate();
    [[nodiscard]] bool may_start() const { return tracker_.is_ready() && !retired_; }
    /// Why new requests are refused. Precondition: `may_start()` is false or the stop deadline is too close.
    [[nodiscard]] mesh::reason not_starting_reason() const;

    const clock_source& clock_;
    counter_set& counters_;
    mesh::endpoint_tracker tracker_;
    mesh::endpoint_gate gate_;
    mesh::repeat_meter repeats_;
    endpoint_costs costs_;
    caller_costs sent_costs_;
    tenant_counts refused_tenants_;
    endpoint_client client_;
    std::function<void()> on_change_;
    key_check check_key_;
    std::uint64_t applied_revision_ = 0;
    std::string current_endpoint_;
    std::uint64_t next_id_ = 1;
    std::map<std::uint64_t, std::shared_ptr<job>> jobs_;
    std::vector<mesh::version_evidence> evidence_;
    std::uint32_t connect_failures_ = 0;
    struct health_check {
        std::uint64_t client_id = 0;
        time_point deadline;
    };
    std::optional<health_check> probe_; ///< set while the endpoint is being queried
    std::optional<time_point> stop_deadline_;
    bool retired_ = false;
    double link_use_ = 0;
    process_memory memory_;
};

} // namespace endive::sidecar
