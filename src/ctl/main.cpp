#include "ctl/commands.h"

#include <algorithm>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

ABSL_FLAG(std::vector<std::string>, daemon, {}, "IP:port of daemons, separated by commas, tried in order");
ABSL_FLAG(std::string, token_file, "", "file whose first line is the team's token");
ABSL_FLAG(bool, json, false, "write results and errors as JSON");
ABSL_FLAG(std::string, out, "", "output file of generate; default: standard output");
ABSL_FLAG(std::string, if_match, "", "base version of the change; default: the current version");
ABSL_FLAG(std::string, idempotency_key, "", "idempotency key of submit; default: derived from the answers");
ABSL_FLAG(std::string, deadline, "", "new deadline for move extend, as an RFC 3339 time");
ABSL_FLAG(uint32_t, limit, 0, "number of history entries; 0 for the daemon's default");

namespace {

/// Replaces hyphens in flag names by underscores, because Abseil accepts only underscores.
std::vector<std::string> normalize_flags(int argc, char** argv) {
    std::vector<std::string> arguments(argv, argv + argc);
    for (auto& argument : arguments) {
        if (argument.starts_with("--")) {
            const auto end = std::min(argument.find('='), argument.size());
            std::replace(argument.begin() + 2, argument.begin() + static_cast<std::ptrdiff_t>(end), '-', '_');
        }
    }
    return arguments;
}

std::vector<char*> parse_flags(std::vector<std::string>& arguments) {
    std::vector<char*> pointers;
    pointers.reserve(arguments.size());
    for (auto& argument : arguments) {
        pointers.push_back(argument.data());
    }
    auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
    rest.erase(rest.begin());
    return rest;
}

void set_usage() {
    absl::SetProgramUsageMessage("endivectl [flags] command [arguments]\n\n" + endive::ctl::command_help());
    absl::FlagsUsageConfig config;
    config.version_string = [] { return "endivectl " + std::string{endive::version_text()} + "\n"; };
    absl::SetFlagsUsageConfig(config);
}

} // namespace

int main(int argc, char** argv) {
    set_usage();
    auto arguments = normalize_flags(argc, argv);
    endive::ctl::command_options options;
    for (const char* argument : parse_flags(arguments)) {
        options.arguments.emplace_back(argument);
    }
    options.daemons = absl::GetFlag(FLAGS_daemon);
    options.token_file = absl::GetFlag(FLAGS_token_file);
    options.json_output = absl::GetFlag(FLAGS_json);
    options.out = absl::GetFlag(FLAGS_out);
    options.if_match = absl::GetFlag(FLAGS_if_match);
    options.idempotency_key = absl::GetFlag(FLAGS_idempotency_key);
    options.deadline = absl::GetFlag(FLAGS_deadline);
    options.limit = absl::GetFlag(FLAGS_limit);
    const endive::system_clock_source clock;
    return static_cast<int>(endive::ctl::run_command(options, clock, std::cout, std::cerr));
}
