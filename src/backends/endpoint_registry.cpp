#include "endive/backends.h"

namespace endive::backends {
namespace {

constexpr duration announcement_timeout = std::chrono::seconds{3};
constexpr duration removal_delay = std::chrono::seconds{3};
constexpr std::size_t max_announcement_bytes = 4096;
// One VM runs one backend server; during a version change there are two.
constexpr std::size_t max_local_endpoints = 16;

[[noreturn]] void reject(const std::string& place, const std::string& expected) {
    throw error{result_code::admin_bad_request, place + ": expected " + expected, place};
}

[[nodiscard]] std::string read_name(const json& object, const char* key) {
    const auto found = object.find(key);
    if (found == object.end() || !found->is_string() || found->get<std::string>().empty() ||
        found->get<std::string>().size() > config::max_name_length) {
        reject("/" + std::string{key}, "a string of 1 to 63 bytes");
    }
    return found->get<std::string>();
}

[[nodiscard]] std::uint32_t read_count(const json& object, const char* key, std::uint32_t fallback,
                                       std::uint32_t maximum) {
    const auto found = object.find(key);
    if (found == object.end()) {
        return fallback;
    }
    if (!found->is_number_unsigned() || *found < 1U || *found > maximum) {
        reject("/" + std::string{key}, "a whole number from 1 to " + std::to_string(maximum));
    }
    return found->get<std::uint32_t>();
}

[[nodiscard]] model::endpoint_state read_state(const json& object) {
    const auto name = object.contains("state") ? read_name(object, "state") : std::string{"serving"};
    if (name == "starting") {
        return model::endpoint_state::starting;
    }
    if (name == "serving") {
        return model::endpoint_state::serving;
    }
    if (name == "draining") {
        return model::endpoint_state::draining;
    }
    if (name == "leaving") {
        return model::endpoint_state::leaving;
    }
    reject("/state", "starting, serving, draining or leaving");
}

[[nodiscard]] model::endpoint_info parse_announcement(std::string_view body) {
    if (body.size() > max_announcement_bytes) {
        reject("", "at most 4096 bytes");
    }
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object()) {
        reject("", "a JSON object");
    }
    model::endpoint_info info;
    info.address = read_name(object, "address");
    if (!parse_address(info.address)) {
        reject("/address", "an IP:port address");
    }
    info.service = read_name(object, "service");
    info.version = read_name(object, "version");
    info.slots = read_count(object, "slots", info.slots, config::max_slots);
    info.connections = read_count(object, "connections", info.connections, config::max_connections);
    info.state = read_state(object);
    return info;
}

} // namespace

bool endpoint_registry::announce(std::string_view body, time_point now) {
    auto info = parse_announcement(body);
    info.relay = relay_;
    info.failure_domain = failure_domain_;
    if (!entries_.contains(info.address) && entries_.size() >= max_local_endpoints) {
        reject("/address", "at most 16 endpoints beside one daemon");
    }
    auto& known = entries_[info.address];
    const bool changed = known.info != info;
    known.info = std::move(info);
    known.announced = now;
    return changed;
}

bool endpoint_registry::advance(time_point now) {
    bool changed = false;
    for (auto item = entries_.begin(); item != entries_.end();) {
        auto& known = item->second;
        const duration silence = now - known.announced;
        if (silence > announcement_timeout + removal_delay) {
            item = entries_.erase(item);
            changed = true;
            continue;
        }
        if (silence > announcement_timeout && known.info.state != model::endpoint_state::leaving) {
            known.info.state = model::endpoint_state::leaving;
            changed = true;
        }
        ++item;
    }
    return changed;
}

std::vector<model::endpoint_info> endpoint_registry::endpoints() const {
    std::vector<model::endpoint_info> result;
    for (const auto& [address, known] : entries_) {
        result.push_back(known.info);
    }
    return result;
}

} // namespace endive::backends
