#include "operators/admin_api.h"

#include <charconv>

namespace endive::operators {
namespace {

[[noreturn]] void bad_request(const std::string& place, const std::string& message) {
    throw error{result_code::admin_bad_request, message, place};
}

std::optional<std::uint64_t> parse_decimal(std::string_view text) {
    std::uint64_t value = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (status != std::errc{} || end != text.data() + text.size()) {
        return std::nullopt;
    }
    return value;
}

int hex_digit(char c) {
    if (c >= '0' && c <= '9') {
        return c - '0';
    }
    if (c >= 'a' && c <= 'f') {
        return c - 'a' + 10;
    }
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::optional<std::string> percent_decode(std::string_view text) {
    std::string decoded;
    for (std::size_t at = 0; at < text.size(); ++at) {
        if (text[at] != '%') {
            decoded += text[at];
            continue;
        }
        if (at + 2 >= text.size() || hex_digit(text[at + 1]) < 0 || hex_digit(text[at + 2]) < 0) {
            return std::nullopt;
        }
        decoded += static_cast<char>(hex_digit(text[at + 1]) * 16 + hex_digit(text[at + 2]));
        at += 2;
    }
    return decoded;
}

} // namespace

int http_status(result_code code) {
    switch (code) {
    case result_code::ok:
        return 200;
    case result_code::admin_bad_request:
        return 400;
    case result_code::submit_unauthorized:
        return 401;
    case result_code::submit_wrong_team:
    case result_code::admin_forbidden:
        return 403;
    case result_code::admin_not_found:
    case result_code::move_not_found:
        return 404;
    case result_code::admin_method_not_allowed:
        return 405;
    case result_code::move_wrong_state:
    case result_code::move_version_taken_back:
        return 409;
    case result_code::submit_conflict:
    case result_code::move_conflict:
        return 412;
    case result_code::answers_too_large:
    case result_code::admin_body_too_large:
        return 413;
    case result_code::move_deadline_past:
        return 422;
    case result_code::submit_precondition_missing:
        return 428;
    case result_code::not_ready:
    case result_code::lease_not_held:
    case result_code::lease_epoch_stale:
        return 503;
    default:
        break;
    }
    // Codes 1001 to 1199 are faults of the answers, 3001 to 3099 faults of the platform.
    const auto value = number(code);
    if (value > 1000 && value < 1200) {
        return 422;
    }
    return value > 3000 && value < 3100 ? 503 : 500;
}

std::optional<std::vector<std::string>> split_path(std::string_view target) {
    auto path = target.substr(0, target.find_first_of("?#"));
    if (path.empty() || path.front() != '/') {
        return std::nullopt;
    }
    std::vector<std::string> segments;
    while (!path.empty()) {
        path.remove_prefix(1);
        const auto end = std::min(path.find('/'), path.size());
        auto segment = percent_decode(path.substr(0, end));
        if (!segment) {
            return std::nullopt;
        }
        segments.push_back(std::move(*segment));
        path.remove_prefix(end);
    }
    return segments;
}

std::optional<std::uint64_t> query_number(std::string_view target, std::string_view name) {
    auto at = target.find('?');
    while (at != std::string_view::npos) {
        target.remove_prefix(at + 1);
        const auto field = target.substr(0, target.find('&'));
        if (field.starts_with(name) && field.substr(name.size()).starts_with('=')) {
            const auto value = parse_decimal(field.substr(name.size() + 1));
            if (!value) {
                bad_request(std::string{name}, "the query parameter is not a decimal number");
            }
            return value;
        }
        at = target.find('&');
    }
    return std::nullopt;
}

std::optional<std::uint64_t> parse_if_match(const std::optional<std::string>& header) {
    if (!header) {
        throw error{result_code::submit_precondition_missing,
                    "the request needs an if-match header with the version that it is based on", "if-match"};
    }
    std::string_view text = *header;
    if (text == "*") {
        return std::nullopt;
    }
    if (text.size() >= 2 && text.front() == '"' && text.back() == '"') {
        text = text.substr(1, text.size() - 2);
    }
    const auto version = parse_decimal(text);
    if (!version) {
        bad_request("if-match", "the header is not a version such as \"12\"");
    }
    return version;
}

} // namespace endive::operators
