#include "sidecar/settings.h"

#include <catch2/catch.hpp>

#include <cstdio>
#include <fstream>
#include <unistd.h>

using namespace endive;
using namespace endive::sidecar;

namespace {

/// Reads settings with the required keys and `more`.
sidecar_settings read(const json& more) {
    json settings{{"name", "vm-a"},
                  {"service", "books"},
                  {"endpoint_address", "10.0.0.1:8301"},
                  {"failure_domain", "zone-a"},
                  {"callers_address", "10.0.0.1:8304"},
                  {"peers_address", "10.0.0.1:8300"},
                  {"readiness_address", "10.0.0.1:8302"},
                  {"announcements_address", "10.0.0.1:8306"},
                  {"store_address", "10.0.0.9:8309"}};
    settings.update(more);
    const auto path = "/tmp/endive_settings_test_" + std::to_string(::getpid()) + ".json";
    std::ofstream{path} << settings.dump();
    const auto remove = [&] { std::remove(path.c_str()); };
    try {
        auto result = read_settings(path);
        remove();
        return result;
    } catch (...) {
        remove();
        throw;
    }
}

} // namespace

// Guards against a fleet that does not start at all because a bound of the deployment is not a whole number.
TEST_CASE("bounds and limits of the deployment may be fractions") {
    const auto settings =
        read({{"retry_slack", 30.714285714285715}, {"memory_mb", 160.5}, {"link_mbps", 12.5}});
    CHECK(settings.retry_slack == Approx(30.714285714285715));
    CHECK(settings.memory_mb == 160);
    CHECK(settings.link_mbps == 12);
}

TEST_CASE("numbers outside their range are rejected with the key") {
    for (const auto& [key, value] : std::vector<std::pair<std::string, json>>{
             {"retry_slack", -1}, {"memory_mb", 8}, {"exposure_share", 1.5}, {"retry_ratio", "much"}}) {
        try {
            read({{key, value}});
            FAIL("accepted " << key);
        } catch (const error& cause) {
            CHECK(cause.location().find(key) != std::string::npos);
        }
    }
}

// Guards against daemons that do not start where a deployment has no tenants, so that its template leaves the
// settings about them empty.
TEST_CASE("settings that a deployment leaves out may be empty texts") {
    const auto absent =
        read({{"fail_closed", ""}, {"revoke_time", ""}, {"quota_window", ""}, {"quota_slack", ""}});
    CHECK_FALSE(absent.fail_closed);
    CHECK(absent.revoke_time == milliseconds{5000});
    const auto present = read(
        {{"fail_closed", "true"}, {"revoke_time", "4s"}, {"quota_overage", "0.25"}, {"quota_slack", "7"}});
    CHECK(present.fail_closed);
    CHECK(present.revoke_time == milliseconds{4000});
    CHECK(present.quota_overage == Approx(0.25));
    CHECK(present.quota_slack == Approx(7));
    for (const auto& [key, value] : std::vector<std::pair<std::string, json>>{
             {"fail_closed", "yes"}, {"revoke_time", "4"}, {"quota_overage", "-1"}, {"quota_slack", "7x"}}) {
        try {
            read({{key, value}});
            FAIL("accepted " << key);
        } catch (const error& cause) {
            CHECK(cause.location().find(key) != std::string::npos);
        }
    }
}
