#include "endive/mesh.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

heartbeat beat(std::string id, std::int64_t start_unix_ms, std::uint64_t sequence,
               endpoint_state state = endpoint_state::ready) {
    return {std::move(id), "svc", "10.0.0.1:8301", "zone", "v1", 12, state, 0ms, sequence, start_unix_ms};
}

endpoint_tracker tracker() {
    return {"svc", "10.0.0.1:8301"};
}

} // namespace

TEST_CASE("a delayed heartbeat does not make a draining endpoint ready again") {
    auto endpoint = tracker();
    REQUIRE(endpoint.on_heartbeat(beat("i-1", 1000, 5), start));
    REQUIRE(endpoint.on_heartbeat(beat("i-1", 1000, 7, endpoint_state::draining), start));
    CHECK_FALSE(endpoint.on_heartbeat(beat("i-1", 1000, 6), start));
    CHECK(endpoint.current().state == endpoint_state::draining);
}

TEST_CASE("a heartbeat of an earlier start does not replace the endpoint of a later one") {
    auto endpoint = tracker();
    REQUIRE(endpoint.on_heartbeat(beat("i-2", 2000, 1), start));
    CHECK_FALSE(endpoint.on_heartbeat(beat("i-1", 1000, 90), start));
    CHECK(endpoint.current().endpoint_id == "i-2");
}

TEST_CASE("an endpoint may restart with the same id and a new sequence") {
    auto endpoint = tracker();
    REQUIRE(endpoint.on_heartbeat(beat("i-1", 1000, 90), start));
    REQUIRE(endpoint.on_deregister("i-1", 5000));
    CHECK(endpoint.on_heartbeat(beat("i-1", 3000, 1), start));
    CHECK(endpoint.is_ready());
}

TEST_CASE("an endpoint that deregistered and still sends heartbeats stays draining") {
    auto endpoint = tracker();
    REQUIRE(endpoint.on_heartbeat(beat("i-1", 1000, 1), start));
    REQUIRE(endpoint.on_deregister("i-1", 5000));
    CHECK(endpoint.on_heartbeat(beat("i-1", 1000, 2), start));
    CHECK(endpoint.current().state == endpoint_state::draining);
}

// Guards against using an endpoint that deregistered right after a restart of its daemon, which did not know
// it yet, once a delayed heartbeat from before arrives (orsb-fes-grown, hunt-c50a-7).
TEST_CASE("a deregistration binds also while the endpoint is unknown") {
    auto endpoint = tracker();
    CHECK_FALSE(endpoint.on_deregister("i-1", 5000));
    CHECK(endpoint.on_heartbeat(beat("i-1", 1000, 23), start));
    CHECK(endpoint.current().state == endpoint_state::draining);
    CHECK(endpoint.on_heartbeat(beat("i-1", 6000, 1), start));
    CHECK(endpoint.is_ready());
}

TEST_CASE("a deregistration binds an endpoint that is known by its health check only") {
    auto endpoint = tracker();
    endpoint.on_health("i-1", true, 4);
    REQUIRE(endpoint.is_ready());
    CHECK(endpoint.on_deregister("i-1", 5000));
    endpoint.on_heartbeat(beat("i-1", 1000, 23), start);
    CHECK(endpoint.current().state == endpoint_state::draining);
}

// Guards against a departure that is acknowledged, but that others and a restart of the daemon do not learn
// of, because no endpoint was known or its start was not.
TEST_CASE("a departure tells which starts it binds") {
    auto unknown = tracker();
    const auto before = unknown.revision();
    unknown.on_deregister("i-1", 5000);
    CHECK(unknown.revision() > before);
    CHECK(unknown.current().endpoint_id == "i-1");
    CHECK(unknown.current().state == endpoint_state::draining);
    CHECK(unknown.start_unix_ms() == 5000);
    auto from_health = tracker();
    from_health.on_health("i-1", true, 4);
    from_health.on_deregister("i-1", 5000);
    CHECK(from_health.start_unix_ms() == 5000);
    from_health.on_heartbeat(beat("i-1", 1000, 7), start);
    CHECK(from_health.start_unix_ms() == 5000);
    auto usual = tracker();
    usual.on_heartbeat(beat("i-1", 1000, 7), start);
    CHECK(usual.start_unix_ms() == 1000);
    usual.on_deregister("i-1", 5000);
    CHECK(usual.start_unix_ms() == 1000);
    usual.on_heartbeat(beat("i-2", 6000, 1), start);
    CHECK(usual.start_unix_ms() == 6000);
    CHECK(usual.is_ready());
}

TEST_CASE("a heartbeat of another service or address is rejected") {
    auto endpoint = tracker();
    auto forged = beat("i-9", 9000, 1);
    forged.service = "other";
    CHECK_FALSE(endpoint.on_heartbeat(forged, start));
    forged = beat("i-9", 9000, 1);
    forged.address = "10.0.0.2:8301";
    CHECK_FALSE(endpoint.on_heartbeat(forged, start));
    CHECK(endpoint.current().state == endpoint_state::absent);
}

TEST_CASE("an endpoint without heartbeats expires and is ready again with the next one") {
    auto endpoint = tracker();
    REQUIRE(endpoint.on_heartbeat(beat("i-1", 1000, 1), start));
    CHECK_FALSE(endpoint.expire(start + 5s, 6s));
    CHECK(endpoint.expire(start + 7s, 6s));
    CHECK_FALSE(endpoint.is_ready());
    CHECK(endpoint.on_heartbeat(beat("i-1", 1000, 2), start + 8s));
    CHECK(endpoint.is_ready());
}

TEST_CASE("a departure acknowledged before a restart of the daemon stays in effect") {
    auto endpoint = tracker();
    endpoint.on_reported_departure("i-1", 1000);
    endpoint.on_health("i-1", true, 12);
    CHECK_FALSE(endpoint.is_ready());
    endpoint.on_health("i-2", true, 12);
    CHECK(endpoint.is_ready());
}

// Guards against an endpoint that is used again after a restart of its daemon: a heartbeat that was sent
// before the departure arrives after the restart.
TEST_CASE("a delayed heartbeat does not revoke a departure from before a restart") {
    auto endpoint = tracker();
    endpoint.on_reported_departure("i-1", 1000);
    CHECK(endpoint.on_heartbeat(beat("i-1", 1000, 7), start));
    CHECK_FALSE(endpoint.is_ready());
    CHECK(endpoint.on_heartbeat(beat("i-1", 2000, 1), start + 1s));
    CHECK(endpoint.is_ready());
    endpoint.on_reported_departure("i-1", 1000); // an old report about an earlier start
    CHECK(endpoint.is_ready());
}

// Guards against a row of another writer that ends the process or stops the reading of the rows after it.
TEST_CASE("a member row with numbers out of range is rejected") {
    member good;
    good.daemon = "d";
    good.address = "10.0.0.1:7000";
    good.daemon_start_unix_ms = 1'770'000'000'000;
    good.slots = 12;
    REQUIRE(decode_member(encode(good)) == good);
    const std::string nested(30'000, '[');
    const std::vector<std::pair<std::string, json>> mutations{
        {"slots", 1e300},     {"slots", -1},        {"slots", 4294967297},     {"start", 1e300},
        {"start", INT64_MAX}, {"born", UINT64_MAX}, {"revision", -1},          {"revision", 0.5},
        {"link_mbps", 1e300}, {"daemon", ""},       {"slots", json::array({})}};
    for (const auto& [key, value] : mutations) {
        auto row = json::parse(encode(good));
        row[key] = value;
        INFO(key << " " << value.dump());
        CHECK_THROWS_AS(decode_member(row.dump()), error);
    }
    CHECK_THROWS_AS(decode_member(nested), error);
    CHECK_THROWS_AS(decode_member(nested + std::string(nested.size(), ']')), error);
}

TEST_CASE("the newer of two members has the greater start and revision") {
    member older{"d", 10, 5, "a", "z", "s", "i", "v", 12, endpoint_state::ready, 1, false};
    auto newer = older;
    newer.revision = 6;
    CHECK(supersedes(newer, older));
    CHECK_FALSE(supersedes(older, newer));
    auto restarted = older;
    restarted.daemon_start_unix_ms = 11;
    restarted.revision = 1;
    CHECK(supersedes(restarted, newer));
    CHECK(decode_member(encode(newer)) == newer);
    CHECK_THROWS_AS(decode_member("{\"daemon\":3}"), error);
}

TEST_CASE("an older version never replaces a newer row") {
    row_replica rows;
    CHECK(rows.apply({"op", "config", "new", 7, false}));
    CHECK_FALSE(rows.apply({"op", "config", "old", 6, false}));
    CHECK_FALSE(rows.apply({"op", "config", "new", 7, false}));
    CHECK(rows.find("op", "config")->value == "new");
    CHECK(rows.apply({"op", "config", "", 8, true}));
}

namespace {

constexpr missing_rows::store_timeouts impatient{0ms, 0ms};
constexpr missing_rows::store_timeouts patient{950ms, 950ms};

store_row head_of(std::uint64_t version) {
    return {"op", "config", "", version, false};
}

} // namespace

// Guards against fetching each configuration from a peer in another failure domain during frequent changes,
// although the store delivers them: this caused 34 MB of traffic in ten seconds at 74 VMs.
TEST_CASE("a row is not requested from a peer while the store delivers newer versions") {
    row_replica rows;
    missing_rows missing;
    for (std::uint64_t version = 1; version <= 10; ++version) {
        const auto now = start + milliseconds{700} * static_cast<int>(version);
        missing.on_head(head_of(version), "far", false, rows, now);
        CHECK(missing.take_due(now, patient, rows).empty());
        (void)rows.apply(head_of(version - 1)); // the store is one change behind
    }
    // Then the store stalls: the row is requested from the peer, although the peer reports later changes.
    const auto stalled_at = start + milliseconds{700} * 11;
    CHECK(missing.take_due(stalled_at, patient, rows).empty());
    missing.on_head(head_of(11), "far", false, rows, stalled_at + milliseconds{500});
    const auto requests = missing.take_due(stalled_at + milliseconds{960}, patient, rows);
    CHECK(requests == std::vector<missing_rows::request>{{head_of(11), "far", 1660ms}});
}

TEST_CASE("a row is requested from the nearer of two peers, and from another one without an answer") {
    row_replica rows;
    missing_rows missing;
    missing.on_head(head_of(3), "far", false, rows, start);
    missing.on_head(head_of(3), "near", true, rows, start);
    const auto requests = missing.take_due(start, impatient, rows);
    CHECK(requests == std::vector<missing_rows::request>{{head_of(3), "near", 0ms}});
    CHECK(missing.take_due(start + milliseconds{100}, impatient, rows).empty());
    CHECK(missing.take_due(start + milliseconds{600}, impatient, rows).empty());
    missing.on_unanswered("near"); // its link is down or silent
    const auto repeated = missing.take_due(start + milliseconds{700}, impatient, rows);
    CHECK(repeated == std::vector<missing_rows::request>{{head_of(3), "far", 700ms}});
}

// Guards against copies of a large row that compete on a slow link: a request was given up after 500 ms and
// repeated at another peer while its answer was arriving.
TEST_CASE("a request whose answer may be arriving is not repeated") {
    row_replica rows;
    missing_rows missing;
    missing.on_head(head_of(3), "near", true, rows, start);
    REQUIRE(missing.take_due(start, impatient, rows).size() == 1);
    missing.on_head(head_of(3), "other", true, rows, start + 400ms);
    CHECK(missing.take_due(start + 600ms, impatient, rows).empty());
    missing.on_head(head_of(3), "other", true, rows, start + 800ms);
    CHECK(missing.take_due(start + 1600ms, impatient, rows).empty());
    // The bound for a row that never arrives.
    missing.on_head(head_of(3), "other", true, rows, start + 1900ms);
    const auto repeated = missing.take_due(start + 2100ms, impatient, rows);
    REQUIRE(repeated.size() == 1);
    CHECK(repeated.front().daemon == "other");
}

// Guards against a daemon that never asks a peer because the store keeps delivering old versions to it.
TEST_CASE("a row is requested from a peer when the store delivers old versions only") {
    row_replica rows;
    missing_rows missing;
    std::vector<missing_rows::request> requests;
    constexpr std::uint64_t behind = 5; // changes, or two seconds
    for (std::uint64_t version = 1; version <= 10 && requests.empty(); ++version) {
        const auto now = start + 400ms * static_cast<int>(version);
        (void)rows.apply(head_of(version));
        missing.on_head(head_of(version + behind), "near", true, rows, now);
        requests = missing.take_due(now, patient, rows);
    }
    // Version 6 was reported first, at 400 ms. Version 5 was delivered at 2000 ms.
    CHECK(requests == std::vector<missing_rows::request>{{head_of(9), "near", 1200ms}});
}

// Guards against a daemon on a slow link that waits for the store's answer although a peer in its failure
// domain, where bytes cost little, has the row.
TEST_CASE("a row is requested sooner from a peer in the same failure domain") {
    const missing_rows::store_timeouts timeouts{300ms, 950ms};
    row_replica rows;
    missing_rows missing;
    missing.on_head(head_of(3), "far", false, rows, start);
    CHECK(missing.take_due(start + 400ms, timeouts, rows).empty());
    missing.on_head(head_of(3), "near", true, rows, start + 500ms);
    const auto requests = missing.take_due(start + 500ms, timeouts, rows);
    CHECK(requests == std::vector<missing_rows::request>{{head_of(3), "near", 500ms}});
    missing_rows only_far;
    only_far.on_head(head_of(3), "far", false, rows, start);
    CHECK(only_far.take_due(start + 900ms, timeouts, rows).empty());
    CHECK(only_far.take_due(start + 950ms, timeouts, rows).front().daemon == "far");
}

// Guards against forgetting the only near daemon with a row because some distant ones reported it first.
TEST_CASE("a near daemon replaces a distant one among the remembered holders of a row") {
    row_replica rows;
    missing_rows missing;
    for (int i = 0; i < 8; ++i) {
        missing.on_head(head_of(3), "far" + std::to_string(i), false, rows, start);
    }
    missing.on_head(head_of(3), "near", true, rows, start);
    CHECK(missing.take_due(start, impatient, rows).front().daemon == "near");
}
