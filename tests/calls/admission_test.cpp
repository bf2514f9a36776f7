#include "endive/calls.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::calls;
using namespace std::chrono_literals;

namespace {

/// Reference model: a single list that is scanned in full for each decision.
struct reference_queue {
    struct item {
        admission_request request;
        time_point arrived;
    };
    admission_settings settings;
    std::vector<item> items;

    [[nodiscard]] result_code rejection_code(const item& i, const admission_load& load,
                                             time_point now) const {
        if (i.request.deadline <= now) {
            return result_code::call_deadline_exceeded;
        }
        if (i.request.deadline - now < load.service_time) {
            return result_code::call_deadline_too_short;
        }
        return now - i.arrived > settings.max_queue_time ? result_code::call_overloaded : result_code::ok;
    }
    admission_decision admit(const admission_request& r, const admission_load& load, time_point now,
                             std::uint64_t& displaced) {
        displaced = 0;
        if (rejection_code({r, now}, load, now) != result_code::ok || load.capacity == 0) {
            return admission_decision::rejected;
        }
        if (items.empty() && load.in_service < load.capacity) {
            return admission_decision::start;
        }
        const auto ahead = 1 + std::count_if(items.begin(), items.end(),
                                             [&](const item& i) { return i.request.priority <= r.priority; });
        const auto wait = load.service_time * ahead / load.capacity;
        if (r.deadline - now < wait + load.service_time || wait > settings.max_queue_time) {
            return admission_decision::rejected;
        }
        if (items.size() >= settings.max_queued) {
            auto worst = items.begin();
            for (auto i = items.begin(); i != items.end(); ++i) {
                worst = i->request.priority >= worst->request.priority ? i : worst;
            }
            if (worst->request.priority <= r.priority) {
                return admission_decision::rejected;
            }
            displaced = worst->request.ticket;
            items.erase(worst);
        }
        items.push_back({r, now});
        return admission_decision::queued;
    }
    std::map<std::uint64_t, admission_decision> advance(admission_load load, time_point now) {
        std::map<std::uint64_t, admission_decision> result;
        std::erase_if(items, [&](const item& i) {
            const bool expired = rejection_code(i, load, now) != result_code::ok;
            if (expired) {
                result[i.request.ticket] = admission_decision::rejected;
            }
            return expired;
        });
        for (std::uint32_t p = 0; p < 4; ++p) {
            std::erase_if(items, [&](const item& i) {
                const bool starts = i.request.priority == p && load.in_service < load.capacity;
                if (starts) {
                    ++load.in_service;
                    result[i.request.ticket] = admission_decision::start;
                }
                return starts;
            });
        }
        return result;
    }
};

} // namespace

TEST_CASE("admission matches a reference model for random sequences of operations") {
    rc::check([] {
        const admission_settings settings{5, 200ms};
        admission_queue queue{settings};
        reference_queue reference{settings, {}};
        time_point now{1h};
        for (std::uint64_t ticket = 1; ticket < 200; ++ticket) {
            now += *rc::gen::inRange(0, 30) * 1ms;
            const admission_load load{*rc::gen::inRange(0U, 4U), *rc::gen::inRange(0U, 4U),
                                      *rc::gen::inRange(0, 40) * 1ms};
            const auto choice = *rc::gen::inRange(0, 5);
            if (choice == 0) {
                std::map<std::uint64_t, admission_decision> actual;
                for (const auto& action : queue.advance(load, now)) {
                    actual[action.ticket] = action.decision;
                }
                RC_ASSERT(actual == reference.advance(load, now));
            } else if (choice == 1) {
                const auto removed = *rc::gen::inRange<std::uint64_t>(1, ticket + 1);
                const auto expected = std::erase_if(
                    reference.items, [&](const auto& i) { return i.request.ticket == removed; });
                RC_ASSERT(queue.remove(removed) == (expected == 1));
            } else {
                const admission_request request{ticket, *rc::gen::inRange(0U, 4U),
                                                now + *rc::gen::inRange(0, 400) * 1ms};
                std::uint64_t displaced = 0;
                const auto expected = reference.admit(request, load, now, displaced);
                const auto actions = queue.admit(request, load, now);
                RC_ASSERT(actions.front().decision == expected);
                RC_ASSERT(actions.size() == (displaced != 0 ? 2U : 1U));
                RC_ASSERT(displaced == 0 || actions[1].ticket == displaced);
            }
            RC_ASSERT(queue.size() == reference.items.size());
            RC_ASSERT(queue.size() <= settings.max_queued);
        }
    });
}

TEST_CASE("a call that cannot meet its deadline is rejected instead of occupying a slot") {
    admission_queue queue{admission_settings{}};
    const time_point now{1h};
    const auto actions = queue.admit({1, 0, now + 20ms}, {0, 4, 50ms}, now);
    REQUIRE(actions.front().decision == admission_decision::rejected);
    REQUIRE(actions.front().code == result_code::call_deadline_too_short);
}

TEST_CASE("goodput stays near the capacity at three times the load") {
    // Each tick of 10 ms serves 4 calls of 10 ms, while 12 calls with a timeout of 100 ms arrive.
    admission_queue queue{admission_settings{64, 500ms}};
    time_point now{1h};
    std::uint64_t ticket = 0;
    int met_deadline = 0;
    std::map<std::uint64_t, time_point> deadlines;
    for (int tick = 0; tick < 1000; ++tick) {
        std::vector<std::uint64_t> started;
        for (const auto& action : queue.advance({0, 4, 10ms}, now)) {
            if (action.decision == admission_decision::start) {
                started.push_back(action.ticket);
            }
        }
        for (int i = 0; i < 12; ++i) {
            deadlines[++ticket] = now + 100ms;
            const auto in_service = static_cast<std::uint32_t>(started.size());
            for (const auto& action : queue.admit({ticket, 1, now + 100ms}, {in_service, 4, 10ms}, now)) {
                if (action.decision == admission_decision::start) {
                    started.push_back(action.ticket);
                }
            }
        }
        now += 10ms;
        for (const auto completed : started) {
            met_deadline += now <= deadlines[completed] ? 1 : 0;
        }
    }
    REQUIRE(met_deadline >= 3900); // of 4000 possible calls
}
