#include "sidecar/tenant_counts.h"

#include <algorithm>
#include <sstream>

#include <catch2/catch.hpp>

using namespace endive::sidecar;

// Guards against metrics that grow with every name, and against a name that ends its label.
TEST_CASE("refusals are counted by tenant, with a bounded number of names") {
    tenant_counts counts;
    counts.add("");
    counts.add("a\"b");
    for (int i = 0; i < 3000; ++i) {
        counts.add("t" + std::to_string(i));
    }
    counts.add("a\"b");
    std::ostringstream out;
    counts.write(out, "refused");
    const auto text = out.str();
    CHECK(text.find("refused{tenant=\"a\\\"b\"} 2\n") != std::string::npos);
    CHECK(std::count(text.begin(), text.end(), '\n') == 1025);
    CHECK(text.find("refused{tenant=\"other\"} 1977\n") != std::string::npos);
}
