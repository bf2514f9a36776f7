#include "endive/tenants.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::tenants;
using namespace std::chrono_literals;

namespace {

constexpr duration revoke_time = 5s;
const time_point start{1h};

key_freshness holding(std::uint64_t version) {
    key_freshness result{revoke_time};
    result.on_row(version);
    return result;
}

} // namespace

// Guards against a daemon that starts, or restarts, with rows from its peers and takes them for current.
TEST_CASE("without a proof nothing is current") {
    auto daemon = holding(7);
    CHECK_FALSE(daemon.is_current(start));
    CHECK_FALSE(daemon.age(start));
    daemon.accept_read(start, 7);
    CHECK(daemon.is_current(start));
    CHECK_FALSE(holding(7).is_current(start));
    key_freshness empty{revoke_time};
    empty.accept_read(start, 7);
    CHECK_FALSE(empty.is_current(start));
}

// Guards against a daemon whose watch is silent or that was frozen or suspended: its clock goes on, and the
// answer that it finds afterwards counts from its sending.
TEST_CASE("the age counts from the sending of the read") {
    auto daemon = holding(7);
    daemon.accept_read(start, 7);
    const auto limit = daemon.limit();
    CHECK(limit < revoke_time);
    CHECK(limit >= revoke_time - 100ms);
    CHECK(daemon.is_current(start + limit));
    CHECK_FALSE(daemon.is_current(start + limit + 1ns));
    const auto resumed = start + 1h;
    CHECK_FALSE(daemon.is_current(resumed));
    daemon.accept_read(start + 700ms, 7); // the answer that arrived during the freeze
    CHECK_FALSE(daemon.is_current(resumed));
    CHECK(daemon.age(resumed) == 1h - 700ms);
    daemon.accept_read(resumed, 7);
    CHECK(daemon.is_current(resumed + 3s));
}

// Guards against hearsay that makes the knowledge look younger than it is, by the time an answer was under
// way or because an older proof replaces a younger one.
TEST_CASE("an answer counts from the sending of the question, with the age that it tells") {
    auto daemon = holding(7);
    daemon.accept_answer(start, 1s, 7);
    CHECK(daemon.age(start + 2s) == 3s);
    daemon.accept_answer(start + 1s, 2500ms, 7);
    CHECK(daemon.age(start + 2s) == 3s);
    daemon.accept_answer(start + 1s, -5s, 7);
    daemon.accept_answer(start + 1s, duration::max(), 7);
    CHECK(daemon.age(start + 2s) == 3s);
    daemon.accept_answer(start + 2s, 200ms, 7);
    CHECK(daemon.age(start + 2s) == 200ms);
}

// Guards against a proof about a newer row that is taken for one about the row which this daemon holds.
TEST_CASE("a proof counts only for a daemon that holds the row it names or a newer one") {
    auto daemon = holding(7);
    daemon.accept_read(start, 7);
    daemon.accept_answer(start + 1s, 100ms, 8);
    CHECK(daemon.age(start + 1s) == 1s);
    daemon.on_row(8); // the row arrives after the proof
    CHECK(daemon.age(start + 1s) == 100ms);
    CHECK(daemon.proof()->version == 8);
    daemon.on_row(9); // no newer row than 8 existed then, so 9 is as current
    CHECK(daemon.age(start + 1s) == 100ms);
    daemon.accept_answer(start + 2s, 0s, 8);
    CHECK(daemon.age(start + 2s) == 0s);
}

// Guards against any order of reads, answers, deliveries, losses, freezes and restarts that lets a daemon use
// a key later than the time allowed after the acknowledgement of its revocation.
TEST_CASE("no daemon uses a revoked key after the time allowed") {
    struct answer {
        std::size_t to;
        time_point sent;
        duration age;
        std::uint64_t version;
        time_point arrives;
    };
    CHECK(rc::check("safety", [] {
        // All of the range also in the first, small cases.
        const auto pick = [](std::size_t count) {
            return *rc::gen::resize(rc::kNominalSize, rc::gen::inRange<std::size_t>(0, count));
        };
        constexpr std::size_t count = 5;
        std::vector<key_freshness> daemons(count, holding(1));
        std::vector<std::uint64_t> held(count, 1);
        std::vector<answer> under_way;
        std::uint64_t stored = 1;
        std::optional<time_point> revoked;
        auto now = start;
        const auto hand_over = [&](const answer& message) {
            daemons[message.to].accept_answer(message.sent, message.age, message.version);
        };
        const auto steps = 20 + pick(180);
        for (std::size_t step = 0; step < steps; ++step) {
            now += pick(900) * 1ms;
            const auto one = pick(count);
            const auto other = pick(count);
            const auto delay = pick(6000) * 1ms;
            switch (pick(5)) {
            case 0: // a read whose answer arrives late, with or without the row
                under_way.push_back({one, now, 0s, stored, now + delay});
                if (pick(2) == 0) {
                    held[one] = std::max(held[one], stored);
                    daemons[one].on_row(held[one]);
                }
                break;
            case 1: // a question to another daemon
                if (const auto age = daemons[other].age(now)) {
                    under_way.push_back(
                        {one, now - delay / 2, *age, daemons[other].proof()->version, now + delay});
                }
                break;
            case 2: // a row from another daemon
                held[one] = std::max(held[one], held[other]);
                daemons[one].on_row(held[one]);
                break;
            case 3: // a restart; the rows come from its peers
                daemons[one] = holding(held[one]);
                std::erase_if(under_way, [&](const answer& message) { return message.to == one; });
                break;
            default:
                if (!revoked && step > 10) {
                    ++stored;
                    revoked = now;
                }
                break;
            }
            for (const auto& message : under_way) {
                if (message.arrives <= now) {
                    hand_over(message);
                }
            }
            std::erase_if(under_way, [&](const answer& message) { return message.arrives <= now; });
            for (std::size_t i = 0; i < count; ++i) {
                const bool uses_key = held[i] < stored && daemons[i].is_current(now);
                RC_ASSERT(!uses_key || now <= *revoked + revoke_time);
            }
        }
    }));
}
