#include "endive/platform.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::platform;

TEST_CASE("the memory table enforces preconditions") {
    const auto table = make_memory_table();
    const auto first = table->put("a/1", "one", precondition::absent());
    REQUIRE_THROWS_AS(table->put("a/1", "two", precondition::absent()), error);
    const auto second = table->put("a/1", "two", precondition::matches(first));
    REQUIRE(first != second);
    REQUIRE_THROWS_AS(table->put("a/1", "three", precondition::matches(first)), error);
    REQUIRE_THROWS_AS(table->put("a/2", "x", precondition::matches(first)), error);
    REQUIRE_THROWS_AS(table->remove("a/1", first), error);
    REQUIRE(table->get("a/1") == row{"a/1", "two", second});
    table->remove("a/1", second);
    REQUIRE_FALSE(table->get("a/1"));
}

TEST_CASE("the memory table lists exactly the keys with the prefix, in order") {
    const auto table = make_memory_table();
    for (const auto* key : {"b", "a/2", "a/1", "a"}) {
        (void)table->put(key, key, precondition::absent());
    }
    const auto found = table->list("a/");
    REQUIRE(found.size() == 2);
    REQUIRE(found[0].key == "a/1");
    REQUIRE(found[1].key == "a/2");
}

TEST_CASE("the memory object store returns what was put") {
    const auto objects = make_memory_objects();
    REQUIRE_FALSE(objects->get("k"));
    objects->put("k", std::string("a\0b", 3));
    REQUIRE(objects->get("k") == std::string("a\0b", 3));
}
