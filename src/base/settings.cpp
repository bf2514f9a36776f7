#include "endive/base.h"

#include <charconv>
#include <fstream>
#include <sstream>

#include <arpa/inet.h>

namespace endive {
namespace {

constexpr std::size_t max_settings_bytes = 1024UL * 1024;

std::string describe(const json& value) {
    constexpr std::size_t max_shown = 80;
    auto text = value.dump(-1, ' ', false, json::error_handler_t::replace);
    if (text.size() > max_shown) {
        text.resize(max_shown);
        text += "...";
    }
    return text;
}

[[noreturn]] void fail(result_code code, const std::string& location, const json& value,
                       const std::string& allowed) {
    throw error{code, "setting " + location + " is " + describe(value) + ", allowed: " + allowed, location};
}

} // namespace

settings_reader settings_reader::from_file(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    if (!file) {
        throw error{result_code::settings_unreadable, "cannot read settings file " + path, path};
    }
    std::string text(max_settings_bytes + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    if (text.size() > max_settings_bytes) {
        throw error{result_code::settings_unreadable, "settings file " + path + " is larger than 1 MiB",
                    path};
    }
    auto object = json::parse(text, nullptr, false);
    if (!object.is_object()) {
        throw error{result_code::settings_not_json, "settings file " + path + " is not a JSON object", path};
    }
    return settings_reader{std::move(object)};
}

settings_reader::settings_reader(json object, std::string prefix)
    : object_(std::move(object)), prefix_{std::move(prefix)} {}

std::string settings_reader::location_of(const std::string& key) const {
    return prefix_ + "/" + key;
}

const json* settings_reader::find(const std::string& key) {
    read_keys_.insert(key);
    const auto found = object_.find(key);
    return found == object_.end() ? nullptr : &*found;
}

std::string settings_reader::required_string(const std::string& key) {
    const json* value = find(key);
    if (value == nullptr) {
        throw error{result_code::settings_missing_key,
                    "setting " + location_of(key) + " is missing, allowed: a string", location_of(key)};
    }
    if (!value->is_string() || value->get<std::string>().empty()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, "a non-empty string");
    }
    return value->get<std::string>();
}

std::string settings_reader::optional_string(const std::string& key, const std::string& fallback) {
    return find(key) == nullptr ? fallback : required_string(key);
}

std::string settings_reader::optional_text(const std::string& key) {
    const json* value = find(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_string()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, "a string");
    }
    return value->get<std::string>();
}

std::int64_t settings_reader::required_integer(const std::string& key, std::int64_t minimum,
                                               std::int64_t maximum) {
    const auto allowed = "an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum);
    const json* value = find(key);
    if (value == nullptr) {
        throw error{result_code::settings_missing_key,
                    "setting " + location_of(key) + " is missing, allowed: " + allowed, location_of(key)};
    }
    if (!value->is_number_integer()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, allowed);
    }
    // get<int64_t> would wrap around for unsigned values above INT64_MAX.
    if (value->is_number_unsigned() && value->get<std::uint64_t>() > static_cast<std::uint64_t>(INT64_MAX)) {
        fail(result_code::settings_out_of_range, location_of(key), *value, allowed);
    }
    const auto number = value->get<std::int64_t>();
    if (number < minimum || number > maximum) {
        fail(result_code::settings_out_of_range, location_of(key), *value, allowed);
    }
    return number;
}

std::int64_t settings_reader::optional_integer(const std::string& key, std::int64_t fallback,
                                               std::int64_t minimum, std::int64_t maximum) {
    return find(key) == nullptr ? fallback : required_integer(key, minimum, maximum);
}

double settings_reader::optional_number(const std::string& key, double fallback, double minimum,
                                        double maximum) {
    const json* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    std::ostringstream allowed;
    allowed << "a number from " << minimum << " to " << maximum;
    if (!value->is_number()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, allowed.str());
    }
    const auto number = value->get<double>();
    if (number < minimum || number > maximum) {
        fail(result_code::settings_out_of_range, location_of(key), *value, allowed.str());
    }
    return number;
}

bool settings_reader::optional_boolean(const std::string& key, bool fallback) {
    const json* value = find(key);
    if (value == nullptr) {
        return fallback;
    }
    if (!value->is_boolean()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, "true or false");
    }
    return value->get<bool>();
}

std::vector<std::string> settings_reader::optional_strings(const std::string& key) {
    const json* value = find(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_array()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, "a list of strings");
    }
    std::vector<std::string> all;
    for (const auto& item : *value) {
        if (!item.is_string()) {
            fail(result_code::settings_wrong_type, location_of(key), item, "a list of strings");
        }
        all.push_back(item.get<std::string>());
    }
    return all;
}

std::map<std::string, std::string> settings_reader::optional_string_map(const std::string& key) {
    const json* value = find(key);
    if (value == nullptr) {
        return {};
    }
    if (!value->is_object()) {
        fail(result_code::settings_wrong_type, location_of(key), *value, "an object with string values");
    }
    std::map<std::string, std::string> all;
    for (const auto& [name, item] : value->items()) {
        if (!item.is_string()) {
            fail(result_code::settings_wrong_type, location_of(key) + "/" + name, item, "a string");
        }
        all[name] = item.get<std::string>();
    }
    return all;
}

std::string settings_reader::required_address(const std::string& key) {
    auto text = required_string(key);
    if (!parse_address(text)) {
        fail(result_code::settings_bad_address, location_of(key), text,
             "an IPv4 address and port such as 10.0.0.1:7000");
    }
    return text;
}

std::string settings_reader::optional_address(const std::string& key, const std::string& fallback) {
    return find(key) == nullptr ? fallback : required_address(key);
}

void settings_reader::reject_unknown_keys() const {
    for (const auto& [key, value] : object_.items()) {
        if (read_keys_.contains(key)) {
            continue;
        }
        std::string allowed;
        for (const auto& name : read_keys_) {
            allowed += allowed.empty() ? name : ", " + name;
        }
        throw error{result_code::settings_unknown_key,
                    "setting " + location_of(key) + " with value " + describe(value) +
                        " is unknown, allowed keys: " + allowed,
                    location_of(key)};
    }
}

std::optional<socket_address> parse_address(std::string_view text) {
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos) {
        return std::nullopt;
    }
    const std::string host{text.substr(0, colon)};
    in_addr parsed{};
    if (inet_pton(AF_INET, host.c_str(), &parsed) != 1) {
        return std::nullopt;
    }
    const auto port_text = text.substr(colon + 1);
    std::uint16_t port = 0;
    const auto [end, status] = std::from_chars(port_text.data(), port_text.data() + port_text.size(), port);
    if (status != std::errc{} || end != port_text.data() + port_text.size() || port == 0) {
        return std::nullopt;
    }
    return socket_address{host, port};
}

std::string to_string(const socket_address& address) {
    return address.host + ":" + std::to_string(address.port);
}

} // namespace endive
