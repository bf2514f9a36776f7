#pragma once
/// Operation records of keyed requests that are not idempotent, in the platform's table.

#include "callers/reply.h"

namespace endive::callers {

/// One call that owns its operation record.
struct open_operation {
    std::string row_key;
    std::string etag;
    calls::operation_record record;
};

/// How a keyed call goes on: it runs, or it is answered at once.
struct operation_opening {
    std::optional<open_operation> owned;
    std::optional<calls::operation_record> stored;
    std::optional<refusal> refused;
};

/// Blocks on the table. Thread safe.
class operation_log {
public:
    operation_log(platform::table_store& table, const clock_source& clock, counter_set& counters);
    [[nodiscard]] operation_opening open(const std::string& service, const std::string& key,
                                         std::uint64_t digest);
    /// Records the end: `finished` with the response, or `not_run`. A failure leaves `started`, which a
    /// repeat reads as unknown.
    void close(open_operation operation, calls::operation_state state, std::uint32_t status,
               const std::string& content_type, std::string_view body, bool body_complete);
    [[nodiscard]] operation_response describe(const std::string& service, const std::string& key);

private:
    struct write_answer {
        calls::write_result result = calls::write_result::unknown;
        std::string etag;
    };
    [[nodiscard]] write_answer write(const std::string& row_key, const calls::operation_record& record,
                                     const platform::precondition& condition);
    [[nodiscard]] std::string make_write_id();

    platform::table_store& table_;
    const clock_source& clock_;
    counter_set& counters_;
    std::string process_id_;
    std::atomic<std::uint64_t> next_write_{1};
};

/// Path at which the outcome of an operation can be read.
[[nodiscard]] std::string operation_path(std::string_view service, std::string_view key);

} // namespace endive::callers
