#pragma once
/// Seeded random numbers, reproducible on every platform.

#include "endive/base.h"

namespace endive::distribution {

class random_source {
public:
    explicit random_source(std::uint64_t seed) : state_{seed} {}

    /// SplitMix64.
    std::uint64_t next() {
        state_ += 0x9e3779b97f4a7c15ULL;
        auto value = state_;
        value = (value ^ (value >> 30)) * 0xbf58476d1ce4e5b9ULL;
        value = (value ^ (value >> 27)) * 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

    /// Precondition: `bound` is positive.
    std::uint64_t below(std::uint64_t bound) { return next() % bound; }

    /// From 0 (included) to 1 (excluded).
    double unit() { return static_cast<double>(next() >> 11) * 0x1.0p-53; }

    /// Uniform between half and one and a half of `mean`.
    duration jittered(duration mean) {
        return duration{static_cast<duration::rep>(static_cast<double>(mean.count()) * (0.5 + unit()))};
    }

private:
    std::uint64_t state_;
};

/// Jittered exponential backoff.
class backoff {
public:
    backoff(duration first, duration longest) : first_{first}, longest_{longest} {}
    void reset() { failures_ = 0; }
    duration next(random_source& random) {
        const auto doubled = first_ * (1LL << std::min(failures_, 20));
        ++failures_;
        return random.jittered(std::min<duration>(doubled, longest_));
    }
    [[nodiscard]] int failures() const { return failures_; }

private:
    duration first_;
    duration longest_;
    int failures_ = 0;
};

} // namespace endive::distribution
