/// Cost of the model library by number of services and routes, and its growth exponents.

#include "bench_report.h"
#include "endive/model.h"

#include <algorithm>
#include <cmath>
#include <iostream>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random lookups");

namespace {

using namespace endive;
using namespace endive::model;

constexpr int services_per_team = 10;
constexpr int routes_per_service = 4;

void print(const std::string& metric, double value, const std::string& unit, const json& target = nullptr,
           const json& baseline = nullptr) {
    print_figure("model", metric, value, unit, target, baseline);
}

/// Returns the median duration of a call in microseconds, over at least five calls and 100 ms.
template <typename Function>
double measure_us(Function function) {
    constexpr std::size_t min_runs = 5;
    constexpr double min_total_us = 100'000;
    std::vector<double> runs;
    double total = 0;
    while (runs.size() < min_runs || total < min_total_us) {
        const auto start = std::chrono::steady_clock::now();
        function();
        const std::chrono::duration<double, std::micro> spent = std::chrono::steady_clock::now() - start;
        runs.push_back(spent.count());
        total += spent.count();
    }
    std::sort(runs.begin(), runs.end());
    return runs[runs.size() / 2];
}

std::string number_text(int number) {
    std::string text = std::to_string(number);
    return std::string(5 - text.size(), '0') + text;
}

json make_answers(int team, int services) {
    json answers = {
        {"format", 1},
        {"organisation", "Bench"},
        {"team", "team-" + number_text(team)},
        {"regions", {{{"name", "r"}, {"failure_domains", {"fd-a", "fd-b", "fd-c"}}}}},
        {"weights", {{"convergence", 25}, {"on_time", 25}, {"take_back", 25}, {"control_bytes", 25}}}};
    answers["services"] = json::array();
    answers["routes"] = json::array();
    answers["moves"] = json::array();
    for (int i = 0; i < services; ++i) {
        const auto name = "service-" + number_text(team * services_per_team + i);
        answers["services"].push_back({{"name", name},
                                       {"endpoints", 6},
                                       {"failure_domains", {"fd-a", "fd-b", "fd-c"}},
                                       {"releases", {"v1", "v2"}},
                                       {"stable_version", "v1"}});
        for (int r = 0; r < routes_per_service; ++r) {
            answers["routes"].push_back({{"name", name + "-r" + std::to_string(r)},
                                         {"method", "GET"},
                                         {"path_prefix", "/" + name + "/resource-" + std::to_string(r)},
                                         {"service", name}});
        }
    }
    return answers;
}

snapshot make_snapshot(int services, wall_time now) {
    snapshot all;
    for (int team = 0; team * services_per_team < services; ++team) {
        const int count = std::min(services_per_team, services - team * services_per_team);
        all = merge_part(all, generate(make_answers(team, count).dump(), now));
    }
    return all;
}

std::vector<std::string> random_paths(const routing_table& table) {
    std::mt19937_64 random{absl::GetFlag(FLAGS_seed)};
    std::vector<std::string> paths;
    for (int i = 0; i < 1000; ++i) {
        const auto& item = table.routes()[random() % table.routes().size()];
        paths.push_back(item.path_prefix + "/item/" + std::to_string(random() % 10000) + "?full=1");
    }
    return paths;
}

/// Naive lookup, which tries every route.
const route* find_by_scan(const routing_table& table, std::string_view method, std::string_view path) {
    const route* best = nullptr;
    for (const auto& item : table.routes()) {
        const auto& prefix = item.path_prefix;
        const bool matches =
            path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
        if (matches && item.method == method &&
            (best == nullptr || prefix.size() > best->path_prefix.size())) {
            best = &item;
        }
    }
    return best;
}

struct figures {
    double generate_us = 0;
    double validate_us = 0;
    double encode_us = 0;
    double decode_us = 0;
    double apply_delta_us = 0;
    double build_table_us = 0;
    double lookup_ns = 0;
    double scan_ns = 0;
    double snapshot_bytes = 0;
    double delta_bytes = 0;
};

figures measure(int services, wall_time now) {
    figures result;
    const auto base = make_snapshot(services, now);
    const auto answers = make_answers(0, std::min(services, services_per_team)).dump();
    auto changed = generate(answers, now);
    changed.services[0].endpoints = 7;
    const auto next = merge_part(base, changed);
    const auto delta = make_delta(base, next);
    const auto bytes = encode(base);
    const routing_table table{base};
    const auto paths = random_paths(table);
    std::size_t found = 0;
    result.generate_us = measure_us([&] { found += generate(answers, now).routes.size(); });
    result.validate_us = measure_us([&] { validate(base); });
    result.encode_us = measure_us([&] { found += encode(base).size(); });
    result.decode_us = measure_us([&] { found += decode_snapshot(bytes).parts.size(); });
    result.apply_delta_us = measure_us([&] { found += apply_delta(base, delta).parts.size(); });
    result.build_table_us = measure_us([&] { found += routing_table{base}.routes().size(); });
    const auto lookup_us = measure_us([&] {
        for (const auto& path : paths) {
            found += table.find_route("GET", path).index;
        }
    });
    const auto scan_us = measure_us([&] {
        for (const auto& path : paths) {
            found += find_by_scan(table, "GET", path) != nullptr ? 1U : 0U;
        }
    });
    result.lookup_ns = lookup_us * 1000.0 / static_cast<double>(paths.size());
    result.scan_ns = scan_us * 1000.0 / static_cast<double>(paths.size());
    result.snapshot_bytes = static_cast<double>(bytes.size());
    result.delta_bytes = static_cast<double>(encode(delta).size());
    // Uses the results, so that the compiler cannot remove the measured work.
    if (found == 0) {
        std::cerr << "no results\n";
    }
    return result;
}

/// Prints the exponent b of cost ~ services^b between the smallest and the largest size.
void print_slope(const std::string& metric, double small, double large, double size_ratio) {
    print(metric + "_slope", std::log(large / small) / std::log(size_ratio), "exponent");
}

void print_all(const std::string& suffix, const figures& value) {
    print("generate_one_team" + suffix, value.generate_us, "us");
    print("validate" + suffix, value.validate_us, "us");
    print("encode" + suffix, value.encode_us, "us");
    print("decode" + suffix, value.decode_us, "us");
    print("apply_delta" + suffix, value.apply_delta_us, "us");
    print("build_table" + suffix, value.build_table_us, "us");
    print("lookup" + suffix, value.lookup_ns, "ns", nullptr, value.scan_ns);
    print("snapshot_size" + suffix, value.snapshot_bytes, "bytes");
    print("delta_size" + suffix, value.delta_bytes, "bytes", nullptr, value.snapshot_bytes);
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const auto now = std::chrono::system_clock::now();
    const std::vector<int> sizes = {10, 100, 290, 1000};
    std::vector<figures> all;
    for (const int services : sizes) {
        all.push_back(measure(services, now));
        print_all("_" + std::to_string(services), all.back());
    }
    const double ratio = static_cast<double>(sizes.back()) / sizes.front();
    print_slope("validate", all.front().validate_us, all.back().validate_us, ratio);
    print_slope("encode", all.front().encode_us, all.back().encode_us, ratio);
    print_slope("decode", all.front().decode_us, all.back().decode_us, ratio);
    print_slope("apply_delta", all.front().apply_delta_us, all.back().apply_delta_us, ratio);
    print_slope("lookup", all.front().lookup_ns, all.back().lookup_ns, ratio);
    print_slope("snapshot_size", all.front().snapshot_bytes, all.back().snapshot_bytes, ratio);
    print_slope("delta_size", all.front().delta_bytes, all.back().delta_bytes, ratio);
    return 0;
}
