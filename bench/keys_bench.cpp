/// Cost of finding the tenant of an API key, beside a lookup in an ordered map.

#include "bench_report.h"
#include "endive/tenants.h"

#include <iostream>
#include <map>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the keys and of the order of the lookups");

namespace {

using namespace endive;

constexpr std::size_t tenant_count = 1000;
constexpr std::size_t lookups = 1'000'000;
constexpr std::size_t key_length = 32;

std::string random_key(std::mt19937_64& random) {
    static constexpr std::string_view digits = "0123456789abcdef";
    std::string result(key_length, ' ');
    for (auto& character : result) {
        character = digits[random() % digits.size()];
    }
    return result;
}

mesh::configuration make_configuration(std::size_t keys, std::mt19937_64& random) {
    mesh::configuration result;
    result.tenants.resize(std::min(tenant_count, keys));
    for (std::size_t i = 0; i < result.tenants.size(); ++i) {
        result.tenants[i].name = "tenant-" + std::to_string(i);
    }
    for (std::size_t i = 0; i < keys; ++i) {
        result.tenants[i % result.tenants.size()].api_keys.push_back(random_key(random));
    }
    return result;
}

/// Mean time of a lookup in nanoseconds. `find` returns whether the key is known.
template <typename Find>
double measure_ns(const std::vector<std::string>& asked, Find find) {
    std::size_t found = 0;
    const auto start = std::chrono::steady_clock::now();
    for (std::size_t i = 0; i < lookups; ++i) {
        found += find(asked[i % asked.size()]) ? 1 : 0;
    }
    const std::chrono::duration<double, std::nano> spent = std::chrono::steady_clock::now() - start;
    if (found > lookups) {
        std::cerr << "impossible\n"; // keeps the lookups from being optimized away
    }
    return spent.count() / static_cast<double>(lookups);
}

void measure(std::size_t keys) {
    std::mt19937_64 random{absl::GetFlag(FLAGS_seed)};
    const auto source = make_configuration(keys, random);
    const auto start = std::chrono::steady_clock::now();
    const tenants::key_index index{source};
    const std::chrono::duration<double, std::milli> build = std::chrono::steady_clock::now() - start;
    std::map<std::string, const mesh::tenant*> ordered;
    std::vector<std::string> known;
    for (const auto& tenant : source.tenants) {
        for (const auto& key : tenant.api_keys) {
            ordered.emplace(key, &tenant);
            known.push_back(key);
        }
    }
    std::shuffle(known.begin(), known.end(), random);
    std::vector<std::string> unknown;
    for (std::size_t i = 0; i < known.size(); ++i) {
        unknown.push_back(random_key(random));
    }
    const auto in_index = [&](const std::string& key) { return index.find(key).has_value(); };
    const auto in_map = [&](const std::string& key) { return ordered.contains(key); };
    const auto name = "/" + std::to_string(keys) + " keys";
    // A node holds the key, which is too long to be stored within the string, a pointer, and four words of
    // the tree.
    constexpr double map_bytes =
        sizeof(std::pair<const std::string, void*>) + key_length + 1 + 4 * sizeof(void*);
    print_figure("keys", "known key" + name, measure_ns(known, in_index), "ns", nullptr,
                 measure_ns(known, in_map));
    print_figure("keys", "unknown key" + name, measure_ns(unknown, in_index), "ns", nullptr,
                 measure_ns(unknown, in_map));
    print_figure("keys", "index" + name,
                 static_cast<double>(index.memory_bytes()) / static_cast<double>(keys), "bytes per key",
                 nullptr, map_bytes);
    print_figure("keys", "build" + name, build.count(), "ms");
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    constexpr std::size_t few = 100;
    constexpr std::size_t many = 100'000;
    measure(few);
    measure(many);
}
