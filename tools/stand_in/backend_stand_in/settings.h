#pragma once
/// Settings of the backend stand-in.

#include "endive/base.h"

namespace stand_in {

struct backend_settings {
    std::uint16_t port = 0;
    std::string service = "service";
    std::string version = "v1";
    std::int64_t slots = 12;
    std::int64_t connections = 120;
    double service_time_ms = 1.0;
    std::int64_t cold_start_ms = 0;
    double cold_start_slowdown = 1.0; ///< factor on the service time during the cold start
    std::string announce;             ///< admin address of the daemon; empty: no announcement
    std::string advertised_address;   ///< announced instead of the own address, such as that of a proxy
    std::int64_t drain_ms = 1000;     ///< minimum time between SIGTERM and exit
};

/// Reads the flags, then the file of `--settings`, whose values take precedence. Throws `endive::error`.
[[nodiscard]] backend_settings read_settings();

} // namespace stand_in
