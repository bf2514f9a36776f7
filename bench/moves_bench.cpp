/// Seeded moves decided by the move state machines with each of the three rules, and by a naive rule. Time is
/// simulated.

#include "bench_report.h"
#include "moves_simulation.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <atomic>
#include <iostream>
#include <thread>

ABSL_FLAG(std::uint64_t, seed, 1, "first seed");
ABSL_FLAG(std::uint64_t, moves, 1000, "number of moves of each rule");
ABSL_FLAG(unsigned, threads, 8, "worker threads");
ABSL_FLAG(bool, details, false, "print one line for each move that misses a target");
ABSL_FLAG(std::string, only, "", "run only the controller of this name");

namespace {

using namespace endive;
using namespace endive::moves_bench;

void print(const std::string& metric, double value, const std::string& unit, const json& target,
           const json& baseline) {
    print_figure("moves", metric, value, unit, target, baseline);
}

double quantile(std::vector<double> values, double q) {
    if (values.empty()) {
        return 0;
    }
    std::sort(values.begin(), values.end());
    const auto index = static_cast<std::size_t>(std::ceil(q * static_cast<double>(values.size())));
    return values[std::clamp<std::size_t>(index, 1, values.size()) - 1];
}

std::vector<outcome> run_all(const controller& decider) {
    const auto count = absl::GetFlag(FLAGS_moves);
    std::vector<outcome> outcomes(count);
    std::atomic<std::uint64_t> next{0};
    std::vector<std::thread> workers;
    for (unsigned i = 0; i < absl::GetFlag(FLAGS_threads); ++i) {
        workers.emplace_back([&] {
            for (auto index = next++; index < count; index = next++) {
                outcomes[index] =
                    simulate(make_scenario(absl::GetFlag(FLAGS_seed) * 1'000'000 + index), decider);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    return outcomes;
}

double percent(std::size_t part, std::size_t whole) {
    return whole == 0 ? 100 : 100.0 * static_cast<double>(part) / static_cast<double>(whole);
}

double delay_of(const outcome& move) {
    return std::max(0.0, move.last_bad_request + tick_seconds - move.detectable_at);
}

/// Metric name, value, unit and target of each figure.
using figures = std::vector<std::tuple<std::string, double, std::string, json>>;

void add_delays(figures& list, const std::string& name, const std::vector<outcome>& moves,
                const std::function<bool(const outcome&)>& selected) {
    std::vector<double> informed_delays;
    std::vector<double> uninformed_delays;
    for (const auto& move : moves) {
        if (!move.taken_back || !selected(move)) {
            continue;
        }
        if (move.detectable_at >= 0) {
            informed_delays.push_back(delay_of(move));
        }
        // A take-back before the observer has detected the fault counts as no delay.
        const double end = move.last_bad_request + tick_seconds;
        uninformed_delays.push_back(
            move.uninformed_detectable_at < 0 ? 0 : std::max(0.0, end - move.uninformed_detectable_at));
    }
    const auto add = [&](const std::string& prefix, const std::vector<double>& delays) {
        const auto fast = std::count_if(delays.begin(), delays.end(), [](double d) { return d <= 2; });
        list.emplace_back(prefix + "_p50", quantile(delays, 0.5), "s", 2);
        list.emplace_back(prefix + "_p99", quantile(delays, 0.99), "s", 2);
        list.emplace_back(prefix + "_within_2s", percent(static_cast<std::size_t>(fast), delays.size()), "%",
                          100);
    };
    add(name + "/delay", uninformed_delays);
    add(name + "/delay_fault_known", informed_delays);
}

void add_bad_shares(figures& list, const std::string& name, const std::vector<outcome>& moves, bool granite) {
    std::vector<double> requests;
    std::vector<double> of_move;
    std::vector<double> until_end;
    double bad = 0;
    double all = 0;
    for (const auto& move : moves) {
        if (move.kind == fault::none || move.granite_hearth != granite) {
            continue;
        }
        const auto count = static_cast<double>(move.bad_requests);
        requests.push_back(count);
        of_move.push_back(100 * count / move.planned_requests);
        until_end.push_back(100 * count / static_cast<double>(move.total_requests));
        bad += count;
        all += static_cast<double>(move.total_requests);
    }
    const json target = granite ? json(1) : json(nullptr);
    list.emplace_back(name + "/bad_requests_p50", quantile(requests, 0.5), "requests", nullptr);
    list.emplace_back(name + "/bad_requests_p99", quantile(requests, 0.99), "requests", nullptr);
    list.emplace_back(name + "/bad_share_of_planned_move_p99", quantile(of_move, 0.99), "%", target);
    list.emplace_back(name + "/bad_share_of_planned_move_max", quantile(of_move, 1), "%", target);
    list.emplace_back(name + "/bad_share_until_take_back_p50", quantile(until_end, 0.5), "%", target);
    list.emplace_back(name + "/bad_share_until_take_back_p99", quantile(until_end, 0.99), "%", target);
    list.emplace_back(name + "/bad_share_until_take_back_max", quantile(until_end, 1), "%", target);
    list.emplace_back(name + "/bad_share_until_take_back_all", all > 0 ? 100 * bad / all : 0, "%", target);
}

figures evaluate(const std::vector<outcome>& moves) {
    std::array<std::size_t, fault_names.size()> count{};
    std::array<std::size_t, fault_names.size()> taken{};
    std::size_t on_time = 0;
    std::size_t released = 0;
    std::vector<double> completion;
    for (const auto& move : moves) {
        const auto kind = static_cast<std::size_t>(move.kind);
        ++count.at(kind);
        taken.at(kind) += move.taken_back ? 1 : 0;
        released += move.holds_released;
        if (move.kind == fault::none && move.completed_on_time && !move.taken_back) {
            ++on_time;
            completion.push_back(move.completed_at);
        }
    }
    std::size_t bad = 0;
    std::size_t bad_taken = 0;
    figures list;
    list.emplace_back("good_on_time", percent(on_time, count[0]), "%", 99.5);
    list.emplace_back("false_take_backs", percent(taken[0], count[0]), "%", 0.5);
    for (std::size_t kind = 1; kind < fault_names.size(); ++kind) {
        bad += count.at(kind);
        bad_taken += taken.at(kind);
    }
    list.emplace_back("bad_taken_back", percent(bad_taken, bad), "%", 100);
    for (std::size_t kind = 1; kind < fault_names.size(); ++kind) {
        list.emplace_back(std::string{"taken_back/"} + fault_names.at(kind),
                          percent(taken.at(kind), count.at(kind)), "%", 100);
    }
    list.emplace_back("completion_p50", quantile(completion, 0.5), "s", nullptr);
    list.emplace_back("completion_p99", quantile(completion, 0.99), "s", nullptr);
    list.emplace_back("holds_released", static_cast<double>(released), "holds", nullptr);
    add_bad_shares(list, "granite_hearth", moves, true);
    add_bad_shares(list, "sciacca", moves, false);
    add_delays(list, "all", moves, [](const outcome&) { return true; });
    for (std::size_t kind = 1; kind < fault_names.size(); ++kind) {
        add_delays(list, fault_names.at(kind), moves,
                   [&](const outcome& move) { return move.kind == static_cast<fault>(kind); });
    }
    return list;
}

void print_details(const std::string& name, const std::vector<outcome>& moves) {
    for (std::size_t i = 0; i < moves.size(); ++i) {
        const auto& move = moves[i];
        const bool good = move.kind == fault::none;
        const bool missed =
            good ? (move.taken_back || !move.completed_on_time) : (!move.taken_back || delay_of(move) > 2);
        if (missed) {
            std::cerr << name << ' ' << i << ' ' << fault_names.at(static_cast<std::size_t>(move.kind))
                      << " taken_back=" << move.taken_back << " completed=" << move.completed_at
                      << " detectable=" << move.detectable_at << " last=" << move.last_bad_request
                      << " bad=" << move.bad_requests << " reason=" << move.reason << '\n';
        }
    }
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const std::vector<controller> controllers{{std::nullopt},
                                              {moves::rule_kind::mixture_e_process},
                                              {moves::rule_kind::sprt},
                                              {moves::rule_kind::fixed_window_z}};
    std::map<std::string, double> baseline;
    for (const auto& decider : controllers) {
        const auto only = absl::GetFlag(FLAGS_only);
        if (!only.empty() && only != decider.name()) {
            continue;
        }
        const auto outcomes = run_all(decider);
        if (absl::GetFlag(FLAGS_details)) {
            print_details(decider.name(), outcomes);
        }
        for (const auto& [metric, value, unit, target] : evaluate(outcomes)) {
            if (!decider.rule) {
                baseline[metric] = value;
            }
            const auto base = baseline.find(metric);
            print(decider.name() + "/" + metric, value, unit, target,
                  base == baseline.end() ? json(nullptr) : json(base->second));
        }
    }
    return 0;
}
