#include "daemon/observation_buffer.h"

#include <functional>
#include <iterator>
#include <thread>

namespace endive::daemon {

void observation_buffer::add(const model::call_observation& observation) {
    const auto slot = std::hash<std::thread::id>{}(std::this_thread::get_id()) % shard_count;
    shard& part = shards_[slot];
    const std::lock_guard lock{part.mutex};
    if (part.entries.size() >= shard_capacity) {
        dropped_.fetch_add(1, std::memory_order_relaxed);
        return;
    }
    part.entries.push_back(observation);
}

std::vector<model::call_observation> observation_buffer::take() {
    std::vector<model::call_observation> all;
    for (shard& part : shards_) {
        std::vector<model::call_observation> taken;
        {
            const std::lock_guard lock{part.mutex};
            taken.swap(part.entries);
        }
        std::move(taken.begin(), taken.end(), std::back_inserter(all));
    }
    return all;
}

} // namespace endive::daemon
