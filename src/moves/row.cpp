#include "moves/row.h"
#include "moves/codec.h"

#include <algorithm>

namespace endive::moves {

namespace {

constexpr std::array<std::string_view, 9> state_names{
    "pending", "canary", "ramping", "complete", "watching", "done", "paused", "taken_back", "expired"};

move_state state_at(const json& object, const char* key) {
    const auto state = parse_move_state(object.at(key).get<std::string>());
    if (!state) {
        throw error{result_code::platform_bad_answer, "unknown move state", key};
    }
    return *state;
}

json history_to_json(const std::vector<share_point>& history) {
    auto list = json::array();
    for (const auto& point : history) {
        list.push_back({point.unix_ms, point.share, to_string(point.state)});
    }
    return list;
}

std::vector<share_point> history_from_json(const json& list) {
    std::vector<share_point> history;
    for (const auto& item : list) {
        const auto state = parse_move_state(item.at(2).get<std::string>());
        history.push_back(
            {item.at(0).get<std::int64_t>(), item.at(1).get<double>(), state.value_or(move_state::pending)});
    }
    return history;
}

[[noreturn]] void reject(result_code code, const move_row& row, const std::string& message) {
    throw error{code, message + " (state " + std::string{to_string(row.state)} + ")", row.id};
}

void require_state(const move_row& row, std::initializer_list<move_state> allowed, std::string_view verb) {
    if (std::find(allowed.begin(), allowed.end(), row.state) == allowed.end()) {
        reject(result_code::move_wrong_state, row, "the move cannot be " + std::string{verb} + " now");
    }
}

void extend(move_row& row, const operator_command& command, std::int64_t now_ms) {
    require_state(row,
                  {move_state::pending, move_state::canary, move_state::ramping, move_state::paused,
                   move_state::expired},
                  "extended");
    if (command.new_deadline_unix_ms <= now_ms) {
        reject(result_code::move_deadline_past, row, "the new deadline is not in the future");
    }
    row.deadline_unix_ms = command.new_deadline_unix_ms;
    row.deadline_risk.clear();
    if (row.state == move_state::expired) {
        row.state = row.resume_state;
    }
}

} // namespace

std::string_view to_string(move_state state) {
    return state_names.at(static_cast<std::size_t>(state));
}

std::optional<move_state> parse_move_state(std::string_view text) {
    const auto* position = std::find(state_names.begin(), state_names.end(), text);
    if (position == state_names.end()) {
        return std::nullopt;
    }
    return static_cast<move_state>(position - state_names.begin());
}

bool is_active(move_state state) {
    return state == move_state::canary || state == move_state::ramping || state == move_state::complete ||
           state == move_state::watching;
}

std::string row_key(std::string_view move_id) {
    return "move/" + std::string{move_id};
}

std::string encode(const move_row& value) {
    auto evidence = json::array();
    for (const auto& item : value.evidence) {
        evidence.push_back(signal_to_json(item));
    }
    return json{{"id", value.id},
                {"team", value.team},
                {"service", value.service},
                {"from", value.from},
                {"to", value.to},
                {"state", to_string(value.state)},
                {"resume_state", to_string(value.resume_state)},
                {"share", value.share},
                {"share_non_idempotent", value.share_non_idempotent},
                {"control_share", value.control_share},
                {"epoch", value.epoch},
                {"revision", value.revision},
                {"created_unix_ms", value.created_unix_ms},
                {"deadline_unix_ms", value.deadline_unix_ms},
                {"configured_deadline_unix_ms", value.configured_deadline_unix_ms},
                {"completed_unix_ms", value.completed_unix_ms},
                {"first_fault_unix_ms", value.first_fault_unix_ms},
                {"taken_back_unix_ms", value.taken_back_unix_ms},
                {"reason", value.reason},
                {"deadline_risk", value.deadline_risk},
                {"new_requests", value.new_requests},
                {"evidence", evidence},
                {"history", history_to_json(value.history)},
                {"write_id", value.write_id}}
        .dump();
}

move_row decode_move_row(std::string_view bytes) {
    try {
        const auto object = json::parse(bytes);
        const auto integer = [&](const char* key) { return object.at(key).get<std::int64_t>(); };
        const auto text = [&](const char* key) { return object.at(key).get<std::string>(); };
        move_row row;
        row.id = text("id");
        row.team = text("team");
        row.service = text("service");
        row.from = text("from");
        row.to = text("to");
        row.state = state_at(object, "state");
        row.resume_state = state_at(object, "resume_state");
        row.share = object.at("share").get<double>();
        row.share_non_idempotent = object.at("share_non_idempotent").get<double>();
        row.control_share = object.at("control_share").get<double>();
        row.epoch = object.at("epoch").get<std::uint64_t>();
        row.revision = object.at("revision").get<std::uint64_t>();
        row.created_unix_ms = integer("created_unix_ms");
        row.deadline_unix_ms = integer("deadline_unix_ms");
        row.configured_deadline_unix_ms = integer("configured_deadline_unix_ms");
        row.completed_unix_ms = integer("completed_unix_ms");
        row.first_fault_unix_ms = integer("first_fault_unix_ms");
        row.taken_back_unix_ms = integer("taken_back_unix_ms");
        row.reason = text("reason");
        row.deadline_risk = text("deadline_risk");
        row.new_requests = object.at("new_requests").get<std::uint64_t>();
        for (const auto& item : object.at("evidence")) {
            row.evidence.push_back(signal_from_json(item));
        }
        row.history = history_from_json(object.at("history"));
        row.write_id = text("write_id");
        return row;
    } catch (const json::exception& failure) {
        throw error{result_code::platform_bad_answer, failure.what(), "move row"};
    }
}

void add_history(move_row& row, std::int64_t now_ms) {
    row.history.push_back({now_ms, row.share, row.state});
    if (row.history.size() > config::max_move_history) {
        // The first point shows the start of the move, so the second oldest is dropped.
        row.history.erase(row.history.begin() + 1);
    }
}

void take_back(move_row& row, const std::string& reason, std::int64_t now_ms) {
    row.state = move_state::taken_back;
    row.share = 0;
    row.share_non_idempotent = 0;
    row.control_share = 0;
    row.taken_back_unix_ms = now_ms;
    row.deadline_risk.clear();
    row.reason = reason;
}

move_row apply_command(const move_row& row, const operator_command& command, wall_time now) {
    if (row.revision != command.expected_revision) {
        reject(result_code::move_conflict, row,
               "the move is at revision " + std::to_string(row.revision) + ", the command expects " +
                   std::to_string(command.expected_revision));
    }
    if (row.state == move_state::taken_back) {
        reject(result_code::move_version_taken_back, row, "the version was taken back");
    }
    const auto now_ms = to_unix_ms(now);
    move_row next = row;
    ++next.revision;
    switch (command.kind) {
    case command_kind::pause:
        require_state(row, {move_state::pending, move_state::canary, move_state::ramping}, "paused");
        next.resume_state = row.state;
        next.state = move_state::paused;
        next.reason = "paused by " + command.operator_name;
        break;
    case command_kind::resume:
        require_state(row, {move_state::paused}, "resumed");
        if (row.deadline_unix_ms <= now_ms) {
            reject(result_code::move_deadline_past, row, "the deadline has passed; extend the move first");
        }
        next.state = row.resume_state;
        next.reason = "resumed by " + command.operator_name;
        break;
    case command_kind::extend:
        extend(next, command, now_ms);
        next.reason = "extended by " + command.operator_name;
        break;
    case command_kind::take_back:
        if (row.state == move_state::done) {
            reject(result_code::move_wrong_state, row, "the old version is no longer kept warm");
        }
        take_back(next, "taken back by " + command.operator_name, now_ms);
        break;
    }
    add_history(next, now_ms);
    return next;
}

record change_record(const move_row& row) {
    return {std::string{change_kind}, row.id, row.epoch, row.revision, false, "{}"};
}

record take_back_record(const move_row& row, std::string_view daemon, wall_time now) {
    hold_payload payload{row.service, row.to, hold_state::taken_back, std::string{daemon},
                         row.reason,  {},     to_unix_ms(now)};
    if (!row.evidence.empty()) {
        payload.evidence = row.evidence.front();
    }
    return {std::string{hold_kind}, hold_key(row.service, row.to), row.epoch, row.revision, true,
            encode(payload)};
}

record directive_record(const move_row& row) {
    const directive value{row.id,
                          row.service,
                          row.from,
                          row.to,
                          std::max(0.0, row.share - row.control_share),
                          row.share_non_idempotent,
                          std::string{to_string(row.state)}};
    return {std::string{directive_kind}, row.id, row.epoch, row.revision, false, encode(value)};
}

} // namespace endive::moves
