#include "endive/result_codes.h"

#include <algorithm>
#include <array>

namespace endive {
namespace {

constexpr auto entries = std::to_array<result_code_entry>({
    {result_code::ok, "ok"},
    {result_code::internal, "internal"},
    {result_code::usage, "usage"},
    {result_code::answers_unreadable, "answers_unreadable"},
    {result_code::answers_too_large, "answers_too_large"},
    {result_code::answers_not_utf8, "answers_not_utf8"},
    {result_code::answers_not_json, "answers_not_json"},
    {result_code::answers_too_deep, "answers_too_deep"},
    {result_code::answers_unknown_field, "answers_unknown_field"},
    {result_code::answers_missing_field, "answers_missing_field"},
    {result_code::answers_wrong_type, "answers_wrong_type"},
    {result_code::answers_out_of_range, "answers_out_of_range"},
    {result_code::answers_bad_name, "answers_bad_name"},
    {result_code::answers_duplicate_name, "answers_duplicate_name"},
    {result_code::answers_absent_service, "answers_absent_service"},
    {result_code::answers_absent_release, "answers_absent_release"},
    {result_code::answers_absent_failure_domain, "answers_absent_failure_domain"},
    {result_code::answers_deadline_past, "answers_deadline_past"},
    {result_code::answers_bad_time, "answers_bad_time"},
    {result_code::answers_weights_sum, "answers_weights_sum"},
    {result_code::answers_unsupported_format, "answers_unsupported_format"},
    {result_code::answers_conflicting_routes, "answers_conflicting_routes"},
    {result_code::answers_same_version, "answers_same_version"},
    {result_code::answers_duplicate_key, "answers_duplicate_key"},
    {result_code::answers_conflicting_moves, "answers_conflicting_moves"},
    {result_code::answers_bad_path, "answers_bad_path"},
    {result_code::answers_bad_method, "answers_bad_method"},
    {result_code::snapshot_malformed, "snapshot_malformed"},
    {result_code::snapshot_dangling_reference, "snapshot_dangling_reference"},
    {result_code::snapshot_digest_mismatch, "snapshot_digest_mismatch"},
    {result_code::snapshot_older_version, "snapshot_older_version"},
    {result_code::snapshot_delta_mismatch, "snapshot_delta_mismatch"},
    {result_code::snapshot_duplicate_name, "snapshot_duplicate_name"},
    {result_code::snapshot_conflicting_routes, "snapshot_conflicting_routes"},
    {result_code::settings_unreadable, "settings_unreadable"},
    {result_code::settings_not_json, "settings_not_json"},
    {result_code::settings_unknown_key, "settings_unknown_key"},
    {result_code::settings_missing_key, "settings_missing_key"},
    {result_code::settings_wrong_type, "settings_wrong_type"},
    {result_code::settings_out_of_range, "settings_out_of_range"},
    {result_code::settings_bad_address, "settings_bad_address"},
    {result_code::settings_port_unavailable, "settings_port_unavailable"},
    {result_code::platform_unavailable, "platform_unavailable"},
    {result_code::platform_timeout, "platform_timeout"},
    {result_code::platform_precondition_failed, "platform_precondition_failed"},
    {result_code::platform_not_found, "platform_not_found"},
    {result_code::platform_bad_answer, "platform_bad_answer"},
    {result_code::platform_outcome_unknown, "platform_outcome_unknown"},
    {result_code::submit_conflict, "submit_conflict"},
    {result_code::submit_unauthorized, "submit_unauthorized"},
    {result_code::submit_wrong_team, "submit_wrong_team"},
    {result_code::submit_precondition_missing, "submit_precondition_missing"},
    {result_code::not_ready, "not_ready"},
    {result_code::lease_not_held, "lease_not_held"},
    {result_code::lease_epoch_stale, "lease_epoch_stale"},
    {result_code::admin_not_found, "admin_not_found"},
    {result_code::admin_bad_request, "admin_bad_request"},
    {result_code::admin_body_too_large, "admin_body_too_large"},
    {result_code::admin_method_not_allowed, "admin_method_not_allowed"},
    {result_code::admin_forbidden, "admin_forbidden"},
    {result_code::admin_unreachable, "admin_unreachable"},
    {result_code::call_no_route, "call_no_route"},
    {result_code::call_no_endpoint, "call_no_endpoint"},
    {result_code::call_overloaded, "call_overloaded"},
    {result_code::call_deadline_too_short, "call_deadline_too_short"},
    {result_code::call_deadline_exceeded, "call_deadline_exceeded"},
    {result_code::call_upstream_failed, "call_upstream_failed"},
    {result_code::call_upstream_truncated, "call_upstream_truncated"},
    {result_code::call_outcome_unknown, "call_outcome_unknown"},
    {result_code::call_duplicate_operation, "call_duplicate_operation"},
    {result_code::call_operation_store_unavailable, "call_operation_store_unavailable"},
    {result_code::call_too_deep, "call_too_deep"},
    {result_code::call_body_too_large, "call_body_too_large"},
    {result_code::call_draining, "call_draining"},
    {result_code::call_not_ready, "call_not_ready"},
    {result_code::call_bad_request, "call_bad_request"},
    {result_code::call_key_reused, "call_key_reused"},
    {result_code::call_cancelled, "call_cancelled"},
    {result_code::move_not_found, "move_not_found"},
    {result_code::move_conflict, "move_conflict"},
    {result_code::move_wrong_state, "move_wrong_state"},
    {result_code::move_deadline_past, "move_deadline_past"},
    {result_code::move_version_taken_back, "move_version_taken_back"},
    {result_code::peer_frame_too_large, "peer_frame_too_large"},
    {result_code::peer_frame_malformed, "peer_frame_malformed"},
    {result_code::peer_protocol_version, "peer_protocol_version"},
    {result_code::peer_link_closed, "peer_link_closed"},
    {result_code::peer_queue_full, "peer_queue_full"},
});

} // namespace

std::span<const result_code_entry> all_result_codes() {
    return entries;
}

std::string_view to_string(result_code code) {
    const auto found = std::ranges::find(entries, code, &result_code_entry::code);
    return found == entries.end() ? "unknown" : found->name;
}

} // namespace endive
