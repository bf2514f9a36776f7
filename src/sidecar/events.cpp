#include "sidecar/events.h"

#include <array>

namespace endive::sidecar {
namespace {

using enum event;
using enum log_importance;
using enum log_level;

constexpr std::array entries{
    event_entry{started, "started", info, lifecycle},
    event_entry{stopping, "stopping", info, lifecycle},
    event_entry{stopped, "stopped", info, lifecycle},
    event_entry{settings_reloaded, "settings_reloaded", info, lifecycle},
    event_entry{settings_rejected, "settings_rejected", warning, lifecycle},
    event_entry{store_lost, "store_lost", warning, lifecycle},
    event_entry{store_regained, "store_regained", info, lifecycle},
    event_entry{store_history_gone, "store_history_gone", info, lifecycle},
    event_entry{store_restored, "store_restored", warning, lifecycle},
    event_entry{store_era_changed, "store_era_changed", warning, lifecycle},
    event_entry{store_answer_malformed, "store_answer_malformed", warning, lifecycle},
    event_entry{store_write_failed, "store_write_failed", info, lifecycle},
    event_entry{reader_changed, "reader_changed", info, lifecycle},
    event_entry{peer_up, "peer_up", info, lifecycle},
    event_entry{peer_down, "peer_down", info, lifecycle},
    event_entry{peer_silent, "peer_silent", warning, lifecycle},
    event_entry{peer_forgotten, "peer_forgotten", info, lifecycle},
    event_entry{peer_message_malformed, "peer_message_malformed", warning, lifecycle},
    event_entry{row_announced, "row_announced", info, lifecycle},
    event_entry{row_requested, "row_requested", info, lifecycle},
    event_entry{row_received, "row_received", info, lifecycle},
    event_entry{endpoint_changed, "endpoint_changed", info, lifecycle},
    event_entry{endpoint_probed, "endpoint_probed", info, lifecycle},
    event_entry{endpoint_unreachable, "endpoint_unreachable", warning, lifecycle},
    event_entry{endpoint_silent, "endpoint_silent", warning, lifecycle},
    event_entry{endpoint_deregistered, "endpoint_deregistered", info, lifecycle},
    event_entry{departure_unacknowledged, "departure_unacknowledged", warning, lifecycle},
    event_entry{heartbeat_refused, "heartbeat_refused", info, refusal},
    event_entry{heartbeat_malformed, "heartbeat_malformed", warning, refusal},
    event_entry{configuration_in_force, "configuration_in_force", info, lifecycle},
    event_entry{configuration_not_newer, "configuration_not_newer", warning, lifecycle},
    event_entry{configuration_removed, "configuration_removed", warning, lifecycle},
    event_entry{keys_stale, "keys_stale", warning, lifecycle},
    event_entry{keys_current, "keys_current", info, lifecycle},
    event_entry{row_malformed, "row_malformed", warning, lifecycle},
    event_entry{move_ordered, "move_ordered", info, lifecycle},
    event_entry{move_status, "move_status", info, lifecycle},
    event_entry{move_share, "move_share", info, lifecycle},
    event_entry{move_version_bad, "move_version_bad", warning, lifecycle},
    event_entry{request_done, "request_done", info, routine},
    event_entry{request_refused, "request_refused", info, refusal},
    event_entry{request_failed, "request_failed", info, refusal},
    event_entry{request_abandoned, "request_abandoned", info, refusal},
    event_entry{call_refused, "call_refused", info, refusal},
    event_entry{call_failed, "call_failed", info, refusal},
    event_entry{accept_failed, "accept_failed", warning, lifecycle},
    event_entry{client_closed, "client_closed", info, refusal},
    event_entry{client_refused, "client_refused", info, refusal},
    event_entry{reply_discarded, "reply_discarded", info, refusal},
    event_entry{loop_delayed, "loop_delayed", warning, lifecycle},
    event_entry{quota_coordinators, "quota_coordinators", info, lifecycle},
    event_entry{quota_refusals, "quota_refusals", info, lifecycle},
    event_entry{unexpected_exception, "unexpected_exception", warning, lifecycle},
    event_entry{summary, "summary", info, lifecycle},
};

} // namespace

std::span<const event_entry> all_events() {
    return entries;
}

void log(event value, const json& fields) {
    const auto& entry = entries.at(static_cast<std::size_t>(value));
    log_event(entry.level, entry.name, fields, entry.importance);
}

} // namespace endive::sidecar
