#pragma once
/// Startup and shutdown of the test tools.

#include "endive/base.h"

#include <csignal>
#include <functional>
#include <iostream>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

namespace stand_in {

/// Parses the command line; `--help` and `--version` print their text and exit.
inline void parse_flags(int argc, char** argv, const std::string& usage) {
    absl::SetProgramUsageMessage(usage);
    absl::FlagsUsageConfig config;
    config.version_string = [] { return std::string{endive::version_text()} + "\n"; };
    config.contains_help_flags = [](absl::string_view file) {
        return file.find("stand_in") != absl::string_view::npos;
    };
    absl::SetFlagsUsageConfig(config);
    absl::ParseCommandLine(argc, argv);
}

/// Blocks SIGTERM and SIGINT; call before any thread starts, so that only `wait_for_stop` receives them.
inline void block_stop_signals() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

inline void wait_for_stop() {
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    int received = 0;
    sigwait(&signals, &received);
}

/// Prints one JSON line to standard output; tests read the ports from the first line.
inline void print_line(const endive::json& line) {
    std::cout << line.dump() << std::endl;
}

/// Runs `body`; logs an error and returns the exit status.
inline int run_program(const std::function<void()>& body) {
    try {
        body();
        return 0;
    } catch (const endive::error& failure) {
        endive::log_event(endive::log_level::error, "failed",
                          {{"code", endive::number(failure.code())}, {"message", failure.what()}});
    } catch (const std::exception& failure) {
        endive::log_event(endive::log_level::error, "failed", {{"message", failure.what()}});
    }
    return 1;
}

} // namespace stand_in
