#pragma once
// Simulated fleet: recorded arrivals at many daemons, endpoints of changing pace, old knowledge of the load.

#include "endive/scheduling.h"

namespace endive::scheduling::test {

enum class choice_rule : std::uint8_t {
    by_count,       ///< by the latency target and the number of requests at the endpoint
    by_cost,        ///< by learned costs
    full_knowledge, ///< earliest completion by the actual state of all endpoints and the actual work
};

struct request_class {
    std::string route = "r";
    std::string method = "GET";
    std::size_t body_bytes = 0;
    milliseconds work{200}; ///< mean
    milliseconds target{800};
    milliseconds deadline{2500};
    double share = 1;
};

struct fleet_settings {
    std::size_t endpoints = 21;
    std::size_t domains = 3;
    std::size_t daemons = 12;
    std::uint32_t slots = 12;
    double min_pace = 1; ///< paces of the endpoints are spread evenly from here
    double max_pace = 1;
    bool reports_pace = false;
    double slow_share = 0; ///< of the endpoints, in each period of 600 ms
    double slow_factor = 2.5;
    std::size_t restarting = 0; ///< endpoints that are cold for 3 s at the second 8 and again at 16
    double swing = 0;           ///< of the demand, in 13 s
    bool moves = false;         ///< the swings of the failure domains differ in phase
    double link_mbps = 0;       ///< of the endpoints' VMs; 0: unlimited
    double utilization = 0.75;
    std::vector<request_class> classes{{}};
    int seconds = 30;
    std::uint64_t seed = 1;
};

struct arrival {
    time_point at;
    std::size_t daemon = 0;
    std::size_t kind = 0;
    duration work{0};
};

struct fleet_result {
    duration p50{0};
    duration p99{0};
    double in_target = 0; ///< share of all requests
    double refused = 0;   ///< share of all requests
};

[[nodiscard]] std::vector<arrival> record_arrivals(const fleet_settings& settings);
[[nodiscard]] fleet_result run_fleet(const fleet_settings& settings, const std::vector<arrival>& arrivals,
                                     choice_rule rule);

} // namespace endive::scheduling::test
