#pragma once
/// State of one move at the owner: its row, its evidence, and the decision on the next row.

#include "endive/moves.h"
#include "moves/schedule.h"

namespace endive::moves {

/// Warm requests on one route since the step began.
struct route_progress {
    double old_requests = 0;
    double new_requests = 0;
    bool idempotent = true;
};

/// Inputs of a decision other than the move itself.
struct decision_context {
    time_point now{};
    std::int64_t wall_ms = 0;
    bool lease_valid = false;     ///< the lease is valid and its rows are loaded
    const record* hold = nullptr; ///< on the new version; null when there is none
    std::string blocked_by;       ///< id of the move of the same service that must finish first, or empty
};

struct tracked_move {
    tracked_move(model::version_move configured_move, const decision_settings& decision);

    model::version_move move; ///< from the configuration
    decision_settings settings;
    verdict_tests tests;
    bool configured = true;

    move_row row; ///< as last written or read
    std::string etag;
    bool stored = false; ///< the row exists in the table
    bool known = false;  ///< this owner has read or listed the row

    std::optional<move_row> proposed;       ///< row of the write in flight
    std::optional<time_point> read_started; ///< start of the read in flight
    time_point write_started{};
    time_point retry_at{};

    std::map<std::string, route_progress, std::less<>> progress; ///< by route, since the step began
    std::optional<time_point> step_started;
    double rate_requests = 0; ///< decayed sums; their quotient is the request rate of the service
    double rate_seconds = 0;
    std::uint64_t new_requests = 0;  ///< requests to the new version not yet added to the row
    std::int64_t first_fault_ms = 0; ///< wall time at which evidence rose over half of the threshold; 0: none
    std::optional<time_point> hold_seen;
    std::optional<time_point> inconclusive_since;
    std::string risk; ///< why the deadline is at risk; empty when it is not

    /// Adds the counts of an interval of `seconds`.
    void add_evidence(std::span<const paired_evidence> routes, double seconds,
                      const decision_context& context);
    void begin_step(time_point now);
    /// The row as shown to operators, including counts and risks that are not stored yet.
    [[nodiscard]] move_row view() const;
};

/// True when the new version has a traffic share and can still be taken back.
[[nodiscard]] bool may_take_back(const move_row& row);
/// True when other moves of the service must wait for this one.
[[nodiscard]] bool occupies_service(const move_row& row);

/// Schedule input of the current step.
[[nodiscard]] schedule_input schedule_of(const tracked_move& move, const decision_context& context);
/// Updates `risk`. Returns true when its kind, the text before the first colon, changed.
bool update_risk(tracked_move& move, const decision_context& context);
/// Returns the next row without epoch, revision and write id, or nothing when the row stays as it is.
/// Preconditions: the lease is valid and no write is in flight.
[[nodiscard]] std::optional<move_row> decide(tracked_move& move, const decision_context& context);
/// Returns the taken-back row with the evidence for the decision.
[[nodiscard]] move_row taken_back_row(const tracked_move& move, const std::string& reason,
                                      std::int64_t wall_ms);
/// Text for operators such as `failures on route pay: 12 of 40 requests, old version 3 of 3960`.
[[nodiscard]] std::string describe(const signal_evidence& evidence);

/// Outcome of the owner's review of a hold.
enum class review_result : std::uint8_t { wait, confirm, release };
/// Compares the evidence behind a hold with that of the other daemons. `lease_epoch` is the epoch of the
/// owner's lease.
[[nodiscard]] review_result review_hold(const tracked_move& move, const hold_payload& payload,
                                        const record& hold, std::uint64_t lease_epoch, time_point now);

} // namespace endive::moves
