#include "fake_platform.h"

#include "distribution/acceptance.h"

#include <algorithm>

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

/// Several daemons that process submissions against one table; answers arrive in random order.
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

        void advance(acceptors& simulation) {
            acceptance_output output;
            machine.step(simulation.now, calls, output);
            for (const auto& item : calls.take_actions()) {
                answers.push_back(*simulation.platform.execute(item));
            }
            // Answers are delayed at random, so that requests of different daemons interleave.
            if (!answers.empty() && simulation.random.below(2) == 0) {
                const auto answer = answers.front();
                answers.erase(answers.begin());
                if (calls.finish(answer)) {
                    machine.on_result(simulation.now, answer, store, calls, output);
                }
            }
            if (output.accepted) {
                (void)store.offer(std::move(output.accepted->snapshot), output.accepted->digest);
            }
            simulation.finished.insert(simulation.finished.end(), output.finished.begin(),
                                       output.finished.end());
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

TEST_CASE("with lost answers, accepted changes are in the head row and rejected ones are not") {
    check_property("acceptance", [](std::uint64_t seed) {
        acceptors simulation{seed, 3};
        simulation.platform.lost_answers = 0.2;
        simulation.platform.lost_requests = 0.1;
        std::vector<submit_request> requests;
        for (std::uint64_t id = 1; id <= 6; ++id) {
            // All submissions expect version 0, so at most one of each team can be accepted.
            requests.push_back(request_of(id, "team" + std::to_string(id % 3), static_cast<int>(id), 0));
            simulation.submit(simulation.random.below(3), requests.back());
        }
        for (int turn = 0; turn < 100; ++turn) {
            simulation.platform.down = simulation.random.below(4) == 0;
            simulation.step();
        }
        simulation.platform.down = false;
        simulation.run_until_idle();
        RC_ASSERT(simulation.finished.size() == requests.size());
        std::map<std::string, int> winners;
        for (const auto& request : requests) {
            const auto outcome = simulation.outcome(request.submit_id);
            if (outcome->code != result_code::platform_outcome_unknown) {
                RC_ASSERT(applied(simulation.platform, request.part) == (outcome->code == result_code::ok));
            }
            winners[request.part.team] += outcome->code == result_code::ok ? 1 : 0;
        }
        for (const auto& [team, count] : winners) {
            RC_ASSERT(count <= 1);
        }
        for (std::size_t at = 0; at < simulation.platform.head_history.size(); ++at) {
            RC_ASSERT(decode_head(simulation.platform.head_history[at])->version == at + 1);
        }
    });
}

TEST_CASE("repeating an idempotency key returns the same result, also at another daemon") {
    acceptors simulation{1, 2};
    simulation.submit(0, request_of(1, "team", 1, 0, "key"));
    simulation.run_until_idle();
    simulation.submit(1, request_of(2, "other", 1, 0));
    simulation.run_until_idle();
    simulation.submit(1, request_of(3, "team", 1, 0, "key"));
    simulation.run_until_idle();
    REQUIRE(simulation.outcome(1)->version == 1);
    REQUIRE(simulation.outcome(3)->code == result_code::ok);
    REQUIRE(simulation.outcome(3)->version == 1);
    REQUIRE(simulation.version() == 2);
    simulation.submit(0, request_of(4, "team", 2, 0, "key"));
    simulation.run_until_idle();
    REQUIRE(simulation.outcome(4)->code == result_code::call_key_reused);
}

TEST_CASE("concurrent changes of different teams merge, those of one team conflict") {
    acceptors simulation{2, 3};
    simulation.submit(0, request_of(1, "north", 1, 0));
    simulation.submit(1, request_of(2, "south", 1, 0));
    simulation.submit(2, request_of(3, "north", 2, 0));
    simulation.run_until_idle();
    REQUIRE(simulation.version() == 2);
    REQUIRE(simulation.outcome(2)->code == result_code::ok);
    const auto first = simulation.outcome(1)->code;
    const auto second = simulation.outcome(3)->code;
    REQUIRE((first == result_code::ok) != (second == result_code::ok));
    const auto loser = first == result_code::ok ? *simulation.outcome(3) : *simulation.outcome(1);
    const auto winner = first == result_code::ok ? *simulation.outcome(1) : *simulation.outcome(3);
    REQUIRE(loser.code == result_code::submit_conflict);
    REQUIRE(loser.version == winner.version);
}

TEST_CASE("an invalid submission changes nothing") {
    acceptors simulation{3, 1};
    simulation.submit(0, {1, make_dangling_part("team"), 0, {}});
    simulation.run_until_idle();
    REQUIRE(simulation.outcome(1)->code == result_code::snapshot_dangling_reference);
    REQUIRE(simulation.platform.rows.empty());
    REQUIRE(simulation.platform.objects.empty());
}

TEST_CASE("a submission during a platform outage fails as unavailable and has no effect") {
    acceptors simulation{4, 1};
    simulation.platform.down = true;
    simulation.submit(0, request_of(1, "team", 1, 0));
    simulation.run_until_idle();
    REQUIRE(simulation.outcome(1)->code == result_code::platform_unavailable);
    REQUIRE(simulation.platform.rows.empty());
}
