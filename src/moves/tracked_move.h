#pragma once
/// One move as the owner tracks it: its row, its evidence and the next change that follows from them.

#include "endive/moves.h"
#include "moves/schedule.h"

namespace endive::moves {

struct route_progress {
    double old_requests = 0;
    double new_requests = 0;
    bool idempotent = true;
};

/// What a decision may use besides the move itself.
struct decision_context {
    time_point now{};
    std::int64_t wall_ms = 0;
    bool live_lease = false;
    const record* hold = nullptr; ///< of the new version, or null
    std::string waits_for;        ///< id of a move of the same service that goes first; empty when none
};

struct tracked_move {
    tracked_move(model::version_move configured_move, const decision_settings& decision);

    model::version_move move; ///< as configured
    decision_settings settings;
    verdict_tests tests;
    bool configured = true;

    move_row row; ///< as last stored or read
    std::string etag;
    bool stored = false; ///< the table has the row
    bool known = false;  ///< the row was read or listed by this owner

    std::optional<move_row> proposed; ///< write in flight
    std::optional<time_point> reading_since;
    time_point write_started{};
    time_point retry_at{};

    std::map<std::string, route_progress, std::less<>> progress; ///< since the step began
    std::optional<time_point> step_started;
    double rate_requests = 0; ///< weighted sums for the request rate of the service
    double rate_seconds = 0;
    std::uint64_t new_requests = 0; ///< not yet in the row
    std::int64_t first_fault_ms = 0;
    std::optional<time_point> hold_seen;
    std::optional<time_point> inconclusive_since;
    std::string risk;

    /// Adds the counts of one interval.
    void add_evidence(std::span<const paired_evidence> routes, double seconds,
                      const decision_context& context);
    void begin_step(time_point now);
    /// The row as operators should see it.
    [[nodiscard]] move_row view() const;
};

/// True while requests may reach the new version and a take-back is possible.
[[nodiscard]] bool may_take_back(const move_row& row);
/// True when the move keeps other moves of its service waiting.
[[nodiscard]] bool occupies_service(const move_row& row);

[[nodiscard]] schedule_input schedule_of(const tracked_move& move, const decision_context& context);
/// Updates `risk`; returns true when its kind changed.
bool update_risk(tracked_move& move, const decision_context& context);
/// The next row, without epoch, revision and write id; empty when nothing changes. Precondition: live lease,
/// no write in flight.
[[nodiscard]] std::optional<move_row> decide(tracked_move& move, const decision_context& context);
/// The taken-back row with the evidence it rests on.
[[nodiscard]] move_row taken_back_row(const tracked_move& move, const std::string& reason,
                                      std::int64_t wall_ms);
/// Such as `failures on route pay: 12 of 40 requests, old version 3 of 3960`.
[[nodiscard]] std::string describe(const signal_evidence& evidence);

/// Result of reviewing another daemon's hold on the fleet's evidence.
enum class review_result : std::uint8_t { wait, confirm, release };
[[nodiscard]] review_result review_hold(const tracked_move& move, const hold_payload& payload,
                                        const record& hold, std::uint64_t lease_epoch, time_point now);

} // namespace endive::moves
