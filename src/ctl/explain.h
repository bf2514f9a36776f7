#pragma once
// Explains requests and beliefs from the collected log lines of several daemons.

#include "endive/base.h"

#include <iosfwd>

namespace endive::ctl {

/// One line of a daemon's log.
struct log_line {
    std::string time; ///< RFC 3339 in UTC, so that text order is time order
    std::string process;
    std::string event;
    json fields;
};

/// Reads lines; whatever a collector put before the JSON object is ignored, and so are lines without one.
/// Returns them in order of time.
[[nodiscard]] std::vector<log_line> read_log(std::istream& in);

/// The lines of one request in order, what the daemons named in them believed at that time, and the cause in
/// words. Throws `error` with `admin_not_found` when no line names the request.
[[nodiscard]] std::string explain_request(const std::vector<log_line>& lines, const std::string& request_id);

/// What `daemon` believed at `time`: configuration, store, endpoint, peers, version moves.
[[nodiscard]] std::string describe_beliefs(const std::vector<log_line>& lines, const std::string& daemon,
                                           const std::string& time);

} // namespace endive::ctl
