#pragma once
/// Classification of a finished HTTP transfer to the platform.

#include "endive/base.h"

#include <curl/curl.h>

namespace endive::platform {

/// Result of a finished transfer.
struct transfer_result {
    CURLcode curl_result = CURLE_OK;
    bool request_sent = false; ///< at least one byte of the request left this process
    bool is_write = false;
    long status = 0; ///< HTTP status, 0 when no response arrived
};

/// Error of a transfer; empty on success and for status 404, which the stores interpret themselves.
[[nodiscard]] std::optional<result_code> classify(const transfer_result& end);

/// Name of the counter for a platform error.
[[nodiscard]] std::string error_counter(result_code code);

} // namespace endive::platform
