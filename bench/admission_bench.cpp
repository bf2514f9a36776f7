/// Cost of admission at one endpoint: the queue without tenants and with 1,000 of them.

#include "bench_report.h"
#include "endive/mesh.h"

#include <ctime>
#include <random>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random arrivals");

namespace {

using namespace endive;
using namespace endive::mesh;

constexpr std::uint32_t slots = 12;
constexpr int requests = 100'000;
constexpr auto service_time = milliseconds{120};

/// Processor time in microseconds for each request at 1.5 times the capacity, with what its start, end or
/// refusal costs.
double request_us(std::size_t tenants, milliseconds timeout) {
    endpoint_gate gate;
    gate.set_slots(slots);
    time_point now{std::chrono::hours{1}};
    (void)gate.set_ready(true, now);
    std::mt19937_64 random{absl::GetFlag(FLAGS_seed)};
    std::uniform_int_distribution<std::size_t> any_tenant{1, std::max<std::size_t>(1, tenants)};
    std::multimap<time_point, std::uint64_t> running;
    const auto apply = [&](const std::vector<gate_action>& actions) {
        for (const auto& action : actions) {
            if (action.verdict == gate_verdict::start) {
                running.emplace(now + service_time, action.ticket);
            }
        }
    };
    const auto interval = std::chrono::duration_cast<duration>(service_time) * 2 / (3 * slots);
    const auto begin = std::clock();
    for (std::uint64_t ticket = 1; ticket <= requests; ++ticket) {
        now += interval;
        while (!running.empty() && running.begin()->first <= now) {
            const auto ended = running.begin()->second;
            running.erase(running.begin());
            apply(gate.finish(ended, service_time, now));
        }
        const auto target = milliseconds{400};
        apply(gate.offer({ticket, 0, target, now + target, now + timeout, false, duration{0},
                          tenants == 0 ? 0 : any_tenant(random)},
                         now));
    }
    const double seconds = static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    return seconds * 1e6 / requests;
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    for (const auto timeout : {milliseconds{1200}, milliseconds{5000}}) {
        const auto suffix = "_timeout_" + std::to_string(timeout.count()) + "ms";
        const double without = request_us(0, timeout);
        endive::print_figure("admission", "request_without_tenants" + suffix, without, "us", nullptr,
                             nullptr);
        endive::print_figure("admission", "request_with_1000_tenants" + suffix, request_us(1000, timeout),
                             "us", nullptr, without);
    }
}
