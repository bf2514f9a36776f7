#pragma once
// Forwards callers' requests: selects route and endpoint, makes the attempts and sends the final response.

#include "sidecar/authentication.h"
#include "sidecar/events.h"
#include "sidecar/http_server.h"
#include "sidecar/peer_set.h"
#include "sidecar/quota_service.h"
#include "sidecar/rollouts.h"

namespace endive::sidecar {

/// Not thread safe.
class forwarder {
public:
    forwarder(const clock_source& clock, counter_set& counters, const sidecar_settings& settings,
              endpoint_service& local, peer_set& peers, rollouts& moves, const authentication& keys,
              quota_service& quota);
    void set_configuration(std::shared_ptr<const mesh::route_index> routes) { routes_ = std::move(routes); }
    /// The daemon stops at `stop` and ends its work at `end`. Requests with a later deadline are refused,
    /// except those that arrive shortly after `stop`.
    void set_stop_times(time_point stop, time_point end) { stop_ = {stop, end}; }
    void handle(const std::shared_ptr<exchange>& request);
    /// Ends requests whose deadline has passed. Call every few tens of milliseconds.
    void tick(time_point now);
    /// Answers all open requests, since the process is about to end, and cancels their attempts.
    void end_requests();
    [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
    /// Callers who were told when to come back and did not do so before their deadline.
    [[nodiscard]] std::uint64_t missed_reservations() const { return returns_.missed(); }
    /// Time from arrival to response, of requests that an endpoint answered.
    [[nodiscard]] const latency_histogram& latency() const { return latency_; }

private:
    struct active_request;
    struct endpoint_option;
    void begin(const std::shared_ptr<active_request>& item);
    void on_quota(const std::shared_ptr<active_request>& item, const tenants::quota_decision& decision);
    void charge_attempt(active_request& item);
    void settle_quota(active_request& item);
    /// Sends the request to the best endpoint; with `only_if_free` it does not wait there.
    void attempt(const std::shared_ptr<active_request>& item, bool only_if_free = false);
    [[nodiscard]] std::string version_in_use(std::span<const endpoint_option> options,
                                             const std::string& service) const;
    void select_version(std::vector<endpoint_option>& options, const active_request& item) const;
    [[nodiscard]] std::vector<endpoint_option> options_for(const active_request& item) const;
    /// Removes endpoints that recently rejected a similar request for lack of capacity and would reject this
    /// one.
    void remove_full(std::vector<endpoint_option>& options, active_request& item, time_point now);
    [[nodiscard]] std::vector<endpoint_option> ready_options(const std::string& service) const;
    /// Handles the reply to the attempt with this index.
    void on_reply(const std::shared_ptr<active_request>& item, std::size_t index, reply_message reply);
    void on_not_run(const std::shared_ptr<active_request>& item, std::size_t index,
                    const reply_message& reply);
    /// Refuses a request whose key does not allow it; false when it may go on.
    bool refuse_by_key(const std::shared_ptr<active_request>& item, mesh::reason why);
    /// Takes a retry from the budget; false when time, attempts or budget do not allow one.
    [[nodiscard]] bool take_retry(const active_request& item);
    [[nodiscard]] call_message make_call(const active_request& item, const mesh::member& about,
                                         time_point now) const;
    void deliver(const std::shared_ptr<active_request>& item, reply_message reply);
    void refuse(const std::shared_ptr<active_request>& item, mesh::reason why, duration retry_after);
    void fail(const std::shared_ptr<active_request>& item, unsigned status, mesh::reason why);
    /// Answers when no endpoint is left and no attempt is open, according to the outcome of the attempts.
    void answer_without_endpoint(const std::shared_ptr<active_request>& item, duration retry_after);
    void answer(const std::shared_ptr<active_request>& item, http_message response);
    /// Records which attempts are known not to have reached an endpoint.
    void cancel_calls(active_request& item, mesh::reason why = mesh::reason::caller_left);
    /// Ends a request without an answer of an endpoint: with `status`, or as not run if that is certain.
    void end_unanswered(const std::shared_ptr<active_request>& item, unsigned status, mesh::reason why);
    /// Also sends safe requests whose attempts are all on suspect links to another endpoint, if one is
    /// available. The first response is delivered.
    void replace_suspect_attempts(time_point now);
    [[nodiscard]] bool is_overdue(const active_request& item, time_point now) const;
    void hedge_overdue_attempts(time_point now);
    [[nodiscard]] bool needs_replacement(const active_request& item, time_point now) const;
    /// Removes an ended request and its body from the accounting.
    void release(const std::shared_ptr<active_request>& item);
    /// Maximum bytes of request bodies held at the same time.
    [[nodiscard]] std::size_t max_held_bytes() const;
    void log_outcome(event what, const active_request& item, unsigned status, mesh::reason why) const;
    mesh::retry_budget& retry_budget_for(const std::string& service);

    const clock_source& clock_;
    counter_set& counters_;
    const sidecar_settings& settings_;
    endpoint_service& local_;
    peer_set& peers_;
    rollouts& moves_;
    const authentication& keys_;
    quota_service& quota_;
    std::shared_ptr<const mesh::route_index> routes_;
    mesh::split_chooser splits_;
    latency_histogram latency_;
    std::size_t held_bytes_ = 0; ///< bytes of request bodies held
    std::uint64_t random_ = 0x9e3779b97f4a7c15ULL;
    std::map<std::string, mesh::retry_budget> retry_budgets_;
    mesh::age_estimator ages_;
    mesh::return_tracker returns_;
    std::set<std::shared_ptr<active_request>> open_;
    struct stop_times {
        time_point begin;
        time_point end;
    };
    std::optional<stop_times> stop_;
};

} // namespace endive::sidecar
