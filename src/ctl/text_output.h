#pragma once
/// Formats JSON documents of the administration API as human-readable text.

#include "endive/base.h"

namespace endive::ctl {

/// Formats a table with left-aligned columns, separated by two spaces.
[[nodiscard]] std::string format_table(const std::vector<std::vector<std::string>>& rows);
/// Returns a field as plain text, or `-` when it is null, empty or absent.
[[nodiscard]] std::string text_of(const json& object, const std::string& field);

[[nodiscard]] std::string status_text(const json& status);
[[nodiscard]] std::string history_text(const json& body);
/// Formats one line for each move: state, traffic share, requests and failures of the new version, times.
[[nodiscard]] std::string moves_text(const json& moves);
/// Formats one move with its evidence for each route.
[[nodiscard]] std::string move_text(const json& move);
[[nodiscard]] std::string report_text(const json& report);

} // namespace endive::ctl
