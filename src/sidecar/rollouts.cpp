#include "sidecar/rollouts.h"

#include "sidecar/events.h"

#include "platform/wire.h"

#include <algorithm>
#include <cmath>

namespace endive::sidecar {
namespace {

/// Time for all daemons to apply the last traffic share before endpoints of the old version refuse new work.
constexpr duration retire_delay = milliseconds{600};

/// An evaluating daemon from which no progress was received for this long is skipped. It publishes its
/// progress twice a second.
constexpr duration evaluator_timeout = milliseconds{1500};
/// A traffic share is valid for this long after an evaluator set or repeated it.
constexpr duration share_lifetime = milliseconds{2500};
/// A daemon that did not advance its rollouts for this long was paused.
constexpr duration pause_threshold = milliseconds{1500};
/// After a pause a daemon evaluates again when it has received the progress and the evidence of the others.
constexpr duration resume_delay = milliseconds{1000};

} // namespace

void rollouts::apply_status(entry& item) {
    // A status that is older than the order belongs to an earlier order.
    if (item.rollout && item.status && item.status_version > item.order_version) {
        item.rollout->on_status(*item.status);
    }
}

void rollouts::on_order(const mesh::store_row& row, time_point now) {
    if (row.removed) {
        return;
    }
    const auto order = platform_wire::decode_rollout_order(row.value);
    auto& item = services_[order.service];
    if (row.version <= item.order_version) {
        return;
    }
    if (item.rollout && item.rollout->order() == order &&
        mesh::era_of(row.version) > mesh::era_of(item.order_version)) {
        // The order as the restored store has it, or as the operator has repeated it: the rollout goes on.
        item.order_version = row.version;
        return;
    }
    if (running().empty()) {
        last_advance_ = now;
    }
    if (item.rollout && item.rollout->order().to != order.to) {
        item.history.on_end(item.rollout->order().to,
                            item.rollout->final_state() == mesh::rollout_state::completed);
    }
    item.history.on_order(order.to);
    item.order_version = row.version;
    item.rollout.emplace(order, settings_, now);
    item.start_recorded = false;
    // Each daemon starts elsewhere, so that the share also holds over many daemons with few requests each.
    item.credit = std::ldexp(static_cast<double>(stable_hash(daemon_, row.version)), -64);
    item.received.clear();
    for (const auto& [daemon, last] : evidence_) {
        item.rollout->on_evidence(daemon, last.start, last.counters);
    }
    apply_status(item);
    log(event::move_ordered, {{"service", order.service},
                              {"to", order.to},
                              {"time_allowed_ms", order.time_allowed.count()},
                              {"version", row.version}});
}

void rollouts::on_status(const mesh::store_row& row) {
    if (row.removed) {
        return;
    }
    auto status = platform_wire::decode_rollout_status(row.value);
    status.service = row.key.substr(platform_wire::rollout_prefix.size());
    auto& item = services_[status.service];
    if (row.version <= item.status_version) {
        return;
    }
    item.status_version = row.version;
    item.status = status;
    apply_status(item);
    log(event::move_status, {{"service", status.service},
                             {"to", status.to},
                             {"state", static_cast<int>(status.state)},
                             {"version", row.version}});
}

void rollouts::on_start(std::string_view service, const mesh::rollout_start& start,
                        std::optional<duration> elapsed, time_point now) {
    const auto found = services_.find(std::string{service});
    // A restored store has rows of earlier eras, with the versions that they had.
    const bool same_order =
        found != services_.end() &&
        mesh::store_version_of(found->second.order_version) == mesh::store_version_of(start.order_version) &&
        mesh::era_of(found->second.order_version) >= mesh::era_of(start.order_version);
    if (!same_order || !found->second.rollout) {
        return;
    }
    found->second.start_recorded = true;
    found->second.history.merge(start.stable_version, start.rejected_versions,
                                found->second.rollout->order().to);
    if (elapsed && *elapsed > duration{0}) {
        found->second.rollout->set_elapsed(*elapsed, now);
    }
}

void rollouts::on_store_restored(std::uint32_t era) {
    store_era_ = era;
    for (auto& [service, item] : services_) {
        item.start_recorded = false;
    }
}

bool rollouts::must_repeat_final_status(const entry& item) const {
    return store_era_ > 0 && (mesh::era_of(item.status_version) < store_era_ ||
                              item.status->state != item.rollout->final_state());
}

void rollouts::on_evidence(const std::string& daemon, std::int64_t start,
                           std::span<const mesh::version_evidence> counters) {
    evidence_[daemon] = {start, {counters.begin(), counters.end()}};
    for (auto& [service, item] : services_) {
        if (item.rollout && !item.rollout->final_state()) {
            item.rollout->on_evidence(daemon, start, counters);
        }
    }
}

void rollouts::on_progress(const std::string& daemon, const mesh::rollout_progress& progress,
                           time_point now) {
    const auto found = services_.find(progress.service);
    if (found == services_.end() || !found->second.rollout ||
        found->second.order_version != progress.order_version) {
        return;
    }
    found->second.received[daemon] = {progress, now};
}

/// Applies a verdict from any evaluating daemon, and the traffic share of the first one whose progress is
/// recent.
void rollouts::follow(entry& item, const std::vector<std::string>& evaluators, time_point now) {
    for (const auto& [daemon, received] : item.received) {
        if (received.value.bad) {
            item.rollout->apply_progress(0, true, now);
        }
    }
    for (const auto& evaluator : evaluators) {
        const auto received = item.received.find(evaluator);
        if (received != item.received.end() && now - received->second.at < evaluator_timeout) {
            item.rollout->apply_progress(received->second.value.traffic_share, false, now);
            item.share_confirmed = received->second.at;
            return;
        }
    }
}

std::vector<mesh::rollout_progress> rollouts::progress() const {
    std::vector<mesh::rollout_progress> result;
    for (const auto& [service, item] : services_) {
        const bool has_news = item.rollout && (may_decide_ || item.rollout->is_bad());
        if (has_news && item.evaluated_here && !item.rollout->final_state()) {
            result.push_back(
                {service, item.order_version, item.rollout->traffic_share(), item.rollout->is_bad()});
        }
    }
    return result;
}

std::vector<std::string> rollouts::running() const {
    std::vector<std::string> result;
    for (const auto& [service, item] : services_) {
        if (item.rollout && !item.rollout->final_state()) {
            result.push_back(service);
        }
    }
    return result;
}

bool rollouts::may_evaluate(time_point now) const {
    return !resumed_ || now - *resumed_ >= resume_delay;
}

bool rollouts::is_evaluating() const {
    return std::any_of(services_.begin(), services_.end(), [](const auto& service) {
        const auto& item = service.second;
        return item.evaluated_here && item.rollout && !item.rollout->final_state();
    });
}

void rollouts::advance(time_point now, const std::string& self, bool may_decide,
                       const std::function<std::vector<std::string>(const std::string&)>& evaluators) {
    if (now - last_advance_ > pause_threshold) {
        resumed_ = now;
    }
    last_advance_ = now;
    may_decide_ = may_decide;
    for (auto& [service, item] : services_) {
        if (!item.rollout || item.rollout->final_state()) {
            continue;
        }
        const bool was_bad = item.rollout->is_bad();
        const double share = item.rollout->traffic_share();
        const auto order = evaluators(service);
        item.evaluated_here = may_evaluate(now) && std::find(order.begin(), order.end(), self) != order.end();
        // Only the first evaluating daemon sets the traffic share; the others evaluate and apply its share.
        if (item.evaluated_here) {
            item.rollout->advance(now, may_decide);
        }
        if (item.evaluated_here && may_decide && order.front() == self) {
            item.share_confirmed = now;
        } else {
            follow(item, order, now);
        }
        if (item.rollout->is_bad() && !was_bad) {
            log(event::move_version_bad, {{"service", service},
                                          {"to", item.rollout->order().to},
                                          {"reason", item.rollout->verdict_reason()}});
        }
        if (item.rollout->traffic_share() != share) {
            log(event::move_share, {{"service", service},
                                    {"to", item.rollout->order().to},
                                    {"share", item.rollout->traffic_share()}});
        }
    }
}

version_choice rollouts::choose(const std::string& service, time_point now) {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.rollout) {
        return {};
    }
    auto& item = found->second;
    version_choice choice;
    choice.target_version = item.rollout->order().to;
    choice.only_new = item.rollout->final_state() == mesh::rollout_state::completed;
    if (choice.only_new) {
        choice.use_new = true;
        return choice;
    }
    const double share = item.rollout->traffic_share();
    const bool confirmed = now - item.share_confirmed <= share_lifetime;
    item.credit += confirmed ? share : std::min(share, item.rollout->initial_share());
    if (item.credit >= 1.0) {
        item.credit -= 1.0;
        choice.use_new = true;
    }
    return choice;
}

bool rollouts::is_retired(const std::string& service, const std::string& version, time_point now) const {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.rollout || version.empty()) {
        return false;
    }
    const auto& item = found->second;
    const auto final = item.rollout->final_state();
    if (version == item.rollout->order().to) {
        return final == mesh::rollout_state::rolled_back;
    }
    if (item.history.is_rejected(version)) {
        return true;
    }
    // After a rollback the old version receives all traffic again, whatever share the new version had
    // reached.
    return final ? final == mesh::rollout_state::completed
                 : item.rollout->has_full_traffic_for(retire_delay, now);
}

std::vector<status_write>
rollouts::due_statuses(time_point now,
                       const std::function<bool(const std::string&, const std::string&)>& old_idle) const {
    std::vector<status_write> result;
    for (const auto& [service, item] : services_) {
        if (!item.rollout) {
            continue;
        }
        const auto& order = item.rollout->order();
        if (const auto final = item.rollout->final_state()) {
            if (must_repeat_final_status(item)) {
                result.push_back({{service, order.to, *final}, item.status_version});
            }
            continue;
        }
        const bool status_is_current = item.status && item.status_version > item.order_version;
        if (item.rollout->is_bad()) {
            result.push_back({{service, order.to, mesh::rollout_state::rolled_back}, item.status_version});
        } else if (may_decide_ && may_evaluate(now) && item.evaluated_here &&
                   item.rollout->may_complete(now) && old_idle(service, order.to)) {
            result.push_back({{service, order.to, mesh::rollout_state::completed}, item.status_version});
        } else if (!status_is_current) {
            result.push_back({{service, order.to, mesh::rollout_state::running}, item.status_version});
        }
    }
    return result;
}

std::vector<rollouts::active_rollout> rollouts::unrecorded_starts() const {
    std::vector<active_rollout> result;
    for (const auto& [service, item] : services_) {
        if (item.rollout && !item.rollout->final_state() && !item.start_recorded) {
            result.push_back(
                {service,
                 {item.order_version, std::nullopt, item.history.stable(), item.history.rejected()}});
        }
    }
    return result;
}

const mesh::version_history* rollouts::history(const std::string& service) const {
    const auto found = services_.find(service);
    return found == services_.end() ? nullptr : &found->second.history;
}

} // namespace endive::sidecar
