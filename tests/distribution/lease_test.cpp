#include "fake_platform.h"

#include "distribution/lease.h"

#include <algorithm>

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

/// Lease candidates with skewed clocks, random pauses and lost answers. The checker records the holder of
/// each epoch and detects concurrent holders.
class candidates {
public:
    candidates(std::uint64_t seed, std::size_t count, fault_injection faults)
        : random{seed}, platform{random} {
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(std::make_unique<node>(random, address_of(index), faults));
            nodes.back()->skew = milliseconds{static_cast<std::int64_t>(random.below(1800)) - 900};
        }
    }

    void run(int steps) {
        for (int turn = 0; turn < steps; ++turn) {
            now += 250ms;
            platform.down = random.below(60) == 0 ? !platform.down : platform.down;
            for (auto& each : nodes) {
                each->advance(*this);
            }
            check_single_holder();
        }
    }

    random_source random;
    fake_platform platform;
    time_point now = origin;
    std::set<std::string> faults_seen;
    std::size_t acquisitions = 0;

private:
    struct node {
        node(random_source& random, const member_id& member, fault_injection faults)
            : id{member}, machine{random, member, faults} {}

        void advance(candidates& simulation) {
            if (simulation.now < paused_until) {
                return;
            }
            if (simulation.random.below(80) == 0) {
                paused_until = simulation.now + milliseconds{simulation.random.below(15000)};
                return;
            }
            std::vector<action> actions;
            const auto wall = wall_time{1h} + milliseconds{(simulation.now - origin) / 1ms} + skew;
            machine.check_expiry(simulation.now, actions);
            machine.step(simulation.now, wall, simulation.random.below(50) != 0, calls, actions);
            for (const auto& item : calls.take_actions()) {
                answers.push_back(*simulation.platform.execute(item));
            }
            if (!answers.empty() && simulation.random.below(3) != 0) {
                const auto answer = answers.front();
                answers.erase(answers.begin());
                if (calls.finish(answer)) {
                    machine.on_result(simulation.now, wall, answer, calls, actions);
                }
            }
            for (const auto& item : actions) {
                if (const auto* owner = std::get_if<became_owner>(&item)) {
                    simulation.note_owner(id, owner->epoch);
                }
            }
        }

        member_id id;
        lease machine;
        platform_calls calls;
        milliseconds skew{0};
        time_point paused_until;
        std::vector<platform_result> answers;
    };

    void note_owner(const member_id& id, std::uint64_t epoch) {
        ++acquisitions;
        if (const auto [kept, added] = owners.try_emplace(epoch, id); !added && kept->second != id) {
            faults_seen.insert("two holders with one epoch");
        }
        if (epoch < highest) {
            faults_seen.insert("an epoch decreased");
        }
        highest = std::max(highest, epoch);
    }

    void check_single_holder() {
        const auto held = [&](const auto& each) {
            return each->machine.held(now) && now >= each->paused_until;
        };
        if (std::ranges::count_if(nodes, held) > 1) {
            faults_seen.insert("two holders at once");
        }
    }

    std::vector<std::unique_ptr<node>> nodes;
    std::map<std::uint64_t, member_id> owners;
    std::uint64_t highest = 0;
};

} // namespace

TEST_CASE("two holders never share an epoch or hold the lease at the same time") {
    check_property("lease", [](std::uint64_t seed) {
        candidates simulation{seed, 3, {}};
        simulation.platform.lost_answers = 0.1;
        simulation.platform.lost_requests = 0.05;
        simulation.run(400);
        RC_ASSERT(simulation.faults_seen.empty());
    });
}

TEST_CASE("the lease checker reports a holder that reuses the previous epoch") {
    std::size_t reported = 0;
    for (std::uint64_t seed = 0; seed < 20; ++seed) {
        candidates simulation{seed, 3, {.reuse_lease_epoch = true}};
        simulation.run(800);
        reported += simulation.faults_seen.contains("two holders with one epoch") ? 1 : 0;
    }
    REQUIRE(reported > 0);
}

TEST_CASE("a free lease is acquired immediately and its holder is fenced by a higher epoch") {
    random_source random{1};
    fake_platform platform{random};
    platform_calls calls;
    lease machine{random, address_of(0), {}};
    std::vector<action> actions;
    for (int turn = 0; turn < 2; ++turn) {
        machine.step(origin, wall_time{1h}, true, calls, actions);
        for (const auto& item : calls.take_actions()) {
            const auto answer = *platform.execute(item);
            (void)calls.finish(answer);
            machine.on_result(origin, wall_time{1h}, answer, calls, actions);
        }
    }
    for (const auto& item : calls.take_actions()) {
        const auto answer = *platform.execute(item);
        (void)calls.finish(answer);
        machine.on_result(origin, wall_time{1h}, answer, calls, actions);
    }
    REQUIRE(machine.held(origin));
    REQUIRE_FALSE(machine.held(origin + config::lease_duration - config::lease_clock_margin));
    actions.clear();
    machine.observe_epoch(2, actions);
    REQUIRE_FALSE(machine.held(origin));
    REQUIRE(actions.size() == 2);
    REQUIRE(std::get<fenced>(actions.back()).reason == fence_reason::newer_epoch);
}
