#pragma once
/// Scheduling library: what requests cost and how much work is outstanding, as state machines. Callers pass
/// events and time points; no class here reads a clock, opens a socket or starts a thread. Classes are not
/// thread safe unless documented otherwise; the daemon's event loop owns them.

#include "endive/mesh.h"

#include <unordered_map>

namespace endive::scheduling {

// NOLINTBEGIN(modernize-use-nullptr)

// ---- request costs ----------------------------------------------------------------------------------------

/// Identifies the requests whose costs are learned together, on two levels.
struct cost_key {
    std::uint64_t route = 0; ///< hash of service and route
    std::uint64_t kind = 0;  ///< the same with method and size class of the body
    friend auto operator<=>(const cost_key&, const cost_key&) = default;
};
/// Thread safe.
[[nodiscard]] cost_key make_cost_key(std::string_view service, std::string_view route,
                                     std::string_view method, std::size_t body_bytes);

/// Work of a request: its service time at an endpoint of usual pace.
struct cost_estimate {
    duration mean{0};
    double variation = 0.5; ///< standard deviation relative to the mean
    double samples = 0;     ///< number of responses that it rests on, short ones counted in part
    friend auto operator<=>(const cost_estimate&, const cost_estimate&) = default;
};

/// Learns the work of requests. The costs of a kind of request begin with those of its route, which begin
/// with an assumption of the caller. Bounded memory: rarely seen kinds are forgotten first.
class cost_model {
public:
    /// `assumed` is the work of a request on a route without responses so far.
    [[nodiscard]] cost_estimate estimate(const cost_key& key, duration assumed) const;
    /// A request took `work`, which is the service time divided by the endpoint's pace.
    void record(const cost_key& key, duration assumed, duration work);
    [[nodiscard]] std::size_t size() const { return entries_.size(); }

private:
    struct entry {
        double mean = 0;     ///< ns
        double variance = 0; ///< relative to the square of the mean
        double samples = 0;
        std::uint64_t last_record = 0;
        void add(double work);
    };
    entry& find_or_add(std::uint64_t id, double mean, double variance);
    void evict();
    std::unordered_map<std::uint64_t, entry> entries_;
    std::uint64_t records_ = 0;
};

/// Expected remaining work of a request that an endpoint has worked on for `elapsed`. Thread safe.
[[nodiscard]] duration remaining_work(const cost_estimate& cost, duration elapsed);

/// The work of all requests that run or wait at one endpoint.
class outstanding_work {
public:
    void add(std::uint64_t ticket, const cost_estimate& cost);
    /// The request has been sent to the endpoint. Ignored when the ticket is unknown.
    void start(std::uint64_t ticket, time_point now);
    /// The request has ended, started or not.
    void remove(std::uint64_t ticket);
    /// Expected remaining work of all requests at an endpoint whose work takes `pace` times as long as usual.
    [[nodiscard]] duration remaining(time_point now, double pace) const;

private:
    struct started_request {
        cost_estimate cost;
        time_point since;
    };
    std::unordered_map<std::uint64_t, cost_estimate> waiting_;
    std::unordered_map<std::uint64_t, started_request> running_;
    duration waiting_work_{0};
};

/// How long work takes at an endpoint relative to the usual: as the endpoint reports it, or learned from the
/// times of its responses if it does not. An endpoint that has just started takes twice as long.
class pace_estimator {
public:
    /// The endpoint reported its pace with a response.
    void on_report(double pace, time_point now);
    /// A request that was expected to take `expected` at an endpoint of usual pace took `service_time`.
    void on_response(duration expected, duration service_time);
    void set_cold(bool cold) { cold_ = cold; }
    [[nodiscard]] double pace(time_point now) const;
    /// Mean of the pace over a run that began when `pace` was `at_start` and ends now.
    [[nodiscard]] double mean_pace(double at_start, time_point now) const {
        return (at_start + pace(now)) / 2;
    }
    /// Forgets everything. Call when the endpoint has been replaced.
    void reset() { *this = {}; }

private:
    std::optional<double> reported_;
    time_point reported_at_{};
    double typical_ = 1; ///< average of the reports
    double learned_ = 1; ///< average, drawn towards 1
    double responses_ = 0;
    bool cold_ = false;
};

/// Requests that occupy slots of the endpoint without being known to this daemon: an endpoint may run a
/// request on after its connection was closed, such as one sent before a restart of the daemon.
class foreign_requests {
public:
    /// The endpoint reported its load with a response, when this daemon had `own` requests there including
    /// the one that was answered.
    void on_report(const mesh::endpoint_load_report& report, std::uint32_t own, time_point now);
    /// Slots that are taken.
    [[nodiscard]] std::uint32_t count(time_point now) const;

private:
    std::uint32_t count_ = 0;
    time_point reported_at_{};
};

// NOLINTEND(modernize-use-nullptr)

} // namespace endive::scheduling
