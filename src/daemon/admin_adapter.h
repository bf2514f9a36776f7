#pragma once
/// The administration API's service, on top of the control loop and the platform.

#include "daemon/control_loop.h"

#include "endive/operators.h"

namespace endive::daemon {

/// Thread safe. All dependencies outlive it.
class admin_adapter final : public operators::admin_service {
public:
    admin_adapter(const daemon_settings& settings, control_loop& control, platform::table_store& table,
                  clock_source& clock);

    operators::submit_result submit(const operators::submit_request& request) override;
    [[nodiscard]] operators::part_result part(const std::string& team) override;
    [[nodiscard]] operators::fleet_status status() override;
    [[nodiscard]] std::vector<operators::history_entry> history(std::size_t limit) override;
    [[nodiscard]] std::vector<operators::move_status> moves() override;
    operators::move_status apply_action(const operators::move_action_request& request) override;
    [[nodiscard]] operators::report_result report() override;
    [[nodiscard]] std::optional<operators::operation_result> operation(const std::string& service,
                                                                       const std::string& key) override;
    void announce(const operators::endpoint_announcement& announcement) override;
    [[nodiscard]] operators::readiness ready() override;
    /// Readiness answers "draining" from now on.
    void begin_drain() { draining_ = true; }

private:
    [[nodiscard]] std::vector<endive::moves::move_row> move_rows();
    const daemon_settings& settings_;
    control_loop& control_;
    platform::table_store& table_;
    clock_source& clock_;
    time_point started_;
    std::atomic<bool> draining_{false};
};

} // namespace endive::daemon
