// Which side of a partition may decide for the whole fleet.

#include "endive/mesh.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

const time_point start{std::chrono::hours{1}};

} // namespace

// Guards against two sides of a partition that both decide.
TEST_CASE("at most one side of any partition is the majority") {
    for (std::size_t fleet = 1; fleet <= 40; ++fleet) {
        for (std::size_t side = 1; side < fleet; ++side) {
            const bool one = is_majority({fleet - 1, side - 1});
            const bool other = is_majority({fleet - 1, fleet - side - 1});
            CHECK_FALSE((one && other));
            CHECK((one || other) == (2 * side != fleet));
        }
        CHECK(is_majority({fleet - 1, fleet - 1}));
    }
}

TEST_CASE("a daemon decides only after a second of contact with the majority") {
    majority_contact contact;
    CHECK_FALSE(contact.may_decide(start));
    contact.update({9, 8}, start);
    CHECK_FALSE(contact.may_decide(start + 900ms));
    CHECK(contact.may_decide(start + 1s));
    contact.update({9, 4}, start + 2s);
    CHECK_FALSE(contact.may_decide(start + 2s));
    contact.update({9, 5}, start + 3s);
    CHECK_FALSE(contact.may_decide(start + 3500ms));
    CHECK(contact.may_decide(start + 4s));
}
