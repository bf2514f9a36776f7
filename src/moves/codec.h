#pragma once
/// JSON encoding of evidence, shared by record payloads, table rows and reports.

#include "endive/moves.h"

namespace endive::moves {

[[nodiscard]] json signal_to_json(const signal_evidence& value);
/// Throws `json::exception` when a field is missing or has the wrong type.
[[nodiscard]] signal_evidence signal_from_json(const json& object);
/// True when the hold keeps traffic away from its version; false for null.
[[nodiscard]] bool is_hold_active(const record* hold);

} // namespace endive::moves
