#pragma once
// What requests cost: at this daemon's endpoint, and as its callers see it.

#include "sidecar/messages.h"

#include "endive/scheduling.h"

namespace endive::sidecar {

/// A request from its arrival at the endpoint's daemon to its end.
struct priced_request {
    scheduling::cost_key key;
    scheduling::cost_estimate cost; ///< mean of zero when unknown
    double pace_at_start = 1;
    bool cold = false; ///< the endpoint had just started
};

/// Work and pace of the daemon's own endpoint. Not thread safe.
class endpoint_costs {
public:
    /// Prices a request that is about to be offered to the gate. `slowness` is the endpoint's average ratio
    /// of service time to latency target, 0 when unknown.
    priced_request on_arrival(std::uint64_t id, const call_message& call, double slowness, time_point now);
    void on_start(std::uint64_t id, priced_request& request, time_point now);
    /// The request has ended, started or not.
    void on_end(std::uint64_t id) { work_.remove(id); }
    /// The endpoint answered after `service_time`.
    void on_response(const priced_request& request, const call_message& call, duration service_time,
                     time_point now);
    /// The endpoint reported its load while it had `own` requests of this daemon.
    void on_report(const mesh::endpoint_load_report& report, std::uint32_t own, time_point now);
    void set_cold(bool cold) { pace_.set_cold(cold); }
    /// Another endpoint has taken the place of the last one.
    void on_replaced();
    /// Slots that remain of `slots` for requests of this daemon.
    [[nodiscard]] std::uint32_t usable_slots(std::uint32_t slots, time_point now) const;
    [[nodiscard]] duration work(time_point now) const { return work_.remaining(now, pace(now)); }
    [[nodiscard]] double pace(time_point now) const { return pace_.pace(now); }
    [[nodiscard]] std::uint32_t foreign(time_point now) const { return foreign_.count(now); }

private:
    scheduling::cost_model costs_;
    scheduling::outstanding_work work_;
    scheduling::pace_estimator pace_;
    scheduling::foreign_requests foreign_;
};

/// Costs of the requests that this daemon sends, over all endpoints. Not thread safe.
class caller_costs {
public:
    /// Mean of zero while too little is known.
    [[nodiscard]] scheduling::cost_estimate estimate(const scheduling::cost_key& key,
                                                     duration latency_target) const;
    /// An endpoint answered.
    void on_reply(const scheduling::cost_key& key, duration latency_target, const reply_message& reply);

private:
    scheduling::cost_model costs_;
};

} // namespace endive::sidecar
