#include "moves/codec.h"

namespace endive::moves {

namespace {

/// True when the move is done, after which no old version is left to take the traffic back.
bool is_done(const record* move) {
    if (move == nullptr) {
        return false;
    }
    const auto payload = decode_directive(move->payload);
    return payload && payload->state == to_string(move_state::done);
}

/// Returns the evidence that justifies a hold, or nothing. Connection failures alone do not: possibly only
/// this daemon cannot reach the version's endpoints, so the owner decides on these from the evidence of the
/// fleet.
std::optional<signal_evidence> hold_cause(const verdict_tests& tests) {
    if (!tests.bad()) {
        return std::nullopt;
    }
    for (const auto& evidence : tests.all()) {
        if (evidence.what != signal::connections && evidence.evidence >= 1) {
            return evidence;
        }
    }
    return std::nullopt;
}

} // namespace

void local_guard::set_moves(std::span<const model::version_move> moves,
                            const std::map<std::string, model::measure_weights>& weights_by_team) {
    std::map<std::string, watched, std::less<>> kept;
    for (const auto& move : moves) {
        const auto known = watched_moves_.find(move.id);
        if (known != watched_moves_.end() && known->second.move.from == move.from) {
            kept.emplace(move.id, std::move(known->second));
            continue;
        }
        const auto weights = weights_by_team.find(move.team);
        const auto settings = override_.value_or(
            settings_for(weights == weights_by_team.end() ? model::measure_weights{} : weights->second));
        kept.emplace(move.id, watched{move, verdict_tests{settings, settings.hold_threshold}});
    }
    watched_moves_ = std::move(kept);
}

std::vector<record> local_guard::on_evidence(const std::vector<paired_evidence>& evidence, double seconds,
                                             wall_time now) {
    std::map<std::string_view, std::vector<paired_evidence>> by_move;
    for (const auto& item : evidence) {
        by_move[item.move_id].push_back(item);
    }
    for (auto& [id, entry] : watched_moves_) {
        entry.tests.add(by_move[id], seconds);
    }
    std::vector<record> holds;
    for (const auto& [id, entry] : watched_moves_) {
        const auto cause = hold_cause(entry.tests);
        const bool skipped =
            !cause || held(entry.move.service, entry.move.to) || is_done(records_.find(directive_kind, id));
        if (!skipped) {
            holds.push_back(make_hold(entry, *cause, now));
            records_.apply(holds.back());
        }
    }
    return holds;
}

record local_guard::make_hold(const watched& entry, const signal_evidence& cause, wall_time now) const {
    hold_payload payload{entry.move.service,
                         entry.move.to,
                         hold_state::held,
                         member_id_,
                         "own evidence crossed the hold threshold",
                         cause,
                         to_unix_ms(now)};
    // The owner compares these counts with those of the other daemons over the same period.
    if (const auto recent = entry.tests.recent(cause.route, cause.what)) {
        payload.evidence.old_total = recent->old_total;
        payload.evidence.old_bad = recent->old_bad;
        payload.evidence.new_total = recent->new_total;
        payload.evidence.new_bad = recent->new_bad;
    }
    const auto key = hold_key(entry.move.service, entry.move.to);
    const auto* last = records_.find(hold_kind, key);
    return {std::string{hold_kind},
            key,
            last == nullptr ? 0 : last->epoch,
            last == nullptr ? 1 : last->sequence + 1,
            false,
            encode(payload)};
}

bool local_guard::on_record(const record& received) {
    if (!records_.apply(received)) {
        return false;
    }
    if (received.kind != hold_kind) {
        return true;
    }
    for (auto& [id, entry] : watched_moves_) {
        const bool affected = hold_key(entry.move.service, entry.move.to) == received.key;
        if (affected && !held(entry.move.service, entry.move.to)) {
            entry.tests.reset(); // evidence from before the release must not hold the version again
        }
    }
    return true;
}

bool local_guard::held(std::string_view service, std::string_view version) const {
    return is_hold_active(records_.find(hold_kind, hold_key(service, version)));
}

} // namespace endive::moves
