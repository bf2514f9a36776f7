// What this daemon does together with the others: version moves and the rows that all have in common.

#include "sidecar/own_rows.h"
#include "sidecar/sidecar.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Daemons that judge a move: three of them, in different places, rarely go at once.
constexpr std::size_t judges_of_a_move = 3;
constexpr duration evidence_interval = milliseconds{250};
constexpr duration progress_interval = milliseconds{500};
/// Rows are compared this often while they change, so that a daemon without the store is not behind for long.
constexpr duration comparison_interval = milliseconds{400};
constexpr duration quiet_comparison_interval = std::chrono::seconds{3};
constexpr duration comparison_after_news = std::chrono::seconds{4};
/// Rows are large and cross domains, so a peer is asked only when the store would have delivered by now.
/// Changes have two seconds to be in force everywhere.
constexpr duration fetch_delay_watching = milliseconds{300};
constexpr duration fetch_delay_pausing = milliseconds{950};
/// Until then the store's first answer may still be on its way, behind those to daemons that started
/// together.
constexpr duration first_answer_patience = milliseconds{1000};
/// Each further daemon waits this much longer before it takes over a duty.
constexpr duration duty_step = milliseconds{700};

} // namespace

void sidecar::write_due_statuses(time_point now) {
    const auto old_idle = [this](const std::string& service, const std::string& to) {
        const bool own_busy =
            self_.service == service && self_.version != to && local_.load().outstanding > 0;
        const auto& peers = peers_.peers();
        return !own_busy && std::none_of(peers.begin(), peers.end(), [&](const auto& item) {
            const auto& about = item.second.about;
            return about.service == service && about.version != to && item.second.link &&
                   item.second.load.outstanding > 0;
        });
    };
    std::vector<std::pair<std::string, std::function<void()>>> duties;
    for (const auto& due : moves_.due(now, old_idle)) {
        const auto key = std::string{platform_wire::rollout_prefix} + due.status.service;
        const auto duty = key + "/" + std::to_string(static_cast<int>(due.status.state));
        const mesh::store_row row{std::string{platform_wire::status_table}, key,
                                  platform_wire::encode_rollout_status(due.status), 0};
        duties.emplace_back(duty, [this, duty, row, expected = due.expected_version] {
            write(row, expected, [this, duty](bool) { writing_.erase(duty); });
        });
    }
    for (const auto& move : moves_.unrecorded()) {
        const auto key = std::string{start_prefix} + move.service;
        const json value{{"order", move.order_version}, {"started_unix_ms", to_unix_ms(clock_.wall_now())}};
        const mesh::store_row row{std::string{own_table}, key, value.dump(), 0};
        const auto* known = rows_.find(own_table, key);
        duties.emplace_back(key, [this, key, row, expected = known == nullptr ? 0 : known->version] {
            write(row, expected, [this, key](bool) { writing_.erase(key); });
        });
    }
    std::set<std::string> present;
    for (const auto& [duty, perform] : duties) {
        present.insert(duty);
        const auto since = duty_since_.try_emplace(duty, now).first->second;
        const auto turn = since + duty_step * static_cast<duration::rep>(duty_rank(duty));
        if (now >= turn && writing_.insert(duty).second) {
            duty_since_[duty] = now + store_retry;
            perform();
        }
    }
    std::erase_if(duty_since_, [&](const auto& item) { return !present.contains(item.first); });
}

/// Evidence goes to the daemons that judge a move; their progress goes to all.
void sidecar::advance_moves(time_point now) {
    const auto running = moves_.running();
    if (running.empty()) {
        return;
    }
    if (now >= next_evidence_ && !local_.evidence().empty()) {
        next_evidence_ = now + evidence_interval;
        for (const auto& service : running) {
            if (service == self_.service) {
                tell_judges(service);
            }
        }
    }
    moves_.advance(now, self_.daemon, [this](const std::string& service) { return judges_of(service); });
    const auto progress = moves_.progress();
    if (!progress.empty() && (progress != told_progress_ || now >= next_progress_)) {
        told_progress_ = progress;
        next_progress_ = now + progress_interval;
        peers_.spread_progress(progress);
    }
}

void sidecar::tell_judges(const std::string& service) {
    for (const auto& judge : judges_of(service)) {
        if (judge == self_.daemon) {
            moves_.on_evidence(self_.daemon, self_.daemon_start_unix_ms, local_.evidence());
        } else {
            peers_.send_evidence(judge, local_.evidence());
        }
    }
}

/// The same daemons in the same order wherever it is asked, as long as the links agree.
std::vector<std::string> sidecar::judges_of(const std::string& service) const {
    const auto seed = stable_hash(service);
    std::vector<std::pair<std::uint64_t, std::string>> order{{stable_hash(self_.daemon, seed), self_.daemon}};
    for (const auto& [name, entry] : peers_.peers()) {
        if (entry.link && !entry.about.stopping) {
            order.emplace_back(stable_hash(name, seed), name);
        }
    }
    std::sort(order.begin(), order.end());
    std::vector<std::string> result;
    for (std::size_t i = 0; i < std::min(judges_of_a_move, order.size()); ++i) {
        result.push_back(order[i].second);
    }
    return result;
}

// ---- rows in common

std::vector<mesh::store_row> sidecar::row_heads() const {
    auto result = rows_.heads();
    std::erase_if(result, [](const mesh::store_row& row) {
        return row.table == own_table && row.key.starts_with(member_prefix);
    });
    return result;
}

/// A store that answers delivers a change at once, or after the pause between two watches.
duration sidecar::fetch_delay() const {
    const bool just_started = clock_.now() - started_ < first_answer_patience;
    if (!store_answers_ && !just_started) {
        return duration{0};
    }
    if (!store_answers_) {
        return fetch_delay_pausing;
    }
    return orders_.is_pausing() ? fetch_delay_pausing : fetch_delay_watching;
}

/// Others are told of news soon, however quiet it was before.
void sidecar::note_news(time_point now) {
    last_news_ = now;
    next_comparison_ = std::min(next_comparison_, now + comparison_interval);
}

void sidecar::compare_rows(time_point now) {
    if (now < next_comparison_) {
        return;
    }
    const bool recent = now - last_news_ < comparison_after_news;
    next_comparison_ = now + (recent ? comparison_interval : quiet_comparison_interval);
    peers_.compare_rows(stable_hash(self_.daemon, ++comparisons_));
}

} // namespace endive::sidecar
