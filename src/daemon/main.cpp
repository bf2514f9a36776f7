/// `endived`: the daemon beside each backend server.

#include "daemon/daemon.h"

#include <csignal>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>
#include <curl/curl.h>

ABSL_FLAG(std::string, settings, "", "path of the JSON settings file (see docs/operators.md)");

namespace {

constexpr int exit_usage = 2;
constexpr int exit_settings = 3;
constexpr int exit_failure = 1;

std::string version_line() {
    return "endived " + std::string{endive::version_text()} + "\n";
}

/// Blocks SIGTERM and SIGINT in this thread and all later ones, so that `wait_for_stop` receives them.
sigset_t block_stop_signals() {
    sigset_t stop;
    sigemptyset(&stop);
    sigaddset(&stop, SIGTERM);
    sigaddset(&stop, SIGINT);
    pthread_sigmask(SIG_BLOCK, &stop, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return stop;
}

void run(const endive::daemon::daemon_settings& settings, const sigset_t& stop) {
    endive::daemon::daemon_process process{settings};
    process.start();
    int received = 0;
    sigwait(&stop, &received);
    process.shut_down();
}

} // namespace

int main(int argc, char** argv) {
    absl::FlagsUsageConfig usage;
    usage.version_string = version_line;
    absl::SetFlagsUsageConfig(usage);
    absl::SetProgramUsageMessage("the daemon beside each backend server\n\n  endived --settings=FILE");
    absl::ParseCommandLine(argc, argv);
    const auto path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        std::cerr << "endived: --settings=FILE is required; see --help\n";
        return exit_usage;
    }
    try {
        const auto settings = endive::daemon::load_settings(path);
        endive::configure_log(settings.minimum_log_level, settings.name);
        curl_global_init(CURL_GLOBAL_ALL);
        run(settings, block_stop_signals());
        return 0;
    } catch (const endive::error& failure) {
        std::cerr << "endived: " << endive::number(failure.code()) << " " << endive::to_string(failure.code())
                  << ": " << failure.what() << "\n";
        return endive::number(failure.code()) / 1000 == 2 ? exit_settings : exit_failure;
    } catch (const std::exception& failure) {
        std::cerr << "endived: " << failure.what() << "\n";
        return exit_failure;
    }
}
