#pragma once
/// Observations of one endpoint and the rules of its ejection.

#include "endive/calls.h"

namespace endive::calls {

/// True for outcomes that count against the endpoint.
[[nodiscard]] bool is_failure(model::call_outcome outcome);

enum class endpoint_health : std::uint8_t { healthy, ejected, probing };

/// One endpoint of an `endpoint_group`.
struct endpoint_entry {
    model::endpoint_info info;
    bool present = true;
    bool warm_at_start = false; ///< known since the group was created; it has no ramp
    time_point first_seen;
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 1;   ///< places by slots and connection share
    double adaptive_limit = 1; ///< reduced when the endpoint sheds, because other daemons use its slots too
    time_point limit_reduced;

    double latency_ns = 0; ///< average of successes
    double deviation_ns = 0;
    std::uint64_t successes = 0;
    double failure_ratio = 0;
    std::uint64_t samples = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_slow = 0; ///< successes in a row that were slow for the group
    time_point last_sample;

    endpoint_health health = endpoint_health::healthy;
    time_point ejected_until;
    time_point returned;
    std::uint32_t ejections = 0;
    std::uint32_t probe_successes = 0;

    double reported_load = 0;
    time_point load_reported;

    [[nodiscard]] bool serves() const { return present && info.state == model::endpoint_state::serving; }
    [[nodiscard]] std::uint32_t places() const;
    /// From `ramp_start` to 1 while the endpoint warms up.
    [[nodiscard]] double ramp_weight(const endpoint_settings& settings, time_point now) const;
    /// Lower is better. `median_ns` is the median average latency of the group, 0 when unknown.
    [[nodiscard]] double score(double median_ns, time_point now) const;

    void observe(const attempt_report& report, const endpoint_settings& settings, double median_ns,
                 time_point now);
    [[nodiscard]] bool is_ejection_due(const endpoint_settings& settings) const;
    void eject(const endpoint_settings& settings, time_point now);
    void readmit(time_point now);

private:
    void observe_success(duration latency);
    void observe_shed(time_point now);
};

} // namespace endive::calls
