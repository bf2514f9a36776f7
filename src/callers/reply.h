#pragma once
/// Requests and replies on the caller port, independent of the HTTP server library.

#include "endive/callers.h"

namespace endive::callers {

/// A request received from a caller. The views are valid while the handler runs.
struct caller_request {
    std::string_view method;
    std::string_view target; ///< path and query as sent
    std::vector<backends::header> headers;
    std::string_view body;
    int socket = -1; ///< used to detect that the caller disconnected
};

/// Response body that is produced while it is sent.
class body_stream {
public:
    body_stream() = default;
    body_stream(const body_stream&) = delete;
    body_stream& operator=(const body_stream&) = delete;
    virtual ~body_stream() = default;
    /// Blocks until 1 to `max` bytes have been written to `out` and returns their number. Returns 0 at the
    /// end of the body and -1 if the body cannot be completed.
    virtual std::int64_t read(char* out, std::size_t max) = 0;
};

struct caller_reply {
    std::uint32_t status = 200;
    std::vector<backends::header> headers;
    std::string body;
    std::unique_ptr<body_stream> stream;        ///< replaces `body` when set
    std::optional<std::uint64_t> stream_length; ///< chunked when empty
};

/// A refusal or an error that the daemon itself reports.
struct refusal {
    result_code code = result_code::internal;
    calls::execution executed = calls::execution::not_run;
    std::string message;
    std::string operation; ///< path of the outcome of a call with an idempotency key; may be empty
};

[[nodiscard]] caller_reply make_reply(const refusal& reason);
/// Value of a header, whose name is compared ignoring case; empty when absent.
[[nodiscard]] std::string_view find_header(const std::vector<backends::header>& headers,
                                           std::string_view name);
/// Headers to forward to the backend server.
[[nodiscard]] std::vector<backends::header> forwarded_headers(const std::vector<backends::header>& headers);

} // namespace endive::callers
