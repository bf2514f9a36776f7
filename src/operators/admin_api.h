#pragma once
/// The administration API without sockets: one HTTP request in, one HTTP response out.

#include "endive/operators.h"

namespace endive::operators {

/// A received request. Header values are absent when the header is.
struct http_request {
    std::string method;
    std::string target; ///< raw path and query
    std::optional<std::string> authorization;
    std::optional<std::string> if_match;
    std::optional<std::string> idempotency_key;
    std::string client_host;
    std::string body;
};

struct http_response {
    int status = 200;
    std::string body;
    std::string content_type = "application/json";
    std::map<std::string, std::string> headers;
};

/// The HTTP status that belongs to a result code.
[[nodiscard]] int http_status(result_code code);

/// Path segments of a raw target, each percent-decoded; empty when an escape is malformed or the path does
/// not start with a slash.
[[nodiscard]] std::optional<std::vector<std::string>> split_path(std::string_view target);
/// The decimal value of a query parameter; empty when absent. Throws `admin_bad_request` when malformed.
[[nodiscard]] std::optional<std::uint64_t> query_number(std::string_view target, std::string_view name);
/// The version in an `if-match` header: decimal digits, with or without quotes. Empty for `*`. Throws
/// `submit_precondition_missing` when absent, `admin_bad_request` when malformed.
[[nodiscard]] std::optional<std::uint64_t> parse_if_match(const std::optional<std::string>& header);

/// Authenticates, dispatches and reports errors. Thread safe.
class admin_api {
public:
    /// Throws `settings_out_of_range` when two tokens are equal or one is empty.
    admin_api(admin_settings settings, admin_service& service, counter_set& counters,
              std::vector<named_histogram> histograms);
    /// Never throws; every failure becomes an error response.
    [[nodiscard]] http_response handle(const http_request& request) noexcept;

private:
    /// Who sent the request: a team, or the read-only operators token with an empty team.
    struct principal {
        std::string team;
    };
    using segments = std::vector<std::string>;

    [[nodiscard]] http_response dispatch(const http_request& request);
    [[nodiscard]] http_response dispatch_endive(const http_request& request, const segments& path);
    [[nodiscard]] http_response handle_part(const http_request& request, const segments& path);
    [[nodiscard]] http_response handle_submit(const http_request& request, const std::string& team);
    [[nodiscard]] http_response handle_history(const http_request& request);
    [[nodiscard]] http_response handle_move_action(const http_request& request, const segments& path);
    [[nodiscard]] http_response handle_operation(const http_request& request, const segments& path);
    [[nodiscard]] http_response handle_announcement(const http_request& request);
    [[nodiscard]] http_response handle_readiness();

    [[nodiscard]] principal authenticate(const http_request& request) const;
    /// The team of a token that may write. Throws `admin_forbidden` for the operators token.
    [[nodiscard]] std::string authenticate_team(const http_request& request) const;
    void check_body(const http_request& request, std::size_t limit) const;
    [[nodiscard]] http_response failure(const error& problem);

    admin_settings settings_;
    admin_service& service_;
    counter_set& counters_;
    std::vector<named_histogram> histograms_;
};

} // namespace endive::operators
