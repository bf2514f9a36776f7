#pragma once
/// Commands that read a questionnaire file.

#include "ctl/commands.h"
#include "ctl/daemon_client.h"
#include "endive/model.h"

namespace endive::ctl {

/// Reads a questionnaire file. Throws `answers_unreadable`, or `answers_too_large` without reading beyond the
/// size limit.
[[nodiscard]] std::string read_answers(const std::string& path);
/// Writes a temporary file in the directory of `path` and renames it, so that a failure leaves no partial
/// file. Throws `usage` when the file cannot be written.
void write_file(const std::string& path, const std::string& bytes);
/// Parses the value of `--if-match`. Throws `usage` when it is not a decimal number.
[[nodiscard]] std::uint64_t parse_version(const std::string& text);

exit_code run_check(const command_options& options, const clock_source& clock, std::ostream& out);
exit_code run_generate(const command_options& options, const clock_source& clock, std::ostream& out);
exit_code run_submit(const command_options& options, const clock_source& clock, daemon_client& client,
                     std::ostream& out);
exit_code run_diff(const command_options& options, const clock_source& clock, daemon_client& client,
                   std::ostream& out);

} // namespace endive::ctl
