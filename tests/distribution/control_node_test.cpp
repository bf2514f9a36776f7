#include "fleet.h"

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

void start_all(fleet& world) {
    for (std::size_t index = 0; index < world.size(); ++index) {
        world.start(index);
    }
}

void submit(fleet& world, std::size_t at, std::uint64_t id, std::uint64_t precondition = 0) {
    world.give(at, submit_request{id, make_part("team" + std::to_string(id), static_cast<int>(id)),
                                  precondition, "key" + std::to_string(id)});
}

/// One random fault or change.
void disturb(fleet& world, std::uint64_t& id) {
    auto& random = world.random;
    const auto node = random.below(world.size());
    switch (random.below(8)) {
    case 0:
        world.kill(node);
        break;
    case 1:
        world.kill(node);
        world.start(node);
        break;
    case 2:
        world.pause(node, milliseconds{500 + random.below(9000)});
        break;
    case 3:
        world.cut(node, (node + 1) % world.size());
        break;
    case 4:
        world.heal();
        break;
    case 5:
        world.platform.down = !world.platform.down;
        break;
    case 6:
        submit(world, node, ++id);
        break;
    default:
        world.give(node, publish_record{{record_kind::hold, "key" + std::to_string(random.below(3)),
                                         random.below(4), ++id, random.below(9) == 0, "payload"}});
        break;
    }
}

/// Random faults for some seconds, then a healed network until the fleet converges. False when it does not.
bool run_history(fleet& world) {
    std::uint64_t id = 0;
    start_all(world);
    world.network = {0.05, 0.1, 400};
    world.platform.lost_answers = 0.1;
    for (int turn = 0; turn < 30; ++turn) {
        disturb(world, id);
        world.run(milliseconds{200 + world.random.below(1500)});
    }
    world.heal();
    world.network = {};
    world.platform.down = false;
    world.platform.lost_answers = 0;
    for (std::size_t index = 0; index < world.size(); ++index) {
        if (world.at(index) == nullptr) {
            world.start(index);
        }
    }
    for (int turn = 0; turn < 120; ++turn) {
        world.run(1s);
        if (world.converged()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE("whatever is crossed, lost, restarted, paused or cut, all daemons converge and none goes back") {
    for (std::uint64_t seed = 0; seed < 150; ++seed) {
        INFO("seed " << seed);
        fleet world{seed, 3 + seed % 3};
        REQUIRE(run_history(world));
        REQUIRE(world.reversals == 0);
        REQUIRE(world.shared_epochs == 0);
    }
}

TEST_CASE("the fleet checker reports daemons that accept older versions") {
    std::uint64_t reversals = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        fleet world{seed, 3, {.accept_older_versions = true}};
        (void)run_history(world);
        // An old chunk that arrives late is what an accepting store would apply.
        submit(world, 0, 9001);
        world.run(5s);
        reversals += world.reversals;
    }
    REQUIRE(reversals > 0);
}

TEST_CASE("a change reaches every daemon while the table is down after its acceptance") {
    fleet world{1, 5};
    start_all(world);
    world.run(15s);
    REQUIRE(world.converged());
    submit(world, 2, 1);
    while (world.finished.empty()) {
        world.step();
    }
    world.platform.down = true;
    world.run(3s);
    REQUIRE(world.finished.front().code == result_code::ok);
    for (std::size_t index = 0; index < world.size(); ++index) {
        REQUIRE(world.at(index)->config().version == 1);
    }
    world.run(5s);
    const auto status = world.at(4)->convergence(world.now);
    REQUIRE(status.reported == 5);
    REQUIRE(status.current == 5);
    REQUIRE(status.newest_version == 1);
}

TEST_CASE("a daemon that starts while the table is down takes the version of its peers, unconfirmed") {
    fleet world{2, 4};
    start_all(world);
    world.run(10s);
    submit(world, 0, 1);
    world.run(5s);
    world.kill(3);
    world.platform.down = true;
    world.run(1s);
    world.start(3);
    world.run(8s);
    REQUIRE(world.ready(3));
    REQUIRE(world.at(3)->config().version == 1);
    REQUIRE_FALSE(world.at(3)->config().confirmed);
    world.platform.down = false;
    world.run(60s);
    REQUIRE(world.at(3)->config().confirmed);
}

TEST_CASE("a daemon that starts without platform and peers is not ready") {
    fleet world{3, 2};
    world.platform.down = true;
    start_all(world);
    world.run(20s);
    REQUIRE_FALSE(world.ready(0));
    REQUIRE_FALSE(world.ready(1));
}

TEST_CASE("a starting daemon does not serve a version below the floor that its peers recorded") {
    control_node node{{address_of(0), "d1", "r1", {address_of(1)}, 1, 1}};
    auto now = origin;
    std::uint64_t nonce = 0;
    bool ready = false;
    const auto give = [&](event input) {
        for (const auto& item : node.handle(now, std::move(input))) {
            if (const auto* get = std::get_if<table_get>(&item)) {
                platform_result down;
                down.request_id = get->request_id;
                down.code = result_code::platform_unavailable;
                (void)node.handle(now, down);
            }
            if (const auto* sent = std::get_if<send_message>(&item)) {
                if (const auto* request = std::get_if<state_request>(&sent->content)) {
                    nonce = request->nonce;
                }
            }
            if (const auto* change = std::get_if<ready_changed>(&item)) {
                ready = change->ready;
            }
        }
    };
    give(tick{});
    give(link_up{address_of(1), 1, true});
    const auto answer = [&](std::uint64_t version, std::uint64_t floor) {
        for (int turn = 0; turn < 20; ++turn) {
            now += 100ms;
            give(tick{});
            give(message_received{address_of(1), state_answer{nonce, true, version, 1, floor}});
        }
    };
    answer(0, 4);
    REQUIRE(nonce != 0);
    REQUIRE_FALSE(ready);
    answer(0, 0);
    REQUIRE(ready);
}

TEST_CASE("a paused daemon is fenced, takes a new incarnation and confirms before it serves") {
    fleet world{4, 3};
    start_all(world);
    world.run(15s);
    const auto before = world.at(1)->incarnation();
    world.platform.down = true;
    world.cut(0, 1);
    world.cut(1, 2);
    world.pause(1, 4s);
    world.run(5s);
    REQUIRE(world.at(1)->stats().pauses == 1);
    REQUIRE(world.at(1)->incarnation() > before);
    REQUIRE_FALSE(world.ready(1));
    world.heal();
    world.platform.down = false;
    world.run(40s);
    REQUIRE(world.ready(1));
    REQUIRE(world.converged());
}

TEST_CASE("the endpoint of a dead daemon is gone within about six seconds, that of a leaving one at once") {
    fleet world{5, 4};
    start_all(world);
    world.run(15s);
    for (std::size_t index = 0; index < 4; ++index) {
        model::endpoint_info endpoint;
        endpoint.address = "10.1.0." + std::to_string(index + 1) + ":8080";
        endpoint.service = "pay-desk";
        endpoint.state = model::endpoint_state::serving;
        world.give(index, local_endpoints{{endpoint}});
    }
    world.run(2s);
    REQUIRE(world.at(0)->endpoints().size() == 4);
    world.give(2, begin_leaving{});
    world.run(600ms);
    REQUIRE(world.at(0)->endpoints().at(2).state == model::endpoint_state::leaving);
    world.kill(3);
    world.run(7s);
    REQUIRE(world.at(0)->endpoints().size() == 3);
}

TEST_CASE("evidence reaches the root once and one daemon owns the lease") {
    fleet world{6, 5};
    start_all(world);
    world.run(20s);
    REQUIRE(world.owners.size() == 1);
    for (std::size_t index = 0; index < 5; ++index) {
        world.give(index, publish_evidence{{{"route", {1, 10}}}});
    }
    world.run(6s);
    std::vector<std::uint64_t> sum(2);
    for (const auto& item : world.evidence) {
        sum[0] += item.values.at(0);
        sum[1] += item.values.at(1);
    }
    REQUIRE(sum == std::vector<std::uint64_t>{5, 50});
}
