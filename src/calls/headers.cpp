#include "endive/calls.h"

#include <charconv>

namespace endive::calls {
namespace {

constexpr std::size_t max_key_length = 128;
constexpr std::uint64_t max_timeout_ms = 3'600'000;

[[nodiscard]] std::uint64_t parse_number(std::string_view text, std::uint64_t maximum, const char* name) {
    std::uint64_t value = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, value);
    if (parsed.ec != std::errc{} || parsed.ptr != end || value > maximum) {
        throw error{result_code::call_bad_request,
                    std::string{name} + ": expected an integer from 0 to " + std::to_string(maximum), name};
    }
    return value;
}

[[nodiscard]] bool is_key_character(char c) {
    const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
    const bool digit = c >= '0' && c <= '9';
    return letter || digit || c == '-' || c == '_' || c == '.' || c == ':';
}

void validate_key(std::string_view key) {
    const bool characters_valid = std::all_of(key.begin(), key.end(), is_key_character);
    if (key.size() > max_key_length || !characters_valid) {
        throw error{
            result_code::call_bad_request,
            "idempotency-key: expected at most 128 characters from letters, digits, '-', '_', '.' and ':'",
            "idempotency-key"};
    }
}

} // namespace

call_headers parse_headers(const raw_call_headers& raw) {
    call_headers headers;
    if (!raw.timeout.empty()) {
        headers.timeout = milliseconds{parse_number(raw.timeout, max_timeout_ms, "endive-timeout-ms")};
    }
    if (!raw.depth.empty()) {
        headers.depth = static_cast<std::uint32_t>(parse_number(raw.depth, UINT32_MAX, "endive-depth"));
    }
    if (!raw.attempt.empty()) {
        headers.attempt = static_cast<std::uint32_t>(parse_number(raw.attempt, UINT32_MAX, "endive-attempt"));
    }
    if (!raw.priority.empty()) {
        headers.priority = static_cast<std::uint32_t>(parse_number(raw.priority, 3, "endive-priority"));
    }
    validate_key(raw.idempotency_key);
    headers.idempotency_key = raw.idempotency_key;
    if (headers.depth >= config::max_call_depth) {
        throw error{result_code::call_too_deep, "call depth " + std::to_string(headers.depth) +
                                                    " reaches the limit of " +
                                                    std::to_string(config::max_call_depth)};
    }
    return headers;
}

time_point deadline_of(const call_headers& headers, const model::route& route, time_point now) {
    const milliseconds route_timeout{route.timeout_ms};
    return now + std::min(headers.timeout.value_or(route_timeout), route_timeout);
}

std::string_view choose_version(std::span<const model::version_share> shares, std::uint64_t random) {
    double total = 0;
    for (const auto& entry : shares) {
        total += std::max(0.0, entry.share);
    }
    if (total <= 0) {
        return {};
    }
    constexpr double two_to_64 = 18446744073709551616.0;
    double position = static_cast<double>(random) / two_to_64 * total;
    std::string_view last;
    for (const auto& entry : shares) {
        if (entry.share <= 0) {
            continue;
        }
        last = entry.version;
        if (position < entry.share) {
            return last;
        }
        position -= entry.share;
    }
    return last;
}

} // namespace endive::calls
