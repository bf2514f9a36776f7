#pragma once
/// Requests and replies on the caller port, free of the server library's types.

#include "endive/callers.h"

namespace endive::callers {

/// A request as read from the caller. The views are valid while the handler runs.
struct caller_request {
    std::string_view method;
    std::string_view target; ///< path and query as sent
    std::vector<backends::header> headers;
    std::string_view body;
    int socket = -1; ///< to notice that the caller went away
};

/// Body that is produced while it is sent.
class body_stream {
public:
    body_stream() = default;
    body_stream(const body_stream&) = delete;
    body_stream& operator=(const body_stream&) = delete;
    virtual ~body_stream() = default;
    /// Blocks until it has written 1 to `max` bytes to `out`; 0 at the end, -1 when the body cannot be
    /// completed.
    virtual std::int64_t read(char* out, std::size_t max) = 0;
};

struct caller_reply {
    std::uint32_t status = 200;
    std::vector<backends::header> headers;
    std::string body;
    std::unique_ptr<body_stream> stream;        ///< replaces `body` when set
    std::optional<std::uint64_t> stream_length; ///< chunked when empty
};

/// A refusal or an error of the daemon itself.
struct refusal {
    result_code code = result_code::internal;
    calls::execution executed = calls::execution::not_run;
    std::string message;
    std::string operation; ///< path that tells more about a keyed operation; may be empty
};

[[nodiscard]] caller_reply make_reply(const refusal& reason);
/// Value of a header, compared without case; empty when absent.
[[nodiscard]] std::string_view find_header(const std::vector<backends::header>& headers,
                                           std::string_view name);
/// Headers that go on to the backend server.
[[nodiscard]] std::vector<backends::header> forwarded_headers(const std::vector<backends::header>& headers);

} // namespace endive::callers
