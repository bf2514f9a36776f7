#pragma once
/// Parses untrusted bytes as JSON; limits are checked before parsing.

#include "endive/base.h"

namespace endive::model {

/// Byte offset of the first invalid UTF-8 sequence; empty when all bytes are valid.
[[nodiscard]] std::optional<std::size_t> find_invalid_utf8(std::string_view bytes);

/// Byte offset at which nesting exceeds `limit`; empty when it never does. Scans the bytes once without a
/// stack, so that deep nesting cannot exhaust memory.
[[nodiscard]] std::optional<std::size_t> find_excess_depth(std::string_view bytes, std::size_t limit);

/// Appends an escaped reference token to a JSON pointer (RFC 6901).
[[nodiscard]] std::string pointer_to(const std::string& parent, std::string_view token);
[[nodiscard]] std::string pointer_to(const std::string& parent, std::size_t index);

/// Checks size, UTF-8 and depth, parses, and rejects duplicate keys. Throws `error` with an `answers_*` code;
/// the location is the JSON pointer of a duplicate key, and empty (the whole document) otherwise.
[[nodiscard]] json parse_answers(std::string_view bytes);

} // namespace endive::model
