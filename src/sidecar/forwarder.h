#pragma once
// The path of a caller's request: route, endpoint, attempts, the final answer.

#include "sidecar/events.h"
#include "sidecar/http_server.h"
#include "sidecar/peer_set.h"
#include "sidecar/rollouts.h"

namespace endive::sidecar {

/// Not thread safe.
class forwarder {
public:
    forwarder(const clock_source& clock, counter_set& counters, const sidecar_settings& settings,
              endpoint_service& local, peer_set& peers, rollouts& moves);
    void set_configuration(std::shared_ptr<const mesh::route_index> routes) { routes_ = std::move(routes); }
    /// The process ends at `end`: requests that may last longer are refused, except shortly after the stop.
    void set_end(time_point stop, time_point end) { stop_ = {stop, end}; }
    void handle(const std::shared_ptr<exchange>& request);
    /// Ends requests whose time is over. Call every few tens of milliseconds.
    void tick(time_point now);
    [[nodiscard]] std::size_t open_requests() const { return open_.size(); }
    /// From arrival to answer, of requests that an endpoint answered.
    [[nodiscard]] const latency_histogram& latency() const { return latency_; }

private:
    struct flight;
    struct option;
    void attempt(const std::shared_ptr<flight>& item);
    [[nodiscard]] std::vector<option> options_for(const flight& item) const;
    /// Removes endpoints that would refuse the request as they have refused its like a moment ago.
    void drop_full(std::vector<option>& options, flight& item, time_point now);
    [[nodiscard]] std::vector<option> all_options(const std::string& service) const;
    void on_reply(const std::shared_ptr<flight>& item, const std::string& daemon, reply_message reply);
    void on_not_run(const std::shared_ptr<flight>& item, const reply_message& reply);
    [[nodiscard]] bool may_repeat(const flight& item);
    [[nodiscard]] call_message make_call(const flight& item, const mesh::member& about, time_point now) const;
    void deliver(const std::shared_ptr<flight>& item, reply_message reply);
    void refuse(const std::shared_ptr<flight>& item, mesh::reason why, duration retry_after);
    void fail(const std::shared_ptr<flight>& item, unsigned status, mesh::reason why);
    /// No endpoint is left: answers with what the attempts so far allow to say.
    void give_up(const std::shared_ptr<flight>& item, duration retry_after);
    void answer(const std::shared_ptr<flight>& item, http_message response);
    void stop_attempt(flight& item);
    /// Repeats safe requests whose attempt is on a link that has gone silent, where another endpoint is left.
    void leave_silent_links(time_point now);
    void forget(const std::shared_ptr<flight>& item);
    /// Bytes of request bodies that may be held at a time.
    [[nodiscard]] std::size_t body_budget() const;
    void log_outcome(event what, const flight& item, unsigned status, mesh::reason why) const;
    mesh::retry_budget& share_of(const std::string& service);

    const clock_source& clock_;
    counter_set& counters_;
    const sidecar_settings& settings_;
    endpoint_service& local_;
    peer_set& peers_;
    rollouts& moves_;
    std::shared_ptr<const mesh::route_index> routes_;
    mesh::split_chooser splits_;
    latency_histogram latency_;
    std::size_t held_bytes_ = 0; ///< of request bodies
    std::uint64_t random_ = 0x9e3779b97f4a7c15ULL;
    std::map<std::string, mesh::retry_budget> shares_;
    mesh::age_estimator ages_;
    std::set<std::shared_ptr<flight>> open_;
    struct stop_times {
        time_point begin;
        time_point end;
    };
    std::optional<stop_times> stop_;
};

} // namespace endive::sidecar
