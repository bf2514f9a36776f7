#include "endive/calls.h"

#include <catch2/catch.hpp>
#include <rapidcheck.h>

using namespace endive;
using namespace endive::calls;
using namespace std::chrono_literals;

namespace {

const time_point start{1h};

model::endpoint_info make_info(int number, const std::string& domain = "here") {
    model::endpoint_info info;
    info.address = "10.0.0." + std::to_string(number) + ":80";
    info.failure_domain = domain;
    info.slots = 4;
    info.state = model::endpoint_state::serving;
    return info;
}

std::vector<model::endpoint_info> make_infos(int count) {
    std::vector<model::endpoint_info> infos;
    for (int i = 0; i < count; ++i) {
        infos.push_back(make_info(i));
    }
    return infos;
}

endpoint_settings local_settings() {
    endpoint_settings settings;
    settings.failure_domain = "here";
    return settings;
}

/// Sends calls through an endpoint group at a fixed concurrency and returns the calls for each address.
/// `behave` gives the outcome by address.
std::map<std::string, int> drive(endpoint_group& group, int calls, time_point& now, duration step,
                                 const std::function<attempt_report(const std::string&)>& behave) {
    std::map<std::string, int> counts;
    std::vector<endpoint_handle> open;
    for (int i = 0; i < calls; ++i) {
        const auto handle = group.choose(stable_hash(std::to_string(i), 5), {}, now);
        if (handle.valid()) {
            ++counts[group.info(handle).address];
            open.push_back(handle);
        }
        if (open.size() > 3 || (!handle.valid() && !open.empty())) {
            group.finish(open.front(), behave(group.info(open.front()).address), now);
            open.erase(open.begin());
        }
        now += step;
    }
    for (const auto handle : open) {
        group.abandon(handle);
    }
    return counts;
}

const attempt_report success{model::call_outcome::success, 2ms};

} // namespace

TEST_CASE("random sequences never choose a full, excluded, ejected or draining endpoint") {
    rc::check([] {
        const int count = *rc::gen::inRange(1, 6);
        endpoint_group group{local_settings()};
        auto infos = make_infos(count);
        auto now = start;
        group.update(infos, 1, now);
        std::vector<endpoint_handle> open;
        std::map<std::string, std::uint32_t> in_flight; // reference model: plain counts
        for (int i = 0; i < 300; ++i) {
            now += *rc::gen::inRange(0, 400) * 1ms;
            if (*rc::gen::inRange(0, 40) == 0) {
                auto& changed = infos[*rc::gen::inRange(0, count)];
                const bool serving = changed.state == model::endpoint_state::serving;
                changed.state = serving ? model::endpoint_state::draining : model::endpoint_state::serving;
                group.update(infos, 1, now);
            }
            if (!open.empty() && *rc::gen::inRange(0, 2) == 0) {
                const auto at = static_cast<std::size_t>(*rc::gen::inRange<int>(0, open.size()));
                --in_flight[group.info(open[at]).address];
                group.finish(open[at],
                             {*rc::gen::element(model::call_outcome::success, model::call_outcome::timeout,
                                                model::call_outcome::shed),
                              2ms},
                             now);
                open.erase(open.begin() + static_cast<std::ptrdiff_t>(at));
                continue;
            }
            const std::vector<std::string> excluded{infos[*rc::gen::inRange(0, count)].address};
            const auto before = group.status(now);
            const auto handle = group.choose(*rc::gen::arbitrary<std::uint64_t>(), excluded, now, false);
            bool any_free_slot = false;
            for (std::size_t k = 0; k < infos.size(); ++k) {
                any_free_slot = any_free_slot || (infos[k].state == model::endpoint_state::serving &&
                                                  !before[k].ejected && infos[k].address != excluded[0] &&
                                                  in_flight[infos[k].address] < before[k].limit);
            }
            RC_ASSERT(handle.valid() == any_free_slot);
            if (handle.valid()) {
                const auto& info = group.info(handle);
                RC_ASSERT(info.state == model::endpoint_state::serving);
                RC_ASSERT(info.address != excluded[0]);
                RC_ASSERT(++in_flight[info.address] <= 4U);
                open.push_back(handle);
            }
            const auto serving = std::count_if(infos.begin(), infos.end(), [](const auto& e) {
                return e.state == model::endpoint_state::serving;
            });
            RC_ASSERT(group.ejected_count() <= static_cast<std::size_t>(serving) / 2);
            RC_ASSERT(group.in_flight() == open.size());
        }
    });
}

TEST_CASE("an endpoint that fails fast and therefore appears idle does not attract the traffic") {
    endpoint_group group{local_settings()};
    auto now = start;
    group.update(make_infos(4), 1, now);
    const auto counts = drive(group, 4000, now, 1ms, [](const std::string& address) {
        return address == make_info(0).address ? attempt_report{model::call_outcome::server_error, 10us}
                                               : success;
    });
    REQUIRE(counts.at(make_info(0).address) < 100);
}

TEST_CASE("a slow endpoint is ejected and readmitted after it recovers") {
    endpoint_group group{local_settings()};
    auto now = start;
    group.update(make_infos(4), 1, now);
    bool slow = true;
    const auto behave = [&](const std::string& address) {
        return slow && address == make_info(0).address ? attempt_report{model::call_outcome::success, 400ms}
                                                       : success;
    };
    const auto while_slow = drive(group, 60000, now, 1ms, behave);
    REQUIRE(group.ejected_count() == 1);
    REQUIRE(while_slow.at(make_info(0).address) < 60);
    slow = false;
    const auto counts = drive(group, 70000, now, 1ms, behave);
    REQUIRE(group.ejected_count() == 0);
    REQUIRE(counts.at(make_info(0).address) > 1000);
}

TEST_CASE("an endpoint that keeps failing is probed with increasing back-off") {
    endpoint_group group{local_settings()};
    auto now = start;
    group.update(make_infos(4), 1, now);
    const auto behave = [](const std::string& address) {
        return address == make_info(0).address ? attempt_report{model::call_outcome::timeout, 1s} : success;
    };
    const auto first = drive(group, 20000, now, 1ms, behave).at(make_info(0).address);
    const auto later = drive(group, 20000, now, 1ms, behave)[make_info(0).address];
    REQUIRE(later < first);
    REQUIRE(later <= 3);
}

TEST_CASE("an endpoint that is added later gets a slow start") {
    endpoint_group group{local_settings()};
    auto now = start;
    auto infos = make_infos(3);
    group.update(infos, 1, now);
    infos.push_back(make_info(3));
    group.update(infos, 1, now);
    const auto behave = [](const std::string&) { return success; };
    const auto cold = drive(group, 1000, now, 1ms, behave)[make_info(3).address];
    now += 20s;
    const auto warm = drive(group, 1000, now, 1ms, behave)[make_info(3).address];
    REQUIRE(cold > 0);
    REQUIRE(cold * 2 < warm);
}

TEST_CASE("the local failure domain is used until it is full, then traffic spills over") {
    endpoint_group group{local_settings()};
    auto now = start;
    group.update(std::vector{make_info(0), make_info(1, "there")}, 1, now);
    std::map<std::string, int> counts;
    for (std::uint64_t i = 0; i < 8; ++i) {
        ++counts[group.info(group.choose(i, {}, now)).failure_domain];
    }
    REQUIRE(counts["here"] == 4);
    REQUIRE(counts["there"] == 4);
    REQUIRE_FALSE(group.choose(9, {}, now).valid());
}

TEST_CASE("a daemon's share of the connections limits its slots") {
    endpoint_group group{local_settings()};
    auto info = make_info(0);
    info.slots = 12;
    info.connections = 120;
    group.update(std::vector{info}, 36, start); // floor(0.9 * 120 / 36) = 3
    REQUIRE(group.capacity(start) == 3);
}

TEST_CASE("load shedding lowers the slot limit of an endpoint that other daemons also use") {
    endpoint_group group{local_settings()};
    auto now = start;
    group.update(make_infos(1), 1, now);
    for (int i = 0; i < 10; ++i) {
        now += 10ms;
        group.finish(group.choose(1, {}, now), {model::call_outcome::shed, 1ms}, now);
    }
    REQUIRE(group.capacity(now) == 1);
    (void)drive(group, 200, now, 1ms, [](const std::string&) { return success; });
    REQUIRE(group.capacity(now) == 4);
}

TEST_CASE("a reported load makes an endpoint less preferred, a report of no load never more preferred") {
    endpoint_group group{local_settings()};
    auto now = start;
    group.update(make_infos(2), 1, now);
    const auto behave = [](const std::string&) { return success; };
    (void)drive(group, 100, now, 1ms, behave);
    group.report_load(make_info(0).address, 0.0, now);
    group.report_load(make_info(1).address, 1.0, now);
    const auto counts = drive(group, 1000, now, 1ms, behave);
    REQUIRE(counts.at(make_info(0).address) > counts.at(make_info(1).address));
    group.report_load(make_info(1).address, 0.0, now);
    const auto equal = drive(group, 2000, now, 1ms, behave);
    REQUIRE(equal.at(make_info(0).address) < 1400);
}
