#include "daemon/move_control.h"

namespace endive::daemon {
namespace {

constexpr milliseconds evidence_interval{1000};

distribution::record_kind kind_of(std::string_view kind) {
    if (kind == moves::hold_kind) {
        return distribution::record_kind::hold;
    }
    if (kind == moves::change_kind) {
        return distribution::record_kind::move_change;
    }
    return distribution::record_kind::move_directive;
}

std::string_view name_of(distribution::record_kind kind) {
    switch (kind) {
    case distribution::record_kind::hold:
        return moves::hold_kind;
    case distribution::record_kind::move_change:
        return moves::change_kind;
    case distribution::record_kind::move_directive:
        return moves::directive_kind;
    }
    return moves::directive_kind;
}

} // namespace

distribution::replicated_record to_replicated(const moves::record& value) {
    return {kind_of(value.kind), value.key, value.epoch, value.sequence, value.final, value.payload};
}

moves::record to_move_record(const distribution::replicated_record& value) {
    return {
        std::string{name_of(value.kind)}, value.key, value.epoch, value.sequence, value.final, value.payload};
}

move_control::move_control(const std::string& member_id, move_effects& effects, counter_set& counters)
    : guard_{member_id}, machine_{member_id}, effects_{effects}, counters_{counters} {}

void move_control::on_snapshot(const model::snapshot& active, time_point now, wall_time wall) {
    std::vector<model::version_move> moves;
    std::map<std::string, model::measure_weights> weights;
    for (const auto& part : active.parts) {
        moves.insert(moves.end(), part.moves.begin(), part.moves.end());
        weights[part.team] = part.weights;
    }
    collector_.set_moves(moves);
    guard_.set_moves(moves, weights);
    splits_.set_snapshot(active);
    effects_.splits_changed();
    perform(machine_.on_configuration(active, now, wall));
}

void move_control::on_records(const std::vector<distribution::replicated_record>& records, time_point now,
                              wall_time wall) {
    bool changed = false;
    for (const auto& entry : records) {
        const auto record = to_move_record(entry);
        guard_.on_record(record);
        changed = splits_.on_record(record) || changed;
        perform(machine_.on_record(record, now, wall));
    }
    if (changed) {
        effects_.splits_changed();
    }
}

void move_control::on_lease(const moves::lease_state& lease, time_point now, wall_time wall) {
    perform(machine_.on_lease(lease, now, wall));
}

void move_control::on_fleet_evidence(const std::vector<distribution::counter_vector>& increments,
                                     time_point now, wall_time wall) {
    moves::counter_map sums;
    for (const auto& entry : increments) {
        moves::add_counters(sums, {{entry.name, entry.values}});
    }
    perform(machine_.on_evidence(sums, now, wall));
}

void move_control::on_rows(const std::vector<platform::row>& rows, time_point now, wall_time wall) {
    perform(machine_.on_rows(rows, now, wall));
}

void move_control::on_row(const std::string& move_id, const std::optional<platform::row>& row, time_point now,
                          wall_time wall) {
    perform(machine_.on_row(move_id, row, now, wall));
}

void move_control::on_write_result(const std::string& move_id, const std::string& write_id,
                                   moves::write_result result, const std::string& etag, time_point now,
                                   wall_time wall) {
    perform(machine_.on_write_result(move_id, write_id, result, etag, now, wall));
}

void move_control::on_tick(const std::vector<model::call_observation>& observations, time_point now,
                           wall_time wall) {
    for (const auto& observation : observations) {
        collector_.add(observation);
    }
    const double seconds = last_tick_ ? std::chrono::duration<double>(now - *last_tick_).count() : 0.1;
    last_tick_ = now;
    for (const auto& hold : guard_.on_evidence(collector_.take_local_evidence(), seconds, wall)) {
        counters_.add("holds_decided");
        log_event(log_level::warning, "hold_decided", {{"key", hold.key}, {"payload", hold.payload}});
        effects_.publish(to_replicated(hold));
    }
    report_evidence(now);
    perform(machine_.on_tick(now, wall));
}

void move_control::report_evidence(time_point now) {
    if (last_report_ && now - *last_report_ < evidence_interval) {
        return;
    }
    last_report_ = now;
    std::vector<distribution::counter_vector> increments;
    for (auto& [name, values] : collector_.take_increments()) {
        increments.push_back({name, values});
    }
    if (!increments.empty()) {
        effects_.publish_evidence(std::move(increments));
    }
}

void move_control::perform(const moves::actions& actions) {
    for (const auto& action : actions) {
        if (const auto* write = std::get_if<moves::write_row>(&action)) {
            effects_.write_move_row(*write);
        } else if (const auto* read = std::get_if<moves::read_row>(&action)) {
            effects_.read_move_row(*read);
        } else if (std::holds_alternative<moves::list_rows>(action)) {
            effects_.list_move_rows();
        } else if (const auto* published = std::get_if<moves::publish>(&action)) {
            effects_.publish(to_replicated(published->value));
        } else if (const auto* report = std::get_if<moves::report_event>(&action)) {
            counters_.add("move_events_" + report->event);
            log_event(log_level::info, report->event,
                      {{"move", report->move_id}, {"detail", report->detail}});
        }
    }
}

} // namespace endive::daemon
