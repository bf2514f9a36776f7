// Work that the daemons coordinate: rollouts and the replicated rows.

#include "sidecar/own_rows.h"
#include "sidecar/sidecar.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Number of daemons that evaluate a rollout. Three daemons on different VMs rarely fail at the same time.
constexpr std::size_t evaluators_per_rollout = 3;
constexpr duration evidence_interval = milliseconds{250};
constexpr duration progress_interval = milliseconds{500};
/// Interval at which an evaluating daemon checks its links, most of which are idle.
constexpr duration link_check_interval = milliseconds{500};
/// An evaluating daemon that has heard nothing from another one for this long does not reach it.
constexpr duration contact_timeout = milliseconds{1500};
/// Interval of row comparisons while rows change. It limits how far a daemon without access to the store
/// falls behind.
constexpr duration comparison_interval = milliseconds{400};
constexpr duration idle_comparison_interval = std::chrono::seconds{3};
constexpr duration comparison_after_update = std::chrono::seconds{4};
/// A peer is asked only after the store had time to deliver the row; in another failure domain also after the
/// pause between two watches, since rows are large. Changes must be active on all daemons within two seconds.
constexpr duration fetch_delay_watching = milliseconds{300};
constexpr duration fetch_delay_delivering = milliseconds{950};
/// Timeout for the first answer of the store after the start. The answer may be queued behind those to other
/// daemons that started at the same time.
constexpr duration first_answer_timeout = milliseconds{1000};
/// Time in which a reader of the own failure domain delivers a row that is announced from another one.
constexpr duration reader_delivery_time = milliseconds{250};
constexpr duration reading_report_interval = std::chrono::seconds{1};
/// In the first start of the fleet, daemons find each other within this time of their own start. A daemon
/// that chose the readers before would know only few candidates and read itself.
constexpr duration first_meeting_time = std::chrono::seconds{3};
/// The same for a daemon that has restarted, since it read the members.
constexpr duration restart_meeting_time = milliseconds{500};
/// Additional delay per rank before a daemon takes over a duty.
constexpr duration duty_step = milliseconds{700};

} // namespace

void sidecar::write_due_statuses(time_point now) {
    const auto old_idle = [this](const std::string& service, const std::string& to) {
        const bool local_old_version_busy =
            self_.service == service && self_.version != to && local_.load().outstanding > 0;
        const auto& peers = peers_.peers();
        return !local_old_version_busy && std::none_of(peers.begin(), peers.end(), [&](const auto& item) {
            const auto& about = item.second.about;
            return about.service == service && about.version != to && item.second.link &&
                   item.second.load.outstanding > 0;
        });
    };
    struct due_write {
        std::string duty;
        std::size_t rank = 0; ///< of this daemon; the first writes at once
        std::function<void()> perform;
    };
    std::vector<due_write> duties;
    for (const auto& due : rollouts_.due_statuses(now, old_idle)) {
        const auto key = std::string{platform_wire::rollout_prefix} + due.status.service;
        const auto duty = key + "/" + std::to_string(static_cast<int>(due.status.state));
        const mesh::store_row row{std::string{platform_wire::status_table}, key,
                                  platform_wire::encode_rollout_status(due.status), 0};
        std::size_t rank = duty_rank(duty);
        if (due.status.state == mesh::rollout_state::completed) {
            const auto evaluators = evaluators_of(due.status.service);
            const auto own = std::find(evaluators.begin(), evaluators.end(), self_.daemon);
            rank = static_cast<std::size_t>(own - evaluators.begin());
        }
        duties.push_back({duty, rank, [this, duty, row, expected = due.expected_version] {
                              write(row, expected, [this, duty](bool) { writing_.erase(duty); });
                          }});
    }
    for (const auto& move : rollouts_.unrecorded_starts()) {
        const auto key = std::string{start_prefix} + move.service;
        const auto started = store_time();
        if (!started) {
            continue;
        }
        auto start = move.start;
        start.store_time = std::chrono::duration_cast<milliseconds>(*started);
        const mesh::store_row row{std::string{own_table}, key, mesh::encode(start), 0};
        const auto* known = rows_.find(own_table, key);
        duties.push_back(
            {key, duty_rank(key), [this, key, row, expected = known == nullptr ? 0 : known->version] {
                 write(row, expected, [this, key](bool) { writing_.erase(key); });
             }});
    }
    std::set<std::string> present;
    for (const auto& [duty, rank, perform] : duties) {
        present.insert(duty);
        const auto since = duty_since_.try_emplace(duty, now).first->second;
        const auto turn = since + duty_step * static_cast<duration::rep>(rank);
        if (now >= turn && writing_.insert(duty).second) {
            duty_since_[duty] = now + store_retry_delay;
            perform();
        }
    }
    std::erase_if(duty_since_, [&](const auto& item) { return !present.contains(item.first); });
}

/// Sends evidence to the daemons that evaluate a rollout, and broadcasts the progress of rollouts that this
/// daemon evaluates.
void sidecar::advance_rollouts(time_point now) {
    const auto running = rollouts_.running();
    if (running.empty()) {
        contact_ = {};
        return;
    }
    std::uint64_t failures = 0;
    for (const auto& entry : local_.evidence()) {
        failures += entry.failed;
    }
    const bool has_failed = std::exchange(reported_failures_, failures) != failures;
    if ((now >= next_evidence_ || has_failed) && !local_.evidence().empty()) {
        next_evidence_ = now + evidence_interval;
        for (const auto& service : running) {
            if (service == self_.service) {
                send_evidence(service);
            }
        }
    }
    update_contact(now);
    rollouts_.advance(now, self_.daemon, contact_.may_decide(now),
                      [this](const std::string& service) { return evaluators_of(service); });
    const auto progress = rollouts_.progress();
    if (!progress.empty() && (progress != published_progress_ || now >= next_progress_)) {
        published_progress_ = progress;
        next_progress_ = now + progress_interval;
        peers_.publish_progress(progress);
    }
}

/// Finds out whether this daemon reaches most of the fleet. Only evaluating daemons check idle links; the
/// result is of no use to the others.
void sidecar::update_contact(time_point now) {
    if (rollouts_.is_evaluating() && now >= next_link_check_) {
        next_link_check_ = now + link_check_interval;
        peers_.verify_links(now);
    }
    contact_.update(peers_.heard_since(now - contact_timeout), now);
}

void sidecar::send_evidence(const std::string& service) {
    for (const auto& evaluator : evaluators_of(service)) {
        if (evaluator == self_.daemon) {
            rollouts_.on_evidence(self_.daemon, self_.daemon_start_unix_ms, local_.evidence());
        } else {
            peers_.send_evidence(evaluator, local_.evidence());
        }
    }
}

/// Returns the same daemons in the same order on every daemon, as long as all have links to the same peers.
std::vector<std::string> sidecar::evaluators_of(const std::string& service) const {
    const auto seed = stable_hash(service);
    std::vector<std::pair<std::uint64_t, std::string>> order{{stable_hash(self_.daemon, seed), self_.daemon}};
    for (const auto& [name, entry] : peers_.peers()) {
        if (entry.link && !entry.about.stopping) {
            order.emplace_back(stable_hash(name, seed), name);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < std::min(evaluators_per_rollout, order.size()); ++i) {
        result.push_back(order[i].second);
    }
    return result;
}

// ---- replicated rows

std::vector<mesh::store_row> sidecar::row_heads() const {
    auto result = rows_.heads();
    std::erase_if(result, [](const mesh::store_row& row) {
        return row.table == own_table && row.key.starts_with(member_prefix);
    });
    return result;
}

/// An available store delivers a change immediately, or with the answer after the pause between two watches.
mesh::missing_rows::store_timeouts sidecar::store_timeouts() const {
    const bool just_started = clock_.now() - started_ < first_answer_timeout;
    if (!operator_rows_.is_active()) {
        return {duration{0}, just_started ? fetch_delay_delivering : reader_delivery_time};
    }
    if (!store_available_) {
        const auto delay = just_started ? fetch_delay_delivering : duration{0};
        return {delay, delay};
    }
    return {fetch_delay_watching,
            operator_rows_.is_delivering() ? fetch_delay_delivering : fetch_delay_watching};
}

/// True while this daemon has just started and its links show too few of the daemons that may read: it would
/// take itself for a reader.
bool sidecar::is_meeting(time_point now) const {
    if (settings_.first_start) {
        return now < started_ + first_meeting_time || (!members_requested_ && peers_.link_count() == 0);
    }
    if (!members_requested_) {
        return true;
    }
    std::size_t known = 0;
    std::size_t linked = 0;
    for (const auto& [name, entry] : peers_.peers()) {
        if (entry.about.failure_domain == settings_.failure_domain) {
            ++known;
            linked += entry.link ? 1 : 0;
        }
    }
    return linked * 2 < known && now < *members_requested_ + restart_meeting_time;
}

/// Begins or ends following the store, and tells the daemons of the own failure domain that it succeeds.
void sidecar::select_readers(time_point now) {
    if (!readers_started_) {
        if (is_meeting(now)) {
            return;
        }
        readers_started_ = true;
        readers_.start(now);
    }
    std::vector<mesh::reader_candidate> others;
    std::set<std::string_view> domains{settings_.failure_domain};
    for (const auto& [name, entry] : peers_.peers()) {
        domains.insert(entry.about.failure_domain);
        if (entry.link && !entry.about.stopping && entry.about.failure_domain == settings_.failure_domain) {
            others.push_back({name, entry.about.link_mbps});
        }
    }
    const mesh::reader_candidate own{self_.daemon, self_.link_mbps};
    const bool reads =
        !stopping_since_ && readers_.should_read(own, others, domains.size(), routes_ != nullptr, now);
    if (reads != operator_rows_.is_active()) {
        log(event::reader_changed, {{"reading", reads}, {"candidates", others.size() + 1}});
        if (reads) {
            operator_rows_.start();
        } else {
            operator_rows_.stop();
        }
    }
    if (operator_rows_.is_healthy() && now >= next_reading_report_) {
        next_reading_report_ = now + reading_report_interval;
        peers_.publish_reading(true);
    }
}

void sidecar::on_store_health(bool healthy) {
    store_available_ = healthy;
    if (healthy) {
        next_self_write_ = time_point{};
    }
    const auto now = clock_.now();
    readers_.on_own_read(healthy, now);
    next_reading_report_ = now + reading_report_interval;
    peers_.publish_reading(healthy);
}

/// Schedules the next comparison, even after a long time without changes. The operator's changes are
/// announced at once: a daemon that gets them late from the store learns of them only in this way.
void sidecar::on_row_update(const mesh::store_row& row, time_point now) {
    last_row_update_ = now;
    const bool is_urgent = row.table == platform_wire::operator_table;
    next_comparison_ = is_urgent ? now : std::min(next_comparison_, now + comparison_interval);
}

void sidecar::compare_rows(time_point now) {
    if (now < next_comparison_) {
        return;
    }
    const bool recent = now - last_row_update_ < comparison_after_update;
    next_comparison_ = now + (recent ? comparison_interval : idle_comparison_interval);
    peers_.compare_rows(stable_hash(self_.daemon, ++comparisons_));
}

} // namespace endive::sidecar
