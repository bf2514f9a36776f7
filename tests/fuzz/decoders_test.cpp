// Runs the fuzz targets on the corpus and on mutations of well-formed inputs, with a fixed seed.

#include "fuzz/decoders.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>
#include <string>

using namespace endive;

namespace {

/// Changes a few bytes, or removes, repeats or inserts some.
std::string mutate(std::string bytes, std::mt19937& random) {
    const auto pick = [&](std::size_t bound) {
        return static_cast<std::size_t>(random()) % std::max<std::size_t>(1, bound);
    };
    const auto changes = 1 + pick(4);
    for (std::size_t i = 0; i < changes && !bytes.empty(); ++i) {
        const auto at = pick(bytes.size());
        const auto length = std::min(bytes.size() - at, 1 + pick(8));
        switch (pick(5)) {
        case 0:
            bytes[at] = static_cast<char>(pick(256));
            break;
        case 1:
            bytes[at] = pick(2) == 0 ? '\0' : '\xff';
            break;
        case 2:
            bytes.erase(at, length);
            break;
        case 3:
            bytes.insert(pick(bytes.size()), bytes.substr(at, length));
            break;
        default:
            bytes.insert(at, std::string(length, static_cast<char>(pick(256))));
            break;
        }
    }
    return bytes;
}

} // namespace

// Guards against a process that a malformed message, row, heartbeat or request ends.
TEST_CASE("no decoder fails on mutations of well-formed input") {
    constexpr int rounds = 4000;
    std::mt19937 random{20261204};
    for (std::size_t decoder = 0; decoder < fuzz::decoder_count; ++decoder) {
        const std::string example{fuzz::example_of(decoder)};
        INFO("decoder " << decoder);
        CHECK_NOTHROW(fuzz::decode(decoder, example));
        for (int i = 0; i < rounds; ++i) {
            const auto input = mutate(example, random);
            REQUIRE_NOTHROW(fuzz::decode(decoder, input));
            REQUIRE_NOTHROW(fuzz::decode((decoder + i) % fuzz::decoder_count, input));
        }
    }
}

TEST_CASE("inputs that once ended a decoder are handled") {
    std::size_t files = 0;
    for (const auto& file :
         std::filesystem::directory_iterator{std::string{ENDIVE_SOURCE_DIR} + "/tests/fuzz/corpus"}) {
        std::ifstream in{file.path(), std::ios::binary};
        std::stringstream content;
        content << in.rdbuf();
        const auto bytes = content.str();
        REQUIRE_FALSE(bytes.empty());
        INFO(file.path());
        const auto decoder = static_cast<unsigned char>(bytes[0]) % fuzz::decoder_count;
        CHECK_NOTHROW(fuzz::decode(decoder, std::string_view{bytes}.substr(1)));
        ++files;
    }
    CHECK(files > 0);
}
