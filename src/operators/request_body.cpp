#include "operators/admin_json.h"

#include <algorithm>
#include <array>

namespace endive::operators {
namespace {

constexpr std::array<std::string_view, 4> endpoint_states = {"starting", "serving", "draining", "leaving"};

[[noreturn]] void bad_request(const std::string& place, const std::string& message) {
    throw error{result_code::admin_bad_request, message, place};
}

json parse_object(std::string_view body, std::initializer_list<std::string_view> allowed) {
    auto object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        bad_request("", "the body is not a JSON object");
    }
    for (const auto& [key, value] : object.items()) {
        if (std::ranges::find(allowed, key) == allowed.end()) {
            bad_request("/" + key, "unknown field");
        }
    }
    return object;
}

std::string read_string(const json& object, const std::string& field) {
    const auto found = object.find(field);
    if (found == object.end() || !found->is_string()) {
        bad_request("/" + field, "a string is required");
    }
    return found->get<std::string>();
}

std::string read_identifier(const json& object, const std::string& field) {
    auto text = read_string(object, field);
    const bool printable = std::ranges::all_of(text, [](char c) { return c > ' ' && c < '\x7F'; });
    if (text.empty() || text.size() > config::max_name_length || !printable) {
        bad_request("/" + field, "a name of 1 to 63 printable characters is required");
    }
    return text;
}

std::uint32_t read_size(const json& object, const std::string& field, std::uint32_t fallback,
                        std::uint32_t maximum) {
    const auto found = object.find(field);
    if (found == object.end()) {
        return fallback;
    }
    const bool fits = found->is_number_unsigned() && found->get<std::uint64_t>() >= 1 &&
                      found->get<std::uint64_t>() <= maximum;
    if (!fits) {
        bad_request("/" + field, "an integer from 1 to " + std::to_string(maximum) + " is required");
    }
    return found->get<std::uint32_t>();
}

model::endpoint_state read_state(const json& object) {
    const auto text = read_string(object, "state");
    const auto found = std::ranges::find(endpoint_states, text);
    if (found == endpoint_states.end()) {
        bad_request("/state", "the state is not starting, serving, draining or leaving");
    }
    return static_cast<model::endpoint_state>(found - endpoint_states.begin());
}

} // namespace

endpoint_announcement parse_announcement(std::string_view body) {
    const auto object =
        parse_object(body, {"address", "service", "version", "slots", "connections", "state"});
    endpoint_announcement value;
    value.address = read_string(object, "address");
    if (!parse_address(value.address)) {
        bad_request("/address", "an IPv4 address and port such as 10.0.0.1:8080 is required");
    }
    value.service = read_identifier(object, "service");
    value.version = read_identifier(object, "version");
    value.slots = read_size(object, "slots", value.slots, config::max_slots);
    value.connections = read_size(object, "connections", value.connections, config::max_connections);
    value.state = read_state(object);
    return value;
}

std::int64_t parse_deadline(std::string_view body) {
    const auto object = parse_object(body, {"deadline"});
    const auto text = read_string(object, "deadline");
    // Times outside these years overflow the nanoseconds of the system clock.
    const auto year = std::string_view{text}.substr(0, 4);
    const auto deadline = year >= "1970" && year <= "2199" ? parse_rfc3339(text) : std::nullopt;
    if (!deadline) {
        bad_request("/deadline", "an RFC 3339 time such as 2026-12-05T05:30:00Z is required");
    }
    return to_unix_ms(*deadline);
}

void expect_no_fields(std::string_view body) {
    if (!body.empty()) {
        (void)parse_object(body, {});
    }
}

} // namespace endive::operators
