#include "sidecar/client_limits.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace endive;
using namespace endive::sidecar;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t mb = 1024UL * 1024;

client_facts reader(std::size_t bytes, duration queued, duration unread) {
    client_facts facts;
    facts.undelivered_bytes = bytes;
    facts.undelivered_for = queued;
    facts.unread_for = unread;
    facts.used = true;
    return facts;
}

client_facts idle(duration silent, bool used = true) {
    client_facts facts;
    facts.silent_for = silent;
    facts.used = used;
    return facts;
}

} // namespace

TEST_CASE("charges sum up in their account and its parent") {
    const auto process = std::make_shared<byte_account>();
    const auto part = std::make_shared<byte_account>(process);
    {
        byte_charge first{part};
        byte_charge second{process};
        first.set(10);
        second.set(5);
        first.set(4);
        CHECK(part->total() == 4);
        CHECK(process->total() == 9);
        first.move_to(nullptr);
        CHECK(process->total() == 5);
        CHECK(first.bytes() == 4);
    }
    CHECK(part->total() == 0);
    CHECK(process->total() == 0);
}

// Load: many clients that hardly read long responses, beside callers who read.
TEST_CASE("the slowest readers are closed first, and those whose response has just begun last") {
    const std::vector<client_facts> clients{reader(2 * mb, 1ms, 1ms), reader(2 * mb, 3s, 3s),
                                            reader(1000, 3s, 3s), reader(2 * mb, 1s, 1s), idle(1h)};
    CHECK(choose_slow_readers(clients, 8 * mb).empty());
    CHECK(choose_slow_readers(clients, 5 * mb) == std::vector<std::size_t>{1});
    CHECK(choose_slow_readers(clients, 3 * mb) == std::vector<std::size_t>{1, 3});
    // What other buffers take is not taken from callers who read.
    CHECK(choose_slow_readers(clients, 0, std::nullopt, 200ms) == std::vector<std::size_t>{1, 3, 2});
}

// Load: one client address among others exceeds its share.
TEST_CASE("only connections of the address that exceeds its share are closed") {
    std::vector<client_facts> clients{reader(2 * mb, 3s, 3s), reader(2 * mb, 1s, 1s), idle(9s), idle(8s)};
    clients[1].address = 7;
    clients[3].address = 7;
    CHECK(choose_slow_readers(clients, 0, 7) == std::vector<std::size_t>{1});
    CHECK(choose_idle(clients, 1, 7) == std::vector<std::size_t>{3});
}

// Load: silent connections, half-sent requests and slow readers take all descriptors.
TEST_CASE("connections are closed for new ones in the order of what their clients lose") {
    auto half_sent = idle(5s);
    half_sent.incomplete_bytes = 1;
    auto running = idle(20s);
    running.has_request = true;
    const std::vector<client_facts> clients{
        idle(500ms, false), reader(mb, 9s, 9s), half_sent,       running,
        idle(2s),           idle(14s),          idle(3s, false), reader(mb, 9s, 10ms)};
    CHECK(choose_idle(clients, 10) == std::vector<std::size_t>{6, 5, 4, 2, 1});
    CHECK(choose_idle(clients, 2) == std::vector<std::size_t>{6, 5});
}

TEST_CASE("bounds leave a reserve of memory and descriptors, and nearly all of them to one address") {
    for (const std::size_t descriptors : {64, 256, 4100, 8192}) {
        const auto bounds = caller_bounds(descriptors, 160 * mb);
        const auto rest = descriptors - bounds.connections;
        CHECK(rest >= descriptors / 4 + std::min<std::size_t>(200, descriptors / 8));
        CHECK(bounds.connections >= descriptors / 2);
        CHECK(bounds.connections_per_address >= bounds.connections / 8 * 7);
        CHECK(bounds.undelivered_per_address >= bounds.undelivered / 8 * 7);
        CHECK(bounds.undelivered < process_buffer_bound(160 * mb));
    }
}
