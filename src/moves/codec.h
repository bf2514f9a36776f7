#pragma once
/// JSON form of evidence, shared by payloads, rows and reports.

#include "endive/moves.h"

namespace endive::moves {

[[nodiscard]] json signal_to_json(const signal_evidence& value);
/// Throws `json::exception` on unexpected content.
[[nodiscard]] signal_evidence signal_from_json(const json& object);
/// True when the record keeps traffic from its version. Null: no hold.
[[nodiscard]] bool hold_in_force(const record* hold);

} // namespace endive::moves
