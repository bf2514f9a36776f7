#pragma once
/// Simulated fleet for the moves benchmark: daemons with guards and evidence collectors, generated request
/// streams, delayed reports and records, and a table with outages and lost responses. Time is simulated.

#include "endive/moves.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>
#include <functional>
#include <queue>
#include <random>

namespace endive::moves_bench {

using namespace std::chrono_literals;

inline constexpr double tick_seconds = 0.1;
inline constexpr std::size_t route_count = 4;
inline constexpr std::array<const char*, route_count> route_names{"list", "read", "post", "rare"};
inline constexpr std::array<double, route_count> route_parts{0.45, 0.30, 0.20, 0.05};
inline constexpr std::array<bool, route_count> route_idempotent{true, true, false, true};
inline constexpr double latency_median_ms = 20;
inline constexpr double latency_sigma = 0.5;
inline constexpr double timeout_seconds = 1.0;
// An observer detects a fault at a likelihood ratio of a million to one, see docs/moves.md.
inline const double detectable_log_ratio = std::log(1e6);

enum class fault : std::uint8_t {
    none,
    fails_at_once,
    slow_at_once,
    fails_later,
    slow_later,
    under_load,
    one_route,
    a_little_worse,
    refuses_connections,
    hangs
};
inline constexpr std::array<const char*, 10> fault_names{
    "none",       "fails_at_once", "slow_at_once",   "fails_later",         "slow_later",
    "under_load", "one_route",     "a_little_worse", "refuses_connections", "hangs"};

struct window {
    double begin = 0;
    double end = 0;
    [[nodiscard]] bool contains(double t) const { return t >= begin && t < end; }
};

struct churn_window {
    window when;
    std::size_t side = 0; ///< version that loses an endpoint; 0: old, 1: new
};

/// Parameters of one simulated move and its environment.
struct scenario {
    std::uint64_t seed = 0;
    bool granite_hearth = false;
    std::size_t daemons = 12;
    std::size_t endpoints = 5;
    double rate = 50; ///< calls per second of one daemon to the service
    double failure_rate = 0.005;
    double deadline = 900;
    fault kind = fault::none;
    double onset = 0;
    double fault_failures = 0; ///< added failure probability
    double fault_slowness = 1; ///< latency factor
    std::size_t fault_route = 0;
    double new_latency = 1; ///< latency factor of the new version without its fault
    double new_failures = 1;
    std::vector<window> bursts;
    double burst_latency = 1;
    double burst_failures = 0;
    std::vector<churn_window> churn;
    std::optional<window> outage;
    std::optional<window> restart;
    window cold;
};

[[nodiscard]] scenario make_scenario(std::uint64_t seed);

/// Result of one simulated move.
struct outcome {
    fault kind = fault::none;
    bool granite_hearth = false;
    bool completed_on_time = false;
    bool taken_back = false;
    double completed_at = 0;
    std::uint64_t bad_requests = 0;       ///< requests to the new version since the onset of its fault
    std::uint64_t total_requests = 0;     ///< requests of the service until the take-back or the end
    double planned_requests = 0;          ///< requests of the service until the deadline
    double detectable_at = -1;            ///< time, for an observer that knows the fault; -1: never
    double uninformed_detectable_at = -1; ///< same, without knowledge of kind, size and route of the fault
    double last_bad_request = -1;
    std::uint64_t holds_released = 0;
    std::string reason;
};

/// Decision rule of a move: one of the three rules of the library or the naive rule.
struct controller {
    std::optional<moves::rule_kind> rule; ///< empty: naive
    [[nodiscard]] std::string name() const {
        return rule ? std::string{moves::to_string(*rule)} : std::string{"naive"};
    }
};

[[nodiscard]] outcome simulate(const scenario& s, const controller& decider);

// ---- implementation --------------------------------------------------------------------------------------

inline scenario make_scenario(std::uint64_t seed) {
    std::mt19937_64 random{seed * 0x9E3779B97F4A7C15ULL + 1};
    const auto uniform = [&](double low, double high) {
        return std::uniform_real_distribution<double>{low, high}(random);
    };
    const auto chance = [&](double p) { return uniform(0, 1) < p; };
    scenario s;
    s.seed = seed;
    s.granite_hearth = (seed / 2) % 2 == 0;
    s.endpoints = s.granite_hearth ? 3 + 2 * static_cast<std::size_t>(chance(0.3)) : 3 + random() % 3;
    s.rate = uniform(20, 100);
    s.failure_rate = uniform(0.001, 0.01);
    s.deadline = uniform(600, 1800);
    s.new_latency = uniform(0.9, 1.05);
    s.new_failures = uniform(0.8, 1.2);
    s.cold = {0, uniform(3, 12)};
    if (seed % 2 == 1) {
        s.kind = static_cast<fault>(1 + (seed / 4) % 9);
    }
    s.onset = s.kind == fault::fails_later || s.kind == fault::slow_later ? uniform(20, 240) : 0;
    const bool slow =
        s.kind == fault::slow_at_once || s.kind == fault::slow_later ||
        ((s.kind == fault::under_load || s.kind == fault::one_route || s.kind == fault::a_little_worse) &&
         chance(0.4));
    if (s.kind == fault::a_little_worse) {
        s.fault_failures = slow ? 0 : uniform(0.025, 0.05);
        s.fault_slowness = slow ? uniform(1.4, 1.7) : 1;
    } else if (s.kind != fault::none) {
        s.fault_failures = slow ? 0 : uniform(0.2, 1.0);
        s.fault_slowness = slow ? uniform(3, 10) : 1;
    }
    s.fault_route = random() % route_count;
    const double gap = s.kind == fault::under_load ? 30 : uniform(30, 120);
    for (double t = uniform(5, gap); t < s.deadline; t += uniform(0.5 * gap, 1.5 * gap)) {
        s.bursts.push_back({t, t + uniform(5, 20)});
    }
    s.burst_latency = uniform(1.3, 2.5);
    s.burst_failures = uniform(0, 0.03);
    for (double t = uniform(0, 60); t < s.deadline; t += uniform(20, 150)) {
        s.churn.push_back({{t, t + uniform(1, 6)}, static_cast<std::size_t>(random() % 2)});
    }
    if (chance(0.15)) {
        const double begin = uniform(0, 120);
        s.outage = window{begin, begin + uniform(60, 240)};
    }
    if (chance(0.15)) {
        const double begin = uniform(10, 150);
        s.restart = window{begin, begin + uniform(3, 8)};
    }
    return s;
}

/// Observes every request to the new version without delay and knows the old version's true rates, but not
/// the fault.
class uninformed_observer {
public:
    /// `shift` is the logarithm of the latency divided by the median of a good version; empty for a failed
    /// request. Returns true when the odds for any fault hypothesis reach a million to one.
    bool add(std::size_t route, double failure_rate, std::optional<double> shift) {
        bool found = false;
        for (auto* sums : {&sums_[route], &sums_[route_count]}) {
            for (std::size_t i = 0; i < hypotheses; ++i) {
                (*sums)[i] = std::max(0.0, (*sums)[i] + increment(i, failure_rate, shift));
                found =
                    found || (*sums)[i] >= detectable_log_ratio + std::log(hypotheses * (route_count + 1.0));
            }
        }
        return found;
    }

private:
    static constexpr std::array<double, 5> odds_ratios{3, 6, 20, 100, 600};
    static constexpr std::array<double, 4> latency_factors{1.5, 2, 4, 8};
    static constexpr std::size_t hypotheses = odds_ratios.size() + latency_factors.size();

    static double increment(std::size_t i, double failure_rate, std::optional<double> shift) {
        if (i < odds_ratios.size()) {
            const double odds = failure_rate / (1 - failure_rate) * odds_ratios.at(i);
            const double rate = odds / (1 + odds);
            return shift ? std::log((1 - rate) / (1 - failure_rate)) : std::log(rate / failure_rate);
        }
        const double factor = std::log(latency_factors.at(i - odds_ratios.size()));
        return shift ? (2 * *shift - factor) * factor / (2 * latency_sigma * latency_sigma) : 0;
    }

    std::array<std::array<double, hypotheses>, route_count + 1> sums_{};
};

/// The platform's table with conditional writes, outages and lost responses.
class simulated_table {
public:
    struct result {
        moves::write_result status = moves::write_result::written;
        std::string etag;
    };
    result put(const moves::write_row& write, bool available, bool lose_response) {
        if (!available) {
            return {moves::write_result::unavailable, {}};
        }
        const auto found = rows_.find(write.key);
        const auto& expected_etag = write.condition.etag;
        const bool matches = expected_etag ? found != rows_.end() && found->second.etag == *expected_etag
                                           : found == rows_.end();
        if (!matches) {
            return {moves::write_result::conflict, {}};
        }
        const std::string etag = std::to_string(++counter_);
        rows_[write.key] = {write.key, write.value, etag};
        return {lose_response ? moves::write_result::unknown : moves::write_result::written, etag};
    }
    [[nodiscard]] std::optional<platform::row> get(const std::string& key) const {
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt : std::optional{found->second};
    }
    [[nodiscard]] std::vector<platform::row> list() const {
        std::vector<platform::row> rows;
        for (const auto& [key, row] : rows_) {
            rows.push_back(row);
        }
        return rows;
    }

private:
    std::map<std::string, platform::row> rows_;
    std::uint64_t counter_ = 0;
};

/// Raises the traffic share in fixed steps by time and takes back when more than 5% of the new version's
/// requests of the last 30 s failed.
class naive_owner {
public:
    moves::actions on_evidence(const moves::counter_map& increments, double t, const moves::move_row& base) {
        double requests = 0;
        double failures = 0;
        for (const auto& [key, values] : increments) {
            const auto parsed = moves::parse_evidence_key(key);
            if (parsed && parsed->version == base.to) {
                const auto counts = moves::from_vector(values);
                requests += static_cast<double>(counts.requests);
                failures += static_cast<double>(counts.failures + counts.connection_failures);
            }
        }
        window_.push_back({t, requests, failures});
        while (t - window_.front()[0] > window_seconds) {
            window_.pop_front();
        }
        double sum = 0;
        double bad = 0;
        for (const auto& entry : window_) {
            sum += entry[1];
            bad += entry[2];
        }
        row_.id = base.id;
        row_.service = base.service;
        row_.from = base.from;
        row_.to = base.to;
        row_.epoch = 1;
        ++row_.revision;
        if (row_.state != moves::move_state::taken_back && sum >= 20 && bad > error_limit * sum) {
            row_.state = moves::move_state::taken_back;
            row_.share = row_.share_non_idempotent = 0;
            return {moves::publish{moves::take_back_record(row_, "naive", {})}};
        }
        if (row_.state == moves::move_state::taken_back) {
            return {};
        }
        constexpr std::array<double, 5> shares{0.01, 0.05, 0.25, 0.5, 1.0};
        const auto step =
            std::min<std::size_t>(static_cast<std::size_t>(t / step_seconds), shares.size() - 1);
        row_.share = row_.share_non_idempotent = shares.at(step);
        row_.state = step + 1 == shares.size() ? moves::move_state::complete : moves::move_state::ramping;
        return {moves::publish{moves::directive_record(row_)}};
    }
    [[nodiscard]] const moves::move_row& row() const { return row_; }

private:
    static constexpr double window_seconds = 30;
    static constexpr double step_seconds = 60;
    static constexpr double error_limit = 0.05;
    std::deque<std::array<double, 3>> window_;
    moves::move_row row_;
};

} // namespace endive::moves_bench
