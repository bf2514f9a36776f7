#include "endive/moves.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

#include <algorithm>

using namespace endive;
using namespace endive::moves;

namespace {

model::snapshot snapshot_with(std::vector<model::version_move> list) {
    model::team_part part;
    part.team = "t";
    part.services.resize(1);
    part.services[0].name = "s";
    part.services[0].stable_version = "a";
    part.moves = std::move(list);
    return {1, {part}};
}

record move_record(const std::string& from, const std::string& to, double share, std::uint64_t epoch,
                   std::uint64_t sequence) {
    const directive value{"s:" + to, "s", from, to, share, share / 2, "ramping"};
    return {std::string{directive_kind}, value.move_id, epoch, sequence, false, encode(value)};
}

record hold_record(const std::string& version, hold_state state, std::uint64_t epoch, std::uint64_t sequence,
                   bool final) {
    const hold_payload payload{"s", version, state, "d", "r", {}, 1};
    return {std::string{hold_kind}, hold_key("s", version), epoch, sequence, final, encode(payload)};
}

double share_of(const std::vector<model::version_share>& shares, const std::string& version) {
    double sum = 0;
    for (const auto& entry : shares) {
        sum += entry.version == version ? entry.share : 0;
    }
    return sum;
}

record random_record() {
    const auto to = *rc::gen::element<std::string>("b", "c");
    const auto epoch = *rc::gen::inRange<std::uint64_t>(0, 4);
    const auto sequence = *rc::gen::inRange<std::uint64_t>(0, 6);
    if (*rc::gen::arbitrary<bool>()) {
        return move_record(to == "b" ? "a" : "b", to, *rc::gen::inRange(0, 101) / 100.0, epoch, sequence);
    }
    const auto state = *rc::gen::element(hold_state::held, hold_state::released);
    return hold_record(to, state, epoch, sequence, *rc::gen::inRange(0, 8) == 0);
}

/// Reference implementation: the greatest record of each key, where the first final record is never replaced.
std::map<std::string, record> reference_winners(std::vector<record> records) {
    std::map<std::string, record> winners;
    for (const auto& candidate : records) {
        auto& winner = winners.try_emplace(candidate.kind + candidate.key, candidate).first->second;
        const auto rank = [](const record& r) { return std::make_tuple(r.final, r.epoch, r.sequence); };
        if (!winner.final && rank(candidate) > rank(winner)) {
            winner = candidate;
        }
    }
    return winners;
}

} // namespace

// Guards against traffic to a new version without a directive.
TEST_CASE("without a directive the stable version gets all traffic") {
    split_table table;
    table.set_snapshot(snapshot_with({{"s:b", "t", "s", "a", "b", 1}}));
    REQUIRE(table.splits().front().shares == std::vector<model::version_share>{{"a", 1.0}});
    REQUIRE(table.splits().front().non_idempotent_shares == std::vector<model::version_share>{{"a", 1.0}});
}

// Guards against applying a directive whose move was removed from the configuration, or whose versions differ
// from the configured ones.
TEST_CASE("directives that do not match the active configuration have no effect") {
    split_table table;
    table.set_snapshot(snapshot_with({{"s:c", "t", "s", "a", "c", 1}}));
    table.on_record(move_record("a", "b", 0.5, 1, 1));
    table.on_record(move_record("b", "c", 0.5, 1, 1));
    REQUIRE(table.splits().front().shares == std::vector<model::version_share>{{"a", 1.0}});
}

// Guards against losing shares in a chain of moves when the configuration lists the later move first.
TEST_CASE("a chain of moves gives the same split in any order") {
    const model::version_move first{"s:b", "t", "s", "a", "b", 1};
    const model::version_move second{"s:c", "t", "s", "b", "c", 2};
    for (const auto& list : {std::vector{first, second}, std::vector{second, first}}) {
        split_table table;
        table.set_snapshot(snapshot_with(list));
        table.on_record(move_record("a", "b", 1.0, 1, 1));
        table.on_record(move_record("b", "c", 0.25, 1, 1));
        const auto split = table.splits().front();
        REQUIRE(share_of(split.shares, "c") == Approx(0.25));
        REQUIRE(share_of(split.shares, "b") == Approx(0.75));
        REQUIRE(share_of(split.shares, "a") == Approx(0));
    }
}

// Guards against a late or reordered record that sends traffic to a taken-back version.
TEST_CASE("after a take-back no split contains the version, whatever records arrive in whatever order") {
    REQUIRE(rc::check([] {
        auto records = *rc::gen::container<std::vector<record>>(rc::gen::exec(random_record));
        const auto position = *rc::gen::inRange<std::size_t>(0, records.size() + 1);
        records.insert(records.begin() + static_cast<std::ptrdiff_t>(position),
                       hold_record("b", hold_state::taken_back, 1, 1, true));
        split_table table;
        table.set_snapshot(snapshot_with({{"s:b", "t", "s", "a", "b", 1}, {"s:c", "t", "s", "b", "c", 1}}));
        bool taken_back = false;
        for (const auto& item : records) {
            table.on_record(item);
            taken_back = taken_back || (item.final && item.key == hold_key("s", "b"));
            const auto split = table.splits().front();
            if (taken_back) {
                RC_ASSERT(share_of(split.shares, "b") == 0);
                RC_ASSERT(share_of(split.non_idempotent_shares, "b") == 0);
            }
            double sum = 0;
            for (const auto& entry : split.shares) {
                sum += entry.share;
            }
            RC_ASSERT(std::abs(sum - 1) < 1e-9);
        }
    }));
}

// Guards against different splits in daemons that received the same records in a different order.
TEST_CASE("the winning records do not depend on the order of arrival") {
    REQUIRE(rc::check([] {
        const auto records = *rc::gen::container<std::vector<record>>(rc::gen::exec(random_record));
        record_set applied;
        for (const auto& item : records) {
            applied.apply(item);
        }
        const auto expected = reference_winners(records);
        for (const auto& item : applied.all()) {
            const auto& other = expected.at(item.kind + item.key);
            RC_ASSERT(item.final == other.final);
            RC_ASSERT(item.final || (item.epoch == other.epoch && item.sequence == other.sequence));
        }
        RC_ASSERT(applied.all().size() == expected.size());
    }));
}

// Guards against an empty split while one of the two versions of a move may still get traffic.
TEST_CASE("a held version leaves its traffic to the other version of the move") {
    split_table table;
    table.set_snapshot(snapshot_with({{"s:b", "t", "s", "a", "b", 1}}));
    table.on_record(move_record("a", "b", 1.0, 1, 1));
    table.on_record(hold_record("b", hold_state::held, 1, 1, false));
    REQUIRE(table.splits().front().shares == std::vector<model::version_share>{{"a", 1.0}});
    table.on_record(hold_record("b", hold_state::released, 2, 1, false));
    table.on_record(move_record("a", "b", 0.4, 2, 1));
    table.on_record(hold_record("a", hold_state::taken_back, 2, 1, true));
    REQUIRE(table.splits().front().shares == std::vector<model::version_share>{{"b", 1.0}});
    table.on_record(hold_record("b", hold_state::taken_back, 2, 2, true));
    REQUIRE(table.splits().front().shares.empty());
}

// Guards against a hold that stays active after its release, and against a release by an owner of an older
// epoch.
TEST_CASE("a hold is released by a higher epoch only") {
    split_table table;
    table.set_snapshot(snapshot_with({{"s:b", "t", "s", "a", "b", 1}}));
    table.on_record(move_record("a", "b", 0.5, 3, 1));
    table.on_record(hold_record("b", hold_state::held, 2, 7, false));
    REQUIRE(share_of(table.splits().front().shares, "b") == 0);
    table.on_record(hold_record("b", hold_state::released, 1, 9, false));
    REQUIRE(share_of(table.splits().front().shares, "b") == 0);
    table.on_record(hold_record("b", hold_state::released, 3, 1, false));
    REQUIRE(share_of(table.splits().front().shares, "b") == Approx(0.5));
    table.on_record(hold_record("b", hold_state::held, 2, 8, false));
    REQUIRE(share_of(table.splits().front().shares, "b") == Approx(0.5));
}
