#include "support.h"

#include "distribution/convergence_report.h"
#include "distribution/record_store.h"

#include <algorithm>

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

replicated_record random_record(random_source& random) {
    replicated_record record;
    record.kind = static_cast<record_kind>(random.below(2));
    record.key = "key" + std::to_string(random.below(3));
    record.epoch = random.below(3);
    record.sequence = random.below(3);
    record.final = random.below(5) == 0;
    record.payload = std::to_string(random.below(2));
    return record;
}

/// Naive reference model: the last record of each key after sorting.
std::vector<replicated_record> reference(std::vector<replicated_record> records) {
    std::ranges::sort(records, [](const auto& left, const auto& right) {
        return std::tie(left.kind, left.key, left.final, left.epoch, left.sequence, left.payload) <
               std::tie(right.kind, right.key, right.final, right.epoch, right.sequence, right.payload);
    });
    std::map<std::pair<record_kind, std::string>, replicated_record> last;
    for (const auto& record : records) {
        last[{record.kind, record.key}] = record;
    }
    std::vector<replicated_record> result;
    for (auto& [key, record] : last) {
        result.push_back(record);
    }
    return result;
}

} // namespace

TEST_CASE("records merge to the reference result in any order, and equal stores have equal digests") {
    check_property("records", [](std::uint64_t seed) {
        random_source random{seed};
        std::vector<replicated_record> records(1 + random.below(20));
        std::ranges::generate(records, [&] { return random_record(random); });
        record_store forward;
        record_store backward;
        for (const auto& record : records) {
            (void)forward.merge(record);
        }
        for (auto at = records.rbegin(); at != records.rend(); ++at) {
            (void)backward.merge(*at);
        }
        RC_ASSERT(forward.all() == reference(records));
        RC_ASSERT(backward.all() == forward.all());
        RC_ASSERT(backward.digest() == forward.digest());
    });
}

TEST_CASE("a final record is never replaced, whatever its epoch") {
    record_store store;
    replicated_record take_back{record_kind::hold, "pay-desk/v2", 1, 1, true, "taken back"};
    REQUIRE(store.merge(take_back));
    REQUIRE_FALSE(store.merge({record_kind::hold, "pay-desk/v2", 99, 99, false, "released"}));
    REQUIRE(*store.find(record_kind::hold, "pay-desk/v2") == take_back);
}

TEST_CASE("records over the limits are ignored") {
    record_store store;
    REQUIRE_FALSE(store.merge({record_kind::hold, "", 1, 1, false, ""}));
    REQUIRE_FALSE(store.merge(
        {record_kind::hold, "key", 1, 1, false, std::string(config::max_record_payload_bytes + 1, 'x')}));
}

TEST_CASE("duplicate and out-of-order reports do not count evidence twice, and lost evidence is not resent") {
    convergence_report parent;
    convergence_report child;
    const auto report_of = [&](std::uint64_t count) {
        child.add_evidence({{"route", {count, 1}}});
        return child.build(origin, 1, {address_of(1), 3, {}}, false, {});
    };
    const auto first = report_of(5);
    const auto lost = report_of(100);
    const auto third = report_of(7);
    parent.on_report(origin, address_of(1), first);
    parent.on_report(origin, address_of(1), third);
    parent.on_report(origin, address_of(1), third);
    parent.on_report(origin, address_of(1), first);
    const auto sum = parent.build(origin, 1, {address_of(0), 3, {}}, false, {address_of(1)});
    REQUIRE(sum.evidence == std::vector<counter_vector>{{"route", {12, 2}}});
    REQUIRE(sum.counts == std::vector<version_count>{{3, 2}});
    REQUIRE(parent.build(origin, 1, {address_of(0), 3, {}}, false, {}).evidence.empty());
    REQUIRE(lost.evidence.size() == 1);
}

TEST_CASE("a report names at most 16 laggards, those with the lowest versions") {
    convergence_report parent;
    std::vector<member_id> children;
    for (std::size_t index = 1; index <= 40; ++index) {
        children.push_back(address_of(index));
        convergence_report child;
        parent.on_report(origin, address_of(index),
                         child.build(origin, 1, {address_of(index), index, "refused"}, true, {}));
    }
    const auto sum = parent.build(origin, 1, {address_of(0), 41, {}}, false, children);
    REQUIRE(sum.laggards.size() == config::max_reported_laggards);
    REQUIRE(sum.laggards.front().version == 1);
    REQUIRE(sum.counts.size() == 41);
    const auto later = parent.build(origin + 10s, 1, {address_of(0), 41, {}}, false, children);
    REQUIRE(later.counts.size() == 1);
}
