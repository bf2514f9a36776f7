#pragma once
/// Row mutations shared by the move state machine and operator commands.

#include "endive/moves.h"

namespace endive::moves {

/// Appends the current share and state to the history, which holds at most `config::max_move_history` points.
void add_history(move_row& row, std::int64_t now_ms);
/// Changes the row to `taken_back`: sets the state, time and reason, and sets all shares to zero.
void take_back(move_row& row, const std::string& reason, std::int64_t now_ms);

} // namespace endive::moves
