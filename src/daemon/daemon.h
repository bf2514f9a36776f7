#pragma once
/// One running daemon: control loop, request path and administration API.

#include "daemon/admin_adapter.h"

#include "endive/callers.h"

namespace endive::daemon {

/// Owns all parts of a daemon. `start` and `shut_down` are called by one thread.
class daemon_process final : private view_listener, private callers::observer {
public:
    explicit daemon_process(daemon_settings settings);
    ~daemon_process() override;

    /// Opens the ports. Throws `error` with `settings_port_unavailable`.
    void start();
    /// Graceful shutdown: not ready, leaving announced, requests in flight finished, threads joined.
    void shut_down();

private:
    void on_view(const control_view& view) override;
    void on_paused() override;
    void on_call(const model::call_observation& observation) override { observations_.add(observation); }
    [[nodiscard]] callers::proxy_settings proxy_settings() const;
    [[nodiscard]] operators::admin_settings admin_settings() const;

    daemon_settings settings_;
    system_clock_source clock_;
    counter_set counters_;
    observation_buffer observations_;
    std::unique_ptr<platform::table_store> table_;
    std::unique_ptr<platform::object_store> objects_;
    // Calls use a connection pool of their own, so that slow control requests do not delay operation records.
    std::unique_ptr<platform::table_store> operations_table_;
    callers::proxy_server proxy_;
    control_loop control_;
    admin_adapter admin_;
    std::unique_ptr<operators::admin_server> admin_server_;
    bool stopped_ = false;
};

} // namespace endive::daemon
