#pragma once
/// Buffer between the request threads, which write observations, and the control thread, which reads them.

#include "endive/model.h"

#include <array>

namespace endive::daemon {

/// Sharded by writing thread, each shard under its own lock and bounded. Thread safe.
class observation_buffer {
public:
    explicit observation_buffer(counter_set& counters) : dropped_{counters.at("observations_dropped")} {}
    void add(const model::call_observation& observation);
    /// Takes all observations; order is kept within a thread only.
    [[nodiscard]] std::vector<model::call_observation> take();

private:
    static constexpr std::size_t shard_count = 16;
    // Two hundred times the calls of one daemon in a control tick at the target load of 100 a second.
    static constexpr std::size_t shard_capacity = 2048;
    struct shard {
        std::mutex mutex;
        std::vector<model::call_observation> entries;
    };
    std::array<shard, shard_count> shards_;
    std::atomic<std::uint64_t>& dropped_;
};

} // namespace endive::daemon
