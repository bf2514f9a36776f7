#include "moves/codec.h"
#include "moves/row.h"
#include "moves/tracked_move.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace endive::moves {

struct move_machine::state {
    explicit state(std::string id) : member_id{std::move(id)} {}

    std::string member_id;
    std::optional<decision_settings> override_settings;
    lease_state lease;
    bool rows_loaded = false; ///< the rows have been listed under the current lease
    std::optional<time_point> list_started;
    std::optional<time_point> last_tick;
    std::optional<time_point> last_evidence;
    std::uint64_t write_counter = 0;
    record_set records;
    std::map<std::string, bool> idempotent_routes;
    std::map<std::string, tracked_move> moves;
    actions pending_actions;

    // Time of the event that is being handled.
    time_point now{};
    wall_time wall{};

    [[nodiscard]] std::int64_t wall_ms() const { return to_unix_ms(wall); }
    [[nodiscard]] bool lease_valid() const {
        return lease.held && now + config::lease_safety_margin < lease.valid_until;
    }
    [[nodiscard]] bool owner() const { return lease_valid() && rows_loaded; }

    actions take_actions() { return std::exchange(pending_actions, {}); }
    void begin_event(time_point at, wall_time wall_at) {
        now = at;
        wall = wall_at;
    }

    void publish_record(const record& value);
    void report(std::string event, const std::string& move_id, std::string detail);
    [[nodiscard]] const record* hold_of(const tracked_move& move) const;
    [[nodiscard]] std::string blocking_move(const tracked_move& move) const;
    [[nodiscard]] decision_context context_of(const tracked_move& move) const;
    [[nodiscard]] decision_settings settings_of(const model::team_part& part) const;

    void propose(tracked_move& move, move_row next);
    void commit(tracked_move& move, const std::string& etag);
    void apply_row(tracked_move& move, const platform::row& stored);
    void apply_missing_row(tracked_move& move);
    [[nodiscard]] std::optional<move_row> decode(const platform::row& stored);
    void request_row(tracked_move& move);
    void request_rows();
    void start_take_back(tracked_move& move, const std::string& reason);
    void publish_hold(tracked_move& move);
    void contain(tracked_move& move);
    void review(tracked_move& move, const record& hold);
    void advance(tracked_move& move);
    void step_down(const std::string& reason);
};

void move_machine::state::publish_record(const record& value) {
    records.apply(value);
    pending_actions.emplace_back(publish{value});
}

void move_machine::state::report(std::string event, const std::string& move_id, std::string detail) {
    pending_actions.emplace_back(report_event{std::move(event), move_id, std::move(detail)});
}

const record* move_machine::state::hold_of(const tracked_move& move) const {
    return records.find(hold_kind, hold_key(move.row.service, move.row.to));
}

/// Returns the id of the move that must finish before `move`, or an empty string. Moves of one service
/// run one after the other, the earliest deadline first.
std::string move_machine::state::blocking_move(const tracked_move& move) const {
    for (const auto& [id, other] : moves) {
        if (id == move.row.id || other.row.service != move.row.service || !other.configured) {
            continue;
        }
        const bool has_priority =
            other.row.state == move_state::pending &&
            std::tie(other.row.deadline_unix_ms, id) < std::tie(move.row.deadline_unix_ms, move.row.id);
        const bool starting = other.proposed && occupies_service(*other.proposed);
        if (has_priority || starting || occupies_service(other.row)) {
            return id;
        }
    }
    return {};
}

decision_context move_machine::state::context_of(const tracked_move& move) const {
    return {now, wall_ms(), owner(), hold_of(move), blocking_move(move)};
}

decision_settings move_machine::state::settings_of(const model::team_part& part) const {
    return override_settings.value_or(settings_for(part.weights));
}

void move_machine::state::propose(tracked_move& move, move_row next) {
    next.epoch = lease.epoch;
    next.revision = move.row.revision + 1;
    next.new_requests += move.new_requests;
    move.new_requests = 0;
    next.write_id = member_id + "/" + std::to_string(lease.epoch) + "/" + std::to_string(++write_counter);
    const bool recorded = next.history != move.row.history; // operator commands add their own point
    const bool changed = next.state != move.row.state || next.share != move.row.share;
    if (!recorded && (changed || next.history.empty())) {
        add_history(next, wall_ms());
    }
    const auto condition =
        move.stored ? platform::precondition::matches(move.etag) : platform::precondition::absent();
    pending_actions.emplace_back(
        write_row{next.id, row_key(next.id), encode(next), condition, next.write_id});
    move.proposed = std::move(next);
    move.write_started = now;
}

/// Handles the successful write of the proposed row: stores it here and publishes the directive.
void move_machine::state::commit(tracked_move& move, const std::string& etag) {
    const move_row before = std::exchange(move.row, std::move(*move.proposed));
    move.proposed.reset();
    move.read_started.reset();
    move.etag = etag;
    move.stored = true;
    if (before.share != move.row.share || before.state != move.row.state) {
        move.begin_step(now);
        report("move_" + std::string{to_string(move.row.state)}, move.row.id, move.row.reason);
    }
    // If the lease ended after the decision, the next owner reads the row and publishes the directive.
    if (lease_valid()) {
        publish_record(directive_record(move.row));
    }
}

/// Returns nothing and reports an event when the row is malformed: one bad row must not stop the other moves.
std::optional<move_row> move_machine::state::decode(const platform::row& stored) {
    try {
        return decode_move_row(stored.value);
    } catch (const error& failure) {
        report("move_row_malformed", stored.key, failure.what());
        return std::nullopt;
    }
}

/// Handles a row that was read: the result of a write of unknown outcome, a change by another writer, or the
/// first read under this lease.
void move_machine::state::apply_row(tracked_move& move, const platform::row& stored) {
    auto decoded = decode(stored);
    if (!decoded) {
        move.read_started = now; // read again after the write timeout
        return;
    }
    move_row& row = *decoded;
    if (move.proposed && move.proposed->write_id == row.write_id) {
        commit(move, stored.etag);
        return;
    }
    if (row.epoch > lease.epoch) {
        step_down("the row of " + row.id + " has the newer epoch " + std::to_string(row.epoch));
        return;
    }
    const bool step_changed = row.share != move.row.share || row.state != move.row.state;
    move.proposed.reset();
    move.read_started.reset();
    move.row = std::move(row);
    move.etag = stored.etag;
    move.stored = true;
    move.known = true;
    if (step_changed || !move.step_started) {
        move.begin_step(now);
    }
    if (!lease_valid()) {
        return;
    }
    if (move.row.state == move_state::taken_back) {
        publish_record(take_back_record(move.row, member_id, wall));
    }
    publish_record(directive_record(move.row));
}

void move_machine::state::apply_missing_row(tracked_move& move) {
    move.proposed.reset();
    move.read_started.reset();
    move.stored = false;
    move.known = true;
}

void move_machine::state::request_row(tracked_move& move) {
    move.read_started = now;
    pending_actions.emplace_back(read_row{move.row.id, row_key(move.row.id)});
}

void move_machine::state::request_rows() {
    if (list_started && now - *list_started < config::move_write_timeout) {
        return;
    }
    list_started = now;
    pending_actions.emplace_back(list_rows{});
}

void move_machine::state::step_down(const std::string& reason) {
    lease.held = false;
    rows_loaded = false;
    report("moves_owner_stepped_down", {}, reason);
}

/// Publishes the final hold before writing the row, so that traffic stops even when the store is down.
void move_machine::state::start_take_back(tracked_move& move, const std::string& reason) {
    move_row next = taken_back_row(move, reason, wall_ms());
    next.epoch = lease.epoch;
    const auto* hold = hold_of(move);
    if (hold == nullptr || !hold->final) {
        report("move_take_back", move.row.id, reason);
        publish_record(take_back_record(next, member_id, wall));
    }
    if (!move.proposed && !move.read_started && now >= move.retry_at) {
        propose(move, std::move(next));
    }
}

/// Publishes a hold on fleet evidence, which needs no lease. The next owner confirms or releases it.
void move_machine::state::publish_hold(tracked_move& move) {
    const auto* latest = records.find(directive_kind, move.move.id);
    const auto decoded = latest == nullptr ? std::nullopt : decode_directive(latest->payload);
    if (!decoded || decoded->share <= 0 || decoded->state == to_string(move_state::done)) {
        return;
    }
    const auto* last = hold_of(move);
    const hold_payload payload{move.move.service, move.move.to,           hold_state::held, member_id,
                               "fleet evidence",  move.tests.strongest(), wall_ms()};
    publish_record({std::string{hold_kind}, hold_key(move.move.service, move.move.to),
                    last == nullptr ? 0 : last->epoch, last == nullptr ? 1 : last->sequence + 1, false,
                    encode(payload)});
    report("move_hold", move.move.id, describe(payload.evidence));
}

void move_machine::state::contain(tracked_move& move) {
    if (!move.tests.bad()) {
        return;
    }
    const auto* hold = hold_of(move);
    if (owner()) {
        if (may_take_back(move.row) && !(hold != nullptr && hold->final)) {
            start_take_back(move, describe(move.tests.strongest()));
        }
        return;
    }
    if (!is_hold_active(hold)) {
        publish_hold(move);
    }
}

void move_machine::state::review(tracked_move& move, const record& hold) {
    if (!move.hold_seen) {
        move.hold_seen = now;
    }
    const auto payload = decode_hold(hold.payload);
    const bool done = move.row.state == move_state::done;
    auto result = payload ? review_hold(move, *payload, hold, lease.epoch, now) : review_result::confirm;
    if (done && lease.epoch > hold.epoch) {
        result = review_result::release; // no old version is left to take the traffic back
    }
    if (result == review_result::confirm &&
        (may_take_back(move.row) || move.row.state == move_state::pending)) {
        const auto cause = payload ? "hold of " + payload->daemon + ": " + describe(payload->evidence)
                                   : std::string{"unreadable hold"};
        start_take_back(move, cause);
    }
    if (result == review_result::release && payload) {
        hold_payload released = *payload;
        released.state = hold_state::released;
        released.daemon = member_id;
        released.reason = "the other daemons see no fault";
        publish_record({hold.kind, hold.key, lease.epoch, hold.sequence + 1, false, encode(released)});
        report("move_hold_released", move.row.id, released.reason);
        move.hold_seen.reset();
        move.tests.reset();
    }
}

/// Updates the deadline risk, then starts the next read or write of the move if this daemon is the owner.
void move_machine::state::advance(tracked_move& move) {
    if (update_risk(move, context_of(move)) && !move.risk.empty()) {
        report("move_deadline_at_risk", move.row.id, move.risk);
    }
    if (!owner() || !move.configured) {
        return;
    }
    const auto* found = hold_of(move);
    if (found != nullptr && !found->final && is_hold_active(found)) {
        review(move, record{*found});
    }
    const auto timed_out = [&](time_point since) { return now - since >= config::move_write_timeout; };
    if (move.read_started) {
        if (timed_out(*move.read_started)) {
            request_row(move);
        }
        return;
    }
    if (move.proposed) {
        if (timed_out(move.write_started)) {
            request_row(move);
        }
        return;
    }
    if (now < move.retry_at) {
        return;
    }
    if (!move.stored) {
        move_row first = move.row;
        first.created_unix_ms = wall_ms();
        first.reason = "created";
        propose(move, std::move(first));
        return;
    }
    found = hold_of(move);
    const bool final = found != nullptr && found->final;
    if (final && move.row.state != move_state::taken_back && move.row.state != move_state::done) {
        const auto payload = decode_hold(found->payload);
        propose(move, taken_back_row(move, payload ? payload->reason : "taken back", wall_ms()));
        return;
    }
    if (auto next = decide(move, context_of(move))) {
        propose(move, std::move(*next));
        return;
    }
    const bool terminal = move.row.state == move_state::taken_back || move.row.state == move_state::done;
    if (move.row.epoch < lease.epoch && !terminal) {
        propose(move, move.row); // makes writes of earlier owners fail their precondition
    }
}

move_machine::move_machine(std::string member_id) : state_{std::make_unique<state>(std::move(member_id))} {}
move_machine::~move_machine() = default;
move_machine::move_machine(move_machine&&) noexcept = default;
move_machine& move_machine::operator=(move_machine&&) noexcept = default;

void move_machine::override_settings(const decision_settings& settings) {
    state_->override_settings = settings;
}

actions move_machine::on_configuration(const model::snapshot& active, time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    for (auto& [id, entry] : state_->moves) {
        entry.configured = false;
    }
    state_->idempotent_routes.clear();
    for (const auto& part : active.parts) {
        for (const auto& route : part.routes) {
            state_->idempotent_routes[route.name] = route.idempotent;
        }
        for (const auto& move : part.moves) {
            const auto settings = state_->settings_of(part);
            auto& entry = state_->moves.try_emplace(move.id, move, settings).first->second;
            entry.configured = true;
            if (!entry.stored) {
                entry.row.from = move.from;
                entry.row.deadline_unix_ms = move.deadline_unix_ms;
                entry.row.configured_deadline_unix_ms = move.deadline_unix_ms;
            }
            entry.move = move;
            entry.settings = settings;
        }
    }
    for (auto& [id, entry] : state_->moves) {
        state_->advance(entry);
    }
    return state_->take_actions();
}

actions move_machine::on_lease(const lease_state& lease, time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    const bool new_lease = lease.held && (!state_->lease.held || lease.epoch != state_->lease.epoch);
    state_->lease = lease;
    if (new_lease) {
        state_->rows_loaded = false;
        state_->list_started.reset();
        for (auto& [id, entry] : state_->moves) {
            entry.proposed.reset();
            entry.read_started.reset();
        }
    }
    if (state_->lease_valid() && !state_->rows_loaded) {
        state_->request_rows();
    }
    return state_->take_actions();
}

actions move_machine::on_evidence(const counter_map& increments, time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    using route_map = std::map<std::string, paired_evidence>;
    std::map<std::string, route_map> by_move;
    for (const auto& [text, counters] : increments) {
        const auto key = parse_evidence_key(text);
        const auto entry = key ? state_->moves.find(key->move_id) : state_->moves.end();
        if (entry == state_->moves.end()) {
            continue;
        }
        auto& counts = by_move[key->move_id][key->route];
        counts.route = key->route;
        const auto route = state_->idempotent_routes.find(key->route);
        counts.idempotent = route == state_->idempotent_routes.end() || route->second;
        const bool is_old = key->version == entry->second.move.from;
        (is_old ? counts.old_counts : counts.new_counts) = from_vector(counters);
    }
    const double seconds =
        state_->last_evidence
            ? std::clamp(std::chrono::duration<double>(now - *state_->last_evidence).count(), 0.05, 10.0)
            : 1.0;
    state_->last_evidence = now;
    for (auto& [id, entry] : state_->moves) {
        std::vector<paired_evidence> routes;
        for (auto& [route, counts] : by_move[id]) {
            routes.push_back(std::move(counts));
        }
        entry.add_evidence(routes, seconds, state_->context_of(entry));
        state_->contain(entry);
    }
    return state_->take_actions();
}

actions move_machine::on_record(const record& received, time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    if (received.kind == directive_kind && state_->lease.held && received.epoch > state_->lease.epoch) {
        state_->step_down("a directive has the newer epoch " + std::to_string(received.epoch));
    }
    if (!state_->records.apply(received)) {
        return state_->take_actions();
    }
    for (auto& [id, entry] : state_->moves) {
        const bool changed = received.kind == change_kind && received.key == id;
        if (changed && state_->owner() && received.sequence > entry.row.revision && !entry.read_started) {
            state_->request_row(entry);
        }
        if (received.kind == hold_kind && received.key == hold_key(entry.row.service, entry.row.to)) {
            entry.hold_seen = now;
            state_->advance(entry);
        }
    }
    return state_->take_actions();
}

actions move_machine::on_rows(const std::vector<platform::row>& rows, time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    if (!state_->lease_valid() || state_->rows_loaded) {
        return state_->take_actions();
    }
    state_->rows_loaded = true;
    std::map<std::string, const platform::row*> by_key;
    for (const auto& row : rows) {
        by_key[row.key] = &row;
        const auto stored = state_->decode(row);
        // A version that was taken back stays blocked even after its move is removed from the configuration.
        if (stored && stored->state == move_state::taken_back && !state_->moves.contains(stored->id)) {
            state_->publish_record(take_back_record(*stored, state_->member_id, wall));
        }
    }
    for (auto& [id, entry] : state_->moves) {
        const auto found = by_key.find(row_key(id));
        if (found == by_key.end()) {
            state_->apply_missing_row(entry);
        } else {
            state_->apply_row(entry, *found->second);
        }
        if (!state_->owner()) {
            return state_->take_actions();
        }
    }
    for (auto& [id, entry] : state_->moves) {
        state_->advance(entry);
    }
    return state_->take_actions();
}

actions move_machine::on_row(const std::string& move_id, const std::optional<platform::row>& row,
                             time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    const auto entry = state_->moves.find(move_id);
    if (entry == state_->moves.end() || !state_->lease.held) {
        return state_->take_actions();
    }
    if (row) {
        state_->apply_row(entry->second, *row);
    } else {
        state_->apply_missing_row(entry->second);
    }
    return state_->take_actions();
}

actions move_machine::on_write_result(const std::string& move_id, const std::string& write_id,
                                      write_result result, const std::string& etag, time_point now,
                                      wall_time wall) {
    state_->begin_event(now, wall);
    const auto found = state_->moves.find(move_id);
    if (found == state_->moves.end() || !found->second.proposed ||
        found->second.proposed->write_id != write_id) {
        return state_->take_actions();
    }
    auto& entry = found->second;
    switch (result) {
    case write_result::written:
        state_->commit(entry, etag);
        break;
    case write_result::unavailable:
        entry.new_requests += entry.proposed->new_requests - entry.row.new_requests;
        entry.proposed.reset();
        entry.retry_at = now + config::move_write_retry_delay;
        break;
    case write_result::conflict:
    case write_result::unknown:
        state_->request_row(entry);
        break;
    }
    return state_->take_actions();
}

actions move_machine::on_tick(time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    const bool paused = state_->last_tick && now - *state_->last_tick > config::pause_threshold;
    state_->last_tick = now;
    if (paused && state_->lease.held) {
        state_->step_down("this process was paused; the lease must be renewed first");
    }
    if (state_->lease_valid() && !state_->rows_loaded) {
        state_->request_rows();
    }
    for (auto& [id, entry] : state_->moves) {
        state_->advance(entry);
    }
    return state_->take_actions();
}

actions move_machine::on_command(const operator_command& command, time_point now, wall_time wall) {
    state_->begin_event(now, wall);
    if (!state_->owner()) {
        throw error{result_code::lease_not_held, "this daemon is not the owner of moves", command.move_id};
    }
    const auto found = state_->moves.find(command.move_id);
    if (found == state_->moves.end()) {
        throw error{result_code::move_not_found, "no such move", command.move_id};
    }
    auto& entry = found->second;
    if (entry.proposed || entry.read_started || !entry.stored) {
        throw error{result_code::move_conflict, "another change of the move is being written",
                    command.move_id};
    }
    move_row next = apply_command(entry.row, command, wall);
    if (next.state == move_state::taken_back) {
        next.epoch = state_->lease.epoch;
        state_->publish_record(take_back_record(next, state_->member_id, wall));
    }
    state_->propose(entry, std::move(next));
    return state_->take_actions();
}

bool move_machine::is_owner(time_point now) const {
    const auto& lease = state_->lease;
    return lease.held && state_->rows_loaded && now + config::lease_safety_margin < lease.valid_until;
}

std::vector<move_row> move_machine::rows() const {
    std::vector<move_row> result;
    for (const auto& [id, entry] : state_->moves) {
        result.push_back(entry.view());
    }
    return result;
}

} // namespace endive::moves
