#include "sidecar/events.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace endive;
using namespace endive::sidecar;

TEST_CASE("every event is listed in order and documented in OPERATIONS.md") {
    std::ifstream page{std::string{ENDIVE_SOURCE_DIR} + "/docs/OPERATIONS.md"};
    REQUIRE(page);
    std::stringstream text;
    text << page.rdbuf();
    std::size_t index = 0;
    for (const auto& entry : all_events()) {
        CHECK(static_cast<std::size_t>(entry.value) == index++);
        INFO(entry.name);
        CHECK(text.str().find("| `" + std::string{entry.name} + "` |") != std::string::npos);
    }
    CHECK(index == static_cast<std::size_t>(event::summary) + 1);
}
