#pragma once
/// The lease of the move owner, row `lease/moves`.

#include "distribution/platform_calls.h"
#include "distribution/random_source.h"
#include "distribution/table_rows.h"

namespace endive::distribution {

/// Acquires and renews the lease while this daemon is the candidate. Each acquisition writes a higher epoch
/// with a conditional write, so no two holders ever have the same epoch. The holder stops
/// `lease_clock_margin` before the written expiry, measured with its monotonic clock. A successor waits until
/// `lease_clock_margin` after the expiry by wall clock, or until the row has been unchanged for
/// `lease_duration` plus `lease_clock_margin`.
class lease {
public:
    lease(random_source& random, member_id self, fault_injection faults)
        : random_{random}, self_{std::move(self)}, faults_{faults} {}

    /// Drives reads, acquisition, renewal and release. `candidate`: this daemon is the root and ready.
    void step(time_point now, wall_time wall, bool candidate, platform_calls& calls,
              std::vector<action>& actions);
    void on_result(time_point now, wall_time wall, const platform_result& result, platform_calls& calls,
                   std::vector<action>& actions);
    /// Ends ownership when the lease has expired. Must be called first on each event.
    void check_expiry(time_point now, std::vector<action>& actions);
    /// Records an epoch seen elsewhere. An epoch higher than the own one ends ownership.
    void observe_epoch(std::uint64_t epoch, std::vector<action>& actions);
    /// Ends ownership immediately; a later step releases the row.
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
    void confirm_ownership(time_point now, std::vector<action>& actions);
    [[nodiscard]] bool is_available(time_point now, wall_time wall,
                                    const std::optional<lease_row>& row) const;

    random_source& random_;
    member_id self_;
    fault_injection faults_;
    phase phase_ = phase::idle;
    time_point next_step_;
    bool candidate_ = false;
    bool release_due_ = false; ///< the row still names this daemon as holder
    bool holding_ = false;
    time_point valid_until_;
    std::uint64_t epoch_ = 0; ///< epoch of the lease that this daemon holds, or of its pending acquisition
    std::uint64_t highest_epoch_ = 0;
    std::optional<std::string> etag_;
    time_point etag_seen_; ///< when the row was first seen with `etag_`
    member_id last_holder_;
    time_point write_started_;
    std::string write_id_;
    std::uint64_t written_epoch_ = 0;
    bool releasing_ = false;
    bool write_outcome_unknown_ = false; ///< only a read shows whether the last write took effect
};

} // namespace endive::distribution
