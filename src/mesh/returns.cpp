#include "endive/mesh.h"

#include <algorithm>

namespace endive::mesh {
namespace {

/// Deadlines are given in milliseconds, and an attempt may be read late by some.
constexpr duration deadline_tolerance = milliseconds{30};
/// Callers come back early by no more than this: timers and the rounding of the time that they were told.
constexpr duration return_tolerance = milliseconds{10};
/// Maximum number of refused callers that are remembered; the earliest are forgotten first.
constexpr std::size_t max_waiting = 512;
/// Callers of a route are expected to come back for this long after one did.
constexpr duration return_memory = std::chrono::seconds{10};

} // namespace

void return_tracker::on_refused(std::uint64_t target, time_point deadline, const earlier_attempts& attempts,
                                time_point now) {
    std::erase_if(waiting_, [&](const waiting_caller& entry) {
        const bool expired = entry.deadline <= now;
        missed_ += expired && entry.attempts.due < entry.deadline ? 1 : 0;
        return expired;
    });
    if (waiting_.size() >= max_waiting) {
        waiting_.pop_front();
    }
    waiting_.push_back({target, deadline, attempts});
}

std::optional<return_tracker::earlier_attempts> return_tracker::on_arrival(const std::string& route,
                                                                           std::uint64_t target,
                                                                           time_point deadline,
                                                                           time_point now) {
    const auto found = std::find_if(waiting_.begin(), waiting_.end(), [&](const waiting_caller& entry) {
        const auto difference = entry.deadline - deadline;
        return entry.target == target && entry.deadline > now && difference <= deadline_tolerance &&
               difference >= -deadline_tolerance;
    });
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    const auto attempts = found->attempts;
    waiting_.erase(found);
    last_returns_[route] = now;
    return attempts;
}

bool return_tracker::is_on_time(const earlier_attempts& earlier, time_point now) {
    return earlier.due != time_point::max() && now + return_tolerance >= earlier.due;
}

bool return_tracker::comes_back(const std::string& route, time_point now) const {
    const auto found = last_returns_.find(route);
    return found != last_returns_.end() && now - found->second < return_memory;
}

} // namespace endive::mesh
