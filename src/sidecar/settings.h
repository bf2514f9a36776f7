#pragma once
// Settings of endive_sidecar: a JSON object with the project's own names.

#include "endive/base.h"

namespace endive::sidecar {

struct sidecar_settings {
    std::string name;             ///< of this VM's daemon
    std::string service;          ///< of the backend server on this VM
    std::string endpoint_address; ///< of the backend server
    std::string failure_domain;
    milliseconds heartbeat_interval{1500};
    std::string callers_address;
    std::string peers_address;
    std::string advertised_peer_address; ///< where other daemons reach `peers_address`; empty: there
    std::string readiness_address;
    std::string announcements_address; ///< heartbeats of the backend server
    std::string metrics_address;
    /// Log lines a second: enough for each refusal of a busy VM, and some tens of KB.
    std::int64_t log_lines_per_second = 100;
    std::int64_t memory_mb = 256;
    std::string store_address;
    milliseconds stop_grace{6000}; ///< from SIGTERM until the process is killed
    double retry_ratio = 0.2;      ///< repeats a request that all daemons together may send
    std::int64_t retry_slack = 60; ///< repeats in a window beyond the ratio
    double exposure_share = 0.1;   ///< most of a service's requests that an unproven version may get
    friend bool operator==(const sidecar_settings&, const sidecar_settings&) = default;
};

/// Reads and checks the file. Throws `error` with a `settings_*` code and the key as place. Keys that are not
/// known are ignored, since the platform may add fields.
[[nodiscard]] sidecar_settings read_settings(const std::string& path);

} // namespace endive::sidecar
