#include "daemon/observation_buffer.h"
#include "daemon/settings.h"
#include "daemon/task_queue.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace endive;
using namespace endive::daemon;

namespace {

json valid_settings() {
    return json{{"name", "d1"},
                {"failure_domain", "a"},
                {"caller_address", "127.0.0.1:1001"},
                {"admin_address", "127.0.0.1:1002"},
                {"peer_address", "127.0.0.1:1003"},
                {"platform_address", "127.0.0.1:1004"}};
}

/// Loads settings through a file that is removed again.
daemon_settings load(const json& content) {
    char path[] = "/tmp/endive-settings-XXXXXX";
    const int file = mkstemp(path);
    REQUIRE(file >= 0);
    close(file);
    std::ofstream{path} << content;
    try {
        auto settings = load_settings(path);
        std::remove(path);
        return settings;
    } catch (...) {
        std::remove(path);
        throw;
    }
}

result_code code_of(const json& content) {
    try {
        (void)load(content);
        return result_code::ok;
    } catch (const error& failure) {
        return failure.code();
    }
}

json with(const std::string& key, const json& value) {
    auto content = valid_settings();
    content[key] = value;
    return content;
}

} // namespace

TEST_CASE("valid settings load with their defaults") {
    const auto settings = load(valid_settings());
    REQUIRE(settings.advertised_peer_address == "127.0.0.1:1003");
    REQUIRE(settings.region == "default");
}

TEST_CASE("each kind of bad setting is refused before a port opens") {
    REQUIRE(code_of(with("seed", json::array())) == result_code::settings_unknown_key);
    REQUIRE(code_of(with("name", 4)) == result_code::settings_wrong_type);
    REQUIRE(code_of(with("peer_address", "localhost:1")) == result_code::settings_bad_address);
    REQUIRE(code_of(with("seeds", json::array({"127.0.0.1"}))) == result_code::settings_bad_address);
    REQUIRE(code_of(with("platform_timeout_ms", 1)) == result_code::settings_out_of_range);
    REQUIRE(code_of(with("log_level", "loud")) == result_code::settings_out_of_range);
    REQUIRE(code_of(with("admin_address", "127.0.0.1:1001")) == result_code::settings_out_of_range);
    auto missing = valid_settings();
    missing.erase("platform_address");
    REQUIRE(code_of(missing) == result_code::settings_missing_key);
}

TEST_CASE("a closed task queue still runs what was accepted and accepts no more") {
    task_queue queue;
    std::vector<int> order;
    for (int i = 0; i < 3; ++i) {
        REQUIRE(queue.push([&order, i] { order.push_back(i); }));
    }
    queue.close();
    REQUIRE_FALSE(queue.push([&order] { order.push_back(9); }));
    queue.run();
    REQUIRE(order == std::vector<int>{0, 1, 2});
}

TEST_CASE("a worker pool finishes accepted work before it stops") {
    std::atomic<int> done{0};
    worker_pool pool{3};
    for (int i = 0; i < 50; ++i) {
        pool.push([&done] { ++done; });
    }
    pool.stop();
    REQUIRE(done == 50);
}

TEST_CASE("a full observation buffer drops and counts instead of growing") {
    counter_set counters;
    observation_buffer buffer{counters};
    for (int i = 0; i < 3000; ++i) {
        buffer.add({});
    }
    const auto taken = buffer.take();
    REQUIRE(taken.size() + counters.value("observations_dropped") == 3000);
    REQUIRE(counters.value("observations_dropped") > 0);
    REQUIRE(buffer.take().empty());
}
