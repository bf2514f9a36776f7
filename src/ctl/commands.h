#pragma once
/// Implements the commands of endivectl; `main.cpp` parses the flags.

#include "ctl/exit_codes.h"
#include "endive/base.h"

#include <iosfwd>

namespace endive::ctl {

struct command_options {
    std::vector<std::string> arguments; ///< command and its positional arguments
    std::vector<std::string> daemons;   ///< `IP:port`
    std::string token_file;
    bool json_output = false;
    std::string out;             ///< file for `generate`; empty for standard output
    std::string if_match;        ///< base version of a change; empty for the current version
    std::string idempotency_key; ///< of `submit`; empty to derive it from the answers
    std::string deadline;        ///< of `move extend`
    std::uint32_t limit = 0;     ///< of `history`; 0 for the daemon's default
};

/// Runs one command. Writes results to `out` and errors to `err`; with `json_output`, both are written to
/// `out` as JSON. Errors are returned as exit codes, not thrown.
[[nodiscard]] exit_code run_command(const command_options& options, const clock_source& clock,
                                    std::ostream& out, std::ostream& err);

/// Names and arguments of all commands, for `--help`.
[[nodiscard]] std::string command_help();

} // namespace endive::ctl
