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

// Guards against a flood of routine request lines that uses up the log budget, so that the line that explains
// the flood is dropped.
TEST_CASE("the log budget reserves capacity for refusals and for lifecycle lines") {
    log_budget budget{100};
    CHECK(admitted(budget, log_importance::routine, 1000, start) == 50);
    CHECK(admitted(budget, log_importance::refusal, 1000, start) == 30);
    CHECK(admitted(budget, log_importance::lifecycle, 1000, start) == 20);
    CHECK(budget.take_dropped() == 950 + 970 + 980);
    CHECK(budget.take_dropped() == 0);
}

TEST_CASE("the log budget limits the number of lines per second") {
    log_budget budget{100};
    int lines = 0;
    for (int tick = 0; tick < 100; ++tick) {
        lines += admitted(budget, log_importance::refusal, 100, start + tick * 100ms);
    }
    CHECK(lines <= 100 + 100 * 10);
}
