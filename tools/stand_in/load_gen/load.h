#pragma once
/// Open-loop load: requests are sent at fixed times, independently of earlier responses.

#include "endive/base.h"

namespace stand_in {

struct load_settings {
    std::vector<std::string> targets; ///< `IP:port`; connections are distributed evenly
    std::string method = "GET";
    std::vector<std::string> paths{"/"}; ///< used in turn
    std::vector<std::string> headers;    ///< `Name: value`
    std::size_t body_size = 0;
    std::optional<std::size_t> response_size; ///< asks `backend_stand_in` for a body of this size
    double rate = 100.0;                      ///< requests per second over all connections
    std::size_t connections = 10;
    double duration_s = 1.0;
    endive::milliseconds timeout{5000};
    bool idempotency_keys = false; ///< a unique `idempotency-key` for each request
    std::string id_prefix = "load";
};

/// Result of one request.
struct request_record {
    std::string id;
    long status = 0;   ///< 0 when no complete response arrived
    std::string error; ///< libcurl error; empty for a complete response
    std::string outcome;
    std::string reason;
    endive::duration latency{0}; ///< from the intended send time
    /// True when id, request digest and response checksum match; empty when the response has no checksum.
    std::optional<bool> valid;
};

struct load_result {
    std::vector<request_record> records;
    endive::duration elapsed{0};
    std::uint64_t connections_opened = 0;
};

/// Runs the load; blocks until all requests have ended.
[[nodiscard]] load_result run_load(const load_settings& settings);

/// Returns counts and latency quantiles.
[[nodiscard]] endive::json summarize(const load_result& result);
[[nodiscard]] endive::json to_json(const request_record& record);

} // namespace stand_in
