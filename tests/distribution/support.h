#pragma once
// Helpers shared by the tests of the distribution library.

#include "distribution/random_source.h"
#include "endive/distribution.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

namespace endive::distribution::test {

using namespace std::chrono_literals;

inline const time_point origin{1h};

/// A part with one service and one route; `variant` changes the content.
inline model::team_part make_part(const std::string& team, int variant = 0) {
    model::team_part part;
    part.team = team;
    part.organisation = "organisation " + team;
    part.failure_domains = {"d1"};
    part.regions = {{"r1", {"d1"}}};
    model::service service;
    service.name = team + "-service";
    service.team = team;
    service.failure_domains = {"d1"};
    service.releases = {{"v1"}};
    service.stable_version = "v1";
    service.slots = 12 + static_cast<std::uint32_t>(variant);
    part.services.push_back(service);
    model::route route;
    route.name = team + "-route";
    route.team = team;
    route.method = "GET";
    route.path_prefix = "/" + team + "/" + std::to_string(variant);
    route.service = service.name;
    part.routes.push_back(route);
    return part;
}

/// The same part with a route to an absent service.
inline model::team_part make_dangling_part(const std::string& team) {
    auto part = make_part(team);
    part.routes.front().service = "absent";
    return part;
}

inline member_id address_of(std::size_t index) {
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
}

/// Runs a rapidcheck property inside a Catch2 test case.
template <typename Property>
void check_property(const std::string& name, Property property) {
    REQUIRE(rc::check(name, property));
}

} // namespace endive::distribution::test
