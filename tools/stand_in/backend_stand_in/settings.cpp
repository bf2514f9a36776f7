#include "settings.h"

#include <absl/flags/flag.h>

ABSL_FLAG(std::string, settings, "", "JSON file whose keys are the names of the other flags");
ABSL_FLAG(int, port, 0, "TCP port on loopback; 0 selects a free port; the first line of output contains it");
ABSL_FLAG(std::string, service, "service", "service name");
ABSL_FLAG(std::string, service_version, "v1", "service version");
ABSL_FLAG(int, slots, 12, "maximum concurrent requests; further ones are shed");
ABSL_FLAG(int, connections, 120, "announced connection limit");
ABSL_FLAG(double, service_time_ms, 1.0, "execution time of a request");
ABSL_FLAG(int, cold_start_ms, 0, "duration of the cold start");
ABSL_FLAG(double, cold_start_slowdown, 1.0, "factor on the execution time during the cold start");
ABSL_FLAG(std::string, announce, "",
          "admin address of the daemon that receives an announcement every second");
ABSL_FLAG(std::string, advertised_address, "", "announced address instead of the own one");
ABSL_FLAG(int, drain_ms, 1000, "minimum time between SIGTERM and exit");

namespace stand_in {
namespace {

constexpr std::int64_t max_ms = 3600000;

backend_settings from_flags() {
    backend_settings settings;
    settings.port = static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port));
    settings.service = absl::GetFlag(FLAGS_service);
    settings.version = absl::GetFlag(FLAGS_service_version);
    settings.slots = absl::GetFlag(FLAGS_slots);
    settings.connections = absl::GetFlag(FLAGS_connections);
    settings.service_time_ms = absl::GetFlag(FLAGS_service_time_ms);
    settings.cold_start_ms = absl::GetFlag(FLAGS_cold_start_ms);
    settings.cold_start_slowdown = absl::GetFlag(FLAGS_cold_start_slowdown);
    settings.announce = absl::GetFlag(FLAGS_announce);
    settings.advertised_address = absl::GetFlag(FLAGS_advertised_address);
    settings.drain_ms = absl::GetFlag(FLAGS_drain_ms);
    return settings;
}

void read_file(backend_settings& settings, const std::string& path) {
    auto reader = endive::settings_reader::from_file(path);
    settings.port = static_cast<std::uint16_t>(reader.optional_integer("port", settings.port, 0, UINT16_MAX));
    settings.service = reader.optional_string("service", settings.service);
    settings.version = reader.optional_string("service_version", settings.version);
    settings.slots = reader.optional_integer("slots", settings.slots, 1, 100000);
    settings.connections = reader.optional_integer("connections", settings.connections, 1, 100000);
    settings.service_time_ms = reader.optional_number("service_time_ms", settings.service_time_ms, 0, max_ms);
    settings.cold_start_ms = reader.optional_integer("cold_start_ms", settings.cold_start_ms, 0, max_ms);
    settings.cold_start_slowdown =
        reader.optional_number("cold_start_slowdown", settings.cold_start_slowdown, 1.0, 1e6);
    settings.announce = reader.optional_address("announce", settings.announce);
    settings.advertised_address = reader.optional_address("advertised_address", settings.advertised_address);
    settings.drain_ms = reader.optional_integer("drain_ms", settings.drain_ms, 0, max_ms);
    reader.reject_unknown_keys();
}

} // namespace

backend_settings read_settings() {
    auto settings = from_flags();
    const auto path = absl::GetFlag(FLAGS_settings);
    if (!path.empty()) {
        read_file(settings, path);
    }
    return settings;
}

} // namespace stand_in
