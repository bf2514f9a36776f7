// Choice of endpoints by many daemons whose knowledge of the load is old: simulated load, no network.

#include "endive/mesh.h"

#include <catch2/catch.hpp>

#include <random>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

struct fleet_result {
    int requests = 0;
    int on_time = 0;
    int waited = 0;  ///< queued at their endpoint
    int calls = 0;   ///< messages with a request, including those answered `busy`
    int reports = 0; ///< of the load of one endpoint to all daemons
};

/// Endpoints of different speeds in one failure domain and the daemons that send requests to them. A daemon
/// learns the load of an endpoint from its replies and from reports to all: one each interval, or those that
/// `load_reporter` considers due if the interval is 0.
class fleet_run {
public:
    fleet_run(double utilization, bool always_wait, duration report_interval = 200ms)
        : always_wait_{always_wait}, report_interval_{report_interval},
          known_(daemon_count, std::vector<candidate>(endpoint_count)) {
        double capacity = 0; // requests per second
        for (std::size_t i = 0; i < endpoint_count; ++i) {
            endpoints_.emplace_back();
            endpoints_.back().gate.set_slots(slots);
            (void)endpoints_.back().gate.set_ready(true, now_);
            endpoints_.back().service_time = 300ms + 400ms * i / endpoint_count;
            capacity += slots / std::chrono::duration<double>(endpoints_.back().service_time).count();
            for (auto& daemon : known_) {
                daemon[i].daemon = std::to_string(i);
                daemon[i].same_domain = true;
                daemon[i].load.slots = slots;
            }
        }
        rate_ = utilization * capacity;
    }

    fleet_result run(std::chrono::seconds length) {
        const auto end = now_ + length;
        auto next_arrival = now_;
        auto next_report = now_;
        while (now_ < end) {
            const auto completion = completions_.empty() ? time_point::max() : completions_.begin()->first;
            now_ = std::min({next_arrival, completion, next_report});
            if (now_ == completion) {
                finish();
            } else if (now_ == next_arrival) {
                send(items_.size(), random_() % daemon_count);
                next_arrival = now_ + interval();
            } else {
                for (std::size_t i = 0; i < endpoint_count; ++i) {
                    report(i);
                }
                next_report = now_ + (report_interval_ > 0ms ? report_interval_ : reporter_tick);
            }
        }
        return result_;
    }

private:
    static constexpr std::size_t endpoint_count = 20;
    static constexpr std::size_t daemon_count = 40;
    static constexpr std::uint32_t slots = 11;
    static constexpr duration target = 1500ms;
    static constexpr duration reporter_tick = 100ms;

    struct endpoint {
        endpoint_gate gate;
        load_reporter reporter;
        duration service_time{0};
    };
    struct item {
        time_point arrived;
        std::size_t daemon = 0;
        std::size_t at = 0;
        duration service_time{0};
    };

    duration interval() {
        std::exponential_distribution<double> distribution{rate_};
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(distribution(random_)));
    }

    void report(std::size_t index) {
        auto& from = endpoints_[index];
        if (report_interval_ == 0ms && !from.reporter.take_due(from.gate.load(), now_)) {
            return;
        }
        ++result_.reports;
        for (auto& daemon : known_) {
            learn(daemon[index], index);
        }
    }

    void learn(candidate& option, std::size_t index) {
        option.load = endpoints_[index].gate.load();
        option.sent_since_load = 0;
    }

    void send(std::size_t ticket, std::size_t daemon) {
        items_.push_back({now_, daemon});
        ++result_.requests;
        auto& options = known_[daemon];
        const choice_request criteria{0, target};
        for (std::size_t busy = 0;; ++busy) {
            const auto chosen = *choose_endpoint(options, criteria, random_());
            auto& to = endpoints_[chosen];
            items_[ticket].at = chosen;
            items_[ticket].service_time = random_service_time(to.service_time);
            const bool wait = always_wait_ || may_wait(options[chosen], criteria, endpoint_count, busy);
            ++result_.calls;
            ++options[chosen].sent_since_load;
            const auto actions = to.gate.offer({ticket, 0, target, now_ + target, now_ + 10s, !wait}, now_);
            if (actions.front().verdict == gate_verdict::busy) {
                learn(options[chosen], chosen);
                continue;
            }
            apply(actions);
            if (actions.back().verdict == gate_verdict::queued) {
                ++result_.waited;
            }
            return;
        }
    }

    duration random_service_time(duration mean) {
        std::lognormal_distribution<double> distribution{-0.125, 0.5};
        return std::chrono::duration_cast<duration>(distribution(random_) *
                                                    std::chrono::duration<double, std::nano>(mean));
    }

    void apply(const std::vector<gate_action>& actions) {
        for (const auto& action : actions) {
            if (action.verdict == gate_verdict::start) {
                completions_.emplace(now_ + items_[action.ticket].service_time, action.ticket);
            }
        }
    }

    void finish() {
        const auto ticket = completions_.begin()->second;
        completions_.erase(completions_.begin());
        const auto& done = items_[ticket];
        result_.on_time += now_ - done.arrived <= target ? 1 : 0;
        auto& from = endpoints_[done.at];
        apply(from.gate.finish(ticket, done.service_time, now_));
        learn(known_[done.daemon][done.at], done.at);
    }

    bool always_wait_;
    duration report_interval_;
    std::mt19937_64 random_{7};
    double rate_ = 0;
    time_point now_{std::chrono::hours{1}};
    std::vector<endpoint> endpoints_;
    std::vector<std::vector<candidate>> known_; ///< by daemon, then by endpoint
    std::vector<item> items_;
    std::multimap<time_point, std::uint64_t> completions_;
    fleet_result result_;
};

} // namespace

// Load pattern: forty daemons send to twenty endpoints that differ by a factor of two in speed. Guards
// against requests that queue at the endpoint which looked best to all at the last report, while others are
// idle.
TEST_CASE("old knowledge of the load makes few requests late") {
    const auto late_share = [](const fleet_result& result) {
        return 1.0 - result.on_time / double(result.requests);
    };
    for (const double utilization : {0.4, 0.6, 0.8}) {
        INFO("utilization " << utilization);
        const auto result = fleet_run{utilization, false}.run(30s);
        const auto current = fleet_run{utilization, false, 5ms}.run(30s);
        CHECK(late_share(result) < late_share(current) + 0.01);
        CHECK(result.waited < fleet_run{utilization, true}.run(30s).waited);
    }
}

// Load pattern: as above. Guards against reports of the load that take more of the daemons' time than the
// requests, since each goes to every daemon of the failure domain.
TEST_CASE("few reports of the load suffice") {
    const auto late_share = [](const fleet_result& result) {
        return 1.0 - result.on_time / double(result.requests);
    };
    for (const double utilization : {0.4, 0.6, 0.8}) {
        const auto regular = fleet_run{utilization, false}.run(30s);
        const auto current = fleet_run{utilization, false, 5ms}.run(30s);
        const auto selected = fleet_run{utilization, false, 0ms}.run(30s);
        CAPTURE(utilization, selected.reports, late_share(selected), late_share(current));
        CHECK(selected.reports < regular.reports / 2);
        CHECK(late_share(selected) < late_share(current) + 0.01);
    }
}

// Load pattern: requests of 90 ms, so that the load of an endpoint changes several times a second. Guards
// against refusals and waits because the others know the load of an earlier moment.
TEST_CASE("the load of an endpoint with short service times is reported soon") {
    const time_point start{std::chrono::hours{1}};
    const auto due_after = [&](duration service_time, std::uint32_t change) {
        load_reporter reporter;
        REQUIRE(reporter.take_due({0, 18, service_time, 0.3, true}, start));
        auto now = start;
        do {
            now += 100ms;
        } while (!reporter.take_due({change, 18, service_time, 0.3, true}, now));
        return now - start;
    };
    CHECK(due_after(90ms, 9) <= 200ms);
    CHECK(due_after(90ms, 4) <= 200ms);
    CHECK(due_after(500ms, 4) > 400ms);
}

// Load pattern: a quarter more requests than the endpoints can run. Guards against messages that multiply in
// an overload, when no endpoint has a free slot.
TEST_CASE("in an overload few requests are sent to several endpoints") {
    const auto result = fleet_run{1.25, false}.run(30s);
    CHECK(result.calls < 1.5 * result.requests);
}

// Guards against a rollout that misses its deadline: it completes when no endpoint of the old version has
// work left, and the last two requests of each were never reported as ended.
TEST_CASE("an endpoint that accepts no more work reports that it is idle") {
    const time_point start{std::chrono::hours{1}};
    load_reporter reporter;
    REQUIRE(reporter.take_due({2, 12, 300ms, 0.3, false}, start));
    CHECK(reporter.take_due({0, 12, 300ms, 0.3, false}, start + 100ms));
    CHECK_FALSE(reporter.take_due({0, 12, 300ms, 0.3, false}, start + 200ms));
}
