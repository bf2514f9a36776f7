#include "moves/tracked_move.h"

#include "moves/codec.h"
#include "moves/row.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace endive::moves {

namespace {

using std::chrono::duration_cast;

// Evidence above this fraction of the threshold is inconclusive: the share is not raised until the evidence
// decays or crosses the threshold.
constexpr double inconclusive_evidence = 0.4;
// Evidence above this fraction of the threshold sets the first-fault time of the report.
constexpr double fault_evidence = 0.5;
// Time constant of the request rate average.
constexpr double rate_window_seconds = 20;
// A route with less than this fraction of the service's traffic does not delay a step.
constexpr double min_route_fraction = 0.02;
// Fraction of its proportional evidence that each route must have; below 1 because non-idempotent routes get
// half of the share.
constexpr double route_evidence_fraction = 0.4;
constexpr double min_route_requests = 3;
// A deadline is at risk when the remaining time is below this multiple of the shortest schedule, or below one
// minute.
constexpr double risk_duration_factor = 2;
constexpr double min_risk_seconds = 60;
constexpr double inconclusive_seconds = 20;

double seconds_between(time_point from, time_point to) {
    return std::chrono::duration<double>(to - from).count();
}

std::size_t step_of(const move_row& row) {
    if (row.state != move_state::ramping) {
        return 0;
    }
    for (std::size_t i = ramp_shares.size(); i > 0; --i) {
        if (row.share >= ramp_shares[i - 1] - 1e-9) {
            return i;
        }
    }
    return 0;
}

void set_step(move_row& row, std::size_t step, const decision_settings& settings) {
    const double share = share_of_step(step, settings.canary_share);
    row.share = share;
    // A fault on a non-idempotent route costs a caller more, so these routes get half of the share.
    row.share_non_idempotent = step == 0 ? settings.canary_share_non_idempotent : share / 2;
    row.state = step == 0 ? move_state::canary : move_state::ramping;
    if (step == ramp_shares.size()) {
        row.share_non_idempotent = 1;
        row.state = move_state::complete;
    }
}

bool evidence_suffices(const tracked_move& move, const step_requirement& requirement, double step_seconds) {
    double total = 0;
    double new_total = 0;
    for (const auto& [route, progress] : move.progress) {
        total += progress.old_requests + progress.new_requests;
        new_total += progress.new_requests;
    }
    if (new_total < requirement.requests || step_seconds < requirement.seconds || total <= 0) {
        return false;
    }
    return std::all_of(move.progress.begin(), move.progress.end(), [&](const auto& entry) {
        const auto& progress = entry.second;
        const double fraction = (progress.old_requests + progress.new_requests) / total;
        const double required =
            std::max(min_route_requests, route_evidence_fraction * fraction * requirement.requests);
        return fraction < min_route_fraction || progress.new_requests >= required;
    });
}

std::optional<move_row> next_share(tracked_move& move, const decision_context& context) {
    const auto input = schedule_of(move, context);
    const auto planned = plan(input);
    if (move.tests.strongest().evidence >= inconclusive_evidence) {
        return std::nullopt;
    }
    if (!evidence_suffices(move, planned.requirement, input.step_seconds)) {
        return std::nullopt;
    }
    move_row next = move.row;
    set_step(next, input.step + 1, move.settings);
    next.reason = "evidence suffices: " + std::to_string(static_cast<std::int64_t>(input.step_requests)) +
                  " requests at the last share";
    next.evidence = move.tests.all();
    next.evidence.resize(std::min<std::size_t>(next.evidence.size(), 8));
    if (next.state == move_state::complete) {
        next.completed_unix_ms = context.wall_ms;
        next.deadline_risk.clear();
    }
    return next;
}

std::optional<move_row> apply_deadline_change(const tracked_move& move, const decision_context& context) {
    if (move.row.configured_deadline_unix_ms == move.move.deadline_unix_ms) {
        return std::nullopt;
    }
    move_row next = move.row;
    next.configured_deadline_unix_ms = move.move.deadline_unix_ms;
    next.deadline_unix_ms = move.move.deadline_unix_ms;
    next.reason = "deadline changed in the configuration";
    if (next.state == move_state::expired && next.deadline_unix_ms > context.wall_ms) {
        next.state = next.resume_state;
    }
    return next;
}

std::optional<move_row> expire(const tracked_move& move) {
    move_row next = move.row;
    next.resume_state = move.row.state == move_state::paused ? move.row.resume_state : move.row.state;
    next.state = move_state::expired;
    next.reason = "deadline missed";
    if (!move.risk.empty()) {
        next.reason += ": " + move.risk;
    }
    return next;
}

std::string risk_kind(const std::string& risk) {
    return risk.substr(0, risk.find(':'));
}

std::string find_risk(const tracked_move& move, const decision_context& context) {
    const auto& row = move.row;
    const bool incomplete = row.state == move_state::pending || row.state == move_state::canary ||
                            row.state == move_state::ramping || row.state == move_state::paused;
    if (!incomplete || row.deadline_unix_ms == 0) {
        return {};
    }
    const auto input = schedule_of(move, context);
    const auto planned = plan(input);
    std::ostringstream numbers;
    numbers << std::fixed << std::setprecision(0) << "the least evidence needs " << planned.min_seconds
            << " s, " << input.seconds_left << " s are left";
    const bool close =
        input.seconds_left < std::max(min_risk_seconds, risk_duration_factor * planned.min_seconds);
    if (close && row.state == move_state::paused) {
        return "paused: " + numbers.str();
    }
    if (close && !context.lease_valid) {
        return "lease missing: shares are frozen; " + numbers.str();
    }
    if (close && row.state == move_state::pending && !context.blocked_by.empty()) {
        return "waiting: " + context.blocked_by + " goes first; " + numbers.str();
    }
    if (close && move.inconclusive_since &&
        seconds_between(*move.inconclusive_since, context.now) >= inconclusive_seconds) {
        return "evidence inconclusive: " + describe(move.tests.strongest());
    }
    const bool rate_known = move.rate_seconds > inconclusive_seconds / 2;
    if (is_active(row.state) && rate_known && input.seconds_left < 1.25 * planned.min_seconds) {
        numbers << "; the service gets " << std::setprecision(1) << input.rate << " requests a second";
        return "too little traffic: " + numbers.str();
    }
    return {};
}

} // namespace

tracked_move::tracked_move(model::version_move configured_move, const decision_settings& decision)
    : move{std::move(configured_move)}, settings{decision}, tests{decision, decision.take_back_threshold} {
    row.id = move.id;
    row.team = move.team;
    row.service = move.service;
    row.from = move.from;
    row.to = move.to;
    row.deadline_unix_ms = move.deadline_unix_ms;
    row.configured_deadline_unix_ms = move.deadline_unix_ms;
}

void tracked_move::add_evidence(std::span<const paired_evidence> routes, double seconds,
                                const decision_context& context) {
    double requests = 0;
    tests.add(routes, seconds);
    for (const auto& item : routes) {
        auto& entry = progress[item.route];
        entry.idempotent = item.idempotent;
        entry.old_requests += static_cast<double>(item.old_counts.requests);
        entry.new_requests += static_cast<double>(item.new_counts.requests);
        requests += static_cast<double>(item.old_counts.requests + item.new_counts.requests);
        new_requests += item.new_counts.requests + item.new_counts.cold_requests;
    }
    const double factor = std::exp(-seconds / rate_window_seconds);
    rate_requests = rate_requests * factor + requests;
    rate_seconds = rate_seconds * factor + seconds;
    const double strongest = tests.strongest().evidence;
    if (strongest >= fault_evidence && first_fault_ms == 0) {
        first_fault_ms = context.wall_ms;
    }
    if (strongest < fault_evidence / 2) {
        first_fault_ms = 0;
    }
    if (strongest < inconclusive_evidence) {
        inconclusive_since.reset();
    } else if (!inconclusive_since) {
        inconclusive_since = context.now;
    }
}

void tracked_move::begin_step(time_point now) {
    step_started = now;
    progress.clear();
}

move_row tracked_move::view() const {
    move_row result = row;
    result.new_requests += new_requests;
    result.deadline_risk = risk;
    return result;
}

bool may_take_back(const move_row& row) {
    return row.share > 0 && row.state != move_state::done && row.state != move_state::taken_back;
}

bool occupies_service(const move_row& row) {
    return may_take_back(row);
}

schedule_input schedule_of(const tracked_move& move, const decision_context& context) {
    double idempotent = 0;
    double total = 0;
    double step_requests = 0;
    for (const auto& [route, progress] : move.progress) {
        const double requests = progress.old_requests + progress.new_requests;
        total += requests;
        idempotent += progress.idempotent ? requests : 0;
        step_requests += progress.new_requests;
    }
    const double idempotent_fraction = total > 0 ? idempotent / total : 1;
    schedule_input input;
    input.step = std::min(step_of(move.row), ramp_shares.size() - 1);
    input.canary_share = idempotent_fraction * move.settings.canary_share +
                         (1 - idempotent_fraction) * move.settings.canary_share_non_idempotent;
    input.rate = move.rate_seconds > 0 ? move.rate_requests / move.rate_seconds : 0;
    input.seconds_left = static_cast<double>(move.row.deadline_unix_ms - context.wall_ms) / 1000;
    input.step_requests = step_requests;
    input.step_seconds = move.step_started ? seconds_between(*move.step_started, context.now) : 0;
    input.caution = move.settings.caution;
    return input;
}

bool update_risk(tracked_move& move, const decision_context& context) {
    const auto found = find_risk(move, context);
    const bool changed = risk_kind(found) != risk_kind(move.risk);
    move.risk = found;
    return changed;
}

std::optional<move_row> decide(tracked_move& move, const decision_context& context) {
    if (auto next = apply_deadline_change(move, context)) {
        return next;
    }
    const auto& row = move.row;
    const bool incomplete = row.state == move_state::pending || row.state == move_state::canary ||
                            row.state == move_state::ramping || row.state == move_state::paused;
    if (incomplete && context.wall_ms > row.deadline_unix_ms) {
        return expire(move);
    }
    // A held version gets no traffic, so there is no new evidence while the hold is under review.
    const bool held = is_hold_active(context.hold);
    if (!held && row.state == move_state::pending && context.blocked_by.empty()) {
        move_row next = row;
        set_step(next, 0, move.settings);
        next.reason = "canary started";
        return next;
    }
    if (!held && (row.state == move_state::canary || row.state == move_state::ramping)) {
        if (auto next = next_share(move, context)) {
            return next;
        }
    }
    const auto reserve_ms = duration_cast<milliseconds>(config::watch_control_margin).count();
    const bool control_ends = context.wall_ms >= row.deadline_unix_ms - reserve_ms;
    if (row.state == move_state::complete) {
        move_row next = row;
        next.state = move_state::watching;
        next.control_share = control_ends ? 0 : config::watch_control_share;
        next.reason = "all traffic moved; the old version stays warm";
        return next;
    }
    const auto watch_ms = duration_cast<milliseconds>(config::move_watch_duration).count();
    if (!held && row.state == move_state::watching && context.wall_ms >= row.completed_unix_ms + watch_ms) {
        move_row next = row;
        next.state = move_state::done;
        next.control_share = 0;
        next.reason = "watched without a fault";
        return next;
    }
    if (row.control_share > 0 && control_ends) {
        move_row next = row;
        next.control_share = 0;
        next.reason = "all traffic moved; control requests ended before the deadline";
        return next;
    }
    if (risk_kind(row.deadline_risk) != risk_kind(move.risk)) {
        move_row next = row;
        next.deadline_risk = move.risk;
        return next;
    }
    return std::nullopt;
}

move_row taken_back_row(const tracked_move& move, const std::string& reason, std::int64_t wall_ms) {
    move_row next = move.row;
    take_back(next, reason, wall_ms);
    next.first_fault_unix_ms = move.first_fault_ms == 0 ? wall_ms : move.first_fault_ms;
    next.evidence = move.tests.all();
    next.evidence.resize(std::min<std::size_t>(next.evidence.size(), 8));
    return next;
}

std::string describe(const signal_evidence& evidence) {
    std::ostringstream out;
    out << to_string(evidence.what) << " on route " << evidence.route << ": "
        << std::llround(evidence.new_bad) << " of " << std::llround(evidence.new_total)
        << " requests, old version " << std::llround(evidence.old_bad) << " of "
        << std::llround(evidence.old_total);
    return out.str();
}

review_result review_hold(const tracked_move& move, const hold_payload& payload, const record& hold,
                          std::uint64_t lease_epoch, time_point now) {
    if (move.tests.bad()) {
        return review_result::confirm;
    }
    if (!move.hold_seen || now - *move.hold_seen < config::hold_review_delay) {
        return review_result::wait;
    }
    // A release must have a higher epoch than its hold, so a hold of the current epoch cannot be released:
    // the second hold after a release is confirmed.
    if (lease_epoch <= hold.epoch) {
        return review_result::confirm;
    }
    const auto fleet = move.tests.recent(payload.evidence.route, payload.evidence.what);
    if (!fleet) {
        return review_result::confirm;
    }
    constexpr double min_other_requests = 30;
    const double other_requests = fleet->new_total - payload.evidence.new_total;
    const double other_bad = std::max(0.0, fleet->new_bad - payload.evidence.new_bad);
    if (other_requests < min_other_requests) {
        return review_result::confirm;
    }
    const double old_rate = fleet->old_total > 0 ? fleet->old_bad / fleet->old_total : 0;
    const bool others_healthy = other_bad / other_requests <= 1.5 * old_rate + 0.01;
    return others_healthy ? review_result::release : review_result::confirm;
}

} // namespace endive::moves
