#include "model/answers_reader.h"

#include "endive/config.h"
#include "model/checks.h"

#include <algorithm>

namespace endive::model {
namespace {

std::string join(std::initializer_list<std::string_view> names) {
    std::string text;
    for (const auto name : names) {
        text += text.empty() ? "" : ", ";
        text += name;
    }
    return text;
}

} // namespace

std::string quote(std::string_view text) {
    constexpr std::size_t max_shown = 60;
    std::size_t length = std::min(text.size(), max_shown);
    // Avoids truncation within a UTF-8 sequence.
    while (length < text.size() && length > 0 &&
           (static_cast<unsigned char>(text[length]) & 0xC0U) == 0x80U) {
        --length;
    }
    return "\"" + std::string{text.substr(0, length)} + (length < text.size() ? "...\"" : "\"");
}

void answers_node::fail(result_code code, const std::string& message) const {
    throw error{code, message, pointer_};
}

void answers_node::fail_type(std::string_view expected) const {
    fail(result_code::answers_wrong_type,
         "expected " + std::string{expected} + ", found " + std::string{value_->type_name()});
}

void answers_node::expect_object(std::initializer_list<std::string_view> allowed) const {
    if (!value_->is_object()) {
        fail_type("an object");
    }
    for (const auto& [key, item] : value_->items()) {
        if (std::ranges::find(allowed, key) == allowed.end()) {
            throw error{result_code::answers_unknown_field,
                        "unknown field " + quote(key) + ", allowed: " + join(allowed),
                        pointer_to(pointer_, key)};
        }
    }
}

answers_node answers_node::at(std::string_view field) const {
    const auto found = value_->find(field);
    auto location = pointer_to(pointer_, field);
    if (found == value_->end()) {
        throw error{result_code::answers_missing_field, "the required field " + quote(field) + " is missing",
                    location};
    }
    return {*found, std::move(location)};
}

std::string answers_node::string() const {
    if (!value_->is_string()) {
        fail_type("a string");
    }
    return value_->get<std::string>();
}

bool answers_node::boolean() const {
    if (!value_->is_boolean()) {
        fail_type("true or false");
    }
    return value_->get<bool>();
}

std::int64_t answers_node::integer(integer_limits limits) const {
    if (!value_->is_number_integer()) {
        fail_type("an integer");
    }
    // Unsigned values above the signed range would wrap in get<int64_t>.
    const bool exceeds_signed = value_->is_number_unsigned() && value_->get<std::uint64_t>() > INT64_MAX;
    const auto number = exceeds_signed ? 0 : value_->get<std::int64_t>();
    if (exceeds_signed || number < limits.minimum || number > limits.maximum) {
        fail(result_code::answers_out_of_range, "the value is " + value_->dump() +
                                                    ", allowed: " + std::to_string(limits.minimum) + " to " +
                                                    std::to_string(limits.maximum));
    }
    return number;
}

std::vector<answers_node> answers_node::items(std::size_t minimum, std::size_t maximum) const {
    if (!value_->is_array()) {
        fail_type("a list");
    }
    if (value_->size() < minimum || value_->size() > maximum) {
        fail(result_code::answers_out_of_range, "the list has " + std::to_string(value_->size()) +
                                                    " items, allowed: " + std::to_string(minimum) + " to " +
                                                    std::to_string(maximum));
    }
    std::vector<answers_node> all;
    all.reserve(value_->size());
    for (const auto& item : *value_) {
        all.emplace_back(item, pointer_to(pointer_, all.size()));
    }
    return all;
}

std::string answers_node::checked_string(bool (*check)(std::string_view), result_code code,
                                         std::string_view allowed) const {
    auto text = string();
    if (!check(text)) {
        fail(code, "the value is " + quote(text) + ", allowed: " + std::string{allowed});
    }
    return text;
}

std::string answers_node::name() const {
    return checked_string(is_name, result_code::answers_bad_name,
                          "1 to 63 lower-case letters, digits and inner hyphens");
}

std::string answers_node::version_name() const {
    return checked_string(is_version_name, result_code::answers_bad_name,
                          "1 to 63 lower-case letters, digits and inner hyphens, dots and underscores");
}

} // namespace endive::model
