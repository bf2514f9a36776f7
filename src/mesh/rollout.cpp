#include "endive/mesh.h"

#include <algorithm>

namespace endive::mesh {
namespace {

/// Initial traffic share, as a ratio of the maximum share of an unproven version: full traffic needs the rest
/// until a fault that shows only then is noticed.
constexpr double first_step_ratio = 0.2;
/// The new version gets all traffic once this ratio of the allowed time has elapsed, and before that a part
/// of it for a short time. Enough time remains for completion.
constexpr double full_traffic_start = 0.6;
constexpr double trial_share = 0.25;
constexpr duration trial_time = milliseconds{400};
/// Number of responses that the version must have produced.
constexpr double min_responses = 50;
/// Once this ratio of the time has elapsed, fewer responses suffice, so that the rollout of a service with
/// little traffic proceeds too.
constexpr double late_phase_start = 0.72;
constexpr double late_phase_responses = 8;
/// Time from a step until no daemon sends the version anything, if it turns bad with the step: its failures
/// come back, are reported and evaluated, and the verdict reaches all daemons.
constexpr duration reaction_time = milliseconds{800};
/// Part of the allowed number of requests beyond the share that is used: for the first step, where there is
/// little traffic, and for the last one.
constexpr double first_slack_part = 0.2;
constexpr double last_slack_part = 0.5;
/// Responses of this time count as recent.
constexpr duration recent_time = milliseconds{1500};
constexpr duration snapshot_interval = milliseconds{250};
/// Minimum number of failures for a verdict: a fault of the environment may cause one or two.
constexpr double min_failures = 4;
/// A new version is bad when its failure rate exceeds the old one's by this factor and margin.
constexpr double failure_rate_factor = 3.0;
constexpr double failure_rate_margin = 0.08;
/// A new version is bad when its mean latency exceeds the old one's by this factor: endpoints of one service
/// differ in speed by a factor of up to 2.4, so a single new endpoint may be 1.6 times slower than the mean.
constexpr double latency_factor = 2.5;
constexpr double min_latency_responses = 15;
constexpr std::string_view all_routes = "*";
/// Requests sent to the old version before the last step end within this time.
constexpr duration completion_delay = milliseconds{1500};

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

} // namespace

void version_history::on_end(const std::string& version, bool completed) {
    if (completed) {
        stable_ = version;
        rejected_.erase(version);
    } else if (version != stable_) {
        rejected_.insert(version);
    }
}

void version_history::merge(const std::string& stable, std::span<const std::string> rejected,
                            const std::string& ordered) {
    if (!stable.empty()) {
        stable_ = stable;
        rejected_.erase(stable);
    }
    for (const auto& version : rejected) {
        if (version != stable_ && version != ordered) {
            rejected_.insert(version);
        }
    }
}

std::string encode(const rollout_start& value) {
    json row{{"order", value.order_version}};
    if (value.store_time) {
        row["started_store_ms"] = value.store_time->count();
    }
    if (!value.stable_version.empty()) {
        row["stable"] = value.stable_version;
    }
    if (!value.rejected_versions.empty()) {
        row["rejected"] = value.rejected_versions;
    }
    return row.dump();
}

rollout_start decode_rollout_start(std::string_view text) {
    const auto row = json::parse(text, nullptr, false);
    const auto is_time = [](const json& value) {
        return value.is_number_unsigned() && value.get<std::uint64_t>() <= std::uint64_t{max_unix_ms};
    };
    const auto is_text = [](const json& value) { return value.is_string(); };
    const auto is_text_list = [&](const json& value) {
        return value.is_array() && std::all_of(value.begin(), value.end(), is_text);
    };
    const bool valid = row.is_object() && row.contains("order") && row["order"].is_number_unsigned() &&
                       (!row.contains("stable") || is_text(row["stable"])) &&
                       (!row.contains("rejected") || is_text_list(row["rejected"])) &&
                       (!row.contains("started_store_ms") || is_time(row["started_store_ms"]));
    if (!valid) {
        throw error{result_code::platform_bad_answer, "malformed record of a rollout start"};
    }
    rollout_start result{row["order"].get<std::uint64_t>()};
    if (row.contains("started_store_ms")) {
        result.store_time = milliseconds{row["started_store_ms"].get<std::int64_t>()};
    }
    result.stable_version = row.value("stable", std::string{});
    result.rejected_versions = row.value("rejected", std::vector<std::string>{});
    return result;
}

rollout::rollout(rollout_order order, rollout_settings settings, time_point started)
    : order_{std::move(order)}, settings_{settings}, started_{started} {}

void rollout::totals::add(const version_evidence& last, const version_evidence* first) {
    const auto increase = [&](std::uint64_t version_evidence::*counter) {
        const auto before = first == nullptr ? 0 : first->*counter;
        return static_cast<double>(last.*counter >= before ? last.*counter - before : last.*counter);
    };
    answered += increase(&version_evidence::answered);
    failed += increase(&version_evidence::failed);
    latency_us += increase(&version_evidence::latency_us);
}

void rollout::on_evidence(const std::string& daemon, std::int64_t daemon_start,
                          std::span<const version_evidence> counters) {
    auto& entry = sources_[daemon];
    const bool restarted = entry.daemon_start != daemon_start;
    if (restarted) {
        entry = {};
        entry.daemon_start = daemon_start;
    }
    for (const auto& counter : counters) {
        if (counter.service != order_.service) {
            continue;
        }
        const std::pair key{counter.version, counter.route};
        // The old version is evaluated by its responses since the rollout began.
        if (counter.version != order_.to) {
            entry.first.try_emplace(key, counter);
        }
        entry.last[key] = counter;
    }
}

void rollout::on_status(const rollout_status& status) {
    if (status.service != order_.service || status.to != order_.to) {
        return;
    }
    if (status.state != rollout_state::running) {
        final_ = status.state;
    }
    if (status.state == rollout_state::rolled_back) {
        traffic_share_ = 0;
        bad_ = true;
    }
    if (status.state == rollout_state::completed) {
        traffic_share_ = 1;
    }
}

rollout::route_totals rollout::collect() const {
    route_totals result;
    for (const auto& [daemon, entry] : sources_) {
        for (const auto& [key, last] : entry.last) {
            const bool is_new = key.first == order_.to;
            const auto first = entry.first.find(key);
            const auto* base = is_new || first == entry.first.end() ? nullptr : &first->second;
            result[key.second][is_new ? 1 : 0].add(last, base);
            result[std::string{all_routes}][is_new ? 1 : 0].add(last, base);
        }
    }
    return result;
}

void rollout::evaluate_route(std::string_view route, const totals& old_version, const totals& new_version) {
    const double new_count = new_version.answered + new_version.failed;
    const double old_count = old_version.answered + old_version.failed;
    if (new_version.failed >= min_failures) {
        const double old_rate = old_count > 0 ? old_version.failed / old_count : 0;
        if (new_version.failed / new_count > old_rate * failure_rate_factor + failure_rate_margin) {
            bad_ = true;
            verdict_reason_ = "failures on route " + std::string{route};
        }
    }
    if (new_version.answered >= min_latency_responses && old_version.answered >= min_latency_responses &&
        route != all_routes) {
        const double new_mean = new_version.latency_us / new_version.answered;
        const double old_mean = old_version.latency_us / old_version.answered;
        if (new_mean > old_mean * latency_factor) {
            bad_ = true;
            verdict_reason_ = "slow on route " + std::string{route};
        }
    }
}

rollout::totals rollout::totals::since(const totals& base) const {
    totals result;
    result.answered = std::max(0.0, answered - base.answered);
    result.failed = std::max(0.0, failed - base.failed);
    result.latency_us = std::max(0.0, latency_us - base.latency_us);
    return result;
}

const rollout::route_totals& rollout::recent_base(const route_totals& current, time_point now) {
    if (snapshots_.empty() || now - snapshots_.back().at >= snapshot_interval) {
        snapshots_.push_back({now, current});
    }
    while (snapshots_.size() > 1 && now - snapshots_[1].at >= recent_time) {
        snapshots_.pop_front();
    }
    return snapshots_.front().evidence;
}

/// Evaluates all responses since the rollout began, for faults that are rare, and the recent ones, for faults
/// that begin with more traffic and for those of the environment, which reach both versions at the same time.
void rollout::evaluate(time_point now) {
    const auto current = collect();
    const auto& base = recent_base(current, now);
    for (const auto& [route, versions] : current) {
        const auto earlier = base.find(route);
        const bool has_base = earlier != base.end();
        if (!bad_ && has_base) {
            evaluate_route(route, versions[0].since(earlier->second[0]),
                           versions[1].since(earlier->second[1]));
        }
        if (!bad_) {
            evaluate_route(route, versions[0], versions[1]);
        }
    }
}

double rollout::initial_share() const {
    return settings_.exposure_share * first_step_ratio;
}

void rollout::set_elapsed(duration elapsed, time_point now) {
    started_ = now - elapsed;
    exposure_ = std::max(exposure_, initial_share() * seconds_of(elapsed));
}

/// True when a version that turns bad on getting all traffic after `delay`, with `share` until then, has got
/// no more than its share of the requests when it is taken back.
bool rollout::may_take_all(duration delay, double share, const evidence_summary& evidence,
                           time_point now) const {
    const double elapsed = seconds_of(now + delay - started_);
    const double allowed = std::max(0.001, seconds_of(order_.time_allowed));
    const double responses = elapsed / allowed >= late_phase_start ? late_phase_responses : min_responses;
    if (elapsed / allowed < full_traffic_start || evidence.new_responses < responses) {
        return false;
    }
    const double reaction = seconds_of(reaction_time);
    const double exposure = exposure_ + share * seconds_of(delay) + reaction;
    const double rate = rate_of(evidence, now);
    return exposure <= settings_.exposure_share * (elapsed + reaction) +
                           last_slack_part * settings_.exposure_slack / rate;
}

double rollout::first_share(const evidence_summary& evidence, time_point now) const {
    const double requests = rate_of(evidence, now) * seconds_of(order_.time_allowed);
    return std::min(settings_.exposure_share,
                    initial_share() + first_slack_part * settings_.exposure_slack / requests);
}

double rollout::next_share(const evidence_summary& evidence, time_point now) const {
    if (traffic_share_ >= 1.0) {
        return traffic_share_;
    }
    if (may_take_all(duration{0}, 0, evidence, now)) {
        return 1.0;
    }
    const bool trial =
        may_take_all(trial_time, trial_share, evidence, now) ||
        (traffic_share_ >= trial_share && may_take_all(trial_time / 2, trial_share, evidence, now));
    return trial ? trial_share : first_share(evidence, now);
}

/// Responses per second of both versions.
double rollout::rate_of(const evidence_summary& evidence, time_point now) const {
    return std::max(1.0, evidence.responses / std::max(0.001, seconds_of(now - started_)));
}

rollout::evidence_summary rollout::summarize() const {
    const auto evidence = collect();
    const auto overall = evidence.find(all_routes);
    if (overall == evidence.end()) {
        return {};
    }
    const auto count = [](const totals& entry) { return entry.answered + entry.failed; };
    return {count(overall->second[0]) + count(overall->second[1]), count(overall->second[1])};
}

void rollout::advance(time_point now, bool may_decide) {
    if (final_) {
        return;
    }
    if (!bad_) {
        evaluate(now);
    }
    if (bad_) {
        set_traffic_share(0, now);
        return;
    }
    const auto evidence = summarize();
    set_traffic_share(may_decide ? next_share(evidence, now) : first_share(evidence, now), now);
}

void rollout::set_traffic_share(double share, time_point now) {
    if (share_set_at_ && now > *share_set_at_) {
        exposure_ += traffic_share_ * seconds_of(now - *share_set_at_);
    }
    share_set_at_ = now;
    traffic_share_ = share;
    if (traffic_share_ < 1.0) {
        full_traffic_since_.reset();
    } else if (!full_traffic_since_) {
        full_traffic_since_ = now;
    }
}

void rollout::apply_progress(double share, bool bad, time_point now) {
    if (final_ || bad_) {
        return;
    }
    if (bad) {
        bad_ = true;
        verdict_reason_ = "verdict of another daemon";
    }
    set_traffic_share(bad ? 0.0 : share, now);
}

bool rollout::may_complete(time_point now) const {
    return !bad_ && !final_ && has_full_traffic_for(completion_delay, now);
}

} // namespace endive::mesh
