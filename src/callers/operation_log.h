#pragma once
/// Stores the operation records of non-idempotent requests with an idempotency key in the platform's table.

#include "callers/reply.h"

namespace endive::callers {

/// An operation record owned by a call in progress.
struct open_operation {
    std::string row_key;
    std::string etag;
    calls::operation_record record;
};

/// Result of opening an operation. Exactly one member is set: the call runs (`owned`), repeats a finished one
/// (`stored`) or is refused.
struct open_operation_result {
    std::optional<open_operation> owned;
    std::optional<calls::operation_record> stored;
    std::optional<refusal> refused;
};

/// Functions block on table access. Thread safe.
class operation_log {
public:
    operation_log(platform::table_store& table, const clock_source& clock, counter_set& counters);
    [[nodiscard]] open_operation_result open(const std::string& service, const std::string& key,
                                             std::uint64_t digest);
    /// Records the final state: `finished` with the response, or `not_run`. If the write fails, the record
    /// stays `started`, and a repeated request gets an unknown outcome.
    void close(open_operation operation, calls::operation_state state, std::uint32_t status,
               const std::string& content_type, std::string_view body, bool body_complete);
    [[nodiscard]] operation_response describe(const std::string& service, const std::string& key);

private:
    struct write_outcome {
        calls::write_result result = calls::write_result::unknown;
        std::string etag;
    };
    [[nodiscard]] write_outcome write(const std::string& row_key, const calls::operation_record& record,
                                      const platform::precondition& condition);
    [[nodiscard]] std::string make_write_id();

    platform::table_store& table_;
    const clock_source& clock_;
    counter_set& counters_;
    std::string process_id_;
    std::atomic<std::uint64_t> next_write_{1};
};

/// URL path that returns the outcome of an operation.
[[nodiscard]] std::string operation_path(std::string_view service, std::string_view key);

} // namespace endive::callers
