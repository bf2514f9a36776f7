#pragma once
/// Record of the executions of a backend stand-in, with which tests check which requests ran and how often.

#include "endive/base.h"

#include <deque>

namespace stand_in {

enum class execution_state { running, completed, cancelled };

struct execution {
    std::string id;
    std::string method;
    std::string path;
    std::string idempotency_key;
    std::int64_t started_unix_ms = 0;
    execution_state state = execution_state::running;
    int status = 0;
};

/// Executions in order of their start times. Thread safe.
class ledger {
public:
    /// Returns the index of the execution, for `finish`.
    std::size_t start(execution entry);
    void finish(std::size_t index, execution_state state, int status);
    /// Returns all entries, or those of one request id.
    [[nodiscard]] endive::json entries(const std::string& id = {}) const;

private:
    mutable std::mutex mutex_;
    std::deque<execution> executions_;
};

} // namespace stand_in
