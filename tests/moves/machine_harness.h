#pragma once
/// Test harness for the lifecycle of moves: several owners that share a table and the published records, with
/// switches for a store outage and for lost write responses.

#include "endive/moves.h"

#include <algorithm>
#include <deque>
#include <stdexcept>

namespace endive::moves::testing {

using namespace std::chrono_literals;

inline model::snapshot one_move_snapshot(std::int64_t deadline_ms) {
    model::team_part part;
    part.team = "t";
    part.services.resize(1);
    part.services[0].name = "s";
    part.services[0].stable_version = "a";
    part.routes.resize(1);
    part.routes[0].name = "r";
    part.moves = {{"s:b", "t", "s", "a", "b", deadline_ms}};
    return {1, {part}};
}

/// State shared by all owners of a test.
struct environment {
    manual_clock clock;
    bool store_up = true;
    bool lose_responses = false; ///< writes succeed, but the caller gets `unknown`
    std::map<std::string, platform::row> table;
    std::uint64_t etag = 0;
    split_table daemon; ///< receives every published record
    std::vector<record> published;
    std::vector<report_event> events;

    [[nodiscard]] std::int64_t now_ms() const { return to_unix_ms(clock.wall_now()); }
    [[nodiscard]] move_row stored() const { return decode_move_row(table.at("move/s:b").value); }
    /// Traffic share of version `b` in the daemon's split.
    [[nodiscard]] double share() const {
        const auto split = daemon.splits().front();
        for (const auto& entry : split.shares) {
            if (entry.version == "b") {
                return entry.share;
            }
        }
        return 0;
    }
    write_result put(const write_row& write, std::string& new_etag) {
        if (!store_up) {
            return write_result::unavailable;
        }
        const auto found = table.find(write.key);
        const auto& wanted = write.condition.etag;
        const bool matches =
            wanted ? found != table.end() && found->second.etag == *wanted : found == table.end();
        if (!matches) {
            return write_result::conflict;
        }
        new_etag = std::to_string(++etag);
        table[write.key] = {write.key, write.value, new_etag};
        return lose_responses ? write_result::unknown : write_result::written;
    }
    /// An operator command at any daemon: one conditional write based on the row `read`.
    write_result command(const operator_command& requested, const platform::row& read) {
        const auto next = apply_command(decode_move_row(read.value), requested, clock.wall_now());
        std::string unused_etag;
        const auto result = put(
            {next.id, read.key, encode(next), platform::precondition::matches(read.etag), ""}, unused_etag);
        if (result == write_result::written) {
            published.push_back(change_record(next));
            if (next.state == move_state::taken_back) {
                published.push_back(take_back_record(next, "x", clock.wall_now()));
                daemon.on_record(published.back());
            }
        }
        return result;
    }
};

/// A daemon that may own the moves. Performs the actions of its state machine immediately.
class owner {
public:
    owner(environment& shared, const std::string& id) : environment_{shared}, machine{id} {}

    void configure(const model::snapshot& active) {
        environment_.daemon.set_snapshot(active);
        perform(machine.on_configuration(active, now(), wall()));
    }
    void lease(std::uint64_t epoch, bool held = true) {
        perform(machine.on_lease({held, epoch, now() + 10s}, now(), wall()));
    }
    void evidence(std::uint64_t old_total, std::uint64_t old_bad, std::uint64_t new_total,
                  std::uint64_t new_bad) {
        counter_map counters;
        counters[to_string(evidence_key{"s:b", "r", "a"})] = {old_total, old_bad};
        counters[to_string(evidence_key{"s:b", "r", "b"})] = {new_total, new_bad};
        perform(machine.on_evidence(counters, now(), wall()));
    }
    void tick() { perform(machine.on_tick(now(), wall())); }
    /// Delivers the records published since the last call.
    void receive_all() {
        for (; received_ < environment_.published.size(); ++received_) {
            perform(machine.on_record(record{environment_.published[received_]}, now(), wall()));
        }
    }
    void perform(const actions& list) {
        for (const auto& item : list) {
            if (const auto* write = std::get_if<write_row>(&item)) {
                std::string etag;
                const auto result = environment_.put(*write, etag);
                perform(
                    machine.on_write_result(write->move_id, write->write_id, result, etag, now(), wall()));
            } else if (const auto* read = std::get_if<read_row>(&item)) {
                if (environment_.store_up) {
                    const auto found = environment_.table.find(read->key);
                    perform(machine.on_row(read->move_id,
                                           found == environment_.table.end() ? std::nullopt
                                                                             : std::optional{found->second},
                                           now(), wall()));
                }
            } else if (std::holds_alternative<list_rows>(item)) {
                if (environment_.store_up) {
                    std::vector<platform::row> rows;
                    for (const auto& [key, row] : environment_.table) {
                        rows.push_back(row);
                    }
                    perform(machine.on_rows(rows, now(), wall()));
                }
            } else if (const auto* sent = std::get_if<publish>(&item)) {
                environment_.published.push_back(sent->value);
                environment_.daemon.on_record(sent->value);
            } else {
                environment_.events.push_back(std::get<report_event>(item));
            }
        }
    }
    [[nodiscard]] move_row row() const { return machine.rows().front(); }

private:
    [[nodiscard]] time_point now() const { return environment_.clock.now(); }
    [[nodiscard]] wall_time wall() const { return environment_.clock.wall_now(); }
    environment& environment_;
    std::size_t received_ = 0;

public:
    move_machine machine;
};

} // namespace endive::moves::testing
