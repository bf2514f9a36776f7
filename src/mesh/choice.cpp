#include "endive/mesh.h"

#include <algorithm>

namespace endive::mesh {
namespace {

/// Time relative to the latency target that an endpoint is expected to need before its first response.
constexpr double initial_slowness = 0.35;
/// Expected times are equal when they differ by less than this share; the draw spreads load between them.
constexpr double tie_share = 0.1;
/// A place at another daemon costs a round trip in the domain and two passes through event loops.
constexpr duration remote_cost = std::chrono::microseconds{600};
/// A place in another failure domain costs a longer round trip and priced bytes.
constexpr duration domain_cost = milliseconds{4};
/// Priced bytes of a request body as extra time: 60 KB weigh as much as 60 ms of waiting.
constexpr duration domain_cost_per_byte = std::chrono::microseconds{1};
/// Extra time for each failure in a row, so that a failing endpoint is tried when the others are busy.
constexpr duration failure_cost = milliseconds{150};
constexpr std::uint32_t max_counted_failures = 8;
/// Endpoints slow down as they fill; at full load by about this share.
constexpr double fill_slowdown = 0.6;

} // namespace

duration expected_time(const candidate& option, const choice_request& request) {
    const double slots = std::max(1U, option.load.slots);
    const double outstanding = option.load.outstanding + option.sent_since_load;
    const double fill = std::min(1.0, outstanding / slots);
    const double slowness = option.load.slowness > 0 ? option.load.slowness : initial_slowness;
    const auto run = std::chrono::duration<double, std::nano>(request.latency_target) * slowness *
                     (1.0 + fill_slowdown * fill * fill);
    const double ahead = std::max(0.0, outstanding + 1 - slots);
    const auto typical = option.load.service_time > duration{0}
                             ? std::chrono::duration<double, std::nano>(option.load.service_time)
                             : run;
    auto total = std::chrono::duration_cast<duration>(run + typical * (ahead / slots));
    if (!option.local) {
        total += remote_cost;
    }
    if (!option.local && !option.same_domain) {
        total += domain_cost + domain_cost_per_byte * request.body_bytes;
    }
    return total + failure_cost * std::min(option.failures, max_counted_failures);
}

std::optional<std::size_t> choose_endpoint(std::span<const candidate> candidates,
                                           const choice_request& request, std::uint64_t random) {
    if (candidates.empty()) {
        return std::nullopt;
    }
    std::vector<duration> times;
    times.reserve(candidates.size());
    for (const auto& option : candidates) {
        times.push_back(expected_time(option, request));
    }
    const auto least = *std::min_element(times.begin(), times.end());
    const auto limit = least + std::chrono::duration_cast<duration>(
                                   std::chrono::duration<double, std::nano>(least) * tie_share);
    std::vector<std::size_t> best;
    for (std::size_t i = 0; i < times.size(); ++i) {
        if (times[i] <= limit) {
            best.push_back(i);
        }
    }
    return best[random % best.size()];
}

} // namespace endive::mesh
