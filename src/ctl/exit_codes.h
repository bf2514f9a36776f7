#pragma once
/// Exit codes of endivectl; docs/endivectl.md documents them.

#include "endive/result_codes.h"

namespace endive::ctl {

enum class exit_code : int {
    success = 0,
    usage = 1, ///< Abseil exits with 1 for unknown flags, so other usage errors do too
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

[[nodiscard]] exit_code exit_code_of(result_code code);

} // namespace endive::ctl
