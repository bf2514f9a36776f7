#include "platform/outcome.h"

namespace endive::platform {
namespace {

constexpr long status_not_found = 404;
constexpr long status_precondition_failed = 412;
constexpr long status_unavailable = 503;

std::optional<result_code> classify_status(const transfer_result& end) {
    if ((end.status >= 200 && end.status < 300) || end.status == status_not_found) {
        return std::nullopt;
    }
    if (end.status == status_precondition_failed) {
        return result_code::platform_precondition_failed;
    }
    if (end.status == status_unavailable) {
        return result_code::platform_unavailable;
    }
    // Only 503 guarantees that nothing was written; other server errors may occur after the commit.
    if (end.is_write && end.status >= 500) {
        return result_code::platform_outcome_unknown;
    }
    return result_code::platform_bad_answer;
}

} // namespace

std::optional<result_code> classify(const transfer_result& end) {
    if (end.curl_result == CURLE_OK) {
        return classify_status(end);
    }
    if (!end.request_sent) {
        return result_code::platform_unavailable;
    }
    if (end.curl_result == CURLE_OPERATION_TIMEDOUT) {
        return result_code::platform_timeout;
    }
    if (end.is_write) {
        return result_code::platform_outcome_unknown;
    }
    const bool too_large = end.curl_result == CURLE_WRITE_ERROR;
    return too_large ? result_code::platform_bad_answer : result_code::platform_unavailable;
}

std::string error_counter(result_code code) {
    // The names of the codes start with `platform_`.
    constexpr std::size_t prefix_length = std::string_view{"platform_"}.size();
    return "platform_error_" + std::string{to_string(code).substr(prefix_length)};
}

} // namespace endive::platform
