#pragma once
/// HTTP client of the administration API that tries several daemons in turn.

#include "endive/base.h"

namespace endive::ctl {

struct api_request {
    std::string method = "GET";
    std::string path; ///< below the daemon's address, with its query
    std::map<std::string, std::string> headers;
    std::string body;
    /// A repeat has no further effect, so the next daemon is tried even when the outcome is unknown.
    bool repeatable = true;
};

/// An error that a daemon reported, with its JSON body.
class remote_error : public error {
public:
    remote_error(result_code code, const std::string& message, const std::string& place, json body)
        : error{code, message, place}, body_(std::move(body)) {}
    [[nodiscard]] const json& body() const noexcept { return body_; }

private:
    json body_;
};

/// Not thread safe.
class daemon_client {
public:
    daemon_client(std::vector<std::string> daemons, std::string token)
        : daemons_{std::move(daemons)}, token_{std::move(token)} {}

    /// Returns the JSON body of a successful response. Errors: `remote_error`, `admin_unreachable` when no
    /// daemon answers, `platform_outcome_unknown` when a request that must not be repeated got no response.
    [[nodiscard]] json call(const api_request& request);

private:
    std::vector<std::string> daemons_;
    std::string token_;
};

/// Percent-encodes one path segment.
[[nodiscard]] std::string encode_segment(std::string_view text);

} // namespace endive::ctl
