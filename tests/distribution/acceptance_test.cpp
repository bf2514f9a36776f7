#include "fake_platform.h"

#include "distribution/acceptance.h"

#include <algorithm>

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

/// Several daemons that accept submissions against one table, with answers in random order.
class acceptors {
public:
    acceptors(std::uint64_t seed, std::size_t count) : random{seed}, platform{random} {
        for (std::size_t index = 0; index < count; ++index) {
            nodes.push_back(std::make_unique<node>(random, address_of(index)));
        }
    }

    void submit(std::size_t at, submit_request request) {
        nodes.at(at)->machine.submit(now, std::move(request));
    }

    void step() {
        now += 50ms;
        for (auto& each : nodes) {
            each->advance(*this);
        }
    }

    void run_until_idle() {
        for (int turn = 0; turn < 4000; ++turn) {
            step();
            if (std::ranges::all_of(nodes, [](const auto& each) { return each->machine.idle(); })) {
                return;
            }
        }
    }

    [[nodiscard]] std::optional<submit_finished> outcome(std::uint64_t id) const {
        const auto found = std::ranges::find(finished, id, &submit_finished::submit_id);
        return found == finished.end() ? std::nullopt : std::optional{*found};
    }

    /// Highest version of the head row.
    [[nodiscard]] std::uint64_t version() const {
        return platform.head_history.empty() ? 0 : decode_head(platform.head_history.back())->version;
    }

    random_source random;
    fake_platform platform;
    time_point now = origin;
    std::vector<submit_finished> finished;

private:
    struct node {
        node(random_source& random, const member_id& id) : machine{random, id} {}

        void advance(acceptors& world) {
            acceptance_output output;
            machine.step(world.now, calls, output);
            for (const auto& item : calls.take_actions()) {
                answers.push_back(*world.platform.execute(item));
            }
            // Answers are held back at random, so that those of different daemons cross.
            if (!answers.empty() && world.random.below(2) == 0) {
                const auto answer = answers.front();
                answers.erase(answers.begin());
                if (calls.finish(answer)) {
                    machine.on_result(world.now, answer, store, calls, output);
                }
            }
            if (output.accepted) {
                (void)store.offer(std::move(output.accepted->snapshot), output.accepted->digest);
            }
            world.finished.insert(world.finished.end(), output.finished.begin(), output.finished.end());
        }

        acceptance machine;
        platform_calls calls;
        config_store store;
        std::vector<platform_result> answers;
    };
    std::vector<std::unique_ptr<node>> nodes;
};

submit_request request_of(std::uint64_t id, const std::string& team, int variant, std::uint64_t precondition,
                          std::string key = {}) {
    return {id, make_part(team, variant), precondition, std::move(key)};
}

bool applied(const fake_platform& platform, const model::team_part& part) {
    return std::ranges::any_of(platform.objects, [&](const auto& object) {
        const auto snapshot = model::decode_snapshot(object.second);
        const auto* found = model::find_part(snapshot, part.team);
        const auto in_head = std::ranges::any_of(platform.head_history, [&](const auto& value) {
            return decode_head(value)->object == object.first;
        });
        return in_head && found != nullptr && model::same_content(*found, part);
    });
}

} // namespace

TEST_CASE("whatever answers are lost, an accepted change is in head and a refused one is not") {
    check_property("acceptance", [](std::uint64_t seed) {
        acceptors world{seed, 3};
        world.platform.lost_answers = 0.2;
        world.platform.lost_requests = 0.1;
        std::vector<submit_request> requests;
        for (std::uint64_t id = 1; id <= 6; ++id) {
            // Teams race on version 0, so at most one submission of each team can win.
            requests.push_back(request_of(id, "team" + std::to_string(id % 3), static_cast<int>(id), 0));
            world.submit(world.random.below(3), requests.back());
        }
        for (int turn = 0; turn < 100; ++turn) {
            world.platform.down = world.random.below(4) == 0;
            world.step();
        }
        world.platform.down = false;
        world.run_until_idle();
        RC_ASSERT(world.finished.size() == requests.size());
        std::map<std::string, int> winners;
        for (const auto& request : requests) {
            const auto outcome = world.outcome(request.submit_id);
            if (outcome->code != result_code::platform_outcome_unknown) {
                RC_ASSERT(applied(world.platform, request.part) == (outcome->code == result_code::ok));
            }
            winners[request.part.team] += outcome->code == result_code::ok ? 1 : 0;
        }
        for (const auto& [team, count] : winners) {
            RC_ASSERT(count <= 1);
        }
        for (std::size_t at = 0; at < world.platform.head_history.size(); ++at) {
            RC_ASSERT(decode_head(world.platform.head_history[at])->version == at + 1);
        }
    });
}

TEST_CASE("a repeat with the same idempotency key gets the same answer, at another daemon as well") {
    acceptors world{1, 2};
    world.submit(0, request_of(1, "team", 1, 0, "key"));
    world.run_until_idle();
    world.submit(1, request_of(2, "other", 1, 0));
    world.run_until_idle();
    world.submit(1, request_of(3, "team", 1, 0, "key"));
    world.run_until_idle();
    REQUIRE(world.outcome(1)->version == 1);
    REQUIRE(world.outcome(3)->code == result_code::ok);
    REQUIRE(world.outcome(3)->version == 1);
    REQUIRE(world.version() == 2);
    world.submit(0, request_of(4, "team", 2, 0, "key"));
    world.run_until_idle();
    REQUIRE(world.outcome(4)->code == result_code::call_key_reused);
}

TEST_CASE("a change of another team is merged again, one of the same team is a conflict") {
    acceptors world{2, 3};
    world.submit(0, request_of(1, "north", 1, 0));
    world.submit(1, request_of(2, "south", 1, 0));
    world.submit(2, request_of(3, "north", 2, 0));
    world.run_until_idle();
    REQUIRE(world.version() == 2);
    REQUIRE(world.outcome(2)->code == result_code::ok);
    const auto first = world.outcome(1)->code;
    const auto second = world.outcome(3)->code;
    REQUIRE((first == result_code::ok) != (second == result_code::ok));
    const auto loser = first == result_code::ok ? *world.outcome(3) : *world.outcome(1);
    const auto winner = first == result_code::ok ? *world.outcome(1) : *world.outcome(3);
    REQUIRE(loser.code == result_code::submit_conflict);
    REQUIRE(loser.version == winner.version);
}

TEST_CASE("a submission that does not validate changes nothing") {
    acceptors world{3, 1};
    world.submit(0, {1, make_dangling_part("team"), 0, {}});
    world.run_until_idle();
    REQUIRE(world.outcome(1)->code == result_code::snapshot_dangling_reference);
    REQUIRE(world.platform.rows.empty());
    REQUIRE(world.platform.objects.empty());
}

TEST_CASE("a submission during an outage ends as unavailable and did not happen") {
    acceptors world{4, 1};
    world.platform.down = true;
    world.submit(0, request_of(1, "team", 1, 0));
    world.run_until_idle();
    REQUIRE(world.outcome(1)->code == result_code::platform_unavailable);
    REQUIRE(world.platform.rows.empty());
}
