// Tests of the choice of the daemons that read the store: a fleet of such choices whose reports arrive at
// once, with crashes, pauses and a store that turns daemons away.

#include "endive/mesh.h"

#include <catch2/catch.hpp>

#include <random>

using namespace endive;
using namespace endive::mesh;
using namespace std::chrono_literals;

namespace {

/// One failure domain. Each daemon that reads reports every second, and at once when its reads begin to fail.
class domain_model {
public:
    explicit domain_model(std::size_t size, std::size_t domains = 5) : domains_{domains} {
        for (std::size_t i = 0; i < size; ++i) {
            daemons_.push_back({{"vm-" + std::to_string(i), 20}, {}, true, false, true, false, {}});
            daemons_.back().selection.start(now_);
        }
    }

    struct daemon {
        reader_candidate self;
        reader_selection selection;
        bool alive = true;
        bool paused = false;
        bool store_answers = true;
        bool reading = false;
        time_point next_report{};
    };

    void advance(duration length) {
        const auto end = now_ + length;
        while (now_ < end) {
            now_ += 100ms;
            for (auto& entry : daemons_) {
                if (entry.alive && !entry.paused) {
                    step(entry);
                }
            }
        }
    }

    [[nodiscard]] std::size_t readers() const {
        return static_cast<std::size_t>(
            std::count_if(daemons_.begin(), daemons_.end(),
                          [](const daemon& entry) { return entry.alive && !entry.paused && entry.reading; }));
    }
    [[nodiscard]] bool has_working_reader() const {
        return std::any_of(daemons_.begin(), daemons_.end(), [](const daemon& entry) {
            return entry.alive && !entry.paused && entry.reading && entry.store_answers;
        });
    }
    std::vector<daemon>& daemons() { return daemons_; }
    [[nodiscard]] std::size_t calls() const { return calls_; }
    bool links_notice_crashes = true;

private:
    void step(daemon& entry) {
        std::vector<reader_candidate> others;
        for (const auto& other : daemons_) {
            if (&other != &entry && (other.alive || !links_notice_crashes)) {
                others.push_back(other.self);
            }
        }
        const bool before = entry.reading;
        entry.reading = entry.selection.should_read(entry.self, others, domains_, true, now_);
        if (!entry.reading || (before && now_ < entry.next_report)) {
            return;
        }
        calls_ += before && entry.store_answers ? 0 : 1; // a watch stays open; a failed call is repeated
        entry.next_report = now_ + 1s;
        entry.selection.on_own_read(entry.store_answers, now_);
        for (auto& other : daemons_) {
            if (&other != &entry && other.alive && !other.paused) {
                other.selection.on_report(entry.self.daemon, entry.store_answers, now_);
            }
        }
    }

    std::vector<daemon> daemons_;
    std::size_t domains_;
    std::size_t calls_ = 0;
    time_point now_{1s};
};

} // namespace

TEST_CASE("in calm one daemon of forty reads, in a fleet of one domain three") {
    domain_model domain{40};
    domain.advance(30s);
    CHECK(domain.readers() == 1);
    domain_model single{40, 1};
    single.advance(30s);
    CHECK(single.readers() == 3);
}

TEST_CASE("the daemon with the fastest link reads") {
    domain_model domain{40};
    domain.daemons()[17].self.link_mbps = 200;
    domain.advance(30s);
    CHECK(domain.daemons()[17].reading);
    CHECK(domain.readers() == 1);
}

// Guards against a domain without news after its readers lost power, which leaves their links open.
TEST_CASE("a standby reads within three seconds after all readers of the domain fell silent") {
    domain_model domain{40};
    domain.links_notice_crashes = false;
    domain.advance(10s);
    for (auto& entry : domain.daemons()) {
        entry.alive = !entry.reading;
    }
    domain.advance(3s);
    CHECK(domain.has_working_reader());
    CHECK(domain.readers() <= 4);
}

// Guards against a herd: with most of the domain gone, the others must not all read at once.
TEST_CASE("two thirds of the domain lose power at once") {
    domain_model domain{40};
    domain.links_notice_crashes = false;
    domain.advance(10s);
    std::size_t left = 27;
    for (auto& entry : domain.daemons()) {
        if (entry.reading || left > 0) {
            left -= left > 0 ? 1 : 0;
            entry.alive = false;
        }
    }
    domain.advance(5s);
    CHECK(domain.has_working_reader());
}

// Guards against a domain that follows a reader which the store turns away.
TEST_CASE("the store turns a third of the daemons away") {
    std::mt19937 random{7};
    for (int round = 0; round < 50; ++round) {
        domain_model domain{40};
        domain.advance(5s);
        for (auto& entry : domain.daemons()) {
            entry.store_answers = !entry.reading && random() % 3 != 0;
        }
        domain.advance(2500ms);
        CHECK(domain.has_working_reader());
        domain.advance(10s);
        CHECK(domain.has_working_reader());
        CHECK(domain.readers() <= 3);
    }
}

// Guards against a flood of calls at a store that serves nobody, and against a late return to it.
TEST_CASE("an outage of the store is probed by a few daemons at a time") {
    domain_model domain{40};
    domain.advance(5s);
    for (auto& entry : domain.daemons()) {
        entry.store_answers = false;
    }
    const auto before = domain.calls();
    domain.advance(9s);
    CHECK(domain.calls() - before <= 90); // every daemon every 700 ms would make 514
    for (auto& entry : domain.daemons()) {
        entry.store_answers = true;
    }
    domain.advance(2s);
    CHECK(domain.has_working_reader());
    domain.advance(10s);
    CHECK(domain.readers() == 1);
}

// Guards against a domain without a reader while the one in charge is paused, and against two for good
// afterwards.
TEST_CASE("a reader that is paused for four seconds is replaced meanwhile") {
    domain_model domain{40};
    domain.advance(10s);
    auto reader = std::find_if(domain.daemons().begin(), domain.daemons().end(),
                               [](const auto& entry) { return entry.reading; });
    reader->paused = true;
    domain.advance(3s);
    CHECK(domain.has_working_reader());
    domain.advance(1s);
    reader->paused = false;
    domain.advance(10s);
    CHECK(domain.readers() == 1);
    CHECK(reader->reading);
}
