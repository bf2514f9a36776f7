#pragma once
/// Exit codes of endivectl; docs/endivectl.md documents them.

#include "endive/result_codes.h"

namespace endive::ctl {

enum class exit_code : int {
    success = 0,
    usage = 1, ///< all usage errors, because Abseil exits with 1 for unknown flags
    rejected = 2,
    conflict = 3,
    unauthorized = 4,
    unavailable = 5,
    not_found = 6,
    wrong_state = 7,
    outcome_unknown = 8,
    internal = 9,
    different = 10,
};

/// Maps a result code to the exit code of the process; unlisted codes map to `internal`, or to `rejected`
/// when they report an error in the answers.
[[nodiscard]] exit_code exit_code_of(result_code code);

} // namespace endive::ctl
