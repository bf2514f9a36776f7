#include "operators/admin_json.h"

namespace endive::operators {
namespace {

/// RFC 3339 text; null when the event has not happened.
json time_json(std::int64_t unix_ms) {
    return unix_ms == 0 ? json(nullptr) : json(format_rfc3339(from_unix_ms(unix_ms)));
}

template <typename Item>
json list_json(const std::vector<Item>& items) {
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

} // namespace

json to_json(const version_count& value) {
    return {{"version", value.version}, {"daemons", value.daemons}};
}

json to_json(const lagging_daemon& value) {
    return {{"member", value.member}, {"version", value.version}, {"reason", value.reason}};
}

json to_json(const endpoint_count& value) {
    return {{"service", value.service},
            {"version", value.version},
            {"serving", value.serving},
            {"other", value.other}};
}

json to_json(const route_evidence& value) {
    return {{"route", value.route},
            {"version", value.version},
            {"requests", value.requests},
            {"failures", value.failures},
            {"slow", value.slow}};
}

json to_json(const model::measure_weights& value) {
    return {{"convergence", value.convergence},
            {"on_time", value.on_time},
            {"take_back", value.take_back},
            {"control_bytes", value.control_bytes}};
}

json to_json(const team_report& value) {
    return {{"team", value.team},
            {"weights", to_json(value.weights)},
            {"moves_on_time", value.moves_on_time},
            {"moves_late", value.moves_late},
            {"moves_taken_back", value.moves_taken_back},
            {"moves_open", value.moves_open}};
}

json to_json(const submit_result& value) {
    return {{"version", value.version},
            {"digest", to_hex(value.digest)},
            {"changed_at_version", value.changed_at_version},
            {"changed", value.changed}};
}

json to_json(const part_result& value) {
    const bool present = value.part.changed_at_version > 0;
    return {{"version", value.version},
            {"team", value.part.team},
            {"changed_at_version", value.part.changed_at_version},
            {"part", present ? json::parse(model::encode(value.part)) : json(nullptr)}};
}

json to_json(const fleet_status& value) {
    return {{"member", value.member},
            {"failure_domain", value.failure_domain},
            {"ready", value.ready},
            {"confirmed", value.confirmed},
            {"active_version", value.active_version},
            {"active_digest", to_hex(value.active_digest)},
            {"head_version", value.head_version},
            {"move_owner", value.move_owner},
            {"lease_epoch", value.lease_epoch},
            {"daemons_alive", value.daemons_alive},
            {"daemons_suspect", value.daemons_suspect},
            {"versions", list_json(value.versions)},
            {"lagging", list_json(value.lagging)},
            {"endpoints", list_json(value.endpoints)}};
}

json to_json(const history_entry& value) {
    return {{"version", value.version},
            {"digest", to_hex(value.digest)},
            {"team", value.team},
            {"accepted_by", value.accepted_by},
            {"accepted", time_json(value.accepted_unix_ms)}};
}

json to_json(const move_status& value) {
    return {{"id", value.id},
            {"team", value.team},
            {"service", value.service},
            {"from", value.from},
            {"to", value.to},
            {"state", to_string(value.state)},
            {"share", value.share},
            {"row_version", value.row_version},
            {"reason", value.reason},
            {"deadline", time_json(value.deadline_unix_ms)},
            {"started", time_json(value.started_unix_ms)},
            {"changed", time_json(value.changed_unix_ms)},
            {"finished", time_json(value.finished_unix_ms)},
            {"evidence", list_json(value.evidence)}};
}

json to_json(const report_result& value) {
    return {{"version", value.version},
            {"convergence_p50_ms", value.convergence_p50_ms},
            {"convergence_p99_ms", value.convergence_p99_ms},
            {"control_bytes_per_second", value.control_bytes_per_second},
            {"teams", list_json(value.teams)},
            {"moves", list_json(value.moves)}};
}

json to_json(const operation_result& value) {
    return {{"service", value.service},
            {"key", value.key},
            {"state", to_string(value.state)},
            {"status", value.status},
            {"started", time_json(value.started_unix_ms)},
            {"finished", time_json(value.finished_unix_ms)}};
}

json to_json(const error& value) {
    json object = {{"code", number(value.code())},
                   {"name", to_string(value.code())},
                   {"message", value.what()},
                   {"place", value.location()}};
    if (const auto* conflict = dynamic_cast<const conflict_error*>(&value)) {
        object["current_version"] = conflict->current_version();
    }
    return object;
}

} // namespace endive::operators
