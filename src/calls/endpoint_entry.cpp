#include "calls/endpoint_entry.h"

#include <cmath>

namespace endive::calls {
namespace {

// Weight of the newest sample in the moving averages, which cover about the last 20 samples.
constexpr double sample_weight = 0.1;
// An endpoint that fails fast has few calls in flight and looks idle. The score is multiplied by 1 plus this
// factor times the failure ratio, so that one failure in ten triples it.
constexpr double failure_penalty = 20.0;
constexpr double default_latency_ns = 1e6;
// Lower bound of the latency in the score, as a ratio of the median: no endpoint counts as more than twice as
// fast as the median, so that one that only appears idle or fast does not attract all traffic.
constexpr double min_median_ratio = 0.5;
constexpr double shed_backoff_factor = 0.8;
constexpr duration load_validity = std::chrono::seconds{5};
// The ejection back-off is reset to its minimum after this time without an ejection.
constexpr duration backoff_reset_time = std::chrono::seconds{60};
constexpr std::uint32_t max_backoff_doublings = 16;
constexpr duration observation_half_life = std::chrono::seconds{1};

} // namespace

bool is_failure(model::call_outcome outcome) {
    return outcome == model::call_outcome::server_error || outcome == model::call_outcome::timeout ||
           outcome == model::call_outcome::connection_failed;
}

std::uint32_t endpoint_entry::usable_slots() const {
    const auto adaptive = static_cast<std::uint32_t>(std::max(1.0, adaptive_limit));
    return std::min(limit, adaptive);
}

double endpoint_entry::ramp_weight(const endpoint_settings& settings, time_point now) const {
    const duration age = now - warmup_start;
    if (skip_ramp || age >= settings.ramp) {
        return 1.0;
    }
    const double progress = static_cast<double>(age.count()) / static_cast<double>(settings.ramp.count());
    return settings.ramp_start + (1.0 - settings.ramp_start) * progress;
}

double endpoint_entry::score(double median_ns, time_point now) const {
    const double typical = median_ns > 0 ? median_ns : default_latency_ns;
    // The weight of old samples decays, so that an endpoint that was slow or failed receives calls again
    // and can recover.
    const double age = static_cast<double>((now - last_sample).count());
    const double weight = std::exp2(-age / static_cast<double>(observation_half_life.count()));
    const double own = successes > 0 ? typical + (latency_ns - typical) * weight : typical;
    const double latency = std::max(own, typical * min_median_ratio);
    const bool load_valid = now - load_reported_at <= load_validity;
    const double load = load_valid ? reported_load : 0.0;
    return (in_flight + 1.0) * latency * (1.0 + failure_penalty * failure_ratio * weight) * (1.0 + load);
}

void endpoint_entry::observe_success(duration latency) {
    const auto value = static_cast<double>(latency.count());
    if (successes == 0) {
        latency_ns = value;
        deviation_ns = value / 2;
    } else {
        deviation_ns += sample_weight * (std::abs(value - latency_ns) - deviation_ns);
        latency_ns += sample_weight * (value - latency_ns);
    }
    ++successes;
    adaptive_limit = std::min<double>(limit, adaptive_limit + 1.0 / std::max(1.0, adaptive_limit));
}

void endpoint_entry::observe_shed(time_point now) {
    // Calls in flight at the same time are shed together; reduce the limit only once for all of them.
    if (now - limit_reduced_at < duration{static_cast<duration::rep>(latency_ns)}) {
        return;
    }
    limit_reduced_at = now;
    adaptive_limit = std::max(1.0, adaptive_limit * shed_backoff_factor);
}

void endpoint_entry::observe(const attempt_report& report, const endpoint_settings& settings,
                             double median_ns, time_point now) {
    if (report.outcome == model::call_outcome::cancelled) {
        return;
    }
    if (report.outcome == model::call_outcome::shed) {
        observe_shed(now);
        return;
    }
    const bool failed = is_failure(report.outcome);
    ++samples;
    last_sample = now;
    failure_ratio += sample_weight * ((failed ? 1.0 : 0.0) - failure_ratio);
    consecutive_failures = failed ? consecutive_failures + 1 : 0;
    if (!failed) {
        const auto value = static_cast<double>(report.latency.count());
        const bool slow = median_ns > 0 && value > median_ns * settings.eject_slow_factor &&
                          report.latency > settings.eject_slow_min_latency;
        consecutive_slow = slow ? consecutive_slow + 1 : 0;
        observe_success(report.latency);
    }
    if (health == endpoint_health::probing) {
        probe_successes = failed ? 0 : probe_successes + 1;
    }
    if (ejections > 0 && health == endpoint_health::healthy && now - readmitted_at > backoff_reset_time) {
        ejections = 0;
    }
}

bool endpoint_entry::is_ejection_due(const endpoint_settings& settings) const {
    if (consecutive_failures >= settings.eject_consecutive_failures ||
        consecutive_slow >= settings.eject_consecutive_slow) {
        return true;
    }
    return samples >= settings.eject_samples && failure_ratio > settings.eject_failure_ratio;
}

void endpoint_entry::eject(const endpoint_settings& settings, time_point now) {
    const auto doublings = std::min(ejections, max_backoff_doublings);
    const duration backoff = settings.eject_backoff * (std::int64_t{1} << doublings);
    ejected_until = now + std::min(backoff, settings.eject_backoff_max);
    health = endpoint_health::ejected;
    ++ejections;
    probe_successes = 0;
    consecutive_slow = 0;
}

void endpoint_entry::readmit(time_point now) {
    health = endpoint_health::healthy;
    readmitted_at = now;
    // A readmitted endpoint starts slowly like a new one, and its earlier failures and latencies are
    // discarded.
    warmup_start = now;
    skip_ramp = false;
    failure_ratio = 0;
    consecutive_failures = 0;
    consecutive_slow = 0;
    samples = 0;
    successes = 0;
}

} // namespace endive::calls
