#include "sidecar/settings.h"

#include "platform/wire.h"

#include <charconv>

namespace endive::sidecar {
namespace {

milliseconds read_duration(settings_reader& reader, const std::string& key, milliseconds default_value) {
    const auto text = reader.optional_text(key);
    if (text.empty()) {
        return default_value;
    }
    try {
        return platform_wire::parse_duration(text);
    } catch (const error& cause) {
        throw error{result_code::settings_out_of_range, cause.what(), key};
    }
}

/// A number that the platform may leave out; its template then has an empty text.
double read_number_text(settings_reader& reader, const std::string& key, double default_value, double max) {
    const auto text = reader.optional_text(key);
    if (text.empty()) {
        return default_value;
    }
    double value = 0;
    const char* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    // The comparison is false for NaN.
    if (parsed.ec != std::errc{} || parsed.ptr != end || !(value >= 0 && value <= max)) {
        throw error{result_code::settings_out_of_range,
                    "not a number from 0 to " + std::to_string(max) + ": " + text, key};
    }
    return value;
}

/// The same for a condition.
bool read_boolean_text(settings_reader& reader, const std::string& key, bool default_value) {
    const auto text = reader.optional_text(key);
    if (text.empty() || text == "true" || text == "false") {
        return text.empty() ? default_value : text == "true";
    }
    throw error{result_code::settings_out_of_range, "neither true nor false: " + text, key};
}

} // namespace

sidecar_settings read_settings(const std::string& path) {
    auto reader = settings_reader::from_file(path);
    sidecar_settings result;
    result.name = reader.required_string("name");
    result.service = reader.required_string("service");
    result.endpoint_address = reader.required_address("endpoint_address");
    result.failure_domain = reader.required_string("failure_domain");
    result.heartbeat_interval = read_duration(reader, "heartbeat_interval", result.heartbeat_interval);
    result.callers_address = reader.required_address("callers_address");
    result.peers_address = reader.required_address("peers_address");
    result.advertised_peer_address = reader.optional_address("advertised_peer_address", result.peers_address);
    result.readiness_address = reader.required_address("readiness_address");
    result.announcements_address = reader.required_address("announcements_address");
    constexpr std::int64_t max_port = 65535;
    const auto port = reader.optional_integer("metrics_port", 0, 0, max_port);
    if (port != 0) {
        result.metrics_address = reader.required_string("host") + ":" + std::to_string(port);
    }
    result.log_lines_per_second =
        reader.optional_integer("log_lines_per_second", result.log_lines_per_second, 1, 100'000);
    // The platform gives memory, bandwidth and the retry slack as fractions too.
    constexpr double max_memory_mb = 1'000'000;
    result.memory_mb = static_cast<std::int64_t>(
        reader.optional_number("memory_mb", static_cast<double>(result.memory_mb), 16.0, max_memory_mb));
    constexpr double max_link_mbps = 1'000'000;
    result.link_mbps =
        static_cast<std::int64_t>(reader.optional_number("link_mbps", 0.0, 0.0, max_link_mbps));
    result.store_address = reader.required_address("store_address");
    result.first_start = reader.optional_boolean("first_start", result.first_start);
    result.stop_grace = read_duration(reader, "stop_grace", result.stop_grace);
    result.retry_ratio = reader.optional_number("retry_ratio", result.retry_ratio, 0.0, 10.0);
    constexpr double max_retry_slack = 1'000'000;
    result.retry_slack = reader.optional_number("retry_slack", result.retry_slack, 0.0, max_retry_slack);
    result.exposure_share = reader.optional_number("exposure_share", result.exposure_share, 0.0, 1.0);
    constexpr double max_exposure_slack = 1'000'000;
    result.exposure_slack =
        reader.optional_number("exposure_slack", result.exposure_slack, 0.0, max_exposure_slack);
    constexpr std::int64_t max_max_descriptors = 10'000'000;
    result.max_descriptors =
        reader.optional_integer("max_descriptors", result.max_descriptors, 64, max_max_descriptors);
    result.fail_closed = read_boolean_text(reader, "fail_closed", result.fail_closed);
    result.revoke_time = read_duration(reader, "revoke_time", result.revoke_time);
    result.quota_window = read_duration(reader, "quota_window", result.quota_window);
    constexpr double max_quota_overage = 10;
    result.quota_overage = read_number_text(reader, "quota_overage", result.quota_overage, max_quota_overage);
    constexpr double max_quota_slack = 1'000'000;
    result.quota_slack = read_number_text(reader, "quota_slack", result.quota_slack, max_quota_slack);
    return result;
}

} // namespace endive::sidecar
