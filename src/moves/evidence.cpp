#include "endive/moves.h"

#include <algorithm>
#include <cmath>

namespace endive::moves {

namespace {

constexpr std::string_view key_prefix = "move/";
// Adaptation step of the quantile estimate in log units: 3% follows a load burst within a few hundred
// requests and keeps the noise of the estimate under 10%.
constexpr double quantile_step = 0.03;
// Larger step for the first requests, so that the estimate is usable after about 30 of them.
constexpr double initial_quantile_step = 1.0;
// The estimate is not used as a reference before this many values.
constexpr std::uint64_t min_quantile_values = 30;

void count(evidence_counts& counts, const model::call_observation& observation, bool slow) {
    using model::call_outcome;
    if (observation.outcome == call_outcome::shed) {
        ++counts.shed;
        return;
    }
    if (observation.outcome == call_outcome::cancelled) {
        ++counts.cancelled;
        return;
    }
    const bool failed =
        observation.outcome == call_outcome::server_error || observation.outcome == call_outcome::timeout;
    if (observation.cold) {
        ++counts.cold_requests;
        counts.cold_failures += failed ? 1 : 0;
        return;
    }
    ++counts.requests;
    counts.failures += failed ? 1 : 0;
    counts.connection_failures += observation.outcome == call_outcome::connection_failed ? 1 : 0;
    counts.slow += slow ? 1 : 0;
}

/// Latency above which the observation counts as slow. The limit is higher for a request that opened a
/// connection, since the old version's p90 excludes such requests.
duration slow_threshold(duration old_p90, const model::call_observation& observation) {
    if (!observation.opened_connection) {
        return old_p90;
    }
    const auto scaled = duration{static_cast<duration::rep>(static_cast<double>(old_p90.count()) *
                                                            config::new_connection_slow_factor)};
    return std::max(scaled, old_p90 + config::new_connection_slow_margin);
}

} // namespace

std::vector<std::uint64_t> to_vector(const evidence_counts& counts) {
    return {counts.requests, counts.failures,  counts.connection_failures, counts.slow,
            counts.shed,     counts.cancelled, counts.cold_requests,       counts.cold_failures};
}

evidence_counts from_vector(const std::vector<std::uint64_t>& counters) {
    const auto at = [&](std::size_t i) { return i < counters.size() ? counters[i] : 0; };
    return {at(0), at(1), at(2), at(3), at(4), at(5), at(6), at(7)};
}

void add_counters(counter_map& into, const counter_map& increments) {
    for (const auto& [key, values] : increments) {
        auto& sum = into[key];
        sum.resize(std::max(sum.size(), values.size()));
        for (std::size_t i = 0; i < values.size(); ++i) {
            sum[i] += values[i];
        }
    }
}

std::string to_string(const evidence_key& key) {
    return std::string{key_prefix} + key.move_id + "|" + key.route + "|" + key.version;
}

std::optional<evidence_key> parse_evidence_key(std::string_view text) {
    if (!text.starts_with(key_prefix)) {
        return std::nullopt;
    }
    text.remove_prefix(key_prefix.size());
    const auto first = text.find('|');
    const auto last = text.rfind('|');
    if (first == std::string_view::npos || first == last) {
        return std::nullopt;
    }
    return evidence_key{std::string{text.substr(0, first)},
                        std::string{text.substr(first + 1, last - first - 1)},
                        std::string{text.substr(last + 1)}};
}

void quantile_tracker::add(duration value) {
    const double log_value = std::log(static_cast<double>(std::max<duration::rep>(value.count(), 1)));
    ++count_;
    if (count_ == 1) {
        log_ns_ = log_value;
        return;
    }
    const double step = std::max(quantile_step, initial_quantile_step / static_cast<double>(count_));
    log_ns_ += log_value > log_ns_ ? step * quantile_ : -step * (1 - quantile_);
}

duration quantile_tracker::estimate() const {
    return duration{count_ == 0 ? 0 : static_cast<duration::rep>(std::exp(log_ns_))};
}

void evidence_collector::set_moves(std::span<const model::version_move> moves) {
    std::map<std::string, move_state, std::less<>> kept;
    for (const auto& move : moves) {
        const auto known = moves_.find(move.id);
        const bool same = known != moves_.end() && known->second.move.from == move.from;
        kept[move.id] = same ? std::move(known->second) : move_state{};
        kept[move.id].move = move;
    }
    moves_ = std::move(kept);
    by_service_.clear();
    for (auto& [id, state] : moves_) {
        by_service_[state.move.service].push_back(&state);
    }
}

void evidence_collector::add(const model::call_observation& observation) {
    const auto service = by_service_.find(observation.service);
    if (service == by_service_.end()) {
        return;
    }
    for (auto* state : service->second) {
        const bool is_old = observation.version == state->move.from;
        if (!is_old && observation.version != state->move.to) {
            continue;
        }
        auto& route = state->routes[observation.route];
        route.idempotent = observation.idempotent;
        const bool timed = observation.outcome == model::call_outcome::success && !observation.cold;
        const bool slow = timed && route.old_p90.count() >= min_quantile_values &&
                          observation.latency > slow_threshold(route.old_p90.estimate(), observation);
        const std::size_t side = is_old ? 0 : 1;
        count(route.reported[side], observation, slow);
        count(route.local[side], observation, slow);
        if (timed && is_old && !observation.opened_connection) {
            route.old_p90.add(observation.latency);
        }
    }
}

counter_map evidence_collector::take_increments() {
    counter_map result;
    for (auto& [id, state] : moves_) {
        for (auto& [route, counts] : state.routes) {
            for (std::size_t side = 0; side < 2; ++side) {
                if (counts.reported[side] == evidence_counts{}) {
                    continue;
                }
                const auto& version = side == 0 ? state.move.from : state.move.to;
                result[to_string(evidence_key{id, route, version})] = to_vector(counts.reported[side]);
                counts.reported[side] = {};
            }
        }
    }
    return result;
}

std::vector<paired_evidence> evidence_collector::take_local_evidence() {
    std::vector<paired_evidence> result;
    for (auto& [id, state] : moves_) {
        for (auto& [route, counts] : state.routes) {
            if (counts.local[0] == evidence_counts{} && counts.local[1] == evidence_counts{}) {
                continue;
            }
            result.push_back({id, state.move.service, route, state.move.from, state.move.to,
                              counts.idempotent, counts.local[0], counts.local[1]});
            counts.local = {};
        }
    }
    return result;
}

} // namespace endive::moves
