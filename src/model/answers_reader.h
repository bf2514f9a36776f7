#pragma once
/// Reads typed fields of a questionnaire; errors carry the JSON pointer of the offending field.

#include "model/json_input.h"

#include <functional>
#include <initializer_list>

namespace endive::model {

/// Inclusive limits of an integer field.
struct integer_limits {
    std::int64_t minimum = 0;
    std::int64_t maximum = 0;
};

/// One JSON value of the questionnaire with its pointer. Refers to the document, which must outlive it. Every
/// function throws `error` with an `answers_*` code when the value is invalid.
class answers_node {
public:
    answers_node(const json& value, std::string pointer) : value_{&value}, pointer_{std::move(pointer)} {}

    [[nodiscard]] const std::string& pointer() const { return pointer_; }
    /// Requires an object with no fields but `allowed`.
    void expect_object(std::initializer_list<std::string_view> allowed) const;
    [[nodiscard]] bool has(std::string_view field) const { return value_->contains(field); }
    /// A required field.
    [[nodiscard]] answers_node at(std::string_view field) const;

    [[nodiscard]] std::string string() const;
    [[nodiscard]] bool boolean() const;
    [[nodiscard]] std::int64_t integer(integer_limits limits) const;
    /// The items of an array with `minimum` to `maximum` items.
    [[nodiscard]] std::vector<answers_node> items(std::size_t minimum, std::size_t maximum) const;

    /// A string that passes `check`; otherwise throws `code` with `allowed` in the message.
    [[nodiscard]] std::string checked_string(bool (*check)(std::string_view), result_code code,
                                             std::string_view allowed) const;
    /// A name for a service, route, team, region or failure domain.
    [[nodiscard]] std::string name() const;
    [[nodiscard]] std::string version_name() const;

    [[noreturn]] void fail(result_code code, const std::string& message) const;

private:
    [[noreturn]] void fail_type(std::string_view expected) const;

    const json* value_;
    std::string pointer_;
};

/// Quoted text of a value for messages, truncated to 60 bytes.
[[nodiscard]] std::string quote(std::string_view text);

} // namespace endive::model
