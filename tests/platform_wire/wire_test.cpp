#include "platform/wire.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::platform_wire;
using namespace std::chrono_literals;

namespace {

const std::string configuration_text = R"({"Version":"r7","Resources":[
 {"ResourceType":"Routes","Metadata":{"Name":"r-1"},"Spec":{"Hostname":"a.example","Prefix":"/x/","RouteType":"safe",
  "Timeout":"1200ms","TargetLatency":"0.4s","Priority":2,"TrafficSplit":[{"Service":"s1","Weight":90},
  {"Service":"s2","Weight":10}],"MaxAttempts":2}},
 {"ResourceType":"Routes","Metadata":{"Name":"r-2"},"Spec":{"Hostname":"a.example","Prefix":"/x/y/","RouteType":"unsafe",
  "Timeout":"1500ms","TargetLatency":"500ms","Priority":1,"Service":"s2","MaxAttempts":2}},
 {"ResourceType":"Services","Metadata":{"Name":"s1"},"Spec":{"HealthCheck":"/health","MaxConnections":120,"Protocol":"h1",
  "Tls":false}},
 {"ResourceType":"Limits","Metadata":{},"Spec":{"MaxHeaderBytes":16384,"MaxBodyBytes":1000,"HeaderTimeout":"3000ms",
  "IdleTimeout":"15000ms"}}]})";

void replace(std::string& text, const std::string& from, const std::string& to) {
    text.replace(text.find(from), from.size(), to);
}

} // namespace

TEST_CASE("a configuration is decoded into the project's fields") {
    const auto result = decode_configuration(configuration_text);
    CHECK(result.version == 7);
    REQUIRE(result.routes.size() == 2);
    CHECK(result.routes[0].timeout == 1200ms);
    CHECK(result.routes[0].latency_target == 400ms);
    CHECK(result.routes[0].parts == std::vector<mesh::split_part>{{"s1", 90}, {"s2", 10}});
    CHECK(result.routes[1].kind == mesh::request_kind::unsafe);
    CHECK(result.services.at(0).max_connections == 120);
    CHECK(result.limits.body_bytes == 1000);
}

TEST_CASE("the longest prefix selects the route, regardless of case and port of the host") {
    const mesh::route_index index{decode_configuration(configuration_text)};
    CHECK(index.find("A.example:80", "/x/y/z?q")->name == "r-2");
    CHECK(index.find("a.example", "/x/yz")->name == "r-1");
    CHECK(index.find("a.example", "/x") == nullptr);
    CHECK(index.find("b.example", "/x/") == nullptr);
}

// Guards against a pace that is taken for the slots: a restarted daemon sent up to 100 requests at once.
TEST_CASE("the load of an endpoint is decoded with and without its pace") {
    using report = mesh::endpoint_load_report;
    CHECK(decode_load_report("3,1,12") == report{3, 1, 12, std::nullopt});
    CHECK(decode_load_report("3,1,12,250") == report{3, 1, 12, 2.5});
    CHECK(decode_load_report(" 3, 1, 12, 60 ") == report{3, 1, 12, 0.6});
    CHECK(decode_load_report("3,1,12,100,7") == report{3, 1, 12, 1.0});
    for (const std::string pace : {"", "x", "0", "-1", "99999999999"}) {
        CHECK(decode_load_report("3,1,12," + pace) == report{3, 1, 12, std::nullopt});
    }
    for (const auto* text :
         {"", "3", "3,1", "3,1,", "3,1,0", "x,1,12", "3,,12", "3,1,99999999999", "3 1 12"}) {
        INFO(text);
        CHECK_FALSE(decode_load_report(text));
    }
}

TEST_CASE("a malformed configuration is rejected with an error") {
    const std::vector<std::pair<std::string, std::string>> mutations{
        {"\"r7\"", "\"7\""},
        {"\"safe\"", "\"maybe\""},
        {"\"1200ms\"", "\"1200\""},
        {"\"/x/\"", "\"/x\""},
        {"\"Weight\":90", "\"Weight\":-1"},
        {"\"Hostname\":\"a.example\",", ""},
        {"\"MaxAttempts\":2", "\"MaxAttempts\":\"2\""}};
    for (const auto& [from, to] : mutations) {
        auto text = configuration_text;
        replace(text, from, to);
        INFO(from);
        CHECK_THROWS_AS(decode_configuration(text), error);
    }
    CHECK_THROWS_AS(decode_configuration(configuration_text.substr(0, 200)), error);
}

TEST_CASE("malformed heartbeats are rejected") {
    const std::string good = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":12,)"
                             R"("State":"ready","ColdRemaining":"1.5s","Sequence":4,"born":1786119691000})";
    const auto beat = decode_heartbeat("i-1", good);
    CHECK(beat.cold_remaining == 1500ms);
    CHECK(beat.start_unix_ms == 1786119691000);
    for (const char* bad : {"", "[]", "{}", "\xff\xfe", R"({"Service":1})"}) {
        CHECK_THROWS_AS(decode_heartbeat("i-1", bad), error);
    }
    for (const auto& [from, to] : std::vector<std::pair<std::string, std::string>>{
             {"\"ready\"", "\"asleep\""}, {"\"Slots\":12", "\"Slots\":1.5"}, {"1786119691000", "\"now\""}}) {
        auto text = good;
        replace(text, from, to);
        INFO(from);
        CHECK_THROWS_AS(decode_heartbeat("i-1", text), error);
    }
    CHECK_THROWS_AS(decode_heartbeat("", good), error);
}

// Guards against an entry of another writer that ends the process, or whose numbers wrap around and block the
// endpoint's own heartbeats.
TEST_CASE("heartbeats with numbers out of range, deep nesting or unreadable ids are rejected") {
    const std::string good = R"({"Service":"s","Address":"10.0.0.1:80","Zone":"z","Version":"v1","Slots":4,
        "State":"ready","ColdRemaining":"0ms","Sequence":4,"born":1770000000000})";
    CHECK(decode_heartbeat("i-1", good).slots == 4);
    const std::string nested(30'000, '[');
    const std::vector<std::pair<std::string, std::string>> mutations{
        {"\"Slots\":4", "\"Slots\":4294967297"},
        {"\"Slots\":4", "\"Slots\":1e300"},
        {"\"Slots\":4", "\"Slots\":1e999"},
        {"\"Sequence\":4", "\"Sequence\":18446744073709551616"},
        {"\"born\":1770000000000", "\"born\":9223372036854775807"},
        {"\"born\":1770000000000", "\"born\":18446744073709551615"},
        {"\"born\":1770000000000", "\"born\":-1"},
        {"\"Slots\":4", "\"Slots\":" + nested},
        {"\"Slots\":4", "\"Slots\":" + nested + std::string(nested.size(), ']')}};
    for (const auto& [from, to] : mutations) {
        auto text = good;
        replace(text, from, to);
        INFO(to.substr(0, 60));
        CHECK_THROWS_AS(decode_heartbeat("i-1", text), error);
    }
    CHECK_THROWS_AS(decode_heartbeat("i-\xff\xfe", good), error);
    CHECK_THROWS_AS(decode_heartbeat(std::string(300, 'i'), good), error);
}

TEST_CASE("calls are recognized by method and target") {
    CHECK(parse_call("GET", "/-/ready").name == call_name::readiness);
    CHECK(parse_call("POST", "/-/rpc?call=instances.heartbeat&of=i-1") ==
          incoming_call{call_name::heartbeat, "i-1"});
    CHECK(parse_call("POST", "/-/rpc?call=instances.deregister&of=i-1") ==
          incoming_call{call_name::deregister, "i-1"});
    CHECK(parse_call("GET", "/other").name == call_name::unknown);
}

TEST_CASE("row values with arbitrary bytes are unchanged by encoding and decoding") {
    for (std::size_t size = 0; size < 9; ++size) {
        std::string bytes;
        for (std::size_t i = 0; i < size; ++i) {
            bytes += static_cast<char>(251 - 83 * i);
        }
        const auto call = write_row(nullptr, {"t", "k", bytes, 0});
        const auto value = json::parse(call.body)["Writes"][0]["Value"].get<std::string>();
        const json page{
            {"Rows", json::array({{{"TableName", "t"}, {"Key", "k"}, {"Value", value}, {"Ver", 9}}})},
            {"Ver", 12}};
        const auto decoded = decode_rows(page.dump());
        CHECK(decoded.version == 12);
        CHECK(decoded.rows.at(0) == mesh::store_row{"t", "k", bytes, 9, false});
    }
}

TEST_CASE("a page of rows tells the time of the store") {
    CHECK(decode_rows(R"({"Rows":[],"Ver":3,"Now":"81234ms"})").store_time == 81234ms);
    CHECK(decode_rows(R"({"Rows":[],"Ver":3})").store_time == 0ms);
    CHECK_THROWS_AS(decode_rows(R"({"Rows":[],"Ver":3,"Now":"soon"})"), error);
}

TEST_CASE("a removed row in the change feed needs no value") {
    const auto page = decode_rows(R"({"Rows":[{"TableName":"t","Key":"k","Ver":3,"Removed":true}],"Ver":3})");
    CHECK(page.rows.at(0).removed);
    CHECK_THROWS_AS(decode_rows(R"({"Rows":[{"TableName":"t","Key":"k","Ver":3}],"Ver":3})"), error);
    CHECK_THROWS_AS(decode_rows(R"({"Rows":[{"TableName":"t","Key":"k","Ver":3,"Value":"?"}],"Ver":3})"),
                    error);
}

TEST_CASE("a conditional write contains the version that it replaces") {
    const row_condition condition{"t", "k", 7};
    const auto body = json::parse(write_row(&condition, {"t", "k", "x", 0}).body);
    CHECK(body["ExpectedRev"][0]["Ver"] == 7);
    CHECK(body["Writes"][0]["Key"] == "k");
}

TEST_CASE("durations need a unit") {
    CHECK(parse_duration("1500ms") == 1500ms);
    CHECK(parse_duration("2.5s") == 2500ms);
    for (const char* bad : {"", "5", "ms", "-1s", "1m", "1e99s", "nans"}) {
        INFO(bad);
        CHECK_THROWS_AS(parse_duration(bad), error);
    }
}

TEST_CASE("rollout statuses are unchanged by encoding and decoding") {
    for (const auto state :
         {mesh::rollout_state::running, mesh::rollout_state::completed, mesh::rollout_state::rolled_back}) {
        const mesh::rollout_status status{"s", "v2", state};
        CHECK(decode_rollout_status(encode_rollout_status(status)) == status);
    }
}

TEST_CASE("a deregistration may tell the start of its endpoint") {
    CHECK(decode_deregister_start(R"({"born":1780822866857})") == 1780822866857);
    for (const auto* body : {"", "{}", "[]", "{\"born\":\"x\"}", "{\"born\":-1}", "{\"born\":1"}) {
        CHECK_FALSE(decode_deregister_start(body));
    }
}

TEST_CASE("row versions order by era first, and only the store's version is sent") {
    const auto page = decode_rows(R"({"Rows":[{"TableName":"t","Key":"k","Ver":3,"Value":""}],"Ver":9})", 2);
    CHECK(page.rows.at(0).version == mesh::row_version(2, 3));
    CHECK(page.version == 9);
    CHECK(mesh::row_version(2, 3) > mesh::row_version(1, 100));
    CHECK(decode_transaction_version(R"({"Ver":7})", 1) == mesh::row_version(1, 7));
    const row_condition condition{"t", "k", mesh::row_version(2, 3)};
    CHECK(json::parse(write_row(&condition, {"t", "k", "x", 0}).body)["ExpectedRev"][0]["Ver"] == 3);
    CHECK_THROWS_AS(decode_rows(R"({"Rows":[],"Ver":99999999999999999})"), error);
    CHECK(decode_store_era("") == 0);
    CHECK(decode_store_era("12") == 12);
    for (const auto* malformed : {"x", "1x", "-1", "99999999"}) {
        CHECK_THROWS_AS(decode_store_era(malformed), error);
    }
}

TEST_CASE("tenants and public routes are decoded into the project's fields") {
    auto text = configuration_text;
    replace(text, R"("MaxAttempts":2)", R"("MaxAttempts":2,"Public":true)");
    replace(
        text, R"({"ResourceType":"Limits")",
        R"({"ResourceType":"Tenants","Metadata":{"Name":"acme"},"Spec":{"ApiKeys":["k-1","k-2"],"Priority":3,
               "RatePerS":12.5,"Burst":30}},
               {"ResourceType":"Tenants","Metadata":{"Name":"bolt"},"Spec":{"ApiKeys":[]}},
               {"ResourceType":"Limits")");
    const auto result = decode_configuration(text);
    CHECK(result.routes.at(0).is_public);
    CHECK_FALSE(result.routes.at(1).is_public);
    REQUIRE(result.tenants.size() == 2);
    CHECK(result.tenants[0] == mesh::tenant{"acme", {"k-1", "k-2"}, 3, 12.5, 30});
    CHECK(result.tenants[1] == mesh::tenant{"bolt", {}, std::nullopt, 0, 0});
}

// Guards against a key in an error text, which goes into the log, and against tenants that are taken half.
TEST_CASE("malformed tenants and public routes are rejected with their location") {
    const std::string good =
        R"({"ResourceType":"Tenants","Metadata":{"Name":"acme"},"Spec":{"ApiKeys":["secret"],"Priority":3,"RatePerS":1,"Burst":2}},)";
    const std::vector<std::pair<std::string, std::string>> mutations{
        {R"("ApiKeys":["secret"],)", ""},
        {R"(["secret"])", R"("secret")"},
        {R"(["secret"])", R"(["secret",7])"},
        {R"("Priority":3)", R"("Priority":-3)"},
        {R"("Priority":3)", R"("Priority":"secret")"},
        {R"("RatePerS":1)", R"("RatePerS":-1)"},
        {R"("RatePerS":1)", R"("RatePerS":"secret")"},
        {R"("Burst":2)", R"("Burst":true)"},
        {R"("Metadata":{"Name":"acme"})", R"("Metadata":{})"},
        {R"("MaxAttempts":2)", R"("MaxAttempts":2,"Public":"secret")"},
        {R"("MaxAttempts":2)", R"("MaxAttempts":2,"Public":1)"}};
    auto whole = configuration_text;
    replace(whole, R"({"ResourceType":"Limits")", good + R"({"ResourceType":"Limits")");
    REQUIRE(decode_configuration(whole).tenants.size() == 1);
    for (const auto& [from, to] : mutations) {
        auto text = whole;
        replace(text, from, to);
        INFO(to);
        try {
            (void)decode_configuration(text);
            FAIL("accepted");
        } catch (const error& cause) {
            CHECK_FALSE(cause.location().empty());
            CHECK((cause.what() + cause.location()).find("secret") == std::string::npos);
        }
    }
}
