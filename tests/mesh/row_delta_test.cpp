// Tests of the deltas between versions of a row, on random documents.

#include "endive/mesh.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::mesh;

namespace {

std::string entry_of(int name, int value) {
    return R"({"Name":"route-)" + std::to_string(name) + R"(","Spec":{"Timeout":")" + std::to_string(value) +
           R"(ms"}},)";
}

std::string document_of(const std::vector<std::pair<int, int>>& entries, int version) {
    std::string result = R"({"Version":"r)" + std::to_string(version) + R"(","Resources":[)";
    for (const auto& [name, value] : entries) {
        result += entry_of(name, value);
    }
    return result + "]}";
}

store_row row_of(std::string value, std::uint64_t version) {
    return {"op", "config", std::move(value), version};
}

std::vector<std::pair<int, int>> many_entries(int count) {
    std::vector<std::pair<int, int>> result;
    for (int i = 0; i < count; ++i) {
        result.emplace_back(i, 1000);
    }
    return result;
}

} // namespace

TEST_CASE("a delta turns its base into the new value, whatever the two are") {
    const bool holds = rc::check("apply(make(a, b), a) == b", [] {
        const auto name = rc::gen::inRange(0, 9);
        const auto entries = rc::gen::container<std::vector<std::pair<int, int>>>(rc::gen::pair(name, name));
        const auto before = row_of(document_of(*entries, 1), 1);
        const auto after = row_of(document_of(*entries, 2), 2);
        const auto result = apply_delta(before, make_delta(before, after));
        RC_ASSERT(result.has_value());
        RC_ASSERT(*result == after);
    });
    CHECK(holds);
}

// Guards against a whole configuration of hundreds of KB on a slow link for each small change.
TEST_CASE("the delta of one changed route among 2000 is small") {
    auto entries = many_entries(2000);
    const auto before = row_of(document_of(entries, 41), 1);
    entries[1234].second = 1500;
    entries.erase(entries.begin() + 700);
    entries.emplace_back(5000, 100);
    const auto after = row_of(document_of(entries, 42), 2);
    const auto delta = make_delta(before, after);
    CHECK(delta.size() < 500);
    CHECK(apply_delta(before, delta) == after);
}

// Guards against a damaged row: a delta for another base, out of its bounds or with a wrong checksum.
TEST_CASE("a delta that does not fit its base is rejected") {
    const auto before = row_of(document_of(many_entries(3), 1), 1);
    const auto after = row_of(document_of(many_entries(4), 2), 2);
    const auto delta = make_delta(before, after);
    auto other = before;
    other.version = 9;
    CHECK_FALSE(apply_delta(other, delta));
    other = before;
    other.value[other.value.size() / 2] = '#';
    CHECK_FALSE(apply_delta(other, delta));
    auto outside = delta;
    outside.steps.front().offset = 0xfffffff0U;
    CHECK_FALSE(apply_delta(before, outside));
    auto damaged = delta;
    ++damaged.checksum;
    CHECK_FALSE(apply_delta(before, damaged));
    auto endless = delta;
    for (int i = 0; i < 5000; ++i) {
        endless.steps.push_back({0, static_cast<std::uint32_t>(before.value.size()), std::string(1000, 'x')});
    }
    CHECK_FALSE(apply_delta(before, endless));
}

TEST_CASE("the changes since an earlier version lead to the newest one") {
    row_changes changes;
    auto entries = many_entries(100);
    std::vector<store_row> versions{row_of(document_of(entries, 1), 1)};
    for (std::uint64_t version = 2; version <= 6; ++version) {
        entries[version].second += 1;
        versions.push_back(row_of(document_of(entries, static_cast<int>(version)), version * 10));
        CHECK(changes.record(versions[version - 2], versions.back()) != nullptr);
    }
    for (std::size_t from = 0; from + 1 < versions.size(); ++from) {
        std::optional<store_row> row = versions[from];
        for (const auto& delta : changes.since(versions[from])) {
            row = apply_delta(*row, delta);
            REQUIRE(row);
        }
        CHECK(*row == versions.back());
    }
    CHECK(changes.since(row_of({}, 999)).empty());
    // A change of most of the value is sent whole, and no chain of deltas leads across it.
    const auto replaced = row_of(document_of(many_entries(3000), 9), 100);
    CHECK(changes.record(versions.back(), replaced) == nullptr);
    CHECK(changes.since(versions.front()).empty());
}
