#pragma once
// Control nodes connected by an in-memory network that delays, drops, duplicates and reorders messages, on a
// simulated clock.

#include "fake_platform.h"

#include <algorithm>

namespace endive::distribution::test {

struct network_faults {
    double lost = 0;
    double duplicated = 0;
    std::uint64_t max_delay_ms = 150;
};

class fleet {
public:
    fleet(std::uint64_t seed, std::size_t count, fault_injection faults = {})
        : random{seed}, platform{random}, faults_{faults}, nodes_(count), applied_(count), ready_(count),
          paused_until_(count) {}

    random_source random;
    fake_platform platform;
    network_faults network;
    time_point now = origin;
    std::vector<submit_finished> finished;
    std::uint64_t reversals = 0; ///< applied versions not newer than the one before in the same run
    std::map<std::uint64_t, member_id> owners;
    std::uint64_t shared_epochs = 0;
    std::vector<counter_vector> evidence;

    [[nodiscard]] control_node* at(std::size_t index) { return nodes_.at(index).get(); }
    [[nodiscard]] bool ready(std::size_t index) const { return ready_.at(index); }
    [[nodiscard]] std::size_t size() const { return nodes_.size(); }

    void start(std::size_t index) {
        node_settings settings;
        settings.id = address_of(index);
        settings.failure_domain = "d1";
        settings.seeds = {address_of(0), address_of(1)};
        settings.incarnation = static_cast<std::uint64_t>((now - origin) / 1ms) + 1;
        settings.seed = random.next();
        nodes_.at(index) = std::make_unique<control_node>(settings, faults_);
        applied_.at(index) = 0;
        ready_.at(index) = false;
    }

    void kill(std::size_t index) {
        nodes_.at(index).reset();
        for (auto link = links_.begin(); link != links_.end();) {
            const auto affected = link->first == index || link->second == index;
            if (affected) {
                post_down(link->first, link->second);
                post_down(link->second, link->first);
            }
            link = affected ? links_.erase(link) : std::next(link);
        }
    }

    void pause(std::size_t index, milliseconds time) { paused_until_.at(index) = now + time; }
    void cut(std::size_t left, std::size_t right) { cuts_.insert(std::minmax(left, right)); }
    void heal() { cuts_.clear(); }

    void inject(std::size_t index, event input) {
        if (!nodes_.at(index)) {
            return;
        }
        for (auto& item : nodes_.at(index)->handle(now, std::move(input))) {
            execute(index, item);
        }
    }

    /// Advances the clock by 200 ms, delivers due events in random order, then sends each daemon a tick.
    void step() {
        now += 200ms;
        deliver();
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (now >= paused_until_.at(index)) {
                inject(index, tick{wall_time{24h} + milliseconds{(now - origin) / 1ms}});
            }
        }
    }

    void run(duration time) {
        for (const auto end = now + time; now < end;) {
            step();
        }
    }

    /// Whether all daemons run, are ready and confirmed, know each other and have equal versions and records.
    [[nodiscard]] bool converged() const {
        const auto& first = nodes_.front();
        return std::ranges::all_of(nodes_, [&](const auto& node) {
            return node && node->config().ready && node->config().confirmed &&
                   node->config().digest == first->config().digest && node->live_members() == nodes_.size() &&
                   node->records() == first->records();
        });
    }

private:
    struct delivery {
        time_point due;
        std::size_t to = 0;
        event content;
    };

    std::optional<std::size_t> index_of(const member_id& id) const {
        for (std::size_t index = 0; index < nodes_.size(); ++index) {
            if (address_of(index) == id) {
                return index;
            }
        }
        return {};
    }

    void post(std::size_t to, event content) {
        const auto delay = milliseconds{random.below(network.max_delay_ms + 1)};
        queue_.push_back({now + delay, to, std::move(content)});
    }

    void post_down(std::size_t to, std::size_t other) { post(to, link_down{address_of(other)}); }

    void deliver() {
        std::vector<delivery> due;
        std::vector<delivery> rest;
        for (auto& item : queue_) {
            const auto ready = item.due <= now && now >= paused_until_.at(item.to);
            (ready ? due : rest).push_back(std::move(item));
        }
        queue_ = std::move(rest);
        while (!due.empty()) {
            std::swap(due.at(random.below(due.size())), due.back());
            auto item = std::move(due.back());
            due.pop_back();
            inject(item.to, std::move(item.content));
        }
    }

    void execute(std::size_t from, action& item) {
        if (auto answer = platform.execute(item)) {
            post(from, std::move(*answer));
        } else if (auto* dial = std::get_if<dial_member>(&item)) {
            connect(from, dial->member);
        } else if (auto* close = std::get_if<close_link>(&item)) {
            const auto to = *index_of(close->member);
            links_.erase(std::minmax(from, to));
            post_down(from, to);
            post_down(to, from);
        } else if (auto* message = std::get_if<send_message>(&item)) {
            transmit(from, *message);
        } else {
            observe(from, item);
        }
    }

    void connect(std::size_t from, const member_id& member) {
        const auto to = index_of(member);
        if (!to || !nodes_.at(*to) || cuts_.contains(std::minmax(from, *to))) {
            post(from, link_down{member});
            return;
        }
        links_.insert(std::minmax(from, *to));
        inject(*to, link_up{address_of(from), nodes_.at(from)->incarnation(), false});
        post(from, link_up{member, nodes_.at(*to)->incarnation(), true});
    }

    void transmit(std::size_t from, const send_message& sent) {
        const auto to = index_of(sent.to);
        if (!to || !links_.contains(std::minmax(from, *to)) || cuts_.contains(std::minmax(from, *to)) ||
            random.unit() < network.lost) {
            return;
        }
        post(*to, message_received{address_of(from), sent.content});
        if (random.unit() < network.duplicated) {
            post(*to, message_received{address_of(from), sent.content});
        }
    }

    void observe(std::size_t from, const action& item) {
        if (const auto* apply = std::get_if<apply_snapshot>(&item)) {
            reversals += apply->table->version() <= applied_.at(from) ? 1 : 0;
            applied_.at(from) = apply->table->version();
        } else if (const auto* done = std::get_if<submit_finished>(&item)) {
            finished.push_back(*done);
        } else if (const auto* change = std::get_if<ready_changed>(&item)) {
            ready_.at(from) = change->ready;
        } else if (const auto* owner = std::get_if<became_owner>(&item)) {
            const auto [kept, added] = owners.try_emplace(owner->epoch, address_of(from));
            shared_epochs += !added && kept->second != address_of(from) ? 1 : 0;
        } else if (const auto* sum = std::get_if<evidence_collected>(&item)) {
            evidence.insert(evidence.end(), sum->increments.begin(), sum->increments.end());
        }
    }

    fault_injection faults_;
    std::vector<std::unique_ptr<control_node>> nodes_;
    std::vector<std::uint64_t> applied_;
    std::vector<bool> ready_;
    std::vector<time_point> paused_until_;
    std::set<std::pair<std::size_t, std::size_t>> links_;
    std::set<std::pair<std::size_t, std::size_t>> cuts_;
    std::vector<delivery> queue_;
};

} // namespace endive::distribution::test
