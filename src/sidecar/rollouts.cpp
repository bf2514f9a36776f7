#include "sidecar/rollouts.h"

#include "sidecar/events.h"

#include "platform/wire.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Time for all daemons to follow the last step before endpoints of the old version refuse new work.
constexpr duration retire_after = milliseconds{600};

/// A judge that was not heard for this long is passed over; it repeats itself twice a second.
constexpr duration judge_silence = milliseconds{1500};

} // namespace

void rollouts::apply_status(entry& item) {
    // A status that is older than the order speaks of an earlier order.
    if (item.move && item.status && item.status_version > item.order_version) {
        item.move->on_status(*item.status);
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
    item.order_version = row.version;
    item.move.emplace(order, settings_, now);
    item.start_recorded = false;
    item.credit = 0;
    item.told.clear();
    for (const auto& [daemon, last] : evidence_) {
        item.move->on_evidence(daemon, last.start, last.counters);
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

void rollouts::on_start(std::string_view service, std::uint64_t order_version, wall_time started,
                        wall_time wall, time_point now) {
    const auto found = services_.find(std::string{service});
    if (found == services_.end() || found->second.order_version != order_version || !found->second.move) {
        return;
    }
    found->second.start_recorded = true;
    if (wall > started) {
        found->second.move->set_elapsed(wall - started, now);
    }
}

void rollouts::on_evidence(const std::string& daemon, std::int64_t start,
                           std::span<const mesh::version_evidence> counters) {
    evidence_[daemon] = {start, {counters.begin(), counters.end()}};
    for (auto& [service, item] : services_) {
        if (item.move && !item.move->final_state()) {
            item.move->on_evidence(daemon, start, counters);
        }
    }
}

void rollouts::on_progress(const std::string& daemon, const mesh::rollout_progress& progress,
                           time_point now) {
    const auto found = services_.find(progress.service);
    if (found == services_.end() || !found->second.move ||
        found->second.order_version != progress.order_version) {
        return;
    }
    found->second.told[daemon] = {progress, now};
}

/// A verdict holds whoever gave it; the share is that of the first judge that is heard.
void rollouts::follow(entry& item, const std::vector<std::string>& judges, time_point now) {
    for (const auto& [daemon, told] : item.told) {
        if (told.value.bad) {
            item.move->apply_progress(0, true, now);
        }
    }
    for (const auto& judge : judges) {
        const auto told = item.told.find(judge);
        if (told != item.told.end() && now - told->second.at < judge_silence) {
            item.move->apply_progress(told->second.value.traffic_share, false, now);
            return;
        }
    }
}

std::vector<mesh::rollout_progress> rollouts::progress() const {
    std::vector<mesh::rollout_progress> result;
    for (const auto& [service, item] : services_) {
        if (item.move && item.judged_here && !item.move->final_state()) {
            result.push_back({service, item.order_version, item.move->traffic_share(), item.move->is_bad()});
        }
    }
    return result;
}

std::vector<std::string> rollouts::running() const {
    std::vector<std::string> result;
    for (const auto& [service, item] : services_) {
        if (item.move && !item.move->final_state()) {
            result.push_back(service);
        }
    }
    return result;
}

void rollouts::advance(time_point now, const std::string& self,
                       const std::function<std::vector<std::string>(const std::string&)>& judges) {
    for (auto& [service, item] : services_) {
        if (!item.move || item.move->final_state()) {
            continue;
        }
        const bool was_bad = item.move->is_bad();
        const double share = item.move->traffic_share();
        const auto order = judges(service);
        item.judged_here = std::find(order.begin(), order.end(), self) != order.end();
        // Only the first judge sets the share; the others judge and follow it.
        if (item.judged_here) {
            item.move->advance(now);
        }
        if (order.empty() || order.front() != self) {
            follow(item, order, now);
        }
        if (item.move->is_bad() && !was_bad) {
            log(event::move_version_bad, {{"service", service},
                                          {"to", item.move->order().to},
                                          {"reason", item.move->verdict_reason()}});
        }
        if (item.move->traffic_share() != share) {
            log(event::move_share,
                {{"service", service}, {"to", item.move->order().to}, {"share", item.move->traffic_share()}});
        }
    }
}

version_choice rollouts::choose(const std::string& service) {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.move) {
        return {};
    }
    auto& item = found->second;
    version_choice choice;
    choice.moving_to = item.move->order().to;
    choice.only_new = item.move->final_state() == mesh::rollout_state::completed;
    if (choice.only_new) {
        choice.use_new = true;
        return choice;
    }
    item.credit += item.move->traffic_share();
    if (item.credit >= 1.0) {
        item.credit -= 1.0;
        choice.use_new = true;
    }
    return choice;
}

bool rollouts::is_retired(const std::string& service, const std::string& version, time_point now) const {
    const auto found = services_.find(service);
    if (found == services_.end() || !found->second.move || version.empty()) {
        return false;
    }
    const auto& item = found->second;
    const auto final = item.move->final_state();
    if (version == item.move->order().to) {
        return final == mesh::rollout_state::rolled_back;
    }
    // After a roll-back the old version takes all traffic again, however far the move had come.
    return final ? final == mesh::rollout_state::completed
                 : item.move->has_full_traffic_for(retire_after, now);
}

std::vector<status_write>
rollouts::due(time_point now,
              const std::function<bool(const std::string&, const std::string&)>& old_idle) const {
    std::vector<status_write> result;
    for (const auto& [service, item] : services_) {
        if (!item.move || item.move->final_state()) {
            continue;
        }
        const auto& order = item.move->order();
        const bool status_is_current = item.status && item.status_version > item.order_version;
        if (item.move->is_bad()) {
            result.push_back({{service, order.to, mesh::rollout_state::rolled_back}, item.status_version});
        } else if (item.move->may_complete(now) && old_idle(service, order.to)) {
            result.push_back({{service, order.to, mesh::rollout_state::completed}, item.status_version});
        } else if (!status_is_current) {
            result.push_back({{service, order.to, mesh::rollout_state::running}, item.status_version});
        }
    }
    return result;
}

std::vector<rollouts::active_move> rollouts::unrecorded() const {
    std::vector<active_move> result;
    for (const auto& [service, item] : services_) {
        if (item.move && !item.move->final_state() && !item.start_recorded) {
            result.push_back({item.order_version, service});
        }
    }
    return result;
}

} // namespace endive::sidecar
