#pragma once
/// Simulation of one move; see moves_fleet.h.

#include "moves_fleet.h"

namespace endive::moves_bench {

class simulation {
public:
    simulation(const scenario& s, const controller& decider)
        : s_{s}, controller_{decider}, random_{s.seed ^ 0xABCDEF} {
        build_snapshot();
        start_fleet();
    }

    outcome run() {
        result_.kind = s_.kind;
        result_.granite_hearth = s_.granite_hearth;
        result_.planned_requests = s_.rate * static_cast<double>(s_.daemons) * s_.deadline;
        for (std::uint64_t tick = 0; !finished(); ++tick) {
            t_ = static_cast<double>(tick) * tick_seconds;
            step(tick);
        }
        return result_;
    }

private:
    struct daemon_state {
        explicit daemon_state(const std::string& id) : guard{id} {}
        moves::evidence_collector collector;
        moves::local_guard guard;
        moves::split_table splits;
        std::array<double, 2> new_share{0, 0}; ///< idempotent, non-idempotent
        std::array<int, 2> refused{0, 0};      ///< connection failures of the current churn window, by side
        std::size_t report_tick = 0;
        std::size_t depth = 1;
    };
    struct pending_record {
        double at = 0;
        std::size_t daemon = 0;
        moves::record value;
        bool operator<(const pending_record& other) const { return at > other.at; }
    };
    struct pending_report {
        double at = 0;
        moves::counter_map counters;
        bool operator<(const pending_report& other) const { return at > other.at; }
    };
    struct pending_observation {
        double at = 0;
        std::size_t daemon = 0;
        std::size_t route = 0;
        model::call_observation value;
    };

    [[nodiscard]] time_point now() const {
        return time_point{std::chrono::hours{1}} + std::chrono::duration_cast<duration>(seconds(t_));
    }
    [[nodiscard]] wall_time wall() const {
        return from_unix_ms(1'800'000'000'000 + static_cast<std::int64_t>(t_ * 1000));
    }
    static std::chrono::duration<double> seconds(double value) {
        return std::chrono::duration<double>{value};
    }
    double uniform(double low, double high) {
        return std::uniform_real_distribution<double>{low, high}(random_);
    }
    bool chance(double p) { return uniform(0, 1) < p; }

    void build_snapshot() {
        model::team_part part;
        part.team = s_.granite_hearth ? "hearth" : "sciacca";
        part.weights = s_.granite_hearth ? model::measure_weights{20, 20, 50, 10}
                                         : model::measure_weights{35, 35, 20, 10};
        model::service service;
        service.name = "svc";
        service.team = part.team;
        service.releases = {{"v1"}, {"v2"}};
        service.stable_version = "v1";
        part.services = {service};
        for (std::size_t i = 0; i < route_count; ++i) {
            model::route route;
            route.name = route_names[i];
            route.service = "svc";
            route.idempotent = route_idempotent[i];
            part.routes.push_back(route);
        }
        const auto deadline = to_unix_ms(wall()) + static_cast<std::int64_t>(s_.deadline * 1000);
        part.moves = {{"svc:v2", part.team, "svc", "v1", "v2", deadline}};
        weights_[part.team] = part.weights;
        snapshot_.version = 1;
        snapshot_.parts = {part};
    }

    [[nodiscard]] const std::vector<model::version_move>& configured() const {
        return snapshot_.parts.front().moves;
    }

    [[nodiscard]] moves::decision_settings settings() const {
        auto settings = moves::settings_for(snapshot_.parts.front().weights);
        settings.rule = *controller_.rule;
        return settings;
    }

    void start_fleet() {
        daemons_.clear();
        records_ = {};
        reports_ = {};
        pending_observations_.clear();
        for (std::size_t i = 0; i < s_.daemons; ++i) {
            auto& daemon = daemons_.emplace_back("10.0.0." + std::to_string(i) + ":7000");
            daemon.collector.set_moves(configured());
            if (controller_.rule) {
                daemon.guard.override_settings(settings());
            }
            daemon.guard.set_moves(configured(), weights_);
            daemon.splits.set_snapshot(snapshot_);
            daemon.report_tick = random_() % 10;
            daemon.depth = i == 0 ? 0 : (i <= config::report_fanout ? 1 : 2);
        }
        start_owner();
    }

    void start_owner() {
        machine_ = std::make_unique<moves::move_machine>("10.0.0.0:7000");
        if (controller_.rule) {
            machine_->override_settings(settings());
        }
        execute(machine_->on_configuration(snapshot_, now(), wall()));
    }

    void step(std::uint64_t tick) {
        const bool down = s_.restart && s_.restart->contains(t_);
        if (down && !was_down_) {
            start_fleet();
        }
        was_down_ = down;
        if (down) {
            return;
        }
        burst_ =
            std::any_of(s_.bursts.begin(), s_.bursts.end(), [&](const window& w) { return w.contains(t_); });
        update_churn();
        renew_lease();
        deliver();
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            generate(i);
            after_requests(i, tick);
        }
        if (tick % 10 == 9) {
            collect_reports();
        }
        if (controller_.rule) {
            execute(machine_->on_tick(now(), wall()));
        }
        record_state();
    }

    [[nodiscard]] bool store_available() const { return !(s_.outage && s_.outage->contains(t_)); }

    void renew_lease() {
        if (!controller_.rule || !store_available() || t_ < next_renewal_) {
            return;
        }
        const bool expired = t_ >= lease_until_;
        const bool same_process = !s_.restart || t_ < s_.restart->begin || lease_after_restart_;
        if (!expired && !same_process) {
            return; // the lease of the process before the restart has not expired
        }
        epoch_ += expired ? 1 : 0;
        lease_after_restart_ = s_.restart && t_ >= s_.restart->end;
        lease_until_ = t_ + 10;
        next_renewal_ = t_ + 3;
        const moves::lease_state lease{true, epoch_, now() + 10s};
        execute(machine_->on_lease(lease, now(), wall()));
    }

    void update_churn() {
        for (std::size_t side = 0; side < 2; ++side) {
            const bool was = churning_[side];
            churning_[side] = std::any_of(s_.churn.begin(), s_.churn.end(), [&](const churn_window& w) {
                return w.side == side && w.when.contains(t_);
            });
            if (churning_[side] && !was) {
                for (auto& daemon : daemons_) {
                    daemon.refused[side] = 0;
                }
            }
        }
    }

    void deliver() {
        while (!records_.empty() && records_.top().at <= t_) {
            const auto due = records_.top();
            records_.pop();
            auto& daemon = daemons_[due.daemon];
            daemon.guard.on_record(due.value);
            if (daemon.splits.on_record(due.value)) {
                refresh_shares(daemon);
            }
            if (due.daemon == 0 && controller_.rule) {
                execute(machine_->on_record(due.value, now(), wall()));
            }
        }
        std::erase_if(pending_observations_, [&](const pending_observation& due) {
            if (due.at > t_) {
                return false;
            }
            daemons_[due.daemon].collector.add(due.value);
            if (!due.value.cold) {
                update_informed_observer(due.value, 0);
                update_uninformed_observer(due.value, due.route, 0);
            }
            return true;
        });
    }

    void refresh_shares(daemon_state& daemon) const {
        const auto split = daemon.splits.splits().front();
        const auto share_of = [](const std::vector<model::version_share>& shares) {
            for (const auto& entry : shares) {
                if (entry.version == "v2") {
                    return entry.share;
                }
            }
            return 0.0;
        };
        daemon.new_share = {share_of(split.shares), share_of(split.non_idempotent_shares)};
    }

    [[nodiscard]] bool fault_active(std::size_t route) const {
        if (s_.kind == fault::none || t_ < s_.onset) {
            return false;
        }
        if (s_.kind == fault::under_load) {
            return burst_;
        }
        return s_.kind != fault::one_route || route == s_.fault_route;
    }

    [[nodiscard]] bool is_cold(std::size_t side) const {
        const bool restarted = s_.restart && t_ >= s_.restart->end && t_ < s_.restart->end + 5;
        return restarted || (side == 1 && s_.cold.contains(t_));
    }

    void generate(std::size_t index) {
        auto& daemon = daemons_[index];
        const double mean = s_.rate * (burst_ ? 1.5 : 1.0) * tick_seconds;
        const int count = std::poisson_distribution<int>{mean}(random_);
        for (int i = 0; i < count; ++i) {
            const double pick = uniform(0, 1);
            std::size_t route = 0;
            for (double sum = route_parts[0]; pick >= sum && route + 1 < route_count;
                 sum += route_parts[route]) {
                ++route;
            }
            const double share = daemon.new_share[route_idempotent[route] ? 0 : 1];
            request(index, route, share > 0 && chance(share) ? 1 : 0);
        }
    }

    void request(std::size_t index, std::size_t route, std::size_t side) {
        ++result_.total_requests;
        if (side == 1 && s_.kind != fault::none && t_ >= s_.onset) {
            ++result_.bad_requests;
            result_.last_bad_request = t_;
        }
        model::call_observation call;
        call.service = "svc";
        call.version = side == 0 ? "v1" : "v2";
        call.route = route_names[route];
        call.idempotent = route_idempotent[route];
        if (burst_ && chance(0.03)) {
            call.outcome = model::call_outcome::shed;
            daemons_[index].collector.add(call);
            return;
        }
        const bool faulty = side == 1 && fault_active(route);
        const bool cold = is_cold(side);
        call.cold = cold && chance(0.95);
        const double ms = latency(side, faulty, cold);
        call.latency = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>{ms});
        if (refuses(index, side, faulty)) {
            call.outcome = model::call_outcome::connection_failed;
        } else if (chance(failure_probability(side, faulty, cold))) {
            call.outcome = faulty && s_.kind == fault::hangs ? model::call_outcome::timeout
                                                             : model::call_outcome::server_error;
        }
        if (call.outcome == model::call_outcome::timeout) {
            pending_observations_.push_back({t_ + timeout_seconds, index, route, call});
            return;
        }
        daemons_[index].collector.add(call);
        if (faulty && !cold) {
            update_informed_observer(call, ms);
        }
        if (side == 1 && !cold && t_ >= s_.onset) {
            update_uninformed_observer(call, route, ms);
        }
    }

    double latency(std::size_t side, bool faulty, bool cold) {
        const double factor = (side == 1 ? s_.new_latency : 1) * (burst_ ? s_.burst_latency : 1) *
                              (faulty ? s_.fault_slowness : 1) * (cold ? 3 : 1);
        return latency_median_ms * factor * std::lognormal_distribution<double>{0, latency_sigma}(random_);
    }

    [[nodiscard]] double failure_probability(std::size_t side, bool faulty, bool cold) const {
        const double base = s_.failure_rate * (side == 1 ? s_.new_failures : 1);
        const double added = (burst_ ? s_.burst_failures : 0) + (cold ? 0.05 : 0);
        return std::min(1.0, base + added + (faulty ? s_.fault_failures : 0));
    }

    bool refuses(std::size_t index, std::size_t side, bool faulty) {
        if (faulty && s_.kind == fault::refuses_connections) {
            return true;
        }
        auto& refused = daemons_[index].refused[side];
        // A daemon ejects an endpoint after two refused connections.
        if (!churning_[side] || refused >= 2 || !chance(1.0 / static_cast<double>(s_.endpoints))) {
            return false;
        }
        ++refused;
        return true;
    }

    /// Updates the likelihood ratio of an observer that knows both versions' true rates, the fault and its
    /// onset.
    void update_informed_observer(const model::call_observation& call, double ms) {
        using model::call_outcome;
        if (result_.detectable_at >= 0 || s_.kind == fault::none) {
            return;
        }
        const double good = failure_probability(1, false, false);
        const double bad = failure_probability(1, true, false);
        if (call.outcome == call_outcome::connection_failed) {
            log_ratio_ += s_.kind == fault::refuses_connections ? -std::log(s_.failure_rate) : 0;
        } else if (call.outcome != call_outcome::success) {
            log_ratio_ += std::log(bad / good);
        } else {
            log_ratio_ += s_.fault_failures > 0 ? std::log((1 - bad + 1e-9) / (1 - good)) : 0;
            const double shift = std::log(s_.fault_slowness);
            const double x =
                std::log(ms / (latency_median_ms * s_.new_latency * (burst_ ? s_.burst_latency : 1)));
            log_ratio_ += (x * x - (x - shift) * (x - shift)) / (2 * latency_sigma * latency_sigma);
        }
        if (log_ratio_ >= detectable_log_ratio) {
            result_.detectable_at = t_;
        }
    }

    void update_uninformed_observer(const model::call_observation& call, std::size_t route, double ms) {
        if (result_.uninformed_detectable_at >= 0 || s_.kind == fault::none) {
            return;
        }
        std::optional<double> shift;
        if (call.outcome == model::call_outcome::success) {
            shift = std::log(ms / (latency_median_ms * s_.new_latency * (burst_ ? s_.burst_latency : 1)));
        }
        if (observer_.add(route, failure_probability(1, false, false), shift)) {
            result_.uninformed_detectable_at = t_;
        }
    }

    void after_requests(std::size_t index, std::uint64_t tick) {
        auto& daemon = daemons_[index];
        if (controller_.rule) {
            for (const auto& hold :
                 daemon.guard.on_evidence(daemon.collector.take_local_evidence(), tick_seconds, wall())) {
                flood(hold, index);
            }
        }
        if (tick % 10 != daemon.report_tick) {
            return;
        }
        // Each daemon on the path to the root forwards a report with its own next report, once per second.
        double delay = daemon.depth == 0 ? 0 : 0.02;
        for (std::size_t level = 1; level < daemon.depth; ++level) {
            delay += uniform(0.02, 1.02);
        }
        reports_.push({t_ + delay, daemon.collector.take_increments()});
    }

    void flood(const moves::record& value, std::size_t from) {
        for (std::size_t i = 0; i < daemons_.size(); ++i) {
            records_.push({i == from ? t_ : t_ + uniform(0.02, 0.15), i, value});
        }
        // The sender applies its own record before its next request.
        if (daemons_[from].splits.on_record(value)) {
            refresh_shares(daemons_[from]);
        }
    }

    void collect_reports() {
        moves::counter_map sum;
        while (!reports_.empty() && reports_.top().at <= t_) {
            moves::add_counters(sum, reports_.top().counters);
            reports_.pop();
        }
        if (controller_.rule) {
            execute(machine_->on_evidence(sum, now(), wall()));
            return;
        }
        moves::move_row base;
        base.id = "svc:v2";
        base.service = "svc";
        base.from = "v1";
        base.to = "v2";
        execute(naive_.on_evidence(sum, t_, base));
    }

    void execute(const moves::actions& list) {
        for (const auto& action : list) {
            if (const auto* write = std::get_if<moves::write_row>(&action)) {
                const auto done = table_.put(*write, store_available(), chance(0.02));
                execute(machine_->on_write_result(write->move_id, write->write_id, done.status, done.etag,
                                                  now(), wall()));
            } else if (const auto* read = std::get_if<moves::read_row>(&action)) {
                if (store_available()) {
                    execute(machine_->on_row(read->move_id, table_.get(read->key), now(), wall()));
                }
            } else if (std::holds_alternative<moves::list_rows>(action)) {
                if (store_available()) {
                    execute(machine_->on_rows(table_.list(), now(), wall()));
                }
            } else if (const auto* publish = std::get_if<moves::publish>(&action)) {
                flood(publish->value, 0);
            } else if (const auto* event = std::get_if<moves::report_event>(&action)) {
                result_.holds_released += event->event == "move_hold_released" ? 1 : 0;
            }
        }
    }

    void record_state() {
        const auto row = controller_.rule ? machine_->rows().front() : naive_.row();
        if (row.state == moves::move_state::taken_back && !result_.taken_back) {
            result_.taken_back = true;
            result_.reason = row.reason;
            taken_back_at_ = t_;
        }
        if (row.share >= 1 && result_.completed_at == 0) {
            result_.completed_at = t_;
            result_.completed_on_time = t_ <= s_.deadline;
        }
    }

    [[nodiscard]] bool finished() const {
        constexpr double observed_seconds = 30;
        if (result_.taken_back) {
            return t_ > taken_back_at_ + 3;
        }
        if (s_.kind == fault::none) {
            return (result_.completed_at > 0 && t_ > result_.completed_at + observed_seconds) ||
                   t_ > s_.deadline + 5;
        }
        const double give_up_at = std::max(result_.completed_at, s_.onset) + 100;
        return t_ > s_.deadline + 5 || (result_.completed_at > 0 && t_ > give_up_at);
    }

    scenario s_;
    controller controller_;
    std::mt19937_64 random_;
    double t_ = 0;
    bool burst_ = false;
    bool was_down_ = false;
    std::array<bool, 2> churning_{false, false};
    double lease_until_ = 0;
    double next_renewal_ = 0;
    bool lease_after_restart_ = false;
    std::uint64_t epoch_ = 0;
    double log_ratio_ = 0;
    double taken_back_at_ = 0;
    model::snapshot snapshot_;
    std::map<std::string, model::measure_weights> weights_;
    std::vector<daemon_state> daemons_;
    std::priority_queue<pending_record> records_;
    std::priority_queue<pending_report> reports_;
    std::vector<pending_observation> pending_observations_;
    std::unique_ptr<moves::move_machine> machine_;
    naive_owner naive_;
    uninformed_observer observer_;
    simulated_table table_;
    outcome result_;
};

inline outcome simulate(const scenario& s, const controller& decider) {
    return simulation{s, decider}.run();
}

} // namespace endive::moves_bench
