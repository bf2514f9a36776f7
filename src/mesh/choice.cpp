#include "endive/mesh.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace endive::mesh {
namespace {

/// An endpoint whose cost exceeds the least one by this is chosen 1 / e times as often. Many daemons choose
/// at the same time by the same reports: if all took the best one, their requests would queue there until the
/// next report.
constexpr double cost_scale = 0.05;
/// An endpoint whose cost exceeds the least one by more than this is not chosen. Half of the cost of
/// crossing into another failure domain.
constexpr double max_excess_cost = 0.1;
/// Added latency of an endpoint behind another daemon: a round trip within the failure domain and two passes
/// through event loops.
constexpr duration remote_latency = std::chrono::microseconds{600};
constexpr duration cross_domain_latency = milliseconds{2};
/// Cost of crossing into another failure domain, as the probability of a late response that is accepted to
/// avoid it: traffic between domains is billed.
constexpr double cross_domain_cost = 0.2;
/// Additional cost per byte of the request's body: 60 KB weigh as much as a late response.
constexpr double cross_domain_cost_per_byte = 1.0 / (60.0 * 1024);
/// Cost per byte of the request's body on the way into a VM whose link is half used; it grows without bound
/// as the link fills. Full links delay everything that the VM receives, new connections too.
constexpr double link_cost_per_byte = 1.0 / (60.0 * 1024);
/// A link counts as used by no more than this: the cost stays finite.
constexpr double max_link_use = 0.95;
/// Time added per consecutive failure, so that a failing endpoint is tried only when the others are busy.
constexpr duration failure_penalty = milliseconds{150};
constexpr std::uint32_t max_counted_failures = 8;
/// Service times grow with the load of an endpoint, at full load by about this ratio.
constexpr double full_load_slowdown = 0.6;
/// Service times are modelled as log-normal; this is the standard deviation of their logarithm.
constexpr double service_time_sigma = 0.5;
/// Least standard deviation of the logarithm: the pace of an endpoint changes during the run.
constexpr double min_service_time_sigma = 0.25;
/// Weight of the expected time relative to the probability of a late response: of two endpoints that are
/// certain to be on time, the faster one is preferred.
constexpr double time_weight = 0.05;
/// The same when the cost of the request is known: the expected times of fast and slow endpoints are then
/// reliable.
constexpr double known_time_weight = 0.4;
/// Share of the requests that take a multiple of the usual time, and this multiple. Their costs hardly
/// contribute to the learned ones.
constexpr double long_share = 0.03;
constexpr double long_ratio = 6;

/// A request waits at the next endpoint after this many had no free slot. Each costs a round trip, and in an
/// overload none is free.
constexpr std::size_t max_busy_answers = 2;
/// A larger body is not sent to several endpoints: it takes longer than the wait that this avoids.
constexpr std::size_t max_resent_bytes = 16UL * 1024;

/// Minimum intervals of load reports: of any two, of those that all slots are taken or one is free again, of
/// those of a change by half of the slots, and of those of a smaller change. Of an endpoint with shorter
/// service times, changes are reported about once in two such times.
constexpr duration min_report_interval = milliseconds{200};
constexpr duration full_change_interval = milliseconds{300};
constexpr duration large_change_interval = milliseconds{400};
constexpr duration small_change_interval = milliseconds{1000};
/// A change of the pace by this factor is reported like one by half of the slots: periods in which a VM is
/// slow take about half a second.
constexpr double large_pace_change = 1.4;
/// A change of the link's use by this much is reported like one by half of the slots, while the link is used
/// by more than that: bodies avoid it only then.
constexpr double large_link_change = 0.15;

/// Multiplying by it spreads consecutive numbers over the whole range.
constexpr std::uint64_t spreading_factor = 0x9e3779b97f4a7c15ULL;

/// Probability that a request with this expected time misses its target.
double late_probability(double expected_ratio, double sigma) {
    if (expected_ratio <= 0) {
        return 0;
    }
    const double deviations = (std::log(expected_ratio) + sigma * sigma / 2) / sigma;
    return 0.5 * std::erfc(-deviations / std::numbers::sqrt2);
}

/// Cost of adding a body to the traffic of a link.
double link_cost(double use, std::size_t body_bytes) {
    const double bounded = std::min(use, max_link_use);
    const double queueing = 2 * bounded * bounded / (1 - bounded); // 1 at half use
    return link_cost_per_byte * static_cast<double>(body_bytes) * queueing;
}

/// True when the work at the endpoint and the cost of the request are known.
bool knows_work(const candidate& option, const choice_request& request) {
    return request.expected_cost > duration{0} &&
           (option.load.work > duration{0} || option.load.outstanding == 0);
}

double cost_deviation(const choice_request& request) {
    const double variance = std::log1p(request.cost_variation * request.cost_variation);
    return std::max(min_service_time_sigma, std::sqrt(variance));
}

} // namespace

duration expected_time(const candidate& option, const choice_request& request) {
    const double slots = std::max(1U, option.load.slots);
    const double outstanding = option.load.outstanding + option.sent_since_load;
    const double utilization = std::min(1.0, outstanding / slots);
    const double slowdown = 1.0 + full_load_slowdown * utilization * utilization;
    const double ahead = std::max(0.0, outstanding + 1 - slots);
    using nanoseconds = std::chrono::duration<double, std::nano>;
    nanoseconds run{0};
    nanoseconds typical{0}; // time after which a request that is ahead leaves its slot
    if (knows_work(option, request)) {
        run = nanoseconds(request.expected_cost) * (option.load.pace * slowdown);
        typical = nanoseconds(option.load.work + option.work_since_load) *
                  (option.load.pace / std::max(1.0, outstanding));
    } else {
        const double slowness = option.load.slowness > 0 ? option.load.slowness : initial_slowness;
        run = nanoseconds(request.latency_target) * (slowness * slowdown);
        typical = option.load.service_time > duration{0} ? nanoseconds(option.load.service_time) : run;
    }
    auto total = std::chrono::duration_cast<duration>(run + typical * (ahead / slots));
    if (!option.local) {
        total += option.same_domain ? remote_latency : remote_latency + cross_domain_latency;
    }
    return total + failure_penalty * std::min(option.failures, max_counted_failures);
}

double choice_cost(const candidate& option, const choice_request& request) {
    const double target = std::max(1.0, static_cast<double>(request.latency_target.count()));
    const double ratio = static_cast<double>(expected_time(option, request).count()) / target;
    const bool known = request.expected_cost > duration{0};
    const double sigma = known ? cost_deviation(request) : service_time_sigma;
    double cost = late_probability(ratio, sigma);
    if (known) {
        cost += long_share * (late_probability(long_ratio * ratio, sigma) - cost);
    }
    cost += (known ? known_time_weight : time_weight) * ratio;
    if (!option.local) {
        cost += link_cost(option.load.link_use, request.body_bytes);
    }
    if (!option.local && !option.same_domain) {
        cost += cross_domain_cost + cross_domain_cost_per_byte * static_cast<double>(request.body_bytes);
    }
    return cost;
}

bool load_reporter::take_due(const endpoint_load& load, time_point now) {
    const auto since = now - reported_at_;
    const auto limited = [&](duration interval) {
        return load.service_time > duration{0}
                   ? std::clamp(2 * load.service_time, min_report_interval, interval)
                   : interval;
    };
    bool due = !reported_;
    if (reported_) {
        const auto [less, more] = std::minmax(load.outstanding, reported_->outstanding);
        const auto change = more - less;
        const bool full_changed =
            (load.outstanding >= load.slots) != (reported_->outstanding >= reported_->slots);
        const auto [less_use, more_use] = std::minmax(load.link_use, reported_->link_use);
        const bool link_changed =
            more_use - less_use >= large_link_change && more_use >= 2 * large_link_change;
        const auto [less_pace, more_pace] = std::minmax(load.pace, reported_->pace);
        const bool pace_changed = more_pace >= large_pace_change * less_pace;
        const bool became_idle = !load.accepting && load.outstanding == 0 && reported_->outstanding > 0;
        due = load.accepting != reported_->accepting || became_idle ||
              (link_changed && since >= min_report_interval) ||
              (pace_changed && since >= min_report_interval) ||
              (full_changed && since >= limited(full_change_interval)) ||
              (change * 2 >= load.slots && since >= limited(large_change_interval)) ||
              (change >= std::max(2U, load.slots / 4) && since >= limited(small_change_interval));
    }
    if (due) {
        reported_ = load;
        reported_at_ = now;
    }
    return due;
}

bool may_wait(const candidate& chosen, const choice_request& request, std::size_t options,
              std::size_t busy_answers) {
    const bool known_full = chosen.load.outstanding + chosen.sent_since_load >= chosen.load.slots;
    return options < 2 || known_full || busy_answers >= max_busy_answers ||
           request.body_bytes > max_resent_bytes;
}

std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates,
                                           const choice_request& request, std::uint64_t random) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<double> costs;
    costs.reserve(candidates.size());
    for (const auto& option : candidates) {
        costs.push_back(choice_cost(option, request));
    }
    const double least = *std::min_element(costs.begin(), costs.end());
    std::vector<double> cumulative;
    cumulative.reserve(costs.size());
    double total = 0;
    for (const double cost : costs) {
        const double excess = cost - least;
        total += excess <= max_excess_cost ? std::exp(-excess / cost_scale) : 0.0;
        cumulative.push_back(total);
    }
    const double position = total * std::ldexp(static_cast<double>(random * spreading_factor), -64);
    const auto found = std::upper_bound(cumulative.begin(), cumulative.end(), position);
    return static_cast<std::size_t>(std::min(found, cumulative.end() - 1) - cumulative.begin());
}

} // namespace endive::mesh
