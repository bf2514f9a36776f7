#pragma once
/// Fairness library: the order of requests that compete for the slots of one endpoint. It reads no clock,
/// opens no socket and starts no thread. Classes are not thread safe unless documented otherwise.

#include "endive/base.h"

#include <deque>
#include <span>
#include <unordered_map>

namespace endive::fairness {

// ---- fair shares ------------------------------------------------------------------------------------------

/// Number that stands for a tenant; 0 stands for all requests without one.
using tenant_id = std::uint64_t;

/// Id of the tenant with this name; 0 for an empty name. Thread safe.
[[nodiscard]] tenant_id tenant_id_of(std::string_view name);

/// A request that waits for a slot.
struct waiting_request {
    tenant_id tenant = 0;
    duration work{0}; ///< expected time on a slot
};

/// Weighted fair queueing between tenants by virtual time (start-time fair queueing). A tenant's next request
/// has the start tag max(virtual time, end of the tenant's last request); requests start in order of their
/// tags. A tenant that was idle starts at the current virtual time, so it has neither credit nor debt, and
/// one that alone uses the endpoint owes at most its last request. Tenants have equal weights. Requests
/// without a tenant are calls of endpoints on behalf of all tenants, so together they weigh as much as all
/// others.
class fair_shares {
public:
    /// Start tag of the tenant's next request, in seconds of work of weight 1.
    [[nodiscard]] double start_tag(tenant_id tenant) const;
    /// A request of `tenant` starts.
    void on_start(tenant_id tenant, duration work);
    /// The order in which waiting requests start, as indices into `waiting`, which is in the order wanted
    /// within a tenant. Requests with equal tags keep that order.
    [[nodiscard]] std::vector<std::size_t> order(std::span<const waiting_request> waiting) const;
    /// Number of tenants whose last request lies after the virtual time.
    [[nodiscard]] std::size_t size() const { return ends_.size(); }

private:
    [[nodiscard]] double cost(tenant_id tenant, duration work) const;
    void forget_idle();
    double virtual_time_ = 0;
    std::unordered_map<tenant_id, double> ends_; ///< end tags after the virtual time
    std::size_t next_sweep_ = 0;                 ///< size at which idle tenants are forgotten
};

// ---- reservations for refused callers ---------------------------------------------------------------------

/// A time at which a refused caller is to come back.
struct reservation {
    duration wait{0};
    bool held = false; ///< capacity is reserved; otherwise `wait` is when there will be room as far as known
    friend auto operator<=>(const reservation&, const reservation&) = default;
};

/// The capacity of one endpoint that is promised to refused callers, in short intervals of the next seconds.
/// Every refusal gets the first time with room, so that callers come back one after the other. A reservation
/// counts by the share of reservations that were used lately: some callers give up, others go to another
/// endpoint.
class retry_reservations {
public:
    /// Reserves `work` between `earliest` and `latest` from now; `free_slots` is the average number of slots
    /// that may be promised. Callers do not come back after `latest`: if there is no room before, nothing is
    /// reserved. Precondition: `free_slots` > 0.
    [[nodiscard]] reservation reserve(duration work, duration earliest, duration latest, double free_slots,
                                      time_point now);
    /// A request of a caller that was refused before arrived.
    void on_return(time_point now);
    /// Share of the reservations that are used, from 0 to 1.
    [[nodiscard]] double used_share() const { return used_share_; }

private:
    void advance(time_point now);
    struct interval {
        double reserved_s = 0; ///< work
        double reservations = 0;
    };
    std::deque<interval> intervals_;
    std::int64_t first_ = 0; ///< number of the first interval since the clock's epoch
    double used_share_ = 0.5;
    double due_ = 0; ///< reservations whose time has come, and returns, both decaying
    double returned_ = 0;
};

/// Spreads callers who are refused because of the same earlier refusal over the time from `told` to `latest`;
/// `random` decides. Returns `told` when that is later. Thread safe.
[[nodiscard]] duration spread_wait(duration told, duration latest, std::uint64_t random);

} // namespace endive::fairness
