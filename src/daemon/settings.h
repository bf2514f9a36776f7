#pragma once
/// Settings of `endived`.

#include "endive/base.h"

namespace endive::daemon {

/// Checked settings of one daemon. Addresses are `IP:port`.
struct daemon_settings {
    std::string name;
    std::string failure_domain;
    std::string region;
    std::string caller_address;
    std::string admin_address;
    std::string peer_address;
    /// Address at which other daemons reach the peer port; the member id.
    std::string advertised_peer_address;
    std::string platform_address;
    milliseconds platform_timeout{1000};
    std::vector<std::string> seeds;
    std::map<std::string, std::string> tokens; ///< team to token
    std::string operators_token;
    log_level minimum_log_level = log_level::info;
    milliseconds drain_timeout{30000};
};

/// Reads and checks a settings file. Throws `error` with a `settings_*` code.
[[nodiscard]] daemon_settings load_settings(const std::string& path);

} // namespace endive::daemon
