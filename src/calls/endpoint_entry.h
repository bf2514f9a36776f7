#pragma once
/// Statistics of one endpoint, its load-balancing score and its outlier detection.

#include "endive/calls.h"

namespace endive::calls {

/// True for outcomes that outlier detection counts as failures of the endpoint.
[[nodiscard]] bool is_failure(model::call_outcome outcome);

enum class endpoint_health : std::uint8_t { healthy, ejected, probing };

/// One endpoint of an `endpoint_group`.
struct endpoint_entry {
    model::endpoint_info info;
    bool present = true;
    bool skip_ramp = false;  ///< known since the group was created; no slow start
    time_point warmup_start; ///< when the current slow start began
    std::uint32_t in_flight = 0;
    std::uint32_t limit = 1;   ///< slots for this daemon, from the endpoint's slots and connection share
    double adaptive_limit = 1; ///< lowered when the endpoint sheds load: other daemons use its slots too
    time_point limit_reduced_at;

    double latency_ns = 0;   ///< moving average over successes
    double deviation_ns = 0; ///< moving mean deviation of the latency of successes
    std::uint64_t successes = 0;
    double failure_ratio = 0;
    std::uint64_t samples = 0;
    std::uint32_t consecutive_failures = 0;
    std::uint32_t consecutive_slow = 0; ///< consecutive successes that were slow relative to the group
    time_point last_sample;

    endpoint_health health = endpoint_health::healthy;
    time_point ejected_until;
    time_point readmitted_at;
    std::uint32_t ejections = 0;
    std::uint32_t probe_successes = 0;

    double reported_load = 0;
    time_point load_reported_at;

    [[nodiscard]] bool is_serving() const { return present && info.state == model::endpoint_state::serving; }
    /// Smaller of `limit` and the adaptive limit, at least 1.
    [[nodiscard]] std::uint32_t usable_slots() const;
    /// Traffic weight, which rises from `ramp_start` to 1 during the slow start.
    [[nodiscard]] double ramp_weight(const endpoint_settings& settings, time_point now) const;
    /// Expected cost of sending a call to this endpoint; lower is better. `median_ns` is the group's median
    /// of the average latencies, 0 when unknown.
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
