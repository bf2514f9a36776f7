// endive_sidecar: the sidecar daemon of one backend server on the users' platform.

#include "sidecar/sidecar.h"

#include "sidecar/guard.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/asio/signal_set.hpp>

#include <algorithm>
#include <csignal>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <sys/resource.h>
#include <unistd.h>

ABSL_FLAG(std::string, settings, "",
          "path of the JSON settings file; by default the one named by the platform");
ABSL_FLAG(bool, check, false, "read and check the settings, print nothing when they are valid, and exit");
ABSL_FLAG(bool, debug_log, false, "write debug lines to the log");

namespace {

std::string settings_path() {
    auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        const char* from_environment = std::getenv(endive::platform_wire::settings_variable.data());
        path = from_environment == nullptr ? std::string{} : std::string{from_environment};
    }
    return path;
}

void check_changed_settings(const endive::sidecar::sidecar_settings& settings) {
    try {
        const auto changed = endive::sidecar::read_settings(settings_path());
        endive::sidecar::log(endive::sidecar::event::settings_reloaded, {{"changed", changed != settings}});
    } catch (const endive::error& cause) {
        endive::sidecar::log(endive::sidecar::event::settings_rejected,
                             {{"place", cause.location()}, {"reason", cause.what()}});
    }
}

/// Makes large blocks go back to the system when they are freed. By default glibc raises the threshold with
/// each such block, after which the memory of large messages stays with the process.
void configure_allocator() {
    constexpr int mmap_threshold_bytes = 128 * 1024;
    constexpr int trim_threshold_bytes = 256 * 1024;
    ::mallopt(M_MMAP_THRESHOLD, mmap_threshold_bytes);
    ::mallopt(M_TRIM_THRESHOLD, trim_threshold_bytes);
}

/// The descriptors that the process may open, where the system allows fewer than the settings.
std::int64_t available_descriptors(std::int64_t configured) {
    rlimit limit{};
    if (::getrlimit(RLIMIT_NOFILE, &limit) != 0 || limit.rlim_cur == RLIM_INFINITY) {
        return configured;
    }
    return std::min(configured, static_cast<std::int64_t>(limit.rlim_cur));
}

void run(const endive::sidecar::sidecar_settings& settings) {
    boost::asio::io_context loop{1};
    const endive::boot_clock_source clock;
    auto effective = settings;
    effective.max_descriptors = available_descriptors(settings.max_descriptors);
    endive::sidecar::sidecar daemon{loop, clock, effective};
    boost::asio::signal_set stop_signals{loop, SIGTERM, SIGINT};
    stop_signals.async_wait([&](boost::system::error_code code, int) {
        if (!code) {
            daemon.stop();
        }
    });
    boost::asio::signal_set reload_signal{loop, SIGHUP};
    std::function<void(boost::system::error_code, int)> reload = [&](boost::system::error_code code, int) {
        if (code) {
            return;
        }
        endive::sidecar::run_guarded("reload of the settings", [&] { check_changed_settings(settings); });
        reload_signal.async_wait(reload);
    };
    reload_signal.async_wait(reload);
    daemon.start();
    // The loop can be run again after an exception has left it.
    while (!endive::sidecar::run_guarded("event", [&] { loop.run(); })) {
    }
}

} // namespace

int main(int argc, char** argv) {
    absl::SetProgramUsageMessage(
        "Sidecar daemon of one backend server.\n  endive_sidecar [--settings FILE] [--check]");
    absl::ParseCommandLine(argc, argv);
    try {
        configure_allocator();
        const auto settings = endive::sidecar::read_settings(settings_path());
        if (absl::GetFlag(FLAGS_check)) {
            return EXIT_SUCCESS;
        }
        endive::configure_log(
            absl::GetFlag(FLAGS_debug_log) ? endive::log_level::debug : endive::log_level::info,
            settings.name, {STDOUT_FILENO, static_cast<double>(settings.log_lines_per_second)});
        endive::sidecar::log(endive::sidecar::event::started,
                             {{"version", endive::version_text()}, {"service", settings.service}});
        run(settings);
        return EXIT_SUCCESS;
    } catch (const endive::error& cause) {
        std::cerr << "endive_sidecar: " << endive::to_string(cause.code()) << " ("
                  << endive::number(cause.code()) << "): " << cause.location() << ": " << cause.what()
                  << "\n";
        return EXIT_FAILURE;
    }
}
