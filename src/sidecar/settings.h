#pragma once
// Settings of endive_sidecar, read from a JSON object.

#include "endive/base.h"

namespace endive::sidecar {

struct sidecar_settings {
    std::string name;             ///< of the daemon on this VM
    std::string service;          ///< of the backend server on this VM
    std::string endpoint_address; ///< of the backend server
    std::string failure_domain;
    milliseconds heartbeat_interval{1500};
    std::string callers_address;
    std::string peers_address;
    std::string
        advertised_peer_address; ///< where other daemons reach `peers_address`; that address by default
    std::string readiness_address;
    std::string announcements_address; ///< receives the backend server's heartbeats
    std::string metrics_address;
    /// Maximum log lines per second: enough to log each refusal on a busy VM, at some tens of KB per second.
    std::int64_t log_lines_per_second = 100;
    std::int64_t memory_mb = 256;
    std::int64_t link_mbps = 0; ///< bandwidth of the VM's network link; 0 when unknown
    std::string store_address;
    milliseconds stop_grace{6000};       ///< from SIGTERM until the process is killed
    double retry_ratio = 0.2;            ///< retries per request that all daemons together may send
    double retry_slack = 60;             ///< retries in a window beyond the ratio
    bool first_start = false;            ///< the whole system starts for the first time
    double exposure_share = 0.1;         ///< maximum traffic share of a version not yet proven good
    double exposure_slack = 0;           ///< number of requests that it may get beyond that share
    std::int64_t max_descriptors = 1024; ///< open descriptors that the process may have
    /// Requests with an API key are refused when this daemon's knowledge of the keys may be outdated by more
    /// than `revoke_time`.
    bool fail_closed = false;
    milliseconds revoke_time{5000};
    milliseconds quota_window{5000}; ///< span over which a tenant's quota is judged
    double quota_overage = 0.1;      ///< share of the quota by which all daemons together may exceed it
    double quota_slack = 20;         ///< requests in a window by which they may exceed it besides
    /// `memory_mb` divided by `divisor`, in bytes.
    [[nodiscard]] std::size_t memory_part(std::size_t divisor) const {
        constexpr std::size_t bytes_per_mb = 1024UL * 1024;
        return static_cast<std::size_t>(memory_mb) * bytes_per_mb / divisor;
    }
    friend bool operator==(const sidecar_settings&, const sidecar_settings&) = default;
};

/// Reads and validates the file. Throws `error` with a `settings_*` code and the key as its location. Unknown
/// keys are ignored, since the platform may add fields.
[[nodiscard]] sidecar_settings read_settings(const std::string& path);

} // namespace endive::sidecar
