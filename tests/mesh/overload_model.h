#pragma once
// Simulated callers of one endpoint, of several tenants, who come back once after a refusal. No network.

#include "endive/mesh.h"

#include <functional>
#include <random>

namespace endive::mesh::test {

struct overload_settings {
    std::uint32_t slots = 12;
    milliseconds service_time{120}; ///< mean
    milliseconds latency_target{400};
    milliseconds timeout{2500};
    /// Requests per second of each tenant at a time since the start.
    std::function<double(std::size_t tenant, double second)> rate;
    std::size_t tenants = 1;
    double retry_share = 0.9;     ///< of the refused callers; they come back once
    bool remember_returns = true; ///< callers who come back on time are known as such
    bool know_tenants = true;
    int seconds = 15;
    std::uint64_t seed = 1;
};

struct overload_result {
    struct counts {
        int offered = 0; ///< callers
        int served = 0;  ///< before the caller's deadline
        int on_time = 0;
        int refused_twice = 0;
        [[nodiscard]] double served_share() const { return offered == 0 ? 1.0 : double(served) / offered; }
    };
    counts all;
    std::vector<counts> tenants;
    /// Mean served share of the tenth of the tenants that is served worst.
    [[nodiscard]] double worst_tenth() const;
};

[[nodiscard]] overload_result run_overload(const overload_settings& settings);

} // namespace endive::mesh::test
