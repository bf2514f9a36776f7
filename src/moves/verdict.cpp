#include "endive/moves.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace endive::moves {

namespace {

constexpr std::size_t signal_count = 4;
// Below this fraction of traffic on the old version the comparison alone takes too long.
constexpr double min_old_fraction = 0.05;
constexpr double concurrent_seconds = 2;
constexpr double recent_seconds = 10;

/// Lower bound of the assumed baseline rate; lower rates of the new version never count against it.
double rate_floor_of(signal what) {
    switch (what) {
    case signal::failures:
        return 0.004;
    case signal::slow:
        return 0.08;
    case signal::connections:
        // One dead endpoint of three raises the rate to 0.33, above this floor. It is ejected within seconds,
        // before enough evidence accumulates for a verdict.
        return 0.20;
    case signal::cold_failures:
        return 0.30; // a cold start may fail some requests; a bad version fails most of them
    }
    return 0.30;
}

/// Baseline rate for when the old version has too little traffic to separate a fault from load: its last
/// known rate plus a margin for load.
double fallback_rate(signal what, const paired_counts& last_known) {
    constexpr double prior_requests = 30;
    // After a restart of this process there are no known rates, and backend servers that restart at the same
    // time fail some requests.
    const double prior_rate = what == signal::failures ? 0.05 : rate_floor_of(what);
    const double rate =
        (last_known.old_bad + prior_rate * prior_requests) / (last_known.old_total + prior_requests);
    switch (what) {
    case signal::failures:
        return std::min(0.5, 3 * rate + 0.02);
    case signal::slow:
        return std::max(0.8, rate); // a load burst that doubles the latency makes about 70% slow
    case signal::connections:
    case signal::cold_failures:
        return std::max(0.35, rate);
    }
    return rate;
}

paired_counts counts_of(signal what, const evidence_counts& old_counts, const evidence_counts& new_counts,
                        double seconds) {
    const auto to_double = [](std::uint64_t value) { return static_cast<double>(value); };
    const auto reached = [&](const evidence_counts& c) {
        return to_double(c.requests - c.connection_failures);
    };
    const auto succeeded = [&](const evidence_counts& c) { return reached(c) - to_double(c.failures); };
    switch (what) {
    case signal::failures:
        return {reached(old_counts), to_double(old_counts.failures), reached(new_counts),
                to_double(new_counts.failures), seconds};
    case signal::slow:
        return {succeeded(old_counts), to_double(old_counts.slow), succeeded(new_counts),
                to_double(new_counts.slow), seconds};
    case signal::connections:
        return {to_double(old_counts.requests), to_double(old_counts.connection_failures),
                to_double(new_counts.requests), to_double(new_counts.connection_failures), seconds};
    case signal::cold_failures:
        break;
    }
    return {to_double(old_counts.cold_requests), to_double(old_counts.cold_failures),
            to_double(new_counts.cold_requests), to_double(new_counts.cold_failures), seconds};
}

/// Sum over the routes. The old version's bad requests are reweighted to the new version's mix of routes,
/// which differs because non-idempotent routes have a smaller traffic share.
class pooled_counts {
public:
    void add(const paired_counts& counts) {
        // Not smoothed: shrinkage to earlier rates makes the start of a load burst look like a fault.
        const double rate = counts.old_total > 0 ? counts.old_bad / counts.old_total : 0;
        sum_.old_total += counts.old_total;
        sum_.old_bad += counts.old_bad;
        // A route without old requests in this interval has no concurrent baseline, so its weight is zero.
        const double weight =
            counts.new_total > 0 ? counts.old_total / (counts.old_total + counts.new_total) : 0;
        sum_.new_total += weight * counts.new_total;
        sum_.new_bad += weight * counts.new_bad;
        expected_ += rate * weight * counts.new_total;
    }
    [[nodiscard]] paired_counts result(double seconds) const {
        paired_counts counts = sum_;
        counts.seconds = seconds;
        if (counts.new_total > 0) {
            counts.old_bad = counts.old_total * expected_ / counts.new_total;
        }
        return counts;
    }

private:
    paired_counts sum_;
    double expected_ = 0; ///< bad requests of the new version at the old version's rates
};

/// Sequential tests of one signal of one route.
class signal_test {
public:
    signal_test(signal what, const rule_settings& settings)
        : what_{what}, settings_{settings}, rule_{make_rule(settings)}, fallback_rule_{make_rule(settings)} {}

    void add(const paired_counts& increment) {
        pending_.old_total += increment.old_total;
        pending_.old_bad += increment.old_bad;
        pending_.new_total += increment.new_total;
        pending_.new_bad += increment.new_bad;
        pending_.seconds += increment.seconds;
        // Counts of the old version alone change no verdict, and a canary gets few requests, so intervals are
        // merged until one has a request to the new version.
        if (pending_.new_total > 0 || pending_.seconds >= max_pending_seconds) {
            flush();
        }
    }

    [[nodiscard]] double strength() const { return std::max(rule_->evidence(), fallback_rule_->evidence()); }

    [[nodiscard]] signal_evidence evidence(const std::string& route) const {
        return {route, what_, total_.old_total, total_.old_bad, total_.new_total, total_.new_bad, strength()};
    }
    [[nodiscard]] const paired_counts& recent() const { return recent_; }

    void reset() {
        rule_ = make_rule(settings_);
        fallback_rule_ = make_rule(settings_);
        recent_ = {};
        pending_ = no_counts;
    }

private:
    static constexpr paired_counts no_counts{0, 0, 0, 0, 0};
    static constexpr double max_pending_seconds = 1;

    void flush() {
        paired_counts counts = std::exchange(pending_, no_counts);
        if (counts.old_total + counts.new_total <= 0) {
            return;
        }
        update_windows(counts);
        rule_->add(counts);
        if (old_fraction() < min_old_fraction || what_ == signal::cold_failures) {
            const double rate = fallback_rate(what_, last_known_);
            counts.old_total = 20 * counts.new_total;
            counts.old_bad = rate * counts.old_total;
            fallback_rule_->add(counts);
        }
    }

    void update_windows(const paired_counts& counts) {
        const double factor = std::exp(-counts.seconds / recent_seconds);
        recent_.old_total = recent_.old_total * factor + counts.old_total;
        recent_.old_bad = recent_.old_bad * factor + counts.old_bad;
        recent_.new_total = recent_.new_total * factor + counts.new_total;
        recent_.new_bad = recent_.new_bad * factor + counts.new_bad;
        total_.old_total += counts.old_total;
        total_.old_bad += counts.old_bad;
        total_.new_total += counts.new_total;
        total_.new_bad += counts.new_bad;
        const double concurrent_factor = std::exp(-counts.seconds / concurrent_seconds);
        concurrent_old_ = concurrent_old_ * concurrent_factor + counts.old_total;
        concurrent_new_ = concurrent_new_ * concurrent_factor + counts.new_total;
        if (old_fraction() >= min_old_fraction) {
            last_known_ = recent_;
        }
    }

    [[nodiscard]] double old_fraction() const {
        return concurrent_old_ / std::max(concurrent_old_ + concurrent_new_, 1e-9);
    }

    signal what_;
    rule_settings settings_;
    std::unique_ptr<sequential_rule> rule_;          ///< against the concurrent requests of the old version
    std::unique_ptr<sequential_rule> fallback_rule_; ///< against the last known rate of the old version
    paired_counts pending_ = no_counts;
    paired_counts recent_;
    paired_counts total_;
    paired_counts last_known_; ///< `recent_` while the old version last had enough traffic
    double concurrent_old_ = 0;
    double concurrent_new_ = 0;
};

} // namespace

struct verdict_tests::state {
    decision_settings settings;
    double threshold = 0;
    std::map<std::string, std::vector<signal_test>, std::less<>> routes;

    std::vector<signal_test>& tests_of(const std::string& route, bool idempotent) {
        auto& tests = routes[route];
        const double reduction = idempotent ? 0 : settings.non_idempotent_threshold_reduction;
        for (std::size_t i = tests.size(); i < signal_count; ++i) {
            const auto what = static_cast<signal>(i);
            tests.emplace_back(what,
                               rule_settings{settings.rule, threshold - reduction, rate_floor_of(what)});
        }
        return tests;
    }
};

verdict_tests::verdict_tests(const decision_settings& settings, double threshold)
    : state_{std::make_unique<state>()} {
    state_->settings = settings;
    state_->threshold = threshold;
}
verdict_tests::~verdict_tests() = default;
verdict_tests::verdict_tests(verdict_tests&&) noexcept = default;
verdict_tests& verdict_tests::operator=(verdict_tests&&) noexcept = default;

void verdict_tests::add(std::span<const paired_evidence> routes, double seconds) {
    std::array<pooled_counts, signal_count> pooled;
    for (const auto& item : routes) {
        auto& tests = state_->tests_of(item.route, item.idempotent);
        for (std::size_t i = 0; i < signal_count; ++i) {
            const auto counts = counts_of(static_cast<signal>(i), item.old_counts, item.new_counts, seconds);
            tests[i].add(counts);
            pooled[i].add(counts);
        }
    }
    auto& tests = state_->tests_of(std::string{pooled_route}, true);
    for (std::size_t i = 0; i < signal_count; ++i) {
        tests[i].add(pooled[i].result(seconds));
    }
}

signal_evidence verdict_tests::strongest() const {
    const signal_test* best = nullptr;
    const std::string* best_route = nullptr;
    for (const auto& [route, tests] : state_->routes) {
        for (const auto& test : tests) {
            if (test.strength() > (best == nullptr ? 0 : best->strength())) {
                best = &test;
                best_route = &route;
            }
        }
    }
    return best == nullptr ? signal_evidence{} : best->evidence(*best_route);
}

std::vector<signal_evidence> verdict_tests::all() const {
    std::vector<signal_evidence> result;
    for (const auto& [route, tests] : state_->routes) {
        for (const auto& test : tests) {
            result.push_back(test.evidence(route));
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const auto& a, const auto& b) { return a.evidence > b.evidence; });
    return result;
}

std::optional<paired_counts> verdict_tests::recent(const std::string& route, signal what) const {
    const auto position = state_->routes.find(route);
    if (position == state_->routes.end()) {
        return std::nullopt;
    }
    return position->second.at(static_cast<std::size_t>(what)).recent();
}

void verdict_tests::reset() {
    for (auto& [route, tests] : state_->routes) {
        for (auto& test : tests) {
            test.reset();
        }
    }
}

decision_settings settings_for(const model::measure_weights& weights) {
    decision_settings settings;
    // A higher weight of taking back requires less evidence to stop the traffic and more evidence to raise
    // the share.
    const double shift = 0.06 * (weights.take_back - 25);
    settings.take_back_threshold = std::clamp(14 - shift, 11.0, 15.0);
    settings.hold_threshold = settings.take_back_threshold + 1;
    if (weights.take_back >= 40) {
        settings.canary_share = config::canary_share / 2;
        settings.canary_share_non_idempotent = config::canary_share_non_idempotent / 2;
        settings.caution = 1.5;
    } else if (weights.on_time > weights.take_back) {
        settings.caution = 0.75;
    }
    return settings;
}

} // namespace endive::moves
