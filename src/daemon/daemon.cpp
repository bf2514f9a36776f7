#include "daemon/daemon.h"

namespace endive::daemon {

daemon_process::daemon_process(daemon_settings settings)
    : settings_{std::move(settings)}, observations_{counters_},
      table_{platform::make_http_table({settings_.platform_address, settings_.platform_timeout}, counters_)},
      objects_{
          platform::make_http_objects({settings_.platform_address, settings_.platform_timeout}, counters_)},
      operations_table_{
          platform::make_http_table({settings_.platform_address, settings_.platform_timeout}, counters_)},
      proxy_{proxy_settings(), clock_, counters_, *operations_table_, *this},
      control_{settings_, {clock_, *table_, *objects_, counters_, observations_, *this}}, admin_{settings_,
                                                                                                 control_,
                                                                                                 *table_,
                                                                                                 clock_} {}

daemon_process::~daemon_process() {
    shut_down();
}

callers::proxy_settings daemon_process::proxy_settings() const {
    callers::proxy_settings proxy;
    proxy.listen = parse_address(settings_.caller_address).value();
    proxy.failure_domain = settings_.failure_domain;
    return proxy;
}

operators::admin_settings daemon_process::admin_settings() const {
    operators::admin_settings admin;
    admin.listen = parse_address(settings_.admin_address).value();
    admin.tokens = settings_.tokens;
    admin.operators_token = settings_.operators_token;
    return admin;
}

void daemon_process::start() {
    proxy_.start();
    control_.start();
    admin_server_ = std::make_unique<operators::admin_server>(
        admin_settings(), admin_, counters_,
        std::vector<operators::named_histogram>{{"convergence", &control_.convergence_times()}});
    log_event(log_level::info, "started",
              {{"member", settings_.advertised_peer_address},
               {"caller_address", settings_.caller_address},
               {"admin_address", settings_.admin_address}});
}

void daemon_process::shut_down() {
    if (stopped_) {
        return;
    }
    stopped_ = true;
    admin_.begin_drain();
    control_.leave();
    const auto cut = proxy_.drain(settings_.drain_timeout);
    if (cut > 0) {
        log_event(log_level::warning, "drain_timed_out", {{"calls_in_flight", cut}});
    }
    proxy_.stop();
    if (admin_server_) {
        admin_server_->stop();
    }
    control_.stop();
    log_event(log_level::info, "stopped", {{"calls_cut", cut}});
}

void daemon_process::on_view(const control_view& view) {
    auto next = std::make_shared<callers::request_view>();
    // Without a table every call is refused as not run; that is the state before readiness and while fenced.
    next->routes = view.ready ? view.table : nullptr;
    next->endpoints = view.endpoints;
    next->splits = view.splits;
    next->live_daemons = static_cast<std::uint32_t>(view.live_daemons);
    proxy_.set_view(std::move(next));
}

void daemon_process::on_paused() {
    counters_.add("process_pauses");
}

} // namespace endive::daemon
