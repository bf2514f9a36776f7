#include "sidecar/row_codec.h"

#include "sidecar/messages.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::sidecar;

namespace {

peer_message round_trip(const peer_message& message) {
    frame_decoder decoder{max_message_bytes};
    decoder.feed(encode(message));
    const auto frame = decoder.next();
    REQUIRE(frame.has_value());
    return decode_message(*frame);
}

} // namespace

TEST_CASE("a packed row keeps its fields and value") {
    CHECK(rc::check("any value", [](const std::string& value) {
        const mesh::store_row row{"op", "config", value, 7, false};
        RC_ASSERT(unpack(pack(row)) == row);
    }));
    const mesh::store_row large{"op", "config", std::string(300000, 'x'), 7, false};
    CHECK(pack(large).deflated.size() < large.value.size() / 100);
    announce_message message;
    message.packed_rows.push_back(pack(large));
    const auto back = std::get<announce_message>(round_trip(message));
    CHECK(back.rows == std::vector{large});
    CHECK(std::get<fetch_message>(round_trip(fetch_message{{large}, true, {}})).accepts_packed);
}

// Guards against a peer that makes a daemon allocate memory without limit, and against damaged values.
TEST_CASE("a packed row that is too large or damaged is rejected") {
    const mesh::store_row row{"op", "config", std::string(5000, 'x'), 7, false};
    auto too_large = pack(row);
    too_large.size = max_unpacked_bytes + 1;
    CHECK_THROWS_AS(unpack(too_large), error);
    auto longer = pack(row);
    longer.size = 5001;
    CHECK_THROWS_AS(unpack(longer), error);
    auto shorter = pack(row);
    shorter.size = 4999;
    CHECK_THROWS_AS(unpack(shorter), error);
    auto damaged = pack(row);
    damaged.deflated.resize(damaged.deflated.size() / 2);
    CHECK_THROWS_AS(unpack(damaged), error);
    announce_message message;
    message.packed_rows.push_back(damaged);
    CHECK_THROWS_AS(round_trip(message), error);
}

TEST_CASE("a row is packed once for each version") {
    row_packer packer;
    mesh::store_row row{"op", "config", std::string(5000, 'x'), 7, false};
    const auto* first = packer.pack(row).deflated.data();
    CHECK(packer.pack(row).deflated.data() == first);
    row.value = std::string(6000, 'y');
    row.version = 8;
    CHECK(unpack(packer.pack(row)) == row);
}
