#pragma once
/// Checks shared by the questionnaire and the snapshot validation.

#include <string>
#include <string_view>

namespace endive::model {

inline constexpr std::string_view any_method = "*";

/// Lower-case letters, digits and inner hyphens, at most `config::max_name_length`.
[[nodiscard]] bool is_name(std::string_view text);
/// Like a name, with inner dots and underscores allowed, such as `v1.2.0`.
[[nodiscard]] bool is_version_name(std::string_view text);
/// A known method, or `*`.
[[nodiscard]] bool is_route_method(std::string_view text);
/// True for methods that RFC 9110 defines as idempotent.
[[nodiscard]] bool is_idempotent_method(std::string_view text);
/// A normalized path: `/`, or segments without a trailing slash, empty segment, dot segment or escape.
[[nodiscard]] bool is_path_prefix(std::string_view text);
/// Human-readable text: 1 to `config::max_text_length` bytes without control characters.
[[nodiscard]] bool is_plain_text(std::string_view text);

} // namespace endive::model
