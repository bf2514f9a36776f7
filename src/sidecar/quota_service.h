#pragma once
// Quotas of tenants at this daemon: exchanges tokens with the coordinators, and coordinates some tenants
// itself.

#include "sidecar/peer_set.h"

#include "endive/tenants.h"

namespace endive::sidecar {

/// Does nothing while no tenant has a limit. Not thread safe.
class quota_service {
public:
    using handler = std::function<void(const tenants::quota_decision&)>;

    quota_service(const clock_source& clock, counter_set& counters, const sidecar_settings& settings,
                  peer_set& peers);
    void set_configuration(const mesh::configuration& configuration);
    /// All daemons of the fleet are known, as far as the store tells. Until then, this daemon admits nothing
    /// on its own.
    void set_members_known(bool known) { members_known_ = known; }
    [[nodiscard]] bool is_limited(const std::string& tenant) const { return client_.is_limited(tenant); }
    /// Decides about a request and calls `done` with admit or refuse, perhaps before this returns. Returns 0
    /// if `done` has been called, otherwise the number to call `leave` with when the request ends before.
    std::uint64_t decide(const std::string& tenant, handler done);
    void leave(std::uint64_t waiting);
    /// A request that was admitted has not run and never will.
    void give_back(const std::string& tenant);
    /// An admitted request is sent to one more endpoint.
    void charge(const std::string& tenant);
    void on_message(const std::shared_ptr<peer_link>& link, const quota_message& message);
    /// Call every 20 ms.
    void tick(time_point now);

private:
    struct parked {
        std::string tenant;
        time_point since;
        handler done;
    };
    struct refusals {
        std::uint64_t count = 0;
        duration retry_after{0};
    };
    void update_view(time_point now);
    [[nodiscard]] bool has_ended(const peer& entry, time_point now) const;
    void probe(time_point now);
    void flush(time_point now);
    void send(const std::string& coordinator, const std::vector<tenants::quota_ask>& asks, time_point now);
    void resume(time_point now);
    void answer(const std::shared_ptr<peer_link>& link, const quota_message& message, time_point now);
    [[nodiscard]] tenants::quota_lease lease(const tenants::quota_ask& ask, time_point now);
    void record_refusal(const std::string& tenant, duration retry_after);
    void log_refusals(time_point now);

    const clock_source& clock_;
    counter_set& counters_;
    peer_set& peers_;
    tenants::quota_view view_;
    tenants::quota_coordinator coordinator_;
    tenants::quota_client client_;
    std::uint64_t configuration_ = 0;
    std::map<std::uint64_t, parked> parked_; ///< the earliest first
    std::uint64_t next_parked_ = 1;
    bool members_known_ = false;
    duration stop_grace_;
    time_point started_;
    time_point next_view_{};
    time_point next_probe_{};
    time_point next_report_{};
    std::uint64_t reported_unanswered_ = 0;
    std::map<std::string, refusals> refusals_; ///< since the last report, by tenant
};

} // namespace endive::sidecar
