#pragma once
/// Load balancing, admission and retry budget of one service, guarded by one mutex.

#include "endive/callers.h"

#include <condition_variable>

namespace endive::callers {

/// The part of the active view that concerns one service.
struct service_view {
    std::uint64_t sequence = 0;               ///< of the view; a view with a lower or equal one is ignored
    std::vector<model::version_share> shares; ///< idempotent routes
    std::vector<model::version_share> non_idempotent_shares;            ///< empty: as `shares`
    std::map<std::string, std::vector<model::endpoint_info>> endpoints; ///< by version
    std::uint32_t live_daemons = 1;
};

struct reservation_request {
    std::uint32_t priority = 1;
    time_point deadline;
    /// Selects the shares; only idempotent calls may probe an ejected endpoint.
    bool idempotent = true;
};

/// A slot reserved at an endpoint.
struct reservation {
    std::string version;
    model::endpoint_info endpoint;
    calls::endpoint_handle handle;
    bool cold = false;
    duration typical_latency{0};
    duration high_latency{0};
};

/// A reservation, or the reason why none was made.
struct reservation_result {
    std::optional<reservation> slot;
    result_code code = result_code::ok;
};

/// Thread safe.
class service_runtime {
public:
    service_runtime(calls::endpoint_settings endpoints, calls::admission_settings admission,
                    const clock_source& clock, std::uint64_t seed)
        : endpoint_settings_{std::move(endpoints)},
          admission_settings_{admission}, clock_{clock}, random_{seed} {}

    void apply(const service_view& view);
    /// Waits in the queue while all slots of the service are taken.
    [[nodiscard]] reservation_result reserve(const reservation_request& request);
    /// For a retry or a hedge of a call that holds or held a slot; never waits.
    [[nodiscard]] std::optional<reservation>
    reserve_another(const std::string& version, std::span<const std::string> excluded, bool idempotent);
    void finish(const reservation& slot, const calls::attempt_report& report);
    void abandon(const reservation& slot);

    void count_request();
    [[nodiscard]] bool take_retry_token();
    /// True if a queue is full, so that a new call may be rejected.
    [[nodiscard]] bool is_saturated() const;
    [[nodiscard]] std::size_t queued() const;
    [[nodiscard]] std::size_t ejected() const;
    [[nodiscard]] std::vector<calls::endpoint_status> status() const;
    void report_load(const std::string& address, double load);

private:
    struct waiter {
        std::condition_variable signal;
        bool decided = false;
        bool reselect = false;
        reservation_result result;
    };
    struct version_pool {
        version_pool(const calls::endpoint_settings& endpoints, const calls::admission_settings& admission)
            : group{endpoints}, queue{admission} {}
        calls::endpoint_group group;
        calls::admission_queue queue;
    };
    [[nodiscard]] std::uint64_t next_random();
    [[nodiscard]] static calls::admission_load load_of(const version_pool& pool, time_point now);
    [[nodiscard]] reservation make_reservation(const std::string& version, const version_pool& pool,
                                               calls::endpoint_handle handle, time_point now) const;
    void start_waiting(const std::string& version, version_pool& pool, time_point now);
    void resolve(const std::string& version, version_pool& pool, const calls::admission_action& action,
                 time_point now);
    [[nodiscard]] reservation_result wait(std::unique_lock<std::mutex>& lock, const std::string& version,
                                          version_pool& pool, std::uint64_t ticket, waiter& waiting);

    const calls::endpoint_settings endpoint_settings_;
    const calls::admission_settings admission_settings_;
    const clock_source& clock_;
    mutable std::mutex mutex_;
    std::uint64_t random_;
    std::uint64_t sequence_ = 0;
    std::uint64_t next_ticket_ = 1;
    [[nodiscard]] const std::vector<model::version_share>& shares_for(bool idempotent) const;
    std::vector<model::version_share> shares_;
    std::vector<model::version_share> non_idempotent_shares_;
    std::map<std::string, std::unique_ptr<version_pool>> pools_;
    std::map<std::uint64_t, waiter*> waiters_;
    calls::retry_budget budget_;
};

} // namespace endive::callers
