#include "daemon/admin_adapter.h"

#include <algorithm>

namespace endive::daemon {
namespace {

// Acceptance reads, stores and writes once each, with one retry; the platform's time-out bounds each step.
constexpr std::chrono::seconds submit_timeout{12};

// The administration API has enumerations of its own; the casts below rely on equal order.
static_assert(static_cast<int>(operators::move_state::expired) ==
              static_cast<int>(endive::moves::move_state::expired));
static_assert(static_cast<int>(operators::move_state::taken_back) ==
              static_cast<int>(endive::moves::move_state::taken_back));
static_assert(static_cast<int>(operators::operation_state::not_run) ==
              static_cast<int>(calls::operation_state::not_run));

operators::move_status to_status(const endive::moves::move_row& row) {
    operators::move_status status;
    status.id = row.id;
    status.team = row.team;
    status.service = row.service;
    status.from = row.from;
    status.to = row.to;
    status.state = static_cast<operators::move_state>(row.state);
    status.share = row.share;
    status.row_version = row.revision;
    status.reason =
        row.deadline_risk.empty() ? row.reason : row.reason + "; deadline at risk: " + row.deadline_risk;
    status.deadline_unix_ms = row.deadline_unix_ms;
    status.started_unix_ms = row.created_unix_ms;
    status.changed_unix_ms = row.history.empty() ? row.created_unix_ms : row.history.back().unix_ms;
    status.finished_unix_ms = std::max(row.completed_unix_ms, row.taken_back_unix_ms);
    for (const auto& item : row.evidence) {
        const auto bad = static_cast<std::uint64_t>(item.new_bad);
        const bool slow = item.what == endive::moves::signal::slow;
        status.evidence.push_back(
            {item.route, row.to, static_cast<std::uint64_t>(item.new_total), slow ? 0 : bad, slow ? bad : 0});
    }
    return status;
}

endive::moves::command_kind to_command(operators::move_action action) {
    switch (action) {
    case operators::move_action::pause:
        return endive::moves::command_kind::pause;
    case operators::move_action::resume:
        return endive::moves::command_kind::resume;
    case operators::move_action::take_back:
        return endive::moves::command_kind::take_back;
    case operators::move_action::extend:
        return endive::moves::command_kind::extend;
    }
    return endive::moves::command_kind::pause;
}

std::string_view endpoint_state_name(model::endpoint_state state) {
    switch (state) {
    case model::endpoint_state::starting:
        return "starting";
    case model::endpoint_state::serving:
        return "serving";
    case model::endpoint_state::draining:
        return "draining";
    case model::endpoint_state::leaving:
        return "leaving";
    }
    return "leaving";
}

bool is_late(const operators::move_status& move) {
    return move.state == operators::move_state::expired ||
           (move.finished_unix_ms != 0 && move.finished_unix_ms > move.deadline_unix_ms);
}

bool is_finished(const operators::move_status& move) {
    return move.state == operators::move_state::complete || move.state == operators::move_state::watching ||
           move.state == operators::move_state::done;
}

void count_move(operators::team_report& report, const operators::move_status& move) {
    if (move.state == operators::move_state::taken_back) {
        ++report.moves_taken_back;
    } else if (is_late(move)) {
        ++report.moves_late;
    } else if (is_finished(move)) {
        ++report.moves_on_time;
    } else {
        ++report.moves_open;
    }
}

} // namespace

admin_adapter::admin_adapter(const daemon_settings& settings, control_loop& control,
                             platform::table_store& table, clock_source& clock)
    : settings_{settings}, control_{control}, table_{table}, clock_{clock}, started_{clock.now()} {}

operators::submit_result admin_adapter::submit(const operators::submit_request& request) {
    auto part = model::generate(request.questionnaire, clock_.wall_now());
    if (part.team != request.team) {
        throw error{result_code::submit_wrong_team,
                    "the answers are of team " + part.team + ", the token is of team " + request.team,
                    "/team"};
    }
    auto pending = control_.submit(std::move(part), request.precondition_version, request.idempotency_key);
    if (pending.wait_for(submit_timeout) != std::future_status::ready) {
        throw error{result_code::platform_outcome_unknown,
                    "no result in time; repeat with the same idempotency key"};
    }
    const auto result = pending.get();
    if (result.code == result_code::submit_conflict) {
        throw operators::conflict_error{result.code, result.message, request.team, result.version};
    }
    if (result.code != result_code::ok) {
        throw error{result.code, result.message, request.team};
    }
    operators::submit_result accepted;
    accepted.version = result.version;
    accepted.changed_at_version = result.version;
    const auto table = control_.active();
    if (table && table->version() == result.version) {
        accepted.digest = model::digest(table->source());
    }
    return accepted;
}

operators::part_result admin_adapter::part(const std::string& team) {
    const auto table = control_.active();
    operators::part_result result;
    result.part.team = team;
    if (!table) {
        return result;
    }
    result.version = table->version();
    if (const auto* found = model::find_part(table->source(), team)) {
        result.part = *found;
    }
    return result;
}

operators::fleet_status admin_adapter::status() {
    const auto control = control_.status();
    operators::fleet_status status;
    status.member = settings_.advertised_peer_address;
    status.failure_domain = settings_.failure_domain;
    status.ready = control.config.ready;
    status.confirmed = control.config.confirmed;
    status.active_version = control.config.version;
    status.active_digest = control.config.digest;
    status.head_version = control.config.newest_known;
    status.move_owner = control.ownership.holder;
    status.lease_epoch = control.ownership.epoch;
    for (const auto& member : control.members) {
        status.daemons_alive += member.state == distribution::member_state::alive ? 1 : 0;
        status.daemons_suspect += member.state == distribution::member_state::suspect ? 1 : 0;
    }
    for (const auto& count : control.convergence.counts) {
        status.versions.push_back({count.version, static_cast<std::uint32_t>(count.daemons)});
    }
    for (const auto& late : control.convergence.laggards) {
        status.lagging.push_back({late.id, late.version, late.reason});
    }
    std::map<std::pair<std::string, std::string>, operators::endpoint_count> counts;
    for (const auto& endpoint : control.endpoints) {
        auto& count = counts[{endpoint.service, endpoint.version}];
        count.service = endpoint.service;
        count.version = endpoint.version;
        ++(endpoint.state == model::endpoint_state::serving ? count.serving : count.other);
    }
    for (const auto& [name, count] : counts) {
        status.endpoints.push_back(count);
    }
    return status;
}

std::vector<operators::history_entry> admin_adapter::history(std::size_t limit) {
    const auto head = table_.get("head");
    if (!head) {
        return {};
    }
    std::vector<operators::history_entry> entries;
    for (const auto& item : distribution::decode_history(head->value)) {
        if (entries.size() == limit) {
            break;
        }
        entries.push_back({item.version, 0, item.team, item.accepted_by, item.submitted_unix_ms});
    }
    return entries;
}

std::vector<endive::moves::move_row> admin_adapter::move_rows() {
    try {
        std::vector<endive::moves::move_row> rows;
        for (const auto& row : table_.list("move/")) {
            rows.push_back(endive::moves::decode_move_row(row.value));
        }
        return rows;
    } catch (const error&) {
        // The table is away: the rows that this daemon last saw are the best there is.
        return control_.status().moves;
    }
}

std::vector<operators::move_status> admin_adapter::moves() {
    std::vector<operators::move_status> all;
    for (const auto& row : move_rows()) {
        all.push_back(to_status(row));
    }
    std::ranges::sort(all, {}, &operators::move_status::id);
    return all;
}

operators::move_status admin_adapter::apply_action(const operators::move_action_request& request) {
    const auto row = table_.get(endive::moves::row_key(request.id));
    if (!row) {
        throw error{result_code::move_not_found, "no move " + request.id, request.id};
    }
    const auto before = endive::moves::decode_move_row(row->value);
    endive::moves::operator_command command;
    command.kind = to_command(request.action);
    command.move_id = request.id;
    command.expected_revision = request.precondition_version.value_or(before.revision);
    command.new_deadline_unix_ms = request.deadline_unix_ms;
    command.operator_name = request.team;
    const auto wall = clock_.wall_now();
    try {
        const auto after = endive::moves::apply_command(before, command, wall);
        table_.put(row->key, endive::moves::encode(after), platform::precondition::matches(row->etag));
        std::vector<endive::moves::record> records{endive::moves::change_record(after)};
        if (request.action == operators::move_action::take_back) {
            records.push_back(
                endive::moves::take_back_record(after, settings_.advertised_peer_address, wall));
        }
        control_.publish_all(std::move(records));
        return to_status(after);
    } catch (const error& failure) {
        if (failure.code() == result_code::move_conflict ||
            failure.code() == result_code::platform_precondition_failed) {
            throw operators::conflict_error{result_code::move_conflict, failure.what(), request.id,
                                            before.revision};
        }
        throw;
    }
}

operators::report_result admin_adapter::report() {
    operators::report_result report;
    report.moves = moves();
    report.convergence_p50_ms =
        std::chrono::duration<double, std::milli>(control_.convergence_times().quantile(0.5)).count();
    report.convergence_p99_ms =
        std::chrono::duration<double, std::milli>(control_.convergence_times().quantile(0.99)).count();
    const auto transport = control_.transport_stats();
    const double seconds = std::chrono::duration<double>(clock_.now() - started_).count();
    report.control_bytes_per_second =
        static_cast<double>(transport.bytes_in + transport.bytes_out) / std::max(seconds, 1.0);
    const auto table = control_.active();
    if (!table) {
        return report;
    }
    report.version = table->version();
    for (const auto& part : table->source().parts) {
        operators::team_report team;
        team.team = part.team;
        team.weights = part.weights;
        for (const auto& move : report.moves) {
            if (move.team == part.team) {
                count_move(team, move);
            }
        }
        report.teams.push_back(team);
    }
    return report;
}

std::optional<operators::operation_result> admin_adapter::operation(const std::string& service,
                                                                    const std::string& key) {
    const auto row = table_.get(calls::operation_row_key(service, key));
    if (!row) {
        return std::nullopt;
    }
    const auto record = calls::decode_operation(row->value);
    operators::operation_result result;
    result.service = service;
    result.key = key;
    result.state = static_cast<operators::operation_state>(record.state);
    result.status = record.status;
    return result;
}

void admin_adapter::announce(const operators::endpoint_announcement& announcement) {
    const json body{
        {"address", announcement.address},         {"service", announcement.service},
        {"version", announcement.version},         {"slots", announcement.slots},
        {"connections", announcement.connections}, {"state", endpoint_state_name(announcement.state)}};
    control_.announce(body.dump());
}

operators::readiness admin_adapter::ready() {
    if (draining_) {
        return {false, "draining"};
    }
    const auto control = control_.status();
    return {control.config.ready, control.not_ready_reason};
}

} // namespace endive::daemon
