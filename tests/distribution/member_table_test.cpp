#include "support.h"

#include "distribution/member_table.h"

#include <algorithm>

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

/// Data is a function of (incarnation, revision), because only the member itself writes it.
member_record random_record(random_source& random, std::size_t members = 3) {
    member_record record;
    record.id = address_of(1 + random.below(members));
    record.incarnation = random.below(3);
    record.state = static_cast<member_state>(random.below(4));
    record.revision = random.below(3);
    record.version_floor = random.below(5);
    record.failure_domain = "d" + std::to_string(record.incarnation) + std::to_string(record.revision);
    return record;
}

member_record record_of(std::size_t index, std::uint64_t incarnation = 1) {
    member_record record;
    record.id = address_of(index);
    record.incarnation = incarnation;
    return record;
}

/// Naive reference model of the merge: the highest incarnation, then the greatest of each field.
member_record reference_merge(const std::vector<member_record>& records) {
    member_record best;
    for (const auto& record : records) {
        best.incarnation = std::max(best.incarnation, record.incarnation);
        best.version_floor = std::max(best.version_floor, record.version_floor);
        best.id = record.id;
    }
    for (const auto& record : records) {
        if (record.incarnation == best.incarnation) {
            best.state = std::max(best.state, record.state);
            if (record.revision >= best.revision) {
                best.revision = record.revision;
                best.failure_domain = record.failure_domain;
            }
        }
    }
    return best;
}

} // namespace

TEST_CASE("member records merge to the reference result in any order and with repetitions") {
    check_property("merge", [](std::uint64_t seed) {
        random_source random{seed};
        std::vector<member_record> records(1 + random.below(6));
        std::ranges::generate(records, [&] { return random_record(random, 1); });
        auto merged = records.front();
        for (int turn = 0; turn < 40; ++turn) {
            merged = merge_members(records[random.below(records.size())], merged);
        }
        for (const auto& record : records) {
            merged = merge_members(merged, record);
        }
        RC_ASSERT(merged == reference_merge(records));
    });
}

TEST_CASE("exchanging differing buckets gives two tables equal live members and digests") {
    check_property("repair", [](std::uint64_t seed) {
        random_source random{seed};
        member_table left{record_of(90)};
        member_table right{record_of(91)};
        for (int turn = 0; turn < 30; ++turn) {
            (void)(random.below(2) == 0 ? left : right).merge(origin, random_record(random, 12));
        }
        for (int round = 0; round < 2; ++round) {
            const auto digests = right.digests();
            for (const auto& record : left.differing({digests.begin(), digests.end()})) {
                (void)right.merge(origin, record);
            }
            std::swap(left, right);
        }
        const auto digests = right.digests();
        for (const auto& record : left.differing({digests.begin(), digests.end()})) {
            (void)right.merge(origin, record);
        }
        RC_ASSERT(left.digest() == right.digest());
        RC_ASSERT(left.live() == right.live());
    });
}

TEST_CASE("a suspect member is dead after three seconds unless it refutes the suspicion") {
    member_table table{record_of(0)};
    REQUIRE(table.merge(origin, record_of(1)) == merge_outcome::changed);
    REQUIRE(table.mark_suspect(origin, address_of(1)));
    REQUIRE(table.is_live(address_of(1)));
    REQUIRE(table.advance(origin + 2900ms).empty());
    SECTION("without refutation") {
        REQUIRE(table.advance(origin + 3000ms) == std::vector{address_of(1)});
        REQUIRE_FALSE(table.is_live(address_of(1)));
    }
    SECTION("refuted with a higher incarnation") {
        REQUIRE(table.merge(origin + 2900ms, record_of(1, 2)) == merge_outcome::changed);
        REQUIRE(table.advance(origin + 9s).empty());
        REQUIRE(table.find(address_of(1))->state == member_state::alive);
    }
    SECTION("an old alive record does not refute") {
        REQUIRE(table.merge(origin + 2900ms, record_of(1)) == merge_outcome::sender_stale);
        REQUIRE(table.advance(origin + 3000ms).size() == 1);
    }
}

TEST_CASE("a member refutes records that declare it failed, unless it is leaving") {
    member_table table{record_of(0, 5)};
    auto declared_dead = record_of(0, 5);
    declared_dead.state = member_state::dead;
    REQUIRE(table.merge(origin, declared_dead) == merge_outcome::refuted);
    REQUIRE(table.self().incarnation == 6);
    REQUIRE(table.merge(origin, record_of(0, 9)) == merge_outcome::refuted);
    REQUIRE(table.self().incarnation == 10);
    REQUIRE(table.merge(origin, record_of(0, 2)) == merge_outcome::sender_stale);
    table.set_leaving();
    declared_dead.incarnation = 10;
    REQUIRE(table.merge(origin, declared_dead) != merge_outcome::refuted);
    REQUIRE(table.self().incarnation == 10);
}

TEST_CASE("the version floor of a member survives its death and never decreases") {
    member_table table{record_of(0)};
    (void)table.merge(origin, record_of(1));
    table.raise_version_floor(address_of(1), 7);
    (void)table.mark_suspect(origin, address_of(1));
    (void)table.advance(origin + 5s);
    auto again = record_of(1, 9);
    again.version_floor = 3;
    (void)table.merge(origin + 6s, again);
    REQUIRE(table.version_floor(address_of(1)) == 7);
}

TEST_CASE("malformed member records are ignored") {
    member_table table{record_of(0)};
    auto record = record_of(1);
    record.id = "not an address";
    REQUIRE(table.merge(origin, record) == merge_outcome::unchanged);
    record = record_of(1);
    record.endpoints.resize(config::max_endpoints_per_member + 1);
    REQUIRE(table.merge(origin, record) == merge_outcome::unchanged);
    REQUIRE(table.size() == 1);
}
