#pragma once
/// Changes of move rows, shared by the machine and the operators' commands.

#include "endive/moves.h"

namespace endive::moves {

/// Appends the row's share and state; keeps the history bounded.
void add_history(move_row& row, std::int64_t now_ms);
/// Sets state, shares, time and reason of a take-back.
void take_back(move_row& row, const std::string& reason, std::int64_t now_ms);

} // namespace endive::moves
