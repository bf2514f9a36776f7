#include "mesh/overload_model.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace endive::mesh::test {
namespace {

using namespace std::chrono_literals;

constexpr double service_time_sigma = 0.5; // standard deviation of the logarithm

class overload_run {
public:
    explicit overload_run(const overload_settings& settings) : settings_{settings}, random_{settings.seed} {
        gate_.set_slots(settings.slots);
        (void)gate_.set_ready(true, begin_);
        result_.tenants.resize(settings.tenants);
        for (std::size_t tenant = 0; tenant < settings.tenants; ++tenant) {
            add_arrivals(tenant);
        }
        for (auto at = begin_; at < begin_ + std::chrono::seconds{settings.seconds + 3}; at += 20ms) {
            at_time(at, [this] { apply(gate_.advance(now_)); });
        }
    }

    overload_result run() {
        while (!events_.empty()) {
            const auto next = events_.begin();
            now_ = next->first;
            const auto action = std::move(next->second);
            events_.erase(next);
            action();
        }
        return result_;
    }

private:
    struct caller {
        std::size_t tenant = 0;
        time_point arrived;
        bool returned = false;
        bool on_time_return = false;
    };

    void at_time(time_point at, std::function<void()> action) { events_.emplace(at, std::move(action)); }

    /// Arrivals at the tenant's rate, by thinning of a faster stream.
    void add_arrivals(std::size_t tenant) {
        double highest = 0;
        for (int step = 0; step < settings_.seconds * 10; ++step) {
            highest = std::max(highest, settings_.rate(tenant, step / 10.0));
        }
        std::exponential_distribution<double> gap{std::max(highest, 1e-6)};
        std::uniform_real_distribution<double> uniform;
        for (double second = gap(random_); second < settings_.seconds; second += gap(random_)) {
            if (uniform(random_) * highest < settings_.rate(tenant, second)) {
                const auto at = begin_ + from_seconds(second);
                at_time(at, [this, tenant, at] { offer({tenant, at}); });
            }
        }
    }

    static duration from_seconds(double value) {
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(value));
    }

    void offer(const caller& who) {
        auto& counts = result_.tenants[who.tenant];
        if (!who.returned) {
            ++counts.offered;
            ++result_.all.offered;
        }
        const auto ticket = ++tickets_;
        callers_[ticket] = who;
        gate_request request{ticket, 1, settings_.latency_target, who.arrived + settings_.latency_target,
                             who.arrived + settings_.timeout};
#ifndef OLD
        request.tenant = settings_.know_tenants ? who.tenant + 1 : 0;
        request.returned = settings_.remember_returns && who.on_time_return;
#endif
        apply(gate_.offer(request, now_));
    }

    void apply(const std::vector<gate_action>& actions) {
        for (const auto& action : actions) {
            if (action.verdict == gate_verdict::start) {
                std::lognormal_distribution<double> distribution{-service_time_sigma * service_time_sigma / 2,
                                                                 service_time_sigma};
                const auto time = from_seconds(distribution(random_) *
                                               std::chrono::duration<double>(settings_.service_time).count());
                at_time(now_ + time, [this, ticket = action.ticket, time] { finish(ticket, time); });
            } else if (action.verdict == gate_verdict::refused) {
                on_refused(action);
            }
        }
    }

    void on_refused(const gate_action& action) {
        auto who = callers_.at(action.ticket);
        callers_.erase(action.ticket);
        if (who.returned) {
            ++result_.all.refused_twice;
            ++result_.tenants[who.tenant].refused_twice;
            return;
        }
        if (std::uniform_real_distribution<double>{}(random_) >= settings_.retry_share) {
            return;
        }
        const auto longest = (who.arrived + settings_.timeout - now_) / 3;
        who.returned = true;
#ifdef OLD
        who.on_time_return = false;
#else
        who.on_time_return = action.reserved;
#endif
        at_time(now_ + std::min<duration>(action.retry_after, longest), [this, who] { offer(who); });
    }

    void finish(std::uint64_t ticket, duration service_time) {
        const auto who = callers_.at(ticket);
        callers_.erase(ticket);
        for (auto* counts : {&result_.all, &result_.tenants[who.tenant]}) {
            counts->served += now_ <= who.arrived + settings_.timeout ? 1 : 0;
            counts->on_time += now_ <= who.arrived + settings_.latency_target ? 1 : 0;
        }
        apply(gate_.finish(ticket, service_time, now_));
    }

    overload_settings settings_;
    std::mt19937_64 random_;
    const time_point begin_{std::chrono::hours{1}};
    time_point now_{begin_};
    endpoint_gate gate_;
    std::multimap<time_point, std::function<void()>> events_;
    std::uint64_t tickets_ = 0;
    std::map<std::uint64_t, caller> callers_;
    overload_result result_;
};

} // namespace

double overload_result::worst_tenth() const {
    std::vector<double> shares;
    for (const auto& tenant : tenants) {
        shares.push_back(tenant.served_share());
    }
    std::sort(shares.begin(), shares.end());
    const auto count = std::max<std::size_t>(1, shares.size() / 10);
    return std::accumulate(shares.begin(), shares.begin() + static_cast<std::ptrdiff_t>(count), 0.0) /
           static_cast<double>(count);
}

overload_result run_overload(const overload_settings& settings) {
    return overload_run{settings}.run();
}

} // namespace endive::mesh::test
