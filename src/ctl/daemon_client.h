#pragma once
/// HTTP client for the administration API with failover between daemons.

#include "endive/base.h"

namespace endive::ctl {

struct api_request {
    std::string method = "GET";
    std::string path; ///< path and query string
    std::map<std::string, std::string> headers;
    std::string body;
    /// Repeating the request has no further effect, so the next daemon is tried even when the outcome is
    /// unknown.
    bool idempotent = true;
};

/// Error response of a daemon, with its JSON body.
class remote_error : public error {
public:
    remote_error(result_code code, const std::string& message, const std::string& place, json body)
        : error{code, message, place}, body_(std::move(body)) {}
    [[nodiscard]] const json& body() const noexcept { return body_; }

private:
    json body_;
};

/// Tries the daemons in the given order. Goes on to the next one when a daemon is unreachable or responds
/// with status 503, unless the request may have taken effect and is not idempotent. Not thread safe.
class daemon_client {
public:
    daemon_client(std::vector<std::string> daemons, std::string token)
        : daemons_{std::move(daemons)}, token_{std::move(token)} {}

    /// Returns the JSON body of a successful response. Throws `remote_error` for an error response, and
    /// `error` with `admin_unreachable` when no daemon responds, with `platform_outcome_unknown` when a
    /// request that is not idempotent was sent and got no response, or with `internal` when the response is
    /// malformed.
    [[nodiscard]] json call(const api_request& request);

private:
    std::vector<std::string> daemons_;
    std::string token_;
};

/// Percent-encodes one path segment.
[[nodiscard]] std::string encode_segment(std::string_view text);

} // namespace endive::ctl
