#include "model/checks.h"

#include "endive/config.h"

#include <algorithm>
#include <array>

namespace endive::model {
namespace {

bool is_lower_or_digit(char c) {
    return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9');
}

/// Lower-case letters and digits; characters of `inner` are also allowed except at both ends.
bool is_identifier(std::string_view text, std::string_view inner) {
    if (text.empty() || text.size() > config::max_name_length) {
        return false;
    }
    if (!is_lower_or_digit(text.front()) || !is_lower_or_digit(text.back())) {
        return false;
    }
    return std::ranges::all_of(
        text, [&](char c) { return is_lower_or_digit(c) || inner.find(c) != std::string_view::npos; });
}

bool is_path_character(char c) {
    constexpr std::string_view allowed_symbols = "-._~!$&'()*+,;=:@";
    return is_lower_or_digit(c) || (c >= 'A' && c <= 'Z') ||
           allowed_symbols.find(c) != std::string_view::npos;
}

bool is_path_segment(std::string_view segment) {
    if (segment.empty() || segment == "." || segment == "..") {
        return false;
    }
    return std::ranges::all_of(segment, is_path_character);
}

constexpr std::array<std::string_view, 8> methods = {"*",   "GET",   "HEAD",   "POST",
                                                     "PUT", "PATCH", "DELETE", "OPTIONS"};
constexpr std::array<std::string_view, 5> idempotent_methods = {"GET", "HEAD", "PUT", "DELETE", "OPTIONS"};

} // namespace

bool is_name(std::string_view text) {
    return is_identifier(text, "-");
}

bool is_version_name(std::string_view text) {
    return is_identifier(text, "-._");
}

bool is_route_method(std::string_view text) {
    return std::ranges::find(methods, text) != methods.end();
}

bool is_idempotent_method(std::string_view text) {
    return std::ranges::find(idempotent_methods, text) != idempotent_methods.end();
}

bool is_path_prefix(std::string_view text) {
    if (text.empty() || text.front() != '/' || text.size() > config::max_path_prefix_length) {
        return false;
    }
    if (text == "/") {
        return true;
    }
    std::size_t begin = 1;
    while (true) {
        const auto end = text.find('/', begin);
        const auto segment =
            text.substr(begin, end == std::string_view::npos ? std::string_view::npos : end - begin);
        if (!is_path_segment(segment)) {
            return false;
        }
        if (end == std::string_view::npos) {
            return true;
        }
        begin = end + 1;
    }
}

bool is_plain_text(std::string_view text) {
    if (text.empty() || text.size() > config::max_text_length) {
        return false;
    }
    constexpr unsigned char first_printable = 0x20;
    constexpr unsigned char del = 0x7F;
    return std::ranges::none_of(text, [](char c) {
        const auto byte = static_cast<unsigned char>(c);
        return byte < first_printable || byte == del;
    });
}

} // namespace endive::model
