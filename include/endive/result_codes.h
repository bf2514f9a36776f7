#pragma once
/// Numbered result codes. docs/result-codes.md documents the cause of each and the operator's action; a test
/// checks that both list the same codes.

#include <cstdint>
#include <span>
#include <string_view>

namespace endive {

enum class result_code : std::uint16_t {
    ok = 0,
    internal = 1,
    usage = 2,

    // 1000: questionnaire
    answers_unreadable = 1001,
    answers_too_large = 1002,
    answers_not_utf8 = 1003,
    answers_not_json = 1004,
    answers_too_deep = 1005,
    answers_unknown_field = 1006,
    answers_missing_field = 1007,
    answers_wrong_type = 1008,
    answers_out_of_range = 1009,
    answers_bad_name = 1010,
    answers_duplicate_name = 1011,
    answers_absent_service = 1012,
    answers_absent_release = 1013,
    answers_absent_failure_domain = 1014,
    answers_deadline_past = 1015,
    answers_bad_time = 1016,
    answers_weights_sum = 1017,
    answers_unsupported_format = 1018,
    answers_conflicting_routes = 1019,
    answers_same_version = 1020,
    answers_duplicate_key = 1021,
    answers_conflicting_moves = 1022,
    answers_bad_path = 1023,
    answers_bad_method = 1024,

    // 1100: snapshot
    snapshot_malformed = 1101,
    snapshot_dangling_reference = 1102,
    snapshot_digest_mismatch = 1103,
    snapshot_older_version = 1104,
    snapshot_delta_mismatch = 1105,
    snapshot_duplicate_name = 1106,
    snapshot_conflicting_routes = 1107,

    // 2000: settings
    settings_unreadable = 2001,
    settings_not_json = 2002,
    settings_unknown_key = 2003,
    settings_missing_key = 2004,
    settings_wrong_type = 2005,
    settings_out_of_range = 2006,
    settings_bad_address = 2007,
    settings_port_unavailable = 2008,

    // 3000: platform
    platform_unavailable = 3001,
    platform_timeout = 3002,
    platform_precondition_failed = 3003,
    platform_not_found = 3004,
    platform_bad_answer = 3005,
    platform_outcome_unknown = 3006,

    // 4000: administration and distribution
    submit_conflict = 4001,
    submit_unauthorized = 4002,
    submit_wrong_team = 4003,
    submit_precondition_missing = 4004,
    not_ready = 4005,
    lease_not_held = 4006,
    lease_epoch_stale = 4007,
    admin_not_found = 4008,
    admin_bad_request = 4009,
    admin_body_too_large = 4010,
    admin_method_not_allowed = 4011,
    admin_forbidden = 4012,
    admin_unreachable = 4013,

    // 5000: calls
    call_no_route = 5001,
    call_no_endpoint = 5002,
    call_overloaded = 5003,
    call_deadline_too_short = 5004,
    call_deadline_exceeded = 5005,
    call_upstream_failed = 5006,
    call_upstream_truncated = 5007,
    call_outcome_unknown = 5008,
    call_duplicate_operation = 5009,
    call_operation_store_unavailable = 5010,
    call_too_deep = 5011,
    call_body_too_large = 5012,
    call_draining = 5013,
    call_not_ready = 5014,
    call_bad_request = 5015,
    call_key_reused = 5016,
    call_cancelled = 5017,

    // 6000: moves
    move_not_found = 6001,
    move_conflict = 6002,
    move_wrong_state = 6003,
    move_deadline_past = 6004,
    move_version_taken_back = 6005,

    // 7000: peers
    peer_frame_too_large = 7001,
    peer_frame_malformed = 7002,
    peer_protocol_version = 7003,
    peer_link_closed = 7004,
    peer_queue_full = 7005,
};

struct result_code_entry {
    result_code code;
    std::string_view name;
};

/// All codes with their names, in numeric order.
[[nodiscard]] std::span<const result_code_entry> all_result_codes();
/// Name of `code`, such as `submit_conflict`.
[[nodiscard]] std::string_view to_string(result_code code);
[[nodiscard]] constexpr std::uint16_t number(result_code code) {
    return static_cast<std::uint16_t>(code);
}

} // namespace endive
