#pragma once
// All log events of endive_sidecar. docs/OPERATIONS.md describes each of them.

#include "endive/base.h"

#include <span>

namespace endive::sidecar {

enum class event : std::uint8_t {
    started,
    stopping,
    stopped,
    settings_reloaded,
    settings_rejected,
    store_lost,
    store_regained,
    store_history_gone,
    store_restored,
    store_era_changed,
    store_answer_malformed,
    store_write_failed,
    reader_changed,
    peer_up,
    peer_down,
    peer_silent,
    peer_forgotten,
    peer_message_malformed,
    row_announced,
    row_requested,
    row_received,
    endpoint_changed,
    endpoint_probed,
    endpoint_unreachable,
    endpoint_silent,
    endpoint_deregistered,
    departure_unacknowledged,
    heartbeat_refused,
    heartbeat_malformed,
    configuration_in_force,
    configuration_not_newer,
    configuration_removed,
    keys_stale,
    keys_current,
    row_malformed,
    move_ordered,
    move_status,
    move_share,
    move_version_bad,
    request_done,
    request_refused,
    request_failed,
    request_abandoned,
    call_refused,
    call_failed,
    accept_failed,
    client_closed,
    client_refused,
    reply_discarded,
    loop_delayed,
    quota_coordinators,
    quota_refusals,
    unexpected_exception,
    summary,
};

struct event_entry {
    event value;
    std::string_view name;
    log_level level;
    log_importance importance;
};

/// All events, in the order of the enumeration.
[[nodiscard]] std::span<const event_entry> all_events();

/// Writes one log line. Thread safe.
void log(event value, const json& fields = {});

} // namespace endive::sidecar
