#include "endive/model.h"
#include "model/property.h"

#include <algorithm>

using namespace endive;
using namespace endive::model;

namespace {

service make_service(const std::string& team, int number) {
    service item;
    item.name = team + "-s" + std::to_string(number);
    item.team = team;
    item.failure_domains = {"fd-a"};
    item.releases = {{"v1"}, {"v2"}};
    item.stable_version = "v1";
    return item;
}

team_part make_part(const std::string& team, int services) {
    team_part part;
    part.team = team;
    part.organisation = "Org " + team;
    part.failure_domains = {"fd-a"};
    part.regions = {{"region-a", {"fd-a"}}};
    for (int i = 0; i < services; ++i) {
        part.services.push_back(make_service(team, i));
        const auto& name = part.services.back().name;
        part.routes.push_back({name, team, "GET", "/" + team + "/" + std::to_string(i), name, true, 1000, 1});
    }
    if (services > 0) {
        const auto& name = part.services.front().name;
        part.moves.push_back({name + ":v2", team, name, "v1", "v2", 1'900'000'000'000});
    }
    return part;
}

snapshot make_snapshot() {
    return merge_part(merge_part({}, make_part("alpha", 3)), make_part("beta", 2));
}

/// A snapshot with a random subset of six teams of zero to four services each.
snapshot random_snapshot(std::uint64_t version) {
    snapshot value;
    for (const auto* team : {"a", "b", "c", "d", "e", "f"}) {
        if (*rc::gen::arbitrary<bool>()) {
            auto part = make_part(team, *rc::gen::inRange(0, 5));
            part.changed_at_version = *rc::gen::inRange<std::uint64_t>(1, version + 1);
            value.parts.push_back(std::move(part));
        }
    }
    value.version = version;
    return value;
}

result_code code_of(const snapshot& value) {
    try {
        validate(value);
    } catch (const error& problem) {
        return problem.code();
    }
    return result_code::ok;
}

/// Applies `change` to a valid snapshot and returns the result code of its validation.
template <typename Change>
result_code code_after(Change change) {
    auto value = make_snapshot();
    change(value);
    return code_of(value);
}

} // namespace

TEST_CASE("a delta applied to its origin gives the target for any changes") {
    check_property("delta", [] {
        const auto from = random_snapshot(7);
        const auto to = random_snapshot(9);
        const auto delta = make_delta(from, to);
        RC_ASSERT(apply_delta(from, decode_delta(encode(delta))) == to);
        // Reference: a team is in the delta exactly when its bytes differ or it is absent on one side.
        std::map<std::string, std::string> before;
        std::map<std::string, std::string> after;
        for (const auto& part : from.parts) {
            before[part.team] = encode(part);
        }
        std::vector<std::string> changed;
        for (const auto& part : to.parts) {
            after[part.team] = encode(part);
            if (!before.contains(part.team) || before[part.team] != after[part.team]) {
                changed.push_back(part.team);
            }
        }
        std::vector<std::string> removed;
        for (const auto& [team, bytes] : before) {
            if (!after.contains(team)) {
                removed.push_back(team);
            }
        }
        RC_ASSERT(delta.removed_teams == removed);
        RC_ASSERT(delta.changed.size() == changed.size());
        for (std::size_t i = 0; i < changed.size(); ++i) {
            RC_ASSERT(delta.changed[i].team == changed[i]);
        }
    });
}

TEST_CASE("a delta is rejected for another base version or other content") {
    const auto base = make_snapshot();
    const auto next = merge_part(base, make_part("alpha", 4));
    const auto delta = make_delta(base, next);
    auto older = base;
    older.version = 1;
    REQUIRE_THROWS_AS(apply_delta(older, delta), error);
    auto different = base;
    different.parts[1].organisation = "Other";
    try {
        (void)apply_delta(different, delta);
        FAIL("applied a delta to other content of the same version");
    } catch (const error& problem) {
        REQUIRE(problem.code() == result_code::snapshot_delta_mismatch);
    }
}

TEST_CASE("encoding and decoding give the same snapshot and the same bytes") {
    check_property("codec", [] {
        const auto value = random_snapshot(5);
        const auto bytes = encode(value);
        RC_ASSERT(decode_snapshot(bytes) == value);
        RC_ASSERT(encode(decode_snapshot(bytes)) == bytes);
    });
}

TEST_CASE("a snapshot with any single changed byte is rejected or decodes to a different value") {
    const auto value = make_snapshot();
    const auto bytes = encode(value);
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        auto corrupted = bytes;
        corrupted[at] = static_cast<char>(corrupted[at] ^ 1);
        INFO(corrupted.substr(at > 20 ? at - 20 : 0, 40));
        std::optional<snapshot> decoded;
        auto code = result_code::snapshot_malformed;
        try {
            decoded = decode_snapshot(corrupted);
        } catch (const error& problem) {
            code = problem.code();
        }
        CHECK(decoded != value);
        CHECK(code == result_code::snapshot_malformed);
    }
}

TEST_CASE("decoding rejects unknown, missing, mistyped and out-of-range fields") {
    for (const auto* text :
         {"", "[]", "{}", R"({"version":1})", R"({"parts":[],"version":-1})", R"({"parts":[],"version":1.5})",
          R"({"parts":{},"version":1})", R"({"extra":0,"parts":[],"version":1})",
          R"({"parts":[],"version":99999999999999999999})"}) {
        INFO(text);
        REQUIRE_THROWS_AS(decode_snapshot(text), error);
    }
    REQUIRE_THROWS_AS(decode_snapshot(std::string(100'000, '[')), error);
    REQUIRE(decode_snapshot(R"({"parts":[],"version":1})").version == 1);
}

TEST_CASE("validation accepts a consistent snapshot") {
    REQUIRE(code_of({}) == result_code::ok);
    REQUIRE(code_of(make_snapshot()) == result_code::ok);
}

TEST_CASE("validation finds dangling references") {
    using snap = snapshot;
    const auto dangling = result_code::snapshot_dangling_reference;
    CHECK(code_after([](snap& s) { s.parts[0].routes[0].service = "absent"; }) == dangling);
    CHECK(code_after([](snap& s) { s.parts[0].moves[0].from = "v9"; }) == dangling);
    CHECK(code_after([](snap& s) { s.parts[0].services[0].stable_version = "v9"; }) == dangling);
    CHECK(code_after([](snap& s) { s.parts[0].services[0].failure_domains = {"fd-z"}; }) == dangling);
    CHECK(code_after([](snap& s) {
              s.parts[0].moves[0].service = "absent";
              s.parts[0].moves[0].id = "absent:v2";
          }) == dangling);
    // Removing a service leaves its route without a target.
    CHECK(code_after([](snap& s) { s.parts[0].services.pop_back(); }) == dangling);
}

TEST_CASE("validation finds names and routes that two teams share") {
    CHECK(code_after([](snapshot& s) { s.parts[1].services[0].name = "alpha-s0"; }) ==
          result_code::snapshot_duplicate_name);
    CHECK(code_after([](snapshot& s) { s.parts[1].routes[0].name = "alpha-s0"; }) ==
          result_code::snapshot_duplicate_name);
    CHECK(code_after([](snapshot& s) { s.parts[1].routes[0].path_prefix = "/alpha/0"; }) ==
          result_code::snapshot_conflicting_routes);
}

TEST_CASE("validation finds values that generation never produces") {
    const auto malformed = result_code::snapshot_malformed;
    CHECK(code_after([](snapshot& s) { std::swap(s.parts[0], s.parts[1]); }) == malformed);
    CHECK(code_after([](snapshot& s) { std::swap(s.parts[0].services[0], s.parts[0].services[1]); }) ==
          malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].services[0].endpoints = 0; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].services[0].team = "beta"; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].routes[0].path_prefix = "/a/"; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].routes[0].timeout_ms = 0; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].weights.on_time = 26; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].changed_at_version = 99; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].moves[0].to = "v1"; }) == malformed);
    CHECK(code_after([](snapshot& s) { s.parts[0].failure_domains.emplace_back("fd-b"); }) == malformed);
}

TEST_CASE("merging replaces one team's part only and records the version") {
    const auto base = make_snapshot();
    const auto next = merge_part(base, make_part("alpha", 1));
    REQUIRE(next.version == base.version + 1);
    REQUIRE(find_part(next, "alpha")->changed_at_version == next.version);
    REQUIRE(*find_part(next, "beta") == *find_part(base, "beta"));
    REQUIRE(find_part(next, "gamma") == nullptr);
    REQUIRE(same_content(*find_part(next, "alpha"), make_part("alpha", 1)));
    REQUIRE_FALSE(same_content(*find_part(next, "alpha"), make_part("alpha", 2)));
}

TEST_CASE("comparing parts lists added, removed and changed resources") {
    auto before = make_part("alpha", 2);
    auto after = make_part("alpha", 3);
    after.services[0].endpoints = 9;
    after.moves.clear();
    std::vector<std::pair<change_kind, std::string>> found;
    for (const auto& change : compare_parts(before, after)) {
        found.emplace_back(change.kind, change.resource);
    }
    const std::vector<std::pair<change_kind, std::string>> expected = {
        {change_kind::removed, "move alpha-s0:v2"},
        {change_kind::added, "route alpha-s2"},
        {change_kind::changed, "service alpha-s0"},
        {change_kind::added, "service alpha-s2"}};
    REQUIRE(found == expected);
    after.changed_at_version = 12;
    REQUIRE(compare_parts(after, make_part("alpha", 3)).size() == 2);
}
