#include "mesh/load_model.h"

#include <algorithm>

namespace endive::mesh::test {
namespace {

using namespace std::chrono_literals;

constexpr double service_time_sigma = 0.5; // standard deviation of the logarithm

class load_run {
public:
    explicit load_run(const load_settings& settings)
        : settings_{settings}, random_{settings.seed}, hops_{settings.first_hops} {
        gate_.set_slots(settings.slots);
        (void)gate_.set_ready(true, now_);
    }

    load_result run() {
        const auto end = begin_ + std::chrono::seconds{settings_.seconds};
        auto next_arrival = now_;
        auto next_short = settings_.short_rate > 0 ? now_ : time_point::max();
        auto next_tick = now_;
        while (now_ < end || !completions_.empty()) {
            const auto next_completion =
                completions_.empty() ? time_point::max() : completions_.begin()->first;
            const auto arrival = next_arrival < end ? next_arrival : time_point::max();
            const auto short_arrival = next_short < end ? next_short : time_point::max();
            now_ = std::min({arrival, short_arrival, next_completion, next_tick});
            if (now_ == next_completion) {
                finish();
            } else if (now_ == arrival) {
                arrive(false);
                next_arrival = now_ + arrival_interval();
            } else if (now_ == short_arrival) {
                arrive(true);
                next_short = now_ + random_interval(settings_.short_rate);
            } else {
                apply(gate_.advance(now_));
                next_tick = now_ + 20ms;
            }
        }
        if (!refusal_waits_.empty()) {
            const auto middle =
                refusal_waits_.begin() + static_cast<std::ptrdiff_t>(refusal_waits_.size() / 2);
            std::nth_element(refusal_waits_.begin(), middle, refusal_waits_.end());
            result_.median_refusal_wait = std::chrono::duration_cast<milliseconds>(*middle);
        }
        return result_;
    }

private:
    struct item {
        gate_request request;
        time_point arrived;
        duration service_time{0};
        bool is_short = false;
        std::size_t hop = 0;
    };

    [[nodiscard]] static admission_criteria criteria_of(const gate_request& request, time_point now) {
        return {request.priority, request.latency_target, request.deadline - now,
                now + request.latency_target - request.target};
    }

    duration random_interval(double rate) {
        std::exponential_distribution<double> distribution{rate};
        return std::chrono::duration_cast<duration>(std::chrono::duration<double>(distribution(random_)));
    }

    duration arrival_interval() {
        const bool burst = settings_.burst_length > 0ms &&
                           (now_ - begin_) % duration{settings_.burst_every} < settings_.burst_length;
        return random_interval(settings_.rate * (burst ? settings_.burst_factor : 1));
    }

    duration random_service_time(milliseconds mean) {
        std::lognormal_distribution<double> distribution{-service_time_sigma * service_time_sigma / 2,
                                                         service_time_sigma};
        return std::chrono::duration_cast<duration>(distribution(random_) *
                                                    std::chrono::duration<double>(mean));
    }

    void arrive(bool is_short) {
        const auto ticket = ++tickets_;
        const bool urgent = std::uniform_real_distribution<double>{}(random_) < settings_.urgent_share;
        item entry;
        const auto target = is_short ? settings_.short_target : settings_.latency_target;
        const auto deadline = is_short ? settings_.short_deadline : settings_.deadline;
        entry.request = {ticket, urgent ? 1U : 2U, target, now_ + target, now_ + deadline};
        if (std::uniform_real_distribution<double>{}(random_) < settings_.retried_share) {
            entry.request.target = now_ - target;
        }
        entry.arrived = now_;
        entry.service_time =
            random_service_time(is_short ? settings_.short_service_time : settings_.service_time);
        entry.is_short = is_short;
        result_.short_offered += is_short ? 1 : 0;
        if (!hops_.empty()) {
            entry.hop = std::uniform_int_distribution<std::size_t>{0, hops_.size() - 1}(random_);
            if (hops_[entry.hop].expected_refusal(criteria_of(entry.request, now_), now_)) {
                ++result_.refused;
                ++result_.not_sent;
                return;
            }
        }
        items_[ticket] = entry;
        result_.urgent_offered += urgent ? 1 : 0;
        apply(gate_.offer(entry.request, now_));
    }

    void apply(const std::vector<gate_action>& actions) {
        for (const auto& action : actions) {
            const auto found = items_.find(action.ticket);
            if (action.verdict == gate_verdict::start) {
                completions_.emplace(now_ + found->second.service_time, action.ticket);
            } else if (action.verdict == gate_verdict::refused) {
                ++result_.refused;
                if (!hops_.empty()) {
                    hops_[found->second.hop].on_refused(criteria_of(found->second.request, now_),
                                                        action.retry_after, now_);
                }
                refusal_waits_.push_back(now_ - found->second.arrived);
                items_.erase(found);
            }
        }
    }

    void finish() {
        const auto ticket = completions_.begin()->second;
        completions_.erase(completions_.begin());
        const auto entry = items_.at(ticket);
        items_.erase(ticket);
        const bool served = now_ <= entry.request.deadline;
        (now_ <= entry.request.target ? result_.on_time : served ? result_.late : result_.failed) += 1;
        result_.short_served += served && entry.is_short ? 1 : 0;
        result_.urgent_served += served && entry.request.priority == 1 ? 1 : 0;
        apply(gate_.finish(ticket, entry.service_time, now_));
    }

    load_settings settings_;
    std::mt19937_64 random_;
    const time_point begin_{std::chrono::hours{1}};
    time_point now_{begin_};
    std::vector<refusal_cache> hops_;
    endpoint_gate gate_;
    std::uint64_t tickets_ = 0;
    std::map<std::uint64_t, item> items_;
    std::multimap<time_point, std::uint64_t> completions_;
    std::vector<duration> refusal_waits_;
    load_result result_;
};

} // namespace

load_result run_load(const load_settings& settings) {
    return load_run{settings}.run();
}

} // namespace endive::mesh::test
