#include "endive/model.h"
#include "model/property.h"

#include <algorithm>

using namespace endive;
using namespace endive::model;

namespace {

bool matches_prefix(const std::string& prefix, std::string_view path) {
    if (prefix == "/") {
        return !path.empty() && path.front() == '/';
    }
    return path.starts_with(prefix) && (path.size() == prefix.size() || path[prefix.size()] == '/');
}

/// Reference implementation: linear search over all routes.
const route* linear_find(std::span<const route> routes, std::string_view method, std::string_view path) {
    path = path.substr(0, path.find_first_of("?#"));
    const route* best = nullptr;
    for (const auto& item : routes) {
        if ((item.method != method && item.method != "*") || !matches_prefix(item.path_prefix, path)) {
            continue;
        }
        const bool longer = best == nullptr || item.path_prefix.size() > best->path_prefix.size();
        const bool more_exact =
            best != nullptr && item.path_prefix == best->path_prefix && best->method == "*";
        if (longer || more_exact) {
            best = &item;
        }
    }
    return best;
}

snapshot with_routes(const std::vector<std::pair<std::string, std::string>>& method_and_prefix) {
    team_part part;
    part.team = "t";
    part.services.push_back({"s", "t", 1, 1, 1, {}, {{"v1"}}, "v1"});
    for (const auto& [method, prefix] : method_and_prefix) {
        part.routes.push_back({method + prefix, "t", method, prefix, "s", true, 1000, 1});
    }
    return {1, {part}};
}

std::string found_name(const routing_table& table, std::string_view method, std::string_view path) {
    const auto handle = table.find_route(method, path);
    return handle.valid() ? table.at(handle).name : "none";
}

/// A path of up to five segments from a small set, so that prefixes often coincide.
std::string random_path() {
    const auto segments = *rc::gen::container<std::vector<std::string>>(
        rc::gen::element<std::string>("a", "b", "ab", "a-b", "aa"));
    std::string path;
    for (std::size_t i = 0; i < segments.size() && i < 5; ++i) {
        path += "/" + segments[i];
    }
    return path.empty() ? "/" : path;
}

std::string random_method() {
    return *rc::gen::element<std::string>("*", "GET", "POST", "PUT");
}

} // namespace

TEST_CASE("the lookup agrees with a linear search over all routes") {
    check_property("route lookup", [] {
        std::set<std::pair<std::string, std::string>> keys;
        const auto count = *rc::gen::inRange(0, 40);
        for (int i = 0; i < count; ++i) {
            keys.emplace(random_method(), random_path());
        }
        const routing_table table{with_routes({keys.begin(), keys.end()})};
        for (int i = 0; i < 20; ++i) {
            const auto suffix =
                *rc::gen::element<std::string>("", "/", "?x=/a", "x", "/a/b/a/b/a/b", "//a", "#f");
            const auto path = random_path() + suffix;
            const auto method = *rc::gen::element<std::string>("GET", "POST", "PUT", "DELETE");
            const auto* expected = linear_find(table.routes(), method, path);
            RC_ASSERT(found_name(table, method, path) == (expected == nullptr ? "none" : expected->name));
        }
    });
}

TEST_CASE("a prefix matches at segment boundaries only, the longest first") {
    const routing_table table{
        with_routes({{"GET", "/a"}, {"GET", "/a/b"}, {"*", "/a/b"}, {"POST", "/a/b/c"}})};
    CHECK(found_name(table, "GET", "/a") == "GET/a");
    CHECK(found_name(table, "GET", "/a/") == "GET/a");
    CHECK(found_name(table, "GET", "/ab") == "none");
    CHECK(found_name(table, "GET", "/a/bc") == "GET/a");
    CHECK(found_name(table, "GET", "/a/b/c") == "GET/a/b");
    CHECK(found_name(table, "PUT", "/a/b/c") == "*/a/b");
    CHECK(found_name(table, "POST", "/a/b/c/d?x=1") == "POST/a/b/c");
    CHECK(found_name(table, "PUT", "/a") == "none");
    CHECK(found_name(table, "GET", "") == "none");
    CHECK(found_name(table, "GET", "a/b") == "none");
}

TEST_CASE("services and the service of a route are found by handle") {
    auto source = with_routes({{"GET", "/a"}});
    source.parts[0].services.push_back({"z", "t", 1, 1, 1, {}, {{"v1"}}, "v1"});
    source.parts[0].routes[0].service = "z";
    const routing_table table{source};
    REQUIRE(table.at(table.service_of(table.find_route("GET", "/a"))).name == "z");
    REQUIRE(table.at(table.find_service("s")).name == "s");
    REQUIRE_FALSE(table.find_service("absent").valid());
}

TEST_CASE("a moved table still finds its routes") {
    routing_table first{with_routes({{"GET", "/a"}})};
    const routing_table second{std::move(first)};
    REQUIRE(found_name(second, "GET", "/a/b") == "GET/a");
}
