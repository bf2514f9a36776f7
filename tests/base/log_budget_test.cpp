#include "endive/base.h"

#include <catch2/catch.hpp>

using namespace endive;
using namespace std::chrono_literals;

namespace {

int admitted(log_budget& budget, log_importance importance, int lines, time_point now) {
    int count = 0;
    for (int i = 0; i < lines; ++i) {
        count += budget.take(importance, now) ? 1 : 0;
    }
    return count;
}

const time_point start{std::chrono::hours{1}};

} // namespace

// Failure: a flood of requests fills the log, and the line that explains it is lost.
TEST_CASE("routine lines leave room for refusals, and those for lines of the process") {
    log_budget budget{100};
    CHECK(admitted(budget, log_importance::routine, 1000, start) == 50);
    CHECK(admitted(budget, log_importance::refusal, 1000, start) == 30);
    CHECK(admitted(budget, log_importance::lifecycle, 1000, start) == 20);
    CHECK(budget.take_dropped() == 950 + 970 + 980);
    CHECK(budget.take_dropped() == 0);
}

TEST_CASE("the budget bounds the lines of any second") {
    log_budget budget{100};
    int lines = 0;
    for (int tick = 0; tick < 100; ++tick) {
        lines += admitted(budget, log_importance::refusal, 100, start + tick * 100ms);
    }
    CHECK(lines <= 100 + 100 * 10);
}
