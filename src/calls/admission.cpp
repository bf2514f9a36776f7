#include "endive/calls.h"

namespace endive::calls {
namespace {

[[nodiscard]] duration expected_wait(std::size_t calls_ahead, const admission_load& load) {
    if (load.capacity == 0) {
        return duration{0};
    }
    return load.service_time * static_cast<std::int64_t>(calls_ahead) / load.capacity;
}

[[nodiscard]] std::uint32_t level_of(const admission_request& request) {
    return std::min<std::uint32_t>(request.priority, config::max_priority);
}

} // namespace

std::size_t admission_queue::size() const {
    std::size_t total = 0;
    for (const auto& queue : queues_) {
        total += queue.size();
    }
    return total;
}

result_code admission_queue::rejection_code(const entry& candidate, const admission_load& load,
                                            time_point now) const {
    if (candidate.request.deadline <= now) {
        return result_code::call_deadline_exceeded;
    }
    if (candidate.request.deadline - now < load.service_time) {
        return result_code::call_deadline_too_short;
    }
    if (now - candidate.arrived > settings_.max_queue_time) {
        return result_code::call_overloaded;
    }
    return result_code::ok;
}

std::vector<admission_action> admission_queue::admit(const admission_request& request,
                                                     const admission_load& load, time_point now) {
    const auto reject = [&](result_code code) {
        return std::vector<admission_action>{{request.ticket, admission_decision::rejected, code}};
    };
    const entry candidate{request, now};
    if (const auto code = rejection_code(candidate, load, now); code != result_code::ok) {
        return reject(code);
    }
    if (load.capacity == 0) {
        return reject(result_code::call_no_endpoint);
    }
    if (size() == 0 && load.in_service < load.capacity) {
        return {{request.ticket, admission_decision::start, result_code::ok}};
    }
    const auto level = level_of(request);
    std::size_t calls_ahead = 1;
    for (std::uint32_t i = 0; i <= level; ++i) {
        calls_ahead += queues_[i].size();
    }
    const auto wait = expected_wait(calls_ahead, load);
    if (request.deadline - now < wait + load.service_time) {
        return reject(result_code::call_deadline_too_short);
    }
    if (wait > settings_.max_queue_time) {
        return reject(result_code::call_overloaded);
    }
    std::vector<admission_action> actions{{request.ticket, admission_decision::queued, result_code::ok}};
    if (size() >= settings_.max_queued) {
        auto victim = priority_levels - 1;
        while (victim > level && queues_[victim].empty()) {
            --victim;
        }
        if (victim <= level) {
            return reject(result_code::call_overloaded);
        }
        const auto displaced = queues_[victim].back().request.ticket;
        queues_[victim].pop_back();
        actions.push_back({displaced, admission_decision::rejected, result_code::call_overloaded});
    }
    queues_[level].push_back(candidate);
    return actions;
}

std::vector<admission_action> admission_queue::advance(admission_load load, time_point now) {
    std::vector<admission_action> actions;
    for (auto& queue : queues_) {
        std::erase_if(queue, [&](const entry& candidate) {
            const auto code = rejection_code(candidate, load, now);
            if (code == result_code::ok) {
                return false;
            }
            actions.push_back({candidate.request.ticket, admission_decision::rejected, code});
            return true;
        });
    }
    for (auto& queue : queues_) {
        while (!queue.empty() && load.in_service < load.capacity) {
            actions.push_back({queue.front().request.ticket, admission_decision::start, result_code::ok});
            queue.pop_front();
            ++load.in_service;
        }
    }
    return actions;
}

bool admission_queue::remove(std::uint64_t ticket) {
    std::size_t removed = 0;
    for (auto& queue : queues_) {
        removed += std::erase_if(queue, [&](const entry& e) { return e.request.ticket == ticket; });
    }
    return removed > 0;
}

std::vector<std::uint64_t> admission_queue::take_all() {
    std::vector<std::uint64_t> tickets;
    for (auto& queue : queues_) {
        for (const auto& queued : queue) {
            tickets.push_back(queued.request.ticket);
        }
        queue.clear();
    }
    return tickets;
}

} // namespace endive::calls
