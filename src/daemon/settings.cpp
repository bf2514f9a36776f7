#include "daemon/settings.h"

namespace endive::daemon {
namespace {

log_level parse_level(const std::string& text) {
    if (text == "debug") {
        return log_level::debug;
    }
    if (text == "info") {
        return log_level::info;
    }
    if (text == "warning") {
        return log_level::warning;
    }
    if (text == "error") {
        return log_level::error;
    }
    throw error{result_code::settings_out_of_range,
                "setting /log_level is \"" + text + "\", allowed: debug, info, warning, error", "/log_level"};
}

void check_seeds(const std::vector<std::string>& seeds) {
    for (std::size_t i = 0; i < seeds.size(); ++i) {
        if (!parse_address(seeds[i])) {
            const auto place = "/seeds/" + std::to_string(i);
            throw error{result_code::settings_bad_address,
                        "setting " + place + " is \"" + seeds[i] + "\", allowed: an IPv4 address and port",
                        place};
        }
    }
}

void check_distinct_ports(const daemon_settings& settings) {
    if (settings.caller_address == settings.admin_address ||
        settings.caller_address == settings.peer_address || settings.admin_address == settings.peer_address) {
        throw error{result_code::settings_out_of_range,
                    "settings /caller_address, /admin_address and /peer_address are " +
                        settings.caller_address + ", " + settings.admin_address + ", " +
                        settings.peer_address + ", allowed: three different addresses",
                    "/caller_address"};
    }
}

} // namespace

daemon_settings load_settings(const std::string& path) {
    auto reader = settings_reader::from_file(path);
    daemon_settings settings;
    settings.name = reader.required_string("name");
    settings.failure_domain = reader.required_string("failure_domain");
    settings.region = reader.optional_string("region", "default");
    settings.caller_address = reader.required_address("caller_address");
    settings.admin_address = reader.required_address("admin_address");
    settings.peer_address = reader.required_address("peer_address");
    settings.advertised_peer_address =
        reader.optional_address("advertised_peer_address", settings.peer_address);
    settings.platform_address = reader.required_address("platform_address");
    settings.platform_timeout = milliseconds{
        reader.optional_integer("platform_timeout_ms", settings.platform_timeout.count(), 50, 60000)};
    settings.seeds = reader.optional_strings("seeds");
    settings.tokens = reader.optional_string_map("tokens");
    settings.operators_token = reader.optional_string("operators_token", "");
    settings.minimum_log_level = parse_level(reader.optional_string("log_level", "info"));
    settings.drain_timeout =
        milliseconds{reader.optional_integer("drain_timeout_ms", settings.drain_timeout.count(), 0, 600000)};
    reader.reject_unknown_keys();
    check_seeds(settings.seeds);
    check_distinct_ports(settings);
    return settings;
}

} // namespace endive::daemon
