#pragma once
/// Reconstructs the course of a request and a daemon's view of the system from the logs of several daemons.

#include "endive/base.h"

#include <iosfwd>

namespace endive::ctl {

/// One line of a daemon's log.
struct log_line {
    std::string time; ///< RFC 3339 in UTC, so that lexicographic order is order of time
    std::string process;
    std::string event;
    json fields;
};

/// Parses log lines and returns them in order of time. Ignores prefixes that a log collector added before the
/// JSON object, and lines without a JSON object.
[[nodiscard]] std::vector<log_line> read_log(std::istream& in);

/// Returns the lines of one request in order of time, the state that each daemon involved knew at its end,
/// and a description of the cause. Throws `error` with `admin_not_found` when no line contains the request
/// id.
[[nodiscard]] std::string explain_request(const std::vector<log_line>& lines, const std::string& request_id);

/// Returns the state that `daemon` knew at `time`: configuration, store, endpoint, peers and version moves.
/// `time` has the format of `log_line::time`.
[[nodiscard]] std::string describe_beliefs(const std::vector<log_line>& lines, const std::string& daemon,
                                           const std::string& time);

} // namespace endive::ctl
