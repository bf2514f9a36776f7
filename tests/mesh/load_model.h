#pragma once
// Simulated load on one gate: random arrivals at a given rate, random service times, no network.

#include "endive/mesh.h"

#include <random>

namespace endive::mesh::test {

struct load_settings {
    std::uint32_t slots = 12;
    double rate = 100; ///< requests per second
    double burst_factor = 1;
    milliseconds burst_every{1000};
    milliseconds burst_length{0};
    double urgent_share = 0;
    milliseconds service_time{120}; ///< mean
    milliseconds latency_target{400};
    milliseconds deadline{1200};
    /// Arrival rate of additional short requests, per second; none by default.
    double short_rate = 0;
    milliseconds short_service_time{70};
    milliseconds short_target{400};
    milliseconds short_deadline{500};
    /// Share of requests whose target has already passed, such as retries after a refusal.
    double retried_share = 0;
    /// Number of daemons that forward the requests, each with its cache of refusals; 0: all requests are
    /// offered.
    std::size_t first_hops = 0;
    int seconds = 20;
    std::uint64_t seed = 1;
};

struct load_result {
    int on_time = 0;
    int late = 0;
    int failed = 0; ///< ran and missed the deadline
    int refused = 0;
    int not_sent = 0; ///< refused by the first hop; included in `refused`
    int urgent_offered = 0;
    int urgent_served = 0;
    int short_offered = 0;
    int short_served = 0; ///< included in `served`
    milliseconds median_refusal_wait{0};
    [[nodiscard]] int served() const { return on_time + late; }
    [[nodiscard]] int offered() const { return on_time + late + failed + refused; }
};

[[nodiscard]] load_result run_load(const load_settings& settings);

} // namespace endive::mesh::test
