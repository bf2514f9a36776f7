#pragma once
/// Runs the state machines of version moves next to `control_node`, on the control thread.

#include "endive/distribution.h"
#include "endive/moves.h"

namespace endive::daemon {

/// What the moves need from the control loop.
class move_effects {
public:
    move_effects() = default;
    move_effects(const move_effects&) = delete;
    move_effects& operator=(const move_effects&) = delete;
    virtual ~move_effects() = default;
    virtual void publish(const distribution::replicated_record& record) = 0;
    virtual void publish_evidence(std::vector<distribution::counter_vector> increments) = 0;
    virtual void write_move_row(const moves::write_row& request) = 0;
    virtual void read_move_row(const moves::read_row& request) = 0;
    virtual void list_move_rows() = 0;
    /// The traffic splits changed.
    virtual void splits_changed() = 0;
};

[[nodiscard]] distribution::replicated_record to_replicated(const moves::record& value);
[[nodiscard]] moves::record to_move_record(const distribution::replicated_record& value);

/// Evidence, containment, lifecycle and splits of one daemon. Not thread safe.
class move_control {
public:
    move_control(const std::string& member_id, move_effects& effects, counter_set& counters);

    void on_snapshot(const model::snapshot& active, time_point now, wall_time wall);
    void on_records(const std::vector<distribution::replicated_record>& records, time_point now,
                    wall_time wall);
    void on_lease(const moves::lease_state& lease, time_point now, wall_time wall);
    void on_fleet_evidence(const std::vector<distribution::counter_vector>& increments, time_point now,
                           wall_time wall);
    void on_rows(const std::vector<platform::row>& rows, time_point now, wall_time wall);
    void on_row(const std::string& move_id, const std::optional<platform::row>& row, time_point now,
                wall_time wall);
    void on_write_result(const std::string& move_id, const std::string& write_id, moves::write_result result,
                         const std::string& etag, time_point now, wall_time wall);
    /// Takes the observations since the last tick.
    void on_tick(const std::vector<model::call_observation>& observations, time_point now, wall_time wall);

    [[nodiscard]] std::vector<model::traffic_split> splits() const { return splits_.splits(); }
    [[nodiscard]] std::vector<moves::move_row> rows() const { return machine_.rows(); }

private:
    void perform(const moves::actions& actions);
    void report_evidence(time_point now);
    moves::evidence_collector collector_;
    moves::local_guard guard_;
    moves::move_machine machine_;
    moves::split_table splits_;
    move_effects& effects_;
    counter_set& counters_;
    std::optional<time_point> last_tick_;
    std::optional<time_point> last_report_;
};

} // namespace endive::daemon
