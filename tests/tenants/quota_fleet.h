#pragma once
// A fleet of the quota classes that exchange delayed messages, for tests and benchmarks. It simulates neither
// links nor endpoints.

#include "endive/tenants.h"

#include <algorithm>
#include <functional>
#include <queue>
#include <random>

namespace endive::tenants::test {

using namespace std::chrono_literals;

struct fleet_options {
    std::size_t daemons = 63;
    std::vector<mesh::tenant> tenants;
    duration delay = 1ms; ///< one way, at least
    duration jitter = 1ms;
};

/// What became of the requests of one tenant.
struct tenant_record {
    std::vector<time_point> admitted;
    std::uint64_t refused = 0;
    std::uint64_t waited = 0;
};

class quota_fleet {
public:
    explicit quota_fleet(fleet_options options) : options_{std::move(options)} {
        for (std::size_t i = 0; i < options_.daemons; ++i) {
            daemons_.push_back(std::make_unique<node>(i));
        }
        for (auto& item : daemons_) {
            start(*item);
        }
    }

    /// Sends requests of a tenant to daemons `first` to `last`, `per_s` in all, from now on until `end`.
    void load(const std::string& tenant, double per_s, duration length, std::size_t first, std::size_t last) {
        const auto end = now_ + length;
        std::exponential_distribution<double> gap{per_s};
        for (auto at = now_; at < end;) {
            at += std::chrono::duration_cast<duration>(std::chrono::duration<double>(gap(random_)));
            const auto target = first + random_() % (last - first);
            schedule(at, [this, tenant, target] { request(*daemons_[target], tenant); });
        }
    }
    void load(const std::string& tenant, double per_s, duration length) {
        load(tenant, per_s, length, 0, daemons_.size());
    }
    void run(duration length) {
        const auto end = now_ + length;
        while (!events_.empty() && events_.top().at <= end) {
            const auto next = events_.top();
            events_.pop();
            now_ = next.at;
            next.run();
        }
        now_ = end;
    }
    /// Daemons with different groups do not reach each other; their links stay up until noticed.
    void set_group(std::size_t daemon, int group) {
        daemons_[daemon]->group = group;
        changed_ = now_;
    }
    void kill(std::size_t daemon) {
        daemons_[daemon]->alive = false;
        changed_ = now_;
    }
    /// A restarted daemon has forgotten everything.
    void restart(std::size_t daemon) {
        daemons_[daemon] = std::make_unique<node>(daemon);
        changed_ = now_;
        start(*daemons_[daemon]);
    }
    /// Does nothing until `thaw`; messages to it are kept.
    void freeze(std::size_t daemon) { daemons_[daemon]->frozen = true; }
    void thaw(std::size_t daemon) {
        auto& item = *daemons_[daemon];
        item.frozen = false;
        for (const auto& kept : std::exchange(item.backlog, {})) {
            kept();
        }
    }
    void set_tenants(const std::vector<mesh::tenant>& tenants) {
        options_.tenants = tenants;
        for (auto& item : daemons_) {
            item->client.set_tenants(tenants);
            item->coordinator.set_tenants(tenants, item->view, now_);
        }
    }
    [[nodiscard]] std::size_t coordinator_of(const std::string& tenant) const {
        return std::stoul(daemons_.back()->view.coordinator_of(tenant));
    }
    /// Requests beyond the quota in the window that exceeds it most; negative when none does.
    [[nodiscard]] double over_admission(const mesh::tenant& tenant, time_point from = {}) const {
        const auto& times = record(tenant.name).admitted;
        const double seconds = std::chrono::duration<double>(settings_.window).count();
        double most = 0;
        for (std::size_t first = 0, last = 0; last < times.size(); ++last) {
            while (times[last] - times[first] >= settings_.window) {
                ++first;
            }
            if (times[first] >= from) {
                most = std::max(most, static_cast<double>(last - first + 1));
            }
        }
        return most - (tenant.rate_per_s * seconds + tenant.burst);
    }
    /// What a window may hold beyond the quota.
    [[nodiscard]] double excess(const mesh::tenant& tenant) const {
        const double seconds = std::chrono::duration<double>(settings_.window).count();
        return settings_.overage * (tenant.rate_per_s * seconds + tenant.burst) + settings_.slack;
    }
    [[nodiscard]] const tenant_record& record(const std::string& tenant) const {
        static const tenant_record none;
        const auto found = records_.find(tenant);
        return found == records_.end() ? none : found->second;
    }
    void clear_records() { records_.clear(); }
    [[nodiscard]] time_point now() const { return now_; }
    [[nodiscard]] std::size_t size() const { return daemons_.size(); }
    [[nodiscard]] std::uint64_t messages() const { return messages_; }
    /// Called for each message with the number of its entries; probes and their answers have none.
    std::function<void(std::size_t from, std::size_t to, const std::vector<quota_ask>& entries)> on_message;

private:
    static std::int64_t link_mbps(std::size_t daemon) { return static_cast<std::int64_t>(100 + daemon % 3); }
    struct parked {
        std::string tenant;
        time_point since;
    };
    struct node {
        explicit node(std::size_t number)
            : index{number}, name{std::to_string(number)}, view{name, link_mbps(number)}, coordinator{{},
                                                                                                      name} {}
        std::size_t index;
        std::string name;
        quota_view view;
        quota_coordinator coordinator;
        quota_client client;
        std::vector<parked> waiting;
        std::vector<quota_view::candidate> linked;
        std::map<std::size_t, time_point> unreachable; ///< since when
        int group = 0;
        bool alive = true;
        bool frozen = false;
        std::vector<std::function<void()>> backlog;
        time_point next_probe{}; ///< when the view is updated next
        time_point last_probe{};
        time_point started{};
    };
    struct event {
        time_point at;
        std::uint64_t number;
        std::function<void()> run;
        bool operator<(const event& other) const {
            return std::pair{at, number} > std::pair{other.at, other.number};
        }
    };

    void schedule(time_point at, std::function<void()> run) { events_.push({at, next_++, std::move(run)}); }
    void start(node& item) {
        item.started = now_;
        item.client.set_tenants(options_.tenants);
        item.coordinator.set_tenants(options_.tenants, item.view, now_);
        const auto offset = std::chrono::microseconds{random_() % 20'000};
        schedule(now_ + offset,
                 [this, &item, address = daemons_[item.index].get()] { tick(address->index, address); });
    }
    void tick(std::size_t index, const node* expected) {
        auto& item = *daemons_[index];
        if (&item != expected || !item.alive) {
            return;
        }
        schedule(now_ + 20ms, [this, index, expected] { tick(index, expected); });
        if (item.frozen) {
            return;
        }
        if (now_ >= item.next_probe) {
            update_view(item);
        }
        item.client.tick(now_);
        send_asks(item);
        resume(item);
    }
    /// True when a message from `a` would reach `b`.
    [[nodiscard]] bool reaches(const node& a, const node& b) const { return b.alive && a.group == b.group; }
    void update_view(node& item) {
        item.next_probe = now_ + 100ms;
        if (item.linked.empty() || now_ - changed_ <= 2 * silent_link_time) {
            update_links(item);
        }
        const std::size_t known = now_ - item.started < 1500ms ? 0 : daemons_.size();
        if (item.view.update(item.linked, known, true, now_)) {
            item.coordinator.on_view(item.view, now_);
            item.last_probe = {};
        }
        probe(item);
    }
    void update_links(node& item) {
        item.linked.clear();
        for (const auto& other : daemons_) {
            if (other->index == item.index) {
                continue;
            }
            // The end of a process is noticed at once, silence of an idle link after some seconds.
            if (reaches(item, *other)) {
                item.unreachable.erase(other->index);
            } else {
                item.unreachable.try_emplace(other->index, now_);
            }
            const auto found = item.unreachable.find(other->index);
            if (other->alive &&
                (found == item.unreachable.end() || now_ - found->second < silent_link_time)) {
                item.linked.push_back({other->name, link_mbps(other->index)});
            }
        }
    }
    void probe(node& item) {
        if (!item.view.leads() || now_ - item.last_probe < quota_probe_interval) {
            return;
        }
        item.last_probe = now_;
        const auto sent = now_;
        for (const auto& other : daemons_) {
            if (other->index == item.index) {
                continue;
            }
            send(item.index, other->index, {}, [this, from = item.index, sent](node& receiver) {
                receiver.view.on_heard(std::to_string(from), now_);
                const auto grant = receiver.view.grant(now_);
                send(receiver.index, from, {}, [this, name = receiver.name, grant, sent](node& leader) {
                    leader.coordinator.on_grant(name, grant, sent, now_);
                });
            });
        }
    }
    void send(std::size_t from, std::size_t to, const std::vector<quota_ask>& entries,
              std::function<void(node&)> receive) {
        ++messages_;
        if (on_message) {
            on_message(from, to, entries);
        }
        const auto delay =
            options_.delay +
            std::chrono::nanoseconds{random_() % static_cast<std::uint64_t>(options_.jitter.count() + 1)};
        schedule(now_ + delay, [this, from, to, receive = std::move(receive)] {
            auto& target = *daemons_[to];
            if (!reaches(*daemons_[from], target)) {
                return;
            }
            if (target.frozen) {
                target.backlog.push_back([receive, &target] { receive(target); });
            } else {
                receive(target);
            }
        });
    }
    void request(node& item, const std::string& tenant) {
        if (!item.alive) {
            return;
        }
        if (item.frozen) {
            item.backlog.push_back([this, &item, tenant] { request(item, tenant); });
            return;
        }
        const auto decision = item.client.on_request(tenant, now_);
        if (decision.verdict == quota_verdict::wait) {
            ++records_[tenant].waited;
            item.waiting.push_back({tenant, now_});
        } else {
            count(tenant, decision);
        }
        send_asks(item);
        resume(item);
    }
    void count(const std::string& tenant, const quota_decision& decision) {
        auto& entry = records_[tenant];
        if (decision.verdict == quota_verdict::admit) {
            entry.admitted.push_back(now_);
        } else {
            ++entry.refused;
        }
    }
    void resume(node& item) {
        for (auto& entry : std::exchange(item.waiting, {})) {
            const auto decision = item.client.resume(entry.tenant, entry.since, now_);
            if (decision.verdict == quota_verdict::wait) {
                item.waiting.push_back(entry);
            } else {
                count(entry.tenant, decision);
            }
        }
    }
    void send_asks(node& item) {
        std::map<std::string, std::vector<quota_ask>> by_coordinator;
        for (auto& ask : item.client.take_asks(now_)) {
            by_coordinator[item.view.coordinator_of(ask.tenant)].push_back(std::move(ask));
        }
        for (const auto& group : by_coordinator) {
            const auto& name = group.first;
            const auto& asks = group.second;
            if (name == item.name) {
                for (const auto& ask : asks) {
                    item.client.on_lease(item.coordinator.on_ask(ask, item.view, now_), now_, now_);
                }
                continue;
            }
            send(item.index, std::stoul(name), asks, [this, from = item.index, asks, asked = now_](node& to) {
                std::vector<quota_lease> leases;
                std::vector<quota_ask> sizes;
                for (const auto& ask : asks) {
                    leases.push_back(to.coordinator.on_ask(ask, to.view, now_));
                    sizes.push_back(ask);
                }
                send(to.index, from, sizes, [this, leases, asked, name = to.name](node& asker) {
                    asker.view.on_heard(name, now_);
                    for (const auto& lease : leases) {
                        asker.client.on_lease(lease, asked, now_);
                    }
                    send_asks(asker);
                    resume(asker);
                });
            });
        }
    }

    /// Silence of a link on which something is sent is noticed after this time.
    static constexpr duration silent_link_time = 6s;
    fleet_options options_;
    time_point changed_{};
    quota_settings settings_;
    std::vector<std::unique_ptr<node>> daemons_;
    std::priority_queue<event> events_;
    std::uint64_t next_ = 0;
    std::uint64_t messages_ = 0;
    time_point now_{std::chrono::hours{1}};
    std::mt19937_64 random_{1};
    std::map<std::string, tenant_record> records_;
};

} // namespace endive::tenants::test
