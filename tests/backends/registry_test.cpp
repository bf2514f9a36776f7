#include "endive/backends.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::backends;
using namespace std::chrono_literals;

namespace {

std::string announcement(const std::string& state) {
    return R"({"address":"127.0.0.1:8080","service":"desk","version":"2","slots":5,"state":")" + state +
           "\"}";
}

} // namespace

TEST_CASE("3 seconds without an announcement end new work, a later one restores it") {
    endpoint_registry registry{"127.0.0.1:9", "here"};
    time_point now{1h};
    REQUIRE(registry.announce(announcement("serving"), now));
    REQUIRE_FALSE(registry.announce(announcement("serving"), now + 1s));
    REQUIRE_FALSE(registry.advance(now + 4s));
    REQUIRE(registry.advance(now + 4001ms));
    REQUIRE(registry.endpoints().front().state == model::endpoint_state::leaving);
    REQUIRE(registry.announce(announcement("serving"), now + 5s));
    REQUIRE(registry.endpoints().front().state == model::endpoint_state::serving);
    REQUIRE(registry.advance(now + 12s));
    REQUIRE(registry.endpoints().empty());
}

TEST_CASE("draining and leaving are passed on at once") {
    endpoint_registry registry{"127.0.0.1:9", "here"};
    const time_point now{1h};
    (void)registry.announce(announcement("serving"), now);
    REQUIRE(registry.announce(announcement("draining"), now));
    REQUIRE(registry.endpoints().front().state == model::endpoint_state::draining);
    REQUIRE(registry.endpoints().front().relay == "127.0.0.1:9");
    REQUIRE(registry.announce(announcement("leaving"), now));
}

TEST_CASE("malformed announcements are rejected and change nothing") {
    endpoint_registry registry{"127.0.0.1:9", "here"};
    const time_point now{1h};
    for (const auto& body :
         {std::string{}, std::string{"[]"}, std::string{"{}"}, announcement("sleeping"),
          std::string(5000, ' '), std::string{R"({"address":"localhost:80","service":"a","version":"1"})"},
          std::string{R"({"address":"127.0.0.1:80","service":"a","version":1})"},
          std::string{R"({"address":"127.0.0.1:80","service":"a","version":"1","slots":0})"},
          std::string{R"({"address":"127.0.0.1:80","service":"a","version":"1","slots":-4})"}}) {
        INFO(body);
        REQUIRE_THROWS_AS(registry.announce(body, now), error);
    }
    REQUIRE(registry.endpoints().empty());
}
