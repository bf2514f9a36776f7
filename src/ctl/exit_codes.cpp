#include "ctl/exit_codes.h"

namespace endive::ctl {

exit_code exit_code_of(result_code code) {
    switch (code) {
    case result_code::ok:
        return exit_code::success;
    case result_code::usage:
    case result_code::admin_bad_request:
    case result_code::submit_precondition_missing:
        return exit_code::usage;
    case result_code::admin_body_too_large:
        return exit_code::rejected;
    case result_code::submit_conflict:
    case result_code::move_conflict:
        return exit_code::conflict;
    case result_code::submit_unauthorized:
    case result_code::submit_wrong_team:
    case result_code::admin_forbidden:
        return exit_code::unauthorized;
    case result_code::not_ready:
    case result_code::lease_not_held:
    case result_code::lease_epoch_stale:
    case result_code::admin_unreachable:
    case result_code::platform_unavailable:
        return exit_code::unavailable;
    case result_code::admin_not_found:
    case result_code::move_not_found:
        return exit_code::not_found;
    case result_code::move_wrong_state:
    case result_code::move_deadline_past:
    case result_code::move_version_taken_back:
        return exit_code::wrong_state;
    case result_code::platform_timeout:
    case result_code::platform_outcome_unknown:
        return exit_code::outcome_unknown;
    default:
        break;
    }
    // Codes 1001 to 1199 report errors in the questionnaire's answers.
    const bool answers = number(code) > 1000 && number(code) < 1200;
    return answers ? exit_code::rejected : exit_code::internal;
}

} // namespace endive::ctl
