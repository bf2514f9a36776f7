#include "fleet.h"

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

void start_all(fleet& simulation) {
    for (std::size_t index = 0; index < simulation.size(); ++index) {
        simulation.start(index);
    }
}

void submit(fleet& simulation, std::size_t at, std::uint64_t id, std::uint64_t precondition = 0) {
    simulation.inject(at, submit_request{id, make_part("team" + std::to_string(id), static_cast<int>(id)),
                                         precondition, "key" + std::to_string(id)});
}

/// Applies one random fault or change.
void apply_random_event(fleet& simulation, std::uint64_t& id) {
    auto& random = simulation.random;
    const auto node = random.below(simulation.size());
    switch (random.below(8)) {
    case 0:
        simulation.kill(node);
        break;
    case 1:
        simulation.kill(node);
        simulation.start(node);
        break;
    case 2:
        simulation.pause(node, milliseconds{500 + random.below(9000)});
        break;
    case 3:
        simulation.cut(node, (node + 1) % simulation.size());
        break;
    case 4:
        simulation.heal();
        break;
    case 5:
        simulation.platform.down = !simulation.platform.down;
        break;
    case 6:
        submit(simulation, node, ++id);
        break;
    default:
        simulation.inject(node, publish_record{{record_kind::hold, "key" + std::to_string(random.below(3)),
                                                random.below(4), ++id, random.below(9) == 0, "payload"}});
        break;
    }
}

/// Applies random faults for some seconds, then heals the network. Returns whether the fleet converges within
/// 120 s.
bool run_history(fleet& simulation) {
    std::uint64_t id = 0;
    start_all(simulation);
    simulation.network = {0.05, 0.1, 400};
    simulation.platform.lost_answers = 0.1;
    for (int turn = 0; turn < 30; ++turn) {
        apply_random_event(simulation, id);
        simulation.run(milliseconds{200 + simulation.random.below(1500)});
    }
    simulation.heal();
    simulation.network = {};
    simulation.platform.down = false;
    simulation.platform.lost_answers = 0;
    for (std::size_t index = 0; index < simulation.size(); ++index) {
        if (simulation.at(index) == nullptr) {
            simulation.start(index);
        }
    }
    for (int turn = 0; turn < 120; ++turn) {
        simulation.run(1s);
        if (simulation.converged()) {
            return true;
        }
    }
    return false;
}

} // namespace

TEST_CASE(
    "all daemons converge without version reversals after loss, reordering, restarts, pauses and cuts") {
    for (std::uint64_t seed = 0; seed < 150; ++seed) {
        INFO("seed " << seed);
        fleet simulation{seed, 3 + seed % 3};
        REQUIRE(run_history(simulation));
        REQUIRE(simulation.reversals == 0);
        REQUIRE(simulation.shared_epochs == 0);
    }
}

TEST_CASE("the fleet checker reports daemons that accept older versions") {
    std::uint64_t reversals = 0;
    for (std::uint64_t seed = 0; seed < 10; ++seed) {
        fleet simulation{seed, 3, {.accept_older_versions = true}};
        (void)run_history(simulation);
        // A store that accepts older versions applies an old chunk that arrives late.
        submit(simulation, 0, 9001);
        simulation.run(5s);
        reversals += simulation.reversals;
    }
    REQUIRE(reversals > 0);
}

TEST_CASE("a change reaches every daemon while the table is down after its acceptance") {
    fleet simulation{1, 5};
    start_all(simulation);
    simulation.run(15s);
    REQUIRE(simulation.converged());
    submit(simulation, 2, 1);
    while (simulation.finished.empty()) {
        simulation.step();
    }
    simulation.platform.down = true;
    simulation.run(3s);
    REQUIRE(simulation.finished.front().code == result_code::ok);
    for (std::size_t index = 0; index < simulation.size(); ++index) {
        REQUIRE(simulation.at(index)->config().version == 1);
    }
    simulation.run(5s);
    const auto status = simulation.at(4)->convergence(simulation.now);
    REQUIRE(status.reported == 5);
    REQUIRE(status.current == 5);
    REQUIRE(status.newest_version == 1);
}

TEST_CASE("a daemon that starts while the table is down adopts the version of its peers unconfirmed") {
    fleet simulation{2, 4};
    start_all(simulation);
    simulation.run(10s);
    submit(simulation, 0, 1);
    simulation.run(5s);
    simulation.kill(3);
    simulation.platform.down = true;
    simulation.run(1s);
    simulation.start(3);
    simulation.run(8s);
    REQUIRE(simulation.ready(3));
    REQUIRE(simulation.at(3)->config().version == 1);
    REQUIRE_FALSE(simulation.at(3)->config().confirmed);
    simulation.platform.down = false;
    simulation.run(60s);
    REQUIRE(simulation.at(3)->config().confirmed);
}

TEST_CASE("a daemon that starts without platform and peers is not ready") {
    fleet simulation{3, 2};
    simulation.platform.down = true;
    start_all(simulation);
    simulation.run(20s);
    REQUIRE_FALSE(simulation.ready(0));
    REQUIRE_FALSE(simulation.ready(1));
}

TEST_CASE("a starting daemon does not serve a version below the floor that its peers recorded") {
    control_node node{{address_of(0), "d1", "r1", {address_of(1)}, 1, 1}};
    auto now = origin;
    std::uint64_t nonce = 0;
    bool ready = false;
    const auto handle_event = [&](event input) {
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
    handle_event(tick{});
    handle_event(link_up{address_of(1), 1, true});
    const auto answer = [&](std::uint64_t version, std::uint64_t floor) {
        for (int turn = 0; turn < 20; ++turn) {
            now += 100ms;
            handle_event(tick{});
            handle_event(message_received{address_of(1), state_answer{nonce, true, version, 1, floor}});
        }
    };
    answer(0, 4);
    REQUIRE(nonce != 0);
    REQUIRE_FALSE(ready);
    answer(0, 0);
    REQUIRE(ready);
}

TEST_CASE("after a pause a daemon raises its incarnation and verifies its version before it is ready") {
    fleet simulation{4, 3};
    start_all(simulation);
    simulation.run(15s);
    const auto before = simulation.at(1)->incarnation();
    simulation.platform.down = true;
    simulation.cut(0, 1);
    simulation.cut(1, 2);
    simulation.pause(1, 4s);
    simulation.run(5s);
    REQUIRE(simulation.at(1)->stats().pauses == 1);
    REQUIRE(simulation.at(1)->incarnation() > before);
    REQUIRE_FALSE(simulation.ready(1));
    simulation.heal();
    simulation.platform.down = false;
    simulation.run(40s);
    REQUIRE(simulation.ready(1));
    REQUIRE(simulation.converged());
}

TEST_CASE(
    "endpoints of a dead daemon expire within about six seconds, those of a leaving one are marked at once") {
    fleet simulation{5, 4};
    start_all(simulation);
    simulation.run(15s);
    for (std::size_t index = 0; index < 4; ++index) {
        model::endpoint_info endpoint;
        endpoint.address = "10.1.0." + std::to_string(index + 1) + ":8080";
        endpoint.service = "pay-desk";
        endpoint.state = model::endpoint_state::serving;
        simulation.inject(index, local_endpoints{{endpoint}});
    }
    simulation.run(2s);
    REQUIRE(simulation.at(0)->endpoints().size() == 4);
    simulation.inject(2, begin_leaving{});
    simulation.run(600ms);
    REQUIRE(simulation.at(0)->endpoints().at(2).state == model::endpoint_state::leaving);
    simulation.kill(3);
    simulation.run(7s);
    REQUIRE(simulation.at(0)->endpoints().size() == 3);
}

TEST_CASE("evidence reaches the root once and one daemon owns the lease") {
    fleet simulation{6, 5};
    start_all(simulation);
    simulation.run(20s);
    REQUIRE(simulation.owners.size() == 1);
    for (std::size_t index = 0; index < 5; ++index) {
        simulation.inject(index, publish_evidence{{{"route", {1, 10}}}});
    }
    simulation.run(6s);
    std::vector<std::uint64_t> sum(2);
    for (const auto& item : simulation.evidence) {
        sum[0] += item.values.at(0);
        sum[1] += item.values.at(1);
    }
    REQUIRE(sum == std::vector<std::uint64_t>{5, 50});
}
