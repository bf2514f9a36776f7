#pragma once
/// The commands of endivectl, apart from flag parsing.

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
    std::string if_match;        ///< version that a change is based on; empty to use the current one
    std::string idempotency_key; ///< of `submit`; empty to derive it from the answers
    std::string deadline;        ///< of `move extend`
    std::uint32_t limit = 0;     ///< of `history`; 0 for the daemon's default
};

/// Runs one command. Results go to `out`, errors to `err`, or both as JSON to `out` with `json_output`.
[[nodiscard]] exit_code run_command(const command_options& options, const clock_source& clock,
                                    std::ostream& out, std::ostream& err);

/// Names and arguments of all commands, for `--help`.
[[nodiscard]] std::string command_help();

} // namespace endive::ctl
