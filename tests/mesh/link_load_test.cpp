// Network links of the VMs under uploads: many daemons choose endpoints whose links are narrow, no network.

#include "endive/mesh.h"

#include <catch2/catch.hpp>

#include <random>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

constexpr std::int64_t link_mbps = 10;
constexpr double link_bytes_per_s = link_mbps * 1e6 / 8;
constexpr double mean_body_bytes = 60'000;
constexpr std::size_t daemons_per_domain = 20;
constexpr std::size_t domain_count = 3;
constexpr std::uint32_t slots = 12;

struct uploads {
    std::vector<std::size_t> endpoint_domains; ///< failure domain of each endpoint
    std::vector<double> rates;                 ///< uploads per second of the callers in each failure domain
};

struct links_result {
    int sent = 0;
    int crossed = 0;          ///< sent into another failure domain
    duration longest_wait{0}; ///< of a packet in the queue of a link
};

/// Uploads arrive at daemons, which send them on to endpoints. Each endpoint's VM receives through its link
/// in order of arrival. A daemon learns loads from replies, and those in its failure domain from reports.
class links_run {
public:
    explicit links_run(const uploads& settings)
        : settings_{settings}, links_(settings.endpoint_domains.size()) {
        for (std::size_t domain = 0; domain < domain_count; ++domain) {
            for (std::size_t i = 0; i < daemons_per_domain; ++i) {
                auto& known = known_.emplace_back(links_.size());
                for (std::size_t e = 0; e < links_.size(); ++e) {
                    known[e].same_domain = settings.endpoint_domains[e] == domain;
                    known[e].load.slots = slots;
                }
            }
        }
    }

    links_result run(std::chrono::seconds length) {
        const auto end = now_ + length;
        std::vector<time_point> next_upload(domain_count, now_);
        auto next_tick = now_;
        while (now_ < end) {
            const auto domain = static_cast<std::size_t>(
                std::min_element(next_upload.begin(), next_upload.end()) - next_upload.begin());
            const auto next_event = events_.empty() ? time_point::max() : events_.begin()->first;
            now_ = std::min({next_upload[domain], next_event, next_tick});
            if (now_ == next_event) {
                const auto event = events_.begin()->second;
                events_.erase(events_.begin());
                event();
            } else if (now_ == next_tick) {
                tick();
                next_tick = now_ + 100ms;
            } else {
                send(domain);
                next_upload[domain] =
                    now_ + seconds(std::exponential_distribution<double>{settings_.rates[domain]}(random_));
            }
        }
        return result_;
    }

private:
    struct link {
        link_meter meter{link_mbps};
        load_reporter reporter;
        time_point free_at{};
        std::uint64_t received = 0;
        std::uint32_t outstanding = 0;
    };

    static duration seconds(double value) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

    [[nodiscard]] endpoint_load load_of(std::size_t index) const {
        endpoint_load load;
        load.outstanding = links_[index].outstanding;
        load.slots = slots;
        load.service_time = 270ms;
        load.slowness = 0.23;
        load.link_use = links_[index].meter.use();
        return load;
    }

    /// Bytes arrive at the speed of the link: those of the body in transfer count up to now.
    [[nodiscard]] std::uint64_t received_until_now(const link& from) const {
        const auto queued = std::max(duration{0}, from.free_at - now_);
        const auto bytes = std::chrono::duration<double>(queued).count() * link_bytes_per_s;
        return from.received - std::min(from.received, static_cast<std::uint64_t>(bytes));
    }

    void tick() {
        for (std::size_t e = 0; e < links_.size(); ++e) {
            auto& from = links_[e];
            from.meter.record(received_until_now(from), now_);
            if (!from.reporter.take_due(load_of(e), now_)) {
                continue;
            }
            for (std::size_t d = 0; d < known_.size(); ++d) {
                if (settings_.endpoint_domains[e] == d / daemons_per_domain) {
                    learn(d, e);
                }
            }
        }
    }

    void learn(std::size_t daemon, std::size_t endpoint) {
        known_[daemon][endpoint].load = load_of(endpoint);
        known_[daemon][endpoint].sent_since_load = 0;
    }

    void send(std::size_t domain) {
        const auto daemon = domain * daemons_per_domain + random_() % daemons_per_domain;
        std::lognormal_distribution<double> body{std::log(mean_body_bytes) - 0.18, 0.6};
        const auto bytes = static_cast<std::size_t>(std::min(body(random_), 6 * mean_body_bytes));
        auto& options = known_[daemon];
        const auto chosen = *choose_endpoint(options, {bytes, 1200ms}, random_());
        ++options[chosen].sent_since_load;
        ++result_.sent;
        result_.crossed += settings_.endpoint_domains[chosen] == domain ? 0 : 1;
        auto& to = links_[chosen];
        to.free_at = std::max(to.free_at, now_) + seconds(static_cast<double>(bytes) / link_bytes_per_s);
        to.received += bytes;
        ++to.outstanding;
        result_.longest_wait = std::max<duration>(result_.longest_wait, to.free_at - now_);
        events_.emplace(to.free_at + 270ms, [this, daemon, chosen] {
            --links_[chosen].outstanding;
            learn(daemon, chosen);
        });
    }

    uploads settings_;
    std::vector<link> links_;
    std::vector<std::vector<candidate>> known_; ///< by daemon, then by endpoint
    std::multimap<time_point, std::function<void()>> events_;
    std::mt19937_64 random_{11};
    time_point now_{std::chrono::hours{1}};
    links_result result_;
};

/// Callers give up a connection attempt after this time: its packets wait behind the bodies.
constexpr duration connection_patience = 1s;

} // namespace

TEST_CASE("the use of a link follows the received bytes") {
    link_meter meter{link_mbps};
    time_point now{std::chrono::hours{1}};
    std::uint64_t received = 0;
    for (int i = 0; i < 30; ++i) {
        meter.record(received, now);
        now += 100ms;
        received += 62'500; // half of 10 Mbit/s
    }
    CHECK(meter.use() == Approx(0.5).margin(0.01));
    meter.record(received + 10'000'000, now);
    CHECK(meter.use() <= 1.0);
    link_meter unknown{0};
    unknown.record(0, now);
    unknown.record(10'000'000, now + 100ms);
    CHECK(unknown.use() == 0);
}

// Load pattern: a failure domain with a single endpoint left, whose link of 10 Mbit/s its callers' uploads
// exceed by 10 %; the other domains have room. Guards against a VM that takes no new connections although it
// is ready, because their packets wait in the queue of its link.
TEST_CASE("uploads go to another failure domain before they fill a link") {
    const auto result = links_run{{{0, 0, 0, 0, 1, 1, 1, 2}, {28, 22, 23}}}.run(30s);
    INFO(result.sent << " sent, " << result.crossed << " crossed");
    CHECK(result.longest_wait < connection_patience);
}

// Load pattern: three times what the only endpoint's link carries.
TEST_CASE("a link stays usable when its failure domain has three times its uploads") {
    const auto result = links_run{{{0, 0, 0, 0, 1, 1, 1, 1, 2}, {10, 10, 62}}}.run(30s);
    INFO(result.sent << " sent, " << result.crossed << " crossed");
    CHECK(result.longest_wait < connection_patience);
}

// Traffic between failure domains is billed: it is used only for what does not fit.
TEST_CASE("uploads that their failure domain's links carry stay there") {
    const auto result = links_run{{{0, 0, 0, 0, 1, 1, 1, 2, 2, 2}, {28, 22, 23}}}.run(30s);
    INFO(result.sent << " sent, " << result.crossed << " crossed");
    CHECK(result.crossed * 50 < result.sent);
}
