// Bytes of the quota exchange at 300 daemons and 1,000 tenants, and its growth with tenants and daemons. The
// naive baseline is one ask and one answer for each request.

#include "bench_report.h"
#include "sidecar/messages.h"

#include "../tests/tenants/quota_fleet.h"

#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random generator");

using namespace endive;
using namespace endive::tenants;
using namespace std::chrono_literals;

namespace {

constexpr double requests_per_s = 2500; // over the whole fleet
constexpr double measured_s = 4;

/// Tenants of very different size: the demand of each falls with its rank.
std::vector<mesh::tenant> make_tenants(std::size_t count) {
    double sum = 0;
    for (std::size_t i = 1; i <= count; ++i) {
        sum += 1 / static_cast<double>(i);
    }
    std::vector<mesh::tenant> result;
    for (std::size_t i = 1; i <= count; ++i) {
        const double rate = 1.6 * requests_per_s / sum / static_cast<double>(i);
        result.push_back({"tenant-" + std::to_string(i), {}, {}, rate, std::max(1.0, rate)});
    }
    return result;
}

std::size_t frame_size(const std::vector<quota_ask>& entries) {
    sidecar::quota_message message{1, false, 1, {}};
    for (const auto& entry : entries) {
        message.entries.push_back({entry.tenant, entry.tokens, entry.returned, milliseconds{0}, entry.spent});
    }
    if (entries.empty()) {
        message.grant = quota_grant{1, 2, milliseconds{100}, 300};
    }
    return encode(message).size();
}

void measure(std::size_t daemons, std::size_t tenant_count) {
    const auto tenants = make_tenants(tenant_count);
    test::quota_fleet fleet{{daemons, tenants}};
    fleet.run(3s);
    std::vector<double> sent(daemons);
    std::uint64_t messages = 0;
    fleet.on_message = [&](std::size_t from, std::size_t, const std::vector<quota_ask>& entries) {
        sent[from] += static_cast<double>(frame_size(entries));
        ++messages;
    };
    for (const auto& tenant : tenants) {
        fleet.load(tenant.name, tenant.rate_per_s / 1.6, std::chrono::seconds{static_cast<int>(measured_s)});
    }
    fleet.run(std::chrono::seconds{static_cast<int>(measured_s)});
    double total = 0;
    for (auto& bytes : sent) {
        bytes /= measured_s;
        total += bytes;
    }
    const auto size = std::to_string(daemons) + " daemons, " + std::to_string(tenant_count) + " tenants";
    const double naive = 2 * requests_per_s * static_cast<double>(frame_size({{"tenant-100", 1, 1, 0}}));
    print_figure("quota", "sent per daemon, " + size, total / static_cast<double>(daemons), "bytes/s",
                 nullptr, naive / static_cast<double>(daemons));
    print_figure("quota", "sent by the busiest coordinator, " + size,
                 *std::max_element(sent.begin(), sent.end()), "bytes/s");
    print_figure("quota", "messages of all daemons, " + size, static_cast<double>(messages) / measured_s,
                 "1/s", nullptr, 2 * requests_per_s);
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    measure(63, 74);
    measure(300, 74);
    measure(300, 1000);
}
