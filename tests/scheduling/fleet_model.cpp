#include "scheduling/fleet_model.h"

#include <algorithm>
#include <cmath>
#include <functional>
#include <random>

namespace endive::scheduling::test {
namespace {

using namespace std::chrono_literals;

const time_point begin{std::chrono::hours{1}};
constexpr duration period = 600ms;

duration scaled(duration value, double factor) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(value) * factor);
}

double seconds_of(duration value) {
    return std::chrono::duration<double>(value).count();
}

struct endpoint {
    mesh::endpoint_gate gate;
    mesh::load_reporter reporter;
    cost_model costs;
    outstanding_work work;
    pace_estimator pace;
    mesh::link_meter link{0};
    double usual_pace = 1;
    std::size_t domain = 0;
    bool restarts = false;
    time_point link_free = begin;
    std::uint64_t received_bytes = 0;
    std::map<std::uint64_t, time_point> ends; ///< of the running requests
    std::map<std::uint64_t, duration> queued; ///< actual work of the waiting ones
};

struct daemon {
    std::vector<mesh::candidate> known;
    cost_model costs;
};

struct item {
    arrival what;
    std::size_t at = 0;
    std::size_t busy_answers = 0;
    duration expected_cost{0};
    duration own_cost{0}; ///< by the endpoint's daemon
    time_point started;
    double pace_at_start = 1;
    bool served = false;
};

class fleet_run {
public:
    fleet_run(const fleet_settings& settings, const std::vector<arrival>& arrivals, choice_rule rule)
        : settings_{settings}, rule_{rule}, endpoints_(settings.endpoints), daemons_(settings.daemons) {
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            auto& to = endpoints_[i];
            to.gate.set_slots(settings.slots);
            (void)to.gate.set_ready(true, begin);
            // Neighbours in speed are in different failure domains.
            to.usual_pace = settings.min_pace + (settings.max_pace - settings.min_pace) *
                                                    static_cast<double>(i) /
                                                    static_cast<double>(endpoints_.size() - 1);
            to.domain = i % settings.domains;
            to.restarts = i % 5 == 2 && i / 5 < settings.restarting;
            to.link = mesh::link_meter{static_cast<std::int64_t>(settings.link_mbps)};
        }
        for (std::size_t d = 0; d < daemons_.size(); ++d) {
            for (std::size_t i = 0; i < endpoints_.size(); ++i) {
                mesh::candidate option;
                option.daemon = std::to_string(i);
                option.same_domain = d % settings.domains == endpoints_[i].domain;
                option.load.slots = settings.slots;
                daemons_[d].known.push_back(option);
            }
        }
        for (std::size_t i = 0; i < arrivals.size(); ++i) {
            items_.emplace_back();
            items_.back().what = arrivals[i];
            events_.emplace(arrivals[i].at, [this, i] { send(i); });
        }
        events_.emplace(begin, [this] { tick(); });
    }

    fleet_result run() {
        while (!events_.empty()) {
            auto first = events_.extract(events_.begin());
            now_ = first.key();
            first.mapped()();
        }
        fleet_result result;
        const auto total = static_cast<double>(items_.size());
        result.refused = (total - static_cast<double>(times_.size())) / total;
        // A request that is not served counts like one served at its deadline.
        for (const auto& entry : items_) {
            if (!entry.served) {
                times_.push_back(class_of(entry).deadline);
            }
        }
        std::sort(times_.begin(), times_.end());
        result.p50 = times_.at(times_.size() / 2);
        result.p99 = times_.at(times_.size() * 99 / 100);
        result.in_target = on_time_ / total;
        return result;
    }

private:
    [[nodiscard]] const request_class& class_of(const item& entry) const {
        return settings_.classes[entry.what.kind];
    }
    [[nodiscard]] cost_key key_of(const item& entry) const {
        const auto& about = class_of(entry);
        return make_cost_key("s", about.route, about.method, about.body_bytes);
    }
    [[nodiscard]] duration assumed(const item& entry) const {
        return scaled(class_of(entry).target, mesh::initial_slowness);
    }

    [[nodiscard]] bool is_cold(const endpoint& at, time_point when) const {
        const auto since = when - begin;
        return at.restarts && ((since >= 8s && since < 11s) || (since >= 16s && since < 19s));
    }
    /// Pace of an endpoint without the effect of a cold start.
    [[nodiscard]] double warm_pace(std::size_t index, time_point when) const {
        const auto number = static_cast<std::uint64_t>((when - begin) / period);
        const auto hash = stable_hash({reinterpret_cast<const char*>(&number), sizeof number},
                                      settings_.seed * 1009 + index);
        const bool slow = std::ldexp(static_cast<double>(hash), -64) < settings_.slow_share;
        return endpoints_[index].usual_pace * (slow ? settings_.slow_factor : 1);
    }
    [[nodiscard]] double actual_pace(std::size_t index, time_point when) const {
        return warm_pace(index, when) * (is_cold(endpoints_[index], when) ? 2 : 1);
    }
    [[nodiscard]] time_point end_of(std::size_t index, time_point start, duration work) const {
        auto at = start;
        while (true) {
            const auto next = begin + period * ((at - begin) / period + 1);
            const double pace = actual_pace(index, at);
            if (at + scaled(work, pace) <= next) {
                return at + scaled(work, pace);
            }
            work -= scaled(next - at, 1 / pace);
            at = next;
        }
    }

    [[nodiscard]] mesh::endpoint_load load_of(std::size_t index) {
        auto& from = endpoints_[index];
        auto result = from.gate.load();
        result.link_use = from.link.use();
        if (rule_ == choice_rule::by_cost) {
            from.pace.set_cold(is_cold(from, now_));
            result.pace = from.pace.pace(now_);
            result.work = from.work.remaining(now_, result.pace);
        }
        return result;
    }
    void learn(std::size_t daemon, std::size_t index, const mesh::endpoint_load& load) {
        auto& option = daemons_[daemon].known[index];
        option.load = load;
        option.sent_since_load = 0;
        option.work_since_load = duration{0};
    }

    void tick() {
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            auto& at = endpoints_[i];
            at.link.record(at.received_bytes, now_);
            apply(i, at.gate.advance(now_));
            const auto load = load_of(i);
            if (at.reporter.take_due(load, now_)) {
                for (std::size_t d = 0; d < daemons_.size(); ++d) {
                    if (daemons_[d].known[i].same_domain) {
                        learn(d, i, load);
                    }
                }
            }
        }
        if (now_ < begin + std::chrono::seconds{settings_.seconds + 10}) {
            events_.emplace(now_ + 100ms, [this] { tick(); });
        }
    }

    [[nodiscard]] duration transfer_time(const item& entry) const {
        return settings_.link_mbps > 0
                   ? scaled(1s, static_cast<double>(class_of(entry).body_bytes) * 8e-6 / settings_.link_mbps)
                   : duration{0};
    }

    [[nodiscard]] std::size_t best_of(const item& entry) const {
        std::size_t best = 0;
        auto least = time_point::max();
        for (std::size_t i = 0; i < endpoints_.size(); ++i) {
            const auto& at = endpoints_[i];
            const bool near = daemons_[entry.what.daemon].known[i].same_domain;
            const auto arrival =
                std::max(now_, at.link_free) + transfer_time(entry) + (near ? 300us : 1300us);
            std::vector<time_point> slots(settings_.slots, arrival);
            std::size_t used = 0;
            for (const auto& [ticket, end] : at.ends) {
                slots[used++] = std::max(arrival, end);
            }
            for (const auto& [ticket, work] : at.queued) {
                auto& next = *std::min_element(slots.begin(), slots.end());
                next = end_of(i, next, work);
            }
            const auto end = end_of(i, *std::min_element(slots.begin(), slots.end()), entry.what.work);
            if (end < least) {
                least = end;
                best = i;
            }
        }
        return best;
    }

    void send(std::size_t ticket) {
        auto& entry = items_[ticket];
        auto& from = daemons_[entry.what.daemon];
        const auto& about = class_of(entry);
        mesh::choice_request criteria{about.body_bytes, about.target};
        if (rule_ == choice_rule::by_cost) {
            const auto cost = from.costs.estimate(key_of(entry), assumed(entry));
            criteria.expected_cost = cost.samples >= 3 ? cost.mean : duration{0};
            criteria.cost_variation = cost.variation;
        }
        entry.expected_cost = criteria.expected_cost;
        entry.at = rule_ == choice_rule::full_knowledge
                       ? best_of(entry)
                       : *mesh::choose_endpoint(from.known, criteria, random_());
        auto& option = from.known[entry.at];
        const bool wait = rule_ == choice_rule::full_knowledge ||
                          mesh::may_wait(option, criteria, from.known.size(), entry.busy_answers);
        ++option.sent_since_load;
        option.work_since_load += criteria.expected_cost;
        auto& to = endpoints_[entry.at];
        const auto latency = option.same_domain ? 300us : 1300us;
        to.link_free = std::max(now_, to.link_free) + transfer_time(entry);
        to.received_bytes += about.body_bytes;
        events_.emplace(to.link_free + latency, [this, ticket, wait] { offer(ticket, wait); });
    }

    void offer(std::size_t ticket, bool wait) {
        auto& entry = items_[ticket];
        const auto& about = class_of(entry);
        auto& to = endpoints_[entry.at];
        if (rule_ == choice_rule::by_cost) {
            auto cost = to.costs.estimate(key_of(entry), assumed(entry));
            if (cost.samples < 3) {
                cost.mean = entry.expected_cost;
            }
            entry.own_cost = cost.mean;
            if (cost.mean == duration{0}) {
                cost.mean = assumed(entry);
            }
            to.work.add(ticket, cost);
            to.gate.set_pace(to.pace.pace(now_));
        }
        if (rule_ == choice_rule::full_knowledge) {
            entry.own_cost = entry.what.work;
            to.gate.set_pace(actual_pace(entry.at, now_));
        }
        to.queued[ticket] = entry.what.work;
        // Full knowledge needs no estimate of what is feasible.
        const auto deadline =
            entry.what.at + (rule_ == choice_rule::full_knowledge ? 1h : duration{about.deadline});
        apply(entry.at, to.gate.offer({ticket, 0, about.target, entry.what.at + about.target, deadline, !wait,
                                       entry.own_cost},
                                      now_));
    }

    void apply(std::size_t index, const std::vector<mesh::gate_action>& actions) {
        auto& at = endpoints_[index];
        for (const auto& action : actions) {
            auto& entry = items_[action.ticket];
            if (action.verdict == mesh::gate_verdict::start) {
                entry.started = now_;
                entry.pace_at_start = at.pace.pace(now_);
                at.work.start(action.ticket, now_);
                at.queued.erase(action.ticket);
                const auto end = end_of(index, now_, entry.what.work);
                at.ends[action.ticket] = end;
                events_.emplace(end, [this, ticket = action.ticket] { finish(ticket); });
            } else if (action.verdict != mesh::gate_verdict::queued) {
                at.work.remove(action.ticket);
                at.queued.erase(action.ticket);
                learn(entry.what.daemon, index, load_of(index));
                if (action.verdict == mesh::gate_verdict::busy) {
                    ++entry.busy_answers;
                    send(action.ticket);
                }
            }
        }
    }

    void finish(std::size_t ticket) {
        auto& entry = items_[ticket];
        auto& at = endpoints_[entry.at];
        const auto service_time = now_ - entry.started;
        at.ends.erase(ticket);
        at.work.remove(ticket);
        if (settings_.reports_pace) {
            at.pace.on_report(warm_pace(entry.at, now_), now_);
        }
        at.pace.set_cold(is_cold(at, now_));
        at.pace.on_response(entry.expected_cost, service_time);
        at.costs.record(key_of(entry), assumed(entry),
                        scaled(service_time, 1 / at.pace.mean_pace(entry.pace_at_start, now_)));
        at.gate.set_pace(at.pace.pace(now_));
        apply(entry.at, at.gate.finish(ticket, service_time, now_));
        const auto load = load_of(entry.at);
        learn(entry.what.daemon, entry.at, load);
        daemons_[entry.what.daemon].costs.record(key_of(entry), assumed(entry),
                                                 scaled(service_time, 1 / load.pace));
        entry.served = true;
        times_.push_back(now_ - entry.what.at);
        on_time_ += now_ - entry.what.at <= class_of(entry).target ? 1 : 0;
    }

    const fleet_settings& settings_;
    choice_rule rule_;
    std::vector<endpoint> endpoints_;
    std::vector<daemon> daemons_;
    std::vector<item> items_;
    std::multimap<time_point, std::function<void()>> events_;
    std::mt19937_64 random_{7};
    time_point now_{begin};
    std::vector<duration> times_;
    double on_time_ = 0;
};

} // namespace

std::vector<arrival> record_arrivals(const fleet_settings& settings) {
    double mean_work = 0;
    std::vector<double> shares;
    for (const auto& about : settings.classes) {
        mean_work += about.share * seconds_of(about.work);
        shares.push_back(about.share);
    }
    const double mean_pace =
        (settings.min_pace + settings.max_pace) / 2 * (1 + settings.slow_share * (settings.slow_factor - 1));
    const double rate = settings.utilization * static_cast<double>(settings.endpoints) * settings.slots /
                        (mean_work * mean_pace);
    std::mt19937_64 random{settings.seed};
    std::exponential_distribution<double> interval{rate * (1 + settings.swing)};
    std::lognormal_distribution<double> spread{-0.06, 0.35};
    std::discrete_distribution<std::size_t> kinds{shares.begin(), shares.end()};
    std::uniform_real_distribution<double> uniform;
    std::vector<arrival> result;
    double at = 0;
    while ((at += interval(random)) < settings.seconds) {
        const auto from = random() % settings.daemons;
        const auto kind = kinds(random);
        const double factor = uniform(random) < 1.0 / 33 ? 7 : spread(random);
        const double kept = uniform(random);
        const double phase = settings.moves ? static_cast<double>(from % settings.domains) /
                                                  static_cast<double>(settings.domains)
                                            : 0;
        const double demand = 1 + settings.swing * std::sin(6.2832 * (at / 13 + phase));
        if (kept * (1 + settings.swing) <= demand) {
            result.push_back({begin + scaled(1s, at), from, kind,
                              scaled(settings.classes[kind].work, factor / (1 + 6.0 / 33))});
        }
    }
    return result;
}

fleet_result run_fleet(const fleet_settings& settings, const std::vector<arrival>& arrivals,
                       choice_rule rule) {
    return fleet_run{settings, arrivals, rule}.run();
}

} // namespace endive::scheduling::test
