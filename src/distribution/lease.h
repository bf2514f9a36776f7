#pragma once
/// The lease of the move owner, row `lease/moves`.

#include "distribution/platform_calls.h"
#include "distribution/random_source.h"
#include "distribution/table_rows.h"

namespace endive::distribution {

/// Acquires and renews the lease while this daemon is the candidate. Each acquisition writes a higher epoch
/// with a conditional write, so no two holders ever have the same one. The holder stops
/// `lease_clock_margin` before the end that it wrote, by its monotonic clock; a successor waits as long
/// after it by wall clock, or until the row has not changed for the whole lease.
class lease {
public:
    lease(random_source& random, member_id self, fault_injection faults)
        : random_{random}, self_{std::move(self)}, faults_{faults} {}

    /// Drives reads, acquisition, renewal and release. `candidate`: this daemon is the root and ready.
    void step(time_point now, wall_time wall, bool candidate, platform_calls& calls,
              std::vector<action>& actions);
    void on_result(time_point now, wall_time wall, const platform_result& result, platform_calls& calls,
                   std::vector<action>& actions);
    /// Ends ownership when its time is over. Call before anything else on each event.
    void check_expiry(time_point now, std::vector<action>& actions);
    /// An epoch was seen elsewhere; a higher one than the own ends ownership.
    void observe_epoch(std::uint64_t epoch, std::vector<action>& actions);
    /// Ends ownership at once; the row is released with the next step.
    void abandon(std::vector<action>& actions);

    [[nodiscard]] bool held(time_point now) const { return holding_ && now < valid_until_; }
    [[nodiscard]] std::uint64_t highest_epoch() const { return highest_epoch_; }
    [[nodiscard]] const member_id& last_holder() const { return last_holder_; }
    [[nodiscard]] time_point valid_until() const { return valid_until_; }

private:
    enum class phase : std::uint8_t { idle, reading, writing };

    void on_read(time_point now, wall_time wall, const platform_result& result, platform_calls& calls,
                 std::vector<action>& actions);
    void on_write(time_point now, const platform_result& result, std::vector<action>& actions);
    void write(time_point now, wall_time wall, std::uint64_t epoch, bool release, platform_calls& calls);
    void take_hold(time_point now, std::vector<action>& actions);
    [[nodiscard]] bool free_to_take(time_point now, wall_time wall,
                                    const std::optional<lease_row>& row) const;

    random_source& random_;
    member_id self_;
    fault_injection faults_;
    phase phase_ = phase::idle;
    time_point next_step_;
    bool candidate_ = false;
    bool release_due_ = false; ///< the row still names this daemon
    bool holding_ = false;
    time_point valid_until_;
    std::uint64_t epoch_ = 0; ///< own epoch while holding, or being written
    std::uint64_t highest_epoch_ = 0;
    std::optional<std::string> etag_;
    time_point etag_seen_; ///< when the row was first seen with `etag_`
    member_id last_holder_;
    time_point write_started_;
    std::string write_id_;
    std::uint64_t written_epoch_ = 0;
    bool releasing_ = false;
    bool unsettled_ = false; ///< the answer of the last write was lost
};

} // namespace endive::distribution
