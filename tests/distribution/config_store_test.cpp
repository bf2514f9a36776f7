#include "support.h"

#include "distribution/config_store.h"
#include "distribution/snapshot_server.h"

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

enum class offer_kind { snapshot, bytes, delta, corrupted, wrong_digest };

struct offer_step {
    offer_kind kind = offer_kind::snapshot;
    std::size_t version = 1;
};

/// Versions 1 to `count`; every third one has a dangling route. Index 0 is the empty snapshot.
std::vector<model::snapshot> make_history(std::size_t count) {
    std::vector<model::snapshot> history{{}};
    for (std::size_t version = 1; version <= count; ++version) {
        const auto team = "team" + std::to_string(version % 3);
        const auto part =
            version % 3 == 2 ? make_dangling_part(team) : make_part(team, static_cast<int>(version));
        // A valid version always replaces the dangling part of the one before.
        auto base = history.back();
        std::erase_if(base.parts, [](const auto& old) { return old.routes.front().service == "absent"; });
        history.push_back(model::merge_part(base, part));
    }
    return history;
}

bool valid(const model::snapshot& candidate) {
    try {
        model::validate(candidate);
        return true;
    } catch (const error&) {
        return false;
    }
}

offer_result offer(config_store& store, const std::vector<model::snapshot>& history, const offer_step& step) {
    const auto& wanted = history.at(step.version);
    const auto digest = model::digest(wanted);
    switch (step.kind) {
    case offer_kind::snapshot:
        return store.offer(wanted, digest);
    case offer_kind::bytes:
        return store.offer_snapshot_bytes(wanted.version, digest, model::encode(wanted));
    case offer_kind::delta: {
        const auto& base = store.active() ? store.active()->source() : history.front();
        return store.offer_delta_bytes(wanted.version, digest,
                                       model::encode(model::make_delta(base, wanted)));
    }
    case offer_kind::corrupted: {
        auto bytes = model::encode(wanted);
        bytes[bytes.size() / 2] ^= 1;
        return store.offer_snapshot_bytes(wanted.version, digest, bytes);
    }
    case offer_kind::wrong_digest:
        return store.offer(wanted, digest + 1);
    }
    return {};
}

/// Naive reference model: a newer version is accepted when it is intact, valid and, for a delta, has a base.
bool reference_accepts(const model::snapshot& wanted, const offer_step& step, std::uint64_t active) {
    const auto intact = step.kind != offer_kind::corrupted && step.kind != offer_kind::wrong_digest;
    const auto has_base = step.kind != offer_kind::delta || active > 0;
    return intact && has_base && wanted.version > active && valid(wanted);
}

/// First violation in one history; empty when there is none.
std::string check_history(const std::vector<offer_step>& steps, fault_injection faults) {
    static const auto history = make_history(12);
    REQUIRE(valid(history[1]));
    REQUIRE_FALSE(valid(history[2]));
    config_store store{faults};
    std::uint64_t expected = 0;
    for (const auto& step : steps) {
        const auto before = store.version();
        if (reference_accepts(history.at(step.version), step, expected)) {
            expected = history.at(step.version).version;
        }
        (void)offer(store, history, step);
        if (store.version() < before) {
            return "version reversal";
        }
        if (store.version() != expected) {
            return "differs from the reference";
        }
        if (store.active() &&
            model::encode(store.active()->source()) != model::encode(history.at(store.version()))) {
            return "partially applied";
        }
    }
    return {};
}

std::vector<offer_step> random_steps(random_source& random) {
    std::vector<offer_step> steps(1 + random.below(24));
    for (auto& step : steps) {
        step.kind = static_cast<offer_kind>(random.below(5));
        step.version = 1 + random.below(12);
    }
    return steps;
}

} // namespace

TEST_CASE("10,000 random offer histories match the reference model and versions never decrease") {
    random_source random{20261204};
    for (int history = 0; history < 10000; ++history) {
        INFO("history " << history);
        REQUIRE(check_history(random_steps(random), {}).empty());
    }
}

TEST_CASE("the apply checker reports a store that accepts older or invalid versions") {
    random_source random{7};
    std::map<std::string, int> seen;
    for (int history = 0; history < 200; ++history) {
        const auto steps = random_steps(random);
        ++seen[check_history(steps, {.accept_older_versions = true})];
        ++seen["invalid: " + check_history(steps, {.skip_validation = true})];
    }
    REQUIRE(seen["version reversal"] > 0);
    REQUIRE(seen["invalid: differs from the reference"] > 0);
}

TEST_CASE("a refused version stays refused with its reason") {
    const auto history = make_history(2);
    config_store store;
    REQUIRE(store.offer(history[1], model::digest(history[1])).outcome == offer_outcome::applied);
    const auto digest = model::digest(history[2]);
    const auto refused = store.offer(history[2], digest);
    REQUIRE(refused.outcome == offer_outcome::refused);
    REQUIRE(refused.code == result_code::snapshot_dangling_reference);
    REQUIRE(store.refused(2, digest));
    REQUIRE_FALSE(store.refusal(2, digest).empty());
    REQUIRE(store.version() == 1);
}

TEST_CASE("single-chunk snapshots hold no slot, and absent bases and versions are refused") {
    config_store store;
    const auto snapshot = model::merge_part({}, make_part("team"));
    (void)store.offer(snapshot, model::digest(snapshot));
    snapshot_server server;
    // The snapshot has one chunk, so a peer releases its slot as soon as it is served; deltas need no slot.
    for (std::size_t peer = 0; peer < 2 * config::max_snapshot_transfers; ++peer) {
        const auto answer = server.answer(origin, address_of(peer), {1, 0, 0}, store);
        REQUIRE(std::holds_alternative<config_chunk>(answer));
        REQUIRE(server.slots_in_use() == 0);
    }
    const auto unknown_base = server.answer(origin, address_of(0), {1, 9, 0}, store);
    REQUIRE(std::get<config_refusal>(unknown_base).reason == config_refusal_reason::base_absent);
    const auto unknown_version = server.answer(origin, address_of(0), {5, 0, 0}, store);
    REQUIRE(std::get<config_refusal>(unknown_version).reason == config_refusal_reason::version_absent);
}

TEST_CASE("a multi-chunk snapshot holds its slot until the last chunk or two idle seconds") {
    auto part = make_part("team");
    const auto route = part.routes.front();
    for (int index = 1000; index < 3000; ++index) {
        part.routes.push_back(route);
        part.routes.back().name += std::to_string(index);
        part.routes.back().path_prefix += std::to_string(index);
    }
    const auto snapshot = model::merge_part({}, part);
    config_store store;
    (void)store.offer(snapshot, model::digest(snapshot));
    snapshot_server server;
    for (std::size_t peer = 0; peer < config::max_snapshot_transfers; ++peer) {
        REQUIRE(
            std::holds_alternative<config_chunk>(server.answer(origin, address_of(peer), {1, 0, 0}, store)));
    }
    const auto busy = server.answer(origin, address_of(9), {1, 0, 0}, store);
    REQUIRE(std::get<config_refusal>(busy).reason == config_refusal_reason::busy);
    const auto first = std::get<config_chunk>(server.answer(origin, address_of(0), {1, 0, 0}, store));
    (void)server.answer(origin, address_of(0), {1, 0, first.chunks - 1}, store);
    REQUIRE(std::holds_alternative<config_chunk>(server.answer(origin, address_of(9), {1, 0, 0}, store)));
    REQUIRE(std::holds_alternative<config_refusal>(server.answer(origin, address_of(8), {1, 0, 0}, store)));
    REQUIRE(
        std::holds_alternative<config_chunk>(server.answer(origin + 3s, address_of(8), {1, 0, 0}, store)));
}
