#include "mesh/gate_parts.h"

#include <algorithm>

namespace endive::mesh {
namespace {

/// The longest timeout of a route expires when no request with an equal or longer one has arrived for this
/// long.
constexpr duration longest_timeout_lifetime = std::chrono::seconds{10};
/// Callers of one route use different timeouts: under normal load, first requests arrive with 85% to 100% of
/// the longest one, uniformly distributed. Only less than that indicates an earlier attempt.
constexpr double min_timeout_ratio = 0.85;
constexpr double mean_timeout_ratio = (1.0 + min_timeout_ratio) / 2;
/// Maximum number of retries that a budget owes, so that it recovers within seconds.
constexpr double max_retry_debt = 10.0;
/// Weight of the latest run in the share of repeated requests, which covers about the last 30 runs.
constexpr double repeat_weight = 0.03;
/// Number of times that callers usually come back after a refusal.
constexpr std::uint32_t usual_returns = 2;
/// Few runs take longer than this ratio of their latency target, and the rest of it suffices for many runs at
/// another endpoint.
constexpr double overdue_ratio = 0.65;

} // namespace

bool retry_budget::take(std::uint32_t refused_before, bool comes_back) {
    if (comes_back && refused_before == 0) {
        return false;
    }
    const bool may_come_back = comes_back && refused_before < usual_returns;
    if (tokens_ < 1.0 + (may_come_back ? (burst_ - 1.0) / 2 : 0.0)) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

bool retry_budget::take_spare() {
    return tokens_ >= 1.0 + (burst_ - 1.0) / 2 && take();
}

void retry_budget::on_request(double repeat_share) {
    tokens_ = std::clamp(tokens_ + ratio_ - repeat_share, -max_retry_debt, burst_);
}

void repeat_meter::on_run(bool repeated) {
    share_ += ((repeated ? 1.0 : 0.0) - share_) * repeat_weight;
}

bool is_overdue(duration elapsed, duration latency_target) {
    return latency_target > duration{0} && elapsed >= scaled(latency_target, overdue_ratio);
}

duration age_estimator::age(const std::string& route, milliseconds remaining, time_point now) {
    auto& longest = routes_[route];
    const bool expired = now - longest.seen > longest_timeout_lifetime;
    if (remaining >= longest.value || expired) {
        longest = {remaining, now};
    }
    if (remaining >= scaled(longest.value, min_timeout_ratio)) {
        return duration{0};
    }
    return scaled(longest.value, mean_timeout_ratio) - remaining;
}

} // namespace endive::mesh
