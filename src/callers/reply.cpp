#include "callers/reply.h"

#include <algorithm>

namespace endive::callers {
namespace {

[[nodiscard]] std::uint32_t http_status(result_code code) {
    switch (code) {
    case result_code::call_bad_request:
        return 400;
    case result_code::call_no_route:
        return 404;
    case result_code::call_duplicate_operation:
        return 409;
    case result_code::call_body_too_large:
        return 413;
    case result_code::call_key_reused:
        return 422;
    case result_code::call_cancelled:
        return 499;
    case result_code::call_upstream_failed:
    case result_code::call_upstream_truncated:
    case result_code::call_outcome_unknown:
        return 502;
    case result_code::call_deadline_exceeded:
        return 504;
    case result_code::call_too_deep:
        return 508;
    case result_code::internal:
        return 500;
    default:
        return 503;
    }
}

[[nodiscard]] bool is_not_forwarded(std::string_view name) {
    // Hop-by-hop fields and fields that the daemon sets itself.
    constexpr std::string_view names[] = {"connection",
                                          "keep-alive",
                                          "te",
                                          "trailer",
                                          "transfer-encoding",
                                          "upgrade",
                                          "endive-depth",
                                          "expect",
                                          "endive-timeout-ms",
                                          "content-length",
                                          "proxy-authorization",
                                          "endive-attempt",
                                          "proxy-connection"};
    return std::any_of(std::begin(names), std::end(names),
                       [&](auto n) { return equal_ignoring_case(n, name); });
}

} // namespace

std::string_view find_header(const std::vector<backends::header>& headers, std::string_view name) {
    for (const auto& field : headers) {
        if (equal_ignoring_case(field.name, name)) {
            return field.value;
        }
    }
    return {};
}

std::vector<backends::header> forwarded_headers(const std::vector<backends::header>& headers) {
    const auto listed = find_header(headers, "connection");
    std::vector<backends::header> result;
    result.reserve(headers.size() + 3);
    for (const auto& field : headers) {
        if (!is_not_forwarded(field.name) && !is_listed(listed, field.name)) {
            result.push_back(field);
        }
    }
    return result;
}

caller_reply make_reply(const refusal& reason) {
    caller_reply reply;
    reply.status = http_status(reason.code);
    const std::string name{to_string(reason.code)};
    json body{{"error", name}, {"code", number(reason.code)}};
    if (!reason.message.empty()) {
        body["message"] = reason.message;
    }
    if (!reason.operation.empty()) {
        body["operation"] = reason.operation;
    }
    reply.headers.push_back({"Content-Type", "application/json"});
    reply.headers.push_back({"endive-reason", name});
    if (reason.executed == calls::execution::not_run) {
        reply.headers.push_back({"endive-outcome", "not-run"});
        body["outcome"] = "not-run";
    } else if (reason.executed == calls::execution::unknown) {
        reply.headers.push_back({"endive-outcome", "unknown"});
        body["outcome"] = "unknown";
    }
    reply.body = body.dump(-1, ' ', false, json::error_handler_t::replace);
    return reply;
}

} // namespace endive::callers
