#include "endive/scheduling.h"

#include <algorithm>
#include <bit>
#include <cmath>

namespace endive::scheduling {
namespace {

/// Weight of the latest response, so that an estimate covers about the last 30.
constexpr double average_weight = 0.03;
/// The assumption that an estimate begins with weighs as much as this number of responses.
constexpr double assumed_samples = 0.5;
/// The cost of the route weighs as much as this number of responses of the kind.
constexpr double route_samples = 3;
/// A longer time counts as this multiple of the mean once the mean is known: one request in 33 takes seven
/// times as long, which would move the average by a fifth.
constexpr double max_ratio = 3;
constexpr double known_samples = 4;
/// A response in less than this share of the mean weighs less, by the square of the ratio: endpoints answer
/// checks of new routes in a few milliseconds.
constexpr double full_weight_ratio = 0.1;
constexpr double initial_variance = 0.25;
constexpr std::size_t max_entries = 512;
/// An entry with this many responses is forgotten only when no response came for `max_unused_records`.
constexpr double established_samples = 8;
constexpr std::uint64_t max_unused_records = 20'000;

constexpr double min_variation = 0.1;
constexpr double max_variation = 1.5;
/// Mean remaining share of a request that has run for its mean, per unit of variation. That of log-normal
/// times is about 0.8.
constexpr double remaining_per_variation = 0.8;
/// A request that has run for longer than `long_run` times its mean is probably one of the long ones, whose
/// remaining time grows with the elapsed time.
constexpr double long_run = 2;
constexpr double max_remaining = 3;

/// A pace changes after about this time, so that an older report tells less and less.
constexpr double pace_lifetime_s = 0.6;
constexpr double typical_weight = 0.02;
constexpr double learned_weight = 0.05;
/// The learned paces of all endpoints and the costs that callers learn from them determine each other up to a
/// common factor, which grows or falls with any bias of either. Drawing the paces towards 1 bounds it.
constexpr double learned_retention = 0.95;
constexpr double cold_factor = 2;
constexpr double min_pace = 0.05;

/// Requests that an endpoint runs on after their connection was closed end within about this time; a busy
/// endpoint reports more often.
constexpr duration foreign_lifetime = milliseconds{500};

duration to_duration(double ns) {
    return duration{static_cast<duration::rep>(ns)};
}

} // namespace

cost_key make_cost_key(std::string_view service, std::string_view route, std::string_view method,
                       std::size_t body_bytes) {
    // Classes of a factor of four: 0, up to 3 B, up to 15 B and so on.
    const auto size_class = (std::bit_width(body_bytes) + 1U) / 2U;
    const auto base = stable_hash(route, stable_hash(service));
    return {base, stable_hash(method, base ^ (size_class + 1))};
}

void cost_model::entry::add(double work) {
    const double bounded = samples >= known_samples ? std::min(work, max_ratio * mean) : work;
    const double short_ratio = bounded / std::max(1.0, full_weight_ratio * mean);
    const double significance = std::min(1.0, short_ratio * short_ratio);
    const double weight =
        significance * std::max(average_weight, 1.0 / (samples + significance + assumed_samples));
    const double deviation = (bounded - mean) / std::max(1.0, mean);
    mean += std::min(1.0, weight) * (bounded - mean);
    // The first responses show how wrong the assumption was rather than how much the costs vary.
    if (samples >= 1) {
        variance += std::min(1.0, weight) * (deviation * deviation - variance);
    }
    samples += significance;
}

cost_model::entry& cost_model::find_or_add(std::uint64_t id, double mean, double variance) {
    const auto found = entries_.find(id);
    if (found != entries_.end()) {
        return found->second;
    }
    if (entries_.size() >= max_entries) {
        evict();
    }
    return entries_.try_emplace(id, entry{mean, variance, 0, records_}).first->second;
}

void cost_model::evict() {
    const auto rank = [&](const auto& item) {
        const bool established = item.second.samples >= established_samples &&
                                 records_ - item.second.last_record < max_unused_records;
        return std::pair{established, item.second.last_record};
    };
    entries_.erase(std::min_element(entries_.begin(), entries_.end(),
                                    [&](const auto& a, const auto& b) { return rank(a) < rank(b); }));
}

cost_estimate cost_model::estimate(const cost_key& key, duration assumed) const {
    const auto route = entries_.find(key.route);
    if (route == entries_.end()) {
        return {assumed, std::sqrt(initial_variance), 0};
    }
    double mean = route->second.mean;
    double variance = route->second.variance;
    const auto kind = entries_.find(key.kind);
    if (kind != entries_.end()) {
        const double share = kind->second.samples / (kind->second.samples + route_samples);
        mean += share * (kind->second.mean - mean);
        variance += share * (kind->second.variance - variance);
    }
    return {to_duration(mean), std::clamp(std::sqrt(variance), min_variation, max_variation),
            route->second.samples};
}

void cost_model::record(const cost_key& key, duration assumed, duration work) {
    ++records_;
    const auto value = static_cast<double>(std::max<duration::rep>(1, work.count()));
    auto& route = find_or_add(key.route, static_cast<double>(assumed.count()), initial_variance);
    route.add(value);
    route.last_record = records_;
    const double mean = route.mean;
    const double variance = route.variance;
    auto& kind = find_or_add(key.kind, mean, variance);
    kind.add(value);
    kind.last_record = records_;
}

duration remaining_work(const cost_estimate& cost, duration elapsed) {
    const auto mean = static_cast<double>(cost.mean.count());
    const auto done = static_cast<double>(elapsed.count());
    const double least = mean * std::min(1.0, remaining_per_variation * cost.variation);
    return to_duration(
        std::max({mean - done, least, std::min(done - long_run * mean, max_remaining * mean)}));
}

void outstanding_work::add(std::uint64_t ticket, const cost_estimate& cost) {
    if (waiting_.try_emplace(ticket, cost).second) {
        waiting_work_ += cost.mean;
    }
}

void outstanding_work::start(std::uint64_t ticket, time_point now) {
    const auto found = waiting_.find(ticket);
    if (found != waiting_.end()) {
        running_[ticket] = {found->second, now};
        waiting_work_ -= found->second.mean;
        waiting_.erase(found);
    }
}

void outstanding_work::remove(std::uint64_t ticket) {
    const auto found = waiting_.find(ticket);
    if (found != waiting_.end()) {
        waiting_work_ -= found->second.mean;
        waiting_.erase(found);
    }
    running_.erase(ticket);
}

duration outstanding_work::remaining(time_point now, double pace) const {
    auto result = waiting_work_;
    for (const auto& [ticket, item] : running_) {
        result += remaining_work(item.cost, to_duration(static_cast<double>((now - item.since).count()) /
                                                        std::max(min_pace, pace)));
    }
    return result;
}

void pace_estimator::on_report(double pace, time_point now) {
    typical_ = reported_ ? typical_ + typical_weight * (pace - typical_) : pace;
    reported_ = pace;
    reported_at_ = now;
}

void pace_estimator::on_response(duration expected, duration service_time) {
    if (reported_ || expected <= duration{0} || service_time <= duration{0}) {
        return;
    }
    const double factor = cold_ ? cold_factor : 1;
    const double ratio =
        static_cast<double>(service_time.count()) / (static_cast<double>(expected.count()) * factor);
    const double weight = std::max(learned_weight, 1.0 / (responses_ + 2));
    learned_ += weight * (1 + learned_retention * (std::min(ratio, max_ratio) - 1) - learned_);
    ++responses_;
}

double pace_estimator::pace(time_point now) const {
    double result = learned_;
    if (reported_) {
        const double age = std::chrono::duration<double>(now - reported_at_).count();
        result = typical_ + (*reported_ - typical_) * std::exp(-age / pace_lifetime_s);
    }
    return std::max(min_pace, result) * (cold_ ? cold_factor : 1);
}

void foreign_requests::on_report(const mesh::endpoint_load_report& report, std::uint32_t own,
                                 time_point now) {
    const auto reported = std::uint64_t{report.running} + report.waiting;
    count_ = reported > own
                 ? static_cast<std::uint32_t>(std::min<std::uint64_t>(reported - own, report.slots))
                 : 0;
    reported_at_ = now;
}

std::uint32_t foreign_requests::count(time_point now) const {
    return now - reported_at_ < foreign_lifetime ? count_ : 0;
}

} // namespace endive::scheduling
