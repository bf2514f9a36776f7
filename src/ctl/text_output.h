#pragma once
/// Text for people from the JSON of the administration API.

#include "endive/base.h"

namespace endive::ctl {

/// Left-aligned columns, two blanks apart, with the first row as heading.
[[nodiscard]] std::string format_table(const std::vector<std::vector<std::string>>& rows);
/// A JSON scalar as plain text; `-` for null, empty and absent values.
[[nodiscard]] std::string text_of(const json& object, const std::string& field);

[[nodiscard]] std::string status_text(const json& status);
[[nodiscard]] std::string history_text(const json& body);
/// One line a move: state, share, requests and failures of the new version, times.
[[nodiscard]] std::string moves_text(const json& moves);
/// One move with its evidence by route.
[[nodiscard]] std::string move_text(const json& move);
[[nodiscard]] std::string report_text(const json& report);

} // namespace endive::ctl
