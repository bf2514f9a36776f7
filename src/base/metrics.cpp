#include "endive/base.h"

#include <algorithm>
#include <cmath>

#include <boost/histogram.hpp>
#include <xxhash.h>

namespace endive {
namespace bh = boost::histogram;

std::string_view version_text() {
    return "0.1.0";
}

std::size_t counter_set::shard_of(std::string_view name) {
    return stable_hash(name) % shard_count;
}

std::atomic<std::uint64_t>& counter_set::at(std::string_view name) {
    shard& part = shards_[shard_of(name)];
    const std::lock_guard lock{part.mutex};
    const auto found = part.counters.find(name);
    if (found != part.counters.end()) {
        return found->second;
    }
    return part.counters.try_emplace(std::string{name}, 0).first->second;
}

std::uint64_t counter_set::value(std::string_view name) const {
    const shard& part = shards_[shard_of(name)];
    const std::lock_guard lock{part.mutex};
    const auto found = part.counters.find(name);
    return found == part.counters.end() ? 0 : found->second.load();
}

std::map<std::string, std::uint64_t> counter_set::values() const {
    std::map<std::string, std::uint64_t> all;
    for (const shard& part : shards_) {
        const std::lock_guard lock{part.mutex};
        for (const auto& [name, count] : part.counters) {
            all[name] = count.load();
        }
    }
    return all;
}

namespace {

constexpr double min_us = 1.0;
constexpr double max_us = 1e9;
// exp(ln(1e9) / 1040) gives a ratio of 1.02 between neighbouring bin edges.
constexpr unsigned bin_count = 1040;

using axis = bh::axis::regular<double, bh::axis::transform::log>;
using histogram = decltype(bh::make_histogram(axis{bin_count, min_us, max_us}));

double to_us(duration value) {
    return std::chrono::duration<double, std::micro>(value).count();
}

duration from_us(double us) {
    return duration{static_cast<duration::rep>(us * 1000.0)};
}

} // namespace

struct latency_histogram::state {
    mutable std::mutex mutex;
    histogram bins = bh::make_histogram(axis{bin_count, min_us, max_us});
    std::uint64_t count = 0;
    duration max{0};
};

latency_histogram::latency_histogram() : state_{std::make_unique<state>()} {}
latency_histogram::~latency_histogram() = default;

void latency_histogram::record(duration value) {
    const std::lock_guard lock{state_->mutex};
    state_->bins(std::max(to_us(value), min_us));
    ++state_->count;
    state_->max = std::max(state_->max, value);
}

void latency_histogram::merge(const latency_histogram& other) {
    if (&other == this) {
        return;
    }
    const std::scoped_lock lock{state_->mutex, other.state_->mutex};
    state_->bins += other.state_->bins;
    state_->count += other.state_->count;
    state_->max = std::max(state_->max, other.state_->max);
}

duration latency_histogram::quantile(double q) const {
    const std::lock_guard lock{state_->mutex};
    if (state_->count == 0) {
        return duration{0};
    }
    const auto rank = std::max(1.0, std::ceil(q * static_cast<double>(state_->count)));
    double seen = 0;
    for (auto&& bin : bh::indexed(state_->bins, bh::coverage::all)) {
        seen += *bin;
        if (seen >= rank) {
            const double upper = bin.bin(0).upper();
            return std::isfinite(upper) ? std::min(from_us(upper), state_->max) : state_->max;
        }
    }
    return state_->max;
}

std::uint64_t latency_histogram::count() const {
    const std::lock_guard lock{state_->mutex};
    return state_->count;
}

duration latency_histogram::max() const {
    const std::lock_guard lock{state_->mutex};
    return state_->max;
}

std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed) {
    return XXH64(bytes.data(), bytes.size(), seed);
}

std::string to_hex(std::uint64_t value) {
    constexpr std::string_view symbols = "0123456789abcdef";
    std::string text(16, '0');
    for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
        *digit = symbols[value & 0xF];
        value >>= 4;
    }
    return text;
}

} // namespace endive
