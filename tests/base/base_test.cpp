#include "endive/base.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace endive;
using namespace std::chrono_literals;

TEST_CASE("quantiles are accurate to the documented resolution of 2%") {
    latency_histogram histogram;
    for (int us = 1; us <= 10000; ++us) {
        histogram.record(std::chrono::microseconds{us});
    }
    REQUIRE(histogram.quantile(0.5) >= 5000us);
    REQUIRE(histogram.quantile(0.5) <= 5100us);
    REQUIRE(histogram.quantile(1.0) == 10000us);
}

TEST_CASE("merging histograms adds up their counts") {
    latency_histogram a;
    latency_histogram b;
    a.record(1ms);
    b.record(3ms);
    a.merge(b);
    REQUIRE(a.count() == 2);
    REQUIRE(a.max() == 3ms);
}

TEST_CASE("RFC 3339 timestamps are parsed and formatted, and malformed ones are rejected") {
    const auto time = parse_rfc3339("2026-12-05T05:30:00.250+01:00");
    REQUIRE(time);
    REQUIRE(format_rfc3339(*time) == "2026-12-05T04:30:00.250Z");
    for (const auto* text : {"", "2026-12-05", "2026-13-05T05:30:00Z", "2026-02-30T05:30:00Z",
                             "2026-12-05T25:30:00Z", "2026-12-05T05:30:00", "2026-12-05T05:30:00.Z",
                             "2026-12-05T05:30:00+0100", "2262-12-05T05:30:00Z", "9999-01-01T00:00:00Z"}) {
        INFO(text);
        REQUIRE_FALSE(parse_rfc3339(text));
    }
}

TEST_CASE("a manual clock changes only when it is advanced") {
    manual_clock clock;
    const auto before = clock.now();
    REQUIRE(clock.now() == before);
    clock.advance(5s);
    REQUIRE(clock.now() - before == 5s);
}

TEST_CASE("settings errors contain the key, the value and the allowed range") {
    settings_reader reader{json{{"port", 70000}, {"name", 3}, {"extra", true}}};
    try {
        (void)reader.required_integer("port", 1, 65535);
        FAIL("accepted a port out of range");
    } catch (const error& failure) {
        REQUIRE(failure.code() == result_code::settings_out_of_range);
        REQUIRE(failure.location() == "/port");
        const std::string text = failure.what();
        REQUIRE(text.find("70000") != std::string::npos);
        REQUIRE(text.find("1 to 65535") != std::string::npos);
    }
    REQUIRE_THROWS_AS(reader.required_string("name"), error);
    REQUIRE_THROWS_AS(reader.reject_unknown_keys(), error);
}

TEST_CASE("addresses without a valid IPv4 host and port are rejected") {
    REQUIRE(parse_address("127.0.0.1:80") == socket_address{"127.0.0.1", 80});
    for (const auto* text :
         {"", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:8x"}) {
        INFO(text);
        REQUIRE_FALSE(parse_address(text));
    }
}

TEST_CASE("every result code is listed in docs/result-codes.md under its number") {
    std::ifstream file{std::string{ENDIVE_SOURCE_DIR} + "/docs/result-codes.md"};
    std::stringstream text;
    text << file.rdbuf();
    for (const auto& entry : all_result_codes()) {
        const auto row = "| " + std::to_string(number(entry.code)) + " | `" + std::string{entry.name} + "` |";
        INFO(row);
        REQUIRE(text.str().find(row) != std::string::npos);
    }
}
