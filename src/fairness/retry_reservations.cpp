#include "endive/fairness.h"

#include <algorithm>
#include <cmath>

namespace endive::fairness {
namespace {

constexpr duration interval_length = milliseconds{50};
/// Reservations are made for this many intervals, which is longer than a third of most callers' time.
constexpr std::size_t max_intervals = 100;
/// Weight that remains of the earlier reservations and returns after each interval: about the last second.
constexpr double interval_decay = 0.95;
/// Number of due reservations from which the share that is used is known.
constexpr double min_due = 5;
/// A share below it would promise the same capacity to too many when callers come back after all.
constexpr double min_used_share = 0.2;

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

duration from_seconds(double value) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
}

} // namespace

void retry_reservations::advance(time_point now) {
    const std::int64_t current = now.time_since_epoch() / interval_length;
    if (current - first_ > static_cast<std::int64_t>(max_intervals)) {
        intervals_.clear();
        first_ = current;
    }
    while (first_ < current) {
        const auto passed = intervals_.empty() ? interval{} : intervals_.front();
        due_ = due_ * interval_decay + passed.reservations;
        returned_ *= interval_decay;
        if (!intervals_.empty()) {
            intervals_.pop_front();
        }
        ++first_;
    }
    if (due_ >= min_due) {
        used_share_ = std::clamp(returned_ / due_, min_used_share, 1.0);
    }
    intervals_.resize(max_intervals);
}

reservation retry_reservations::reserve(duration work, duration earliest, duration latest, double free_slots,
                                        time_point now) {
    advance(now);
    const double length = seconds_of(interval_length);
    const double capacity = free_slots * length;
    double remaining = seconds_of(work) * used_share_;
    const auto begin = now + earliest;
    const auto first = static_cast<std::size_t>(
        std::max<std::int64_t>(0, begin.time_since_epoch() / interval_length - first_));
    for (std::size_t index = first; index < intervals_.size(); ++index) {
        auto& entry = intervals_[index];
        if (entry.reserved_s >= capacity) {
            continue;
        }
        const auto start = time_point{interval_length * (first_ + static_cast<std::int64_t>(index))};
        const auto at = std::max(begin, start + from_seconds(length * entry.reserved_s / capacity));
        if (at - now > latest) {
            return {at - now, false};
        }
        entry.reservations += 1;
        for (; remaining > 0 && index < intervals_.size(); ++index) {
            const double taken = std::clamp(capacity - intervals_[index].reserved_s, 0.0, remaining);
            intervals_[index].reserved_s += taken;
            remaining -= taken;
        }
        return {at - now, true};
    }
    return {std::max(earliest, interval_length * static_cast<std::int64_t>(max_intervals)), false};
}

void retry_reservations::on_return(time_point now) {
    advance(now);
    returned_ += 1;
}

duration spread_wait(duration told, duration latest, std::uint64_t random) {
    if (told >= latest) {
        return told;
    }
    const double position = std::ldexp(static_cast<double>(random), -64);
    return told + from_seconds(position * seconds_of(latest - told));
}

} // namespace endive::fairness
