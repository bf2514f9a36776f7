#include "endive/moves.h"

#include <algorithm>
#include <cmath>

namespace endive::moves {

namespace {

/// Estimate of the old version's current rate of bad requests: the maximum of the rates over a slow window, a
/// fast window and the last interval, so that it follows a rising rate, plus one standard error for the
/// uncertainty of the estimate.
class baseline_rate {
public:
    explicit baseline_rate(double floor) : floor_{floor} {}

    void add(const paired_counts& counts) {
        interval_ = counts;
        const double fast = std::exp(-counts.seconds / fast_seconds);
        fast_.old_total = fast_.old_total * fast + counts.old_total;
        fast_.old_bad = fast_.old_bad * fast + counts.old_bad;
        const double concurrent = std::exp(-counts.seconds / concurrent_seconds);
        concurrent_old_ = concurrent_old_ * concurrent + counts.old_total;
        concurrent_new_ = concurrent_new_ * concurrent + counts.new_total;
        if (counts.old_total > 0) {
            const double slow = std::exp(-counts.seconds / slow_seconds);
            slow_total_ = slow_total_ * slow + counts.old_total;
            slow_bad_ = slow_bad_ * slow + counts.old_bad;
        }
    }

    [[nodiscard]] double value() const {
        const double slow = (slow_bad_ + floor_ * prior_requests) / (slow_total_ + prior_requests);
        const auto shrunk_rate = [&](const paired_counts& c) {
            return (c.old_bad + slow * fast_prior_requests) / (c.old_total + fast_prior_requests);
        };
        const double rate = std::max({slow, shrunk_rate(fast_), shrunk_rate(interval_)});
        const double error = std::sqrt(rate * (1 - rate) / (slow_total_ + prior_requests));
        return std::clamp(rate + error, floor_, max_rate);
    }

    /// Weight of the evidence: the old version's fraction of the concurrent requests. With few concurrent old
    /// requests, many new ones are weak evidence: a load burst shows in the new version's counts first.
    [[nodiscard]] double weight() const {
        const double total = concurrent_old_ + concurrent_new_;
        return total > 0 ? concurrent_old_ / total : 0;
    }

private:
    static constexpr double slow_seconds = 30;
    static constexpr double fast_seconds = 2;
    static constexpr double concurrent_seconds = 0.4; // short: old traffic may stop between two intervals
    static constexpr double prior_requests = 20;
    static constexpr double fast_prior_requests = 3;
    static constexpr double max_rate = 0.98;

    double floor_;
    double slow_total_ = 0;
    double slow_bad_ = 0;
    double concurrent_old_ = 0;
    double concurrent_new_ = 0;
    paired_counts fast_;
    paired_counts interval_;
};

/// Log likelihood ratio in nats of the hypothesis that the new version's odds of a bad request are
/// `odds_ratio` times those of the old version, against equal odds.
double log_ratio(const paired_counts& counts, double old_rate, double odds_ratio) {
    const double odds = old_rate / (1 - old_rate) * odds_ratio;
    const double rate = odds / (1 + odds);
    const double good = counts.new_total - counts.new_bad;
    return counts.new_bad * std::log(rate / old_rate) + good * std::log((1 - rate) / (1 - old_rate));
}

/// Two-proportion z-test over consecutive windows of fixed length, evaluated at the end of each.
class fixed_window_z final : public sequential_rule {
public:
    explicit fixed_window_z(const rule_settings& settings) : settings_{settings} {}

    void add(const paired_counts& counts) override {
        window_.old_total += counts.old_total;
        window_.old_bad += counts.old_bad;
        window_.new_total += counts.new_total;
        window_.new_bad += counts.new_bad;
        elapsed_ += counts.seconds;
        if (elapsed_ >= window_seconds) {
            evidence_ = evaluate();
            window_ = {};
            elapsed_ = 0;
        }
    }
    [[nodiscard]] double evidence() const override { return evidence_; }

private:
    static constexpr double window_seconds = 10;
    static constexpr double min_bad = 4;

    [[nodiscard]] double evaluate() const {
        if (window_.new_bad < min_bad) {
            return 0;
        }
        const double total = window_.old_total + window_.new_total;
        const double pooled =
            std::clamp((window_.old_bad + window_.new_bad) / total, settings_.rate_floor, 0.98);
        const double old_rate = window_.old_total > 0 ? window_.old_bad / window_.old_total : 0;
        const double baseline = std::max(old_rate, settings_.rate_floor);
        const double old_total = std::max(window_.old_total, 1.0);
        const double error = std::sqrt(pooled * (1 - pooled) * (1 / window_.new_total + 1 / old_total));
        const double z = (window_.new_bad / window_.new_total - baseline) / error;
        // The tail probability of z is about exp(-z * z / 2), so z * z / 2 is comparable to a threshold in
        // nats.
        return z <= 0 ? 0 : z * z / 2 / settings_.threshold;
    }

    rule_settings settings_;
    paired_counts window_;
    double elapsed_ = 0;
    double evidence_ = 0;
};

/// Wald's sequential probability ratio test against one odds ratio, restarted when it accepts "not worse".
class sprt final : public sequential_rule {
public:
    explicit sprt(const rule_settings& settings) : settings_{settings}, baseline_{settings.rate_floor} {}

    void add(const paired_counts& counts) override {
        baseline_.add(counts);
        sum_ += baseline_.weight() * log_ratio(counts, baseline_.value(), odds_ratio);
        if (sum_ <= -acceptance_bound) {
            sum_ = 0;
        }
    }
    [[nodiscard]] double evidence() const override { return std::max(0.0, sum_ / settings_.threshold); }

private:
    static constexpr double odds_ratio = 4;
    static constexpr double acceptance_bound =
        4; // nats: 2% chance to accept a version that is this much worse

    rule_settings settings_;
    baseline_rate baseline_;
    double sum_ = 0;
};

/// Mean of the likelihood ratios of several odds ratios. Each restarts at 1 when it falls below, so that the
/// test also detects faults that begin late.
class mixture_e_process final : public sequential_rule {
public:
    explicit mixture_e_process(const rule_settings& settings)
        : settings_{settings}, baseline_{settings.rate_floor} {}

    void add(const paired_counts& counts) override {
        baseline_.add(counts);
        if (counts.new_total <= 0) {
            return;
        }
        const double old_rate = baseline_.value();
        const double weight = baseline_.weight();
        for (std::size_t i = 0; i < odds_ratios.size(); ++i) {
            const double step = weight * log_ratio(counts, old_rate, odds_ratios[i]);
            sums_[i] = std::max(0.0, sums_[i] + step);
        }
        evidence_ = log_mean() / settings_.threshold;
    }

    [[nodiscard]] double evidence() const override { return evidence_; }

private:
    // Harmless builds differ by up to about 1.3 in odds. With a smallest ratio of 2, one good version in 20
    // was taken back.
    static constexpr std::array<double, 5> odds_ratios{3, 6, 20, 100, 600};

    [[nodiscard]] double log_mean() const {
        const double top = *std::max_element(sums_.begin(), sums_.end());
        double mean = 0;
        for (const double sum : sums_) {
            mean += std::exp(sum - top);
        }
        return std::max(0.0, top + std::log(mean / static_cast<double>(sums_.size())));
    }

    rule_settings settings_;
    baseline_rate baseline_;
    std::array<double, odds_ratios.size()> sums_{};
    double evidence_ = 0;
};

} // namespace

std::string_view to_string(rule_kind kind) {
    switch (kind) {
    case rule_kind::fixed_window_z:
        return "fixed_window_z";
    case rule_kind::sprt:
        return "sprt";
    case rule_kind::mixture_e_process:
        return "mixture_e_process";
    }
    return "unknown";
}

std::unique_ptr<sequential_rule> make_rule(const rule_settings& settings) {
    switch (settings.kind) {
    case rule_kind::fixed_window_z:
        return std::make_unique<fixed_window_z>(settings);
    case rule_kind::sprt:
        return std::make_unique<sprt>(settings);
    case rule_kind::mixture_e_process:
        break;
    }
    return std::make_unique<mixture_e_process>(settings);
}

} // namespace endive::moves
