#include "endive/moves.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace endive::moves {

namespace {

constexpr std::size_t signal_count = 4;
// Requests to the new version in a row, without one to the old version, after which the old version counts as
// gone: at a share of 50% that many happen by chance once in a million.
constexpr double old_gone_after = 20;
constexpr double recent_seconds = 10;

/// Rates below these floors are never held against the new version.
double floor_of(signal what) {
    switch (what) {
    case signal::failures:
        return 0.004;
    case signal::slow:
        return 0.08;
    case signal::connections:
        return 0.30; // one dead endpoint of a few refuses up to a third of the connections until it is
                     // ejected
    case signal::cold_failures:
        return 0.30; // a cold start may fail some requests; only a version that fails most of them is bad
    }
    return 0.30;
}

/// Baseline when the old version has no traffic any more, so that load cannot be told from the comparison.
double remembered_rate(signal what, double rate) {
    switch (what) {
    case signal::failures:
        return std::min(0.5, 3 * rate + 0.02);
    case signal::slow:
        return std::max(0.8, rate); // a burst that doubles the latency makes about 70% slow
    case signal::connections:
    case signal::cold_failures:
        return std::max(0.35, rate);
    }
    return rate;
}

paired_counts counts_of(signal what, const evidence_counts& old_counts, const evidence_counts& new_counts,
                        double seconds) {
    const auto number = [](std::uint64_t value) { return static_cast<double>(value); };
    const auto reached = [&](const evidence_counts& c) { return number(c.requests - c.connection_failures); };
    const auto done = [&](const evidence_counts& c) { return reached(c) - number(c.failures); };
    switch (what) {
    case signal::failures:
        return {reached(old_counts), number(old_counts.failures), reached(new_counts),
                number(new_counts.failures), seconds};
    case signal::slow:
        return {done(old_counts), number(old_counts.slow), done(new_counts), number(new_counts.slow),
                seconds};
    case signal::connections:
        return {number(old_counts.requests), number(old_counts.connection_failures),
                number(new_counts.requests), number(new_counts.connection_failures), seconds};
    case signal::cold_failures:
        break;
    }
    return {number(old_counts.cold_requests), number(old_counts.cold_failures),
            number(new_counts.cold_requests), number(new_counts.cold_failures), seconds};
}

/// One signal of one route.
class signal_test {
public:
    signal_test(signal what, const rule_settings& settings)
        : what_{what}, settings_{settings}, rule_{make_rule(settings)} {}

    void add(const paired_counts& increment) {
        pending_.old_total += increment.old_total;
        pending_.old_bad += increment.old_bad;
        pending_.new_total += increment.new_total;
        pending_.new_bad += increment.new_bad;
        pending_.seconds += increment.seconds;
        // Counts of the old version alone change no verdict, and a canary's requests are rare.
        if (pending_.new_total > 0 || pending_.seconds >= max_pending_seconds) {
            flush();
        }
    }

    [[nodiscard]] double strength() const { return rule_->evidence(); }

    [[nodiscard]] signal_evidence evidence(const std::string& route) const {
        return {route,
                what_,
                total_.old_total,
                total_.old_bad,
                total_.new_total,
                total_.new_bad,
                rule_->evidence()};
    }
    [[nodiscard]] const paired_counts& recent() const { return recent_; }

    void reset() {
        rule_ = make_rule(settings_);
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
        note(counts);
        if (counts.old_total > 0) {
            new_since_old_ = 0;
        } else {
            new_since_old_ += counts.new_total;
        }
        if (new_since_old_ > old_gone_after && what_ != signal::cold_failures) {
            const double rate = remembered_rate(what_, old_rate_);
            counts.old_total = 20 * counts.new_total;
            counts.old_bad = rate * counts.old_total;
        }
        rule_->add(counts);
    }

    void note(const paired_counts& counts) {
        const double factor = std::exp(-counts.seconds / recent_seconds);
        recent_.old_total = recent_.old_total * factor + counts.old_total;
        recent_.old_bad = recent_.old_bad * factor + counts.old_bad;
        recent_.new_total = recent_.new_total * factor + counts.new_total;
        recent_.new_bad = recent_.new_bad * factor + counts.new_bad;
        total_.old_total += counts.old_total;
        total_.old_bad += counts.old_bad;
        total_.new_total += counts.new_total;
        total_.new_bad += counts.new_bad;
        if (counts.old_total > 0) {
            old_rate_ = recent_.old_bad / recent_.old_total;
        }
    }

    signal what_;
    rule_settings settings_;
    std::unique_ptr<sequential_rule> rule_;
    paired_counts pending_ = no_counts;
    paired_counts recent_;
    paired_counts total_;
    double old_rate_ = 0;
    double new_since_old_ = 0;
};

} // namespace

struct verdict_tests::state {
    decision_settings settings;
    double threshold = 0;
    std::map<std::string, std::vector<signal_test>, std::less<>> routes;
};

verdict_tests::verdict_tests(const decision_settings& settings, double threshold)
    : state_{std::make_unique<state>()} {
    state_->settings = settings;
    state_->threshold = threshold;
}
verdict_tests::~verdict_tests() = default;
verdict_tests::verdict_tests(verdict_tests&&) noexcept = default;
verdict_tests& verdict_tests::operator=(verdict_tests&&) noexcept = default;

void verdict_tests::add(const std::string& route, bool idempotent, const evidence_counts& old_counts,
                        const evidence_counts& new_counts, double seconds) {
    auto& tests = state_->routes[route];
    if (tests.empty()) {
        const double cut = idempotent ? 0 : state_->settings.non_idempotent_threshold_cut;
        for (std::size_t i = 0; i < signal_count; ++i) {
            const auto what = static_cast<signal>(i);
            tests.emplace_back(what,
                               rule_settings{state_->settings.rule, state_->threshold - cut, floor_of(what)});
        }
    }
    for (std::size_t i = 0; i < signal_count; ++i) {
        tests[i].add(counts_of(static_cast<signal>(i), old_counts, new_counts, seconds));
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
    // A higher weight on taking back asks for less evidence before traffic stops, and for more before it
    // grows.
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
