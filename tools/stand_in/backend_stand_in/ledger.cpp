#include "ledger.h"

namespace stand_in {
namespace {

std::string_view name_of(execution_state state) {
    switch (state) {
    case execution_state::running:
        return "running";
    case execution_state::completed:
        return "completed";
    case execution_state::cancelled:
        return "cancelled";
    }
    return "";
}

endive::json to_json(const execution& entry) {
    return {{"id", entry.id},
            {"method", entry.method},
            {"path", entry.path},
            {"idempotency_key", entry.idempotency_key},
            {"started_unix_ms", entry.started_unix_ms},
            {"state", name_of(entry.state)},
            {"status", entry.status}};
}

} // namespace

std::size_t ledger::start(execution entry) {
    const std::lock_guard lock{mutex_};
    executions_.push_back(std::move(entry));
    return executions_.size() - 1;
}

void ledger::finish(std::size_t index, execution_state state, int status) {
    const std::lock_guard lock{mutex_};
    executions_[index].state = state;
    executions_[index].status = status;
}

endive::json ledger::entries(const std::string& id) const {
    const std::lock_guard lock{mutex_};
    auto list = endive::json::array();
    for (const auto& entry : executions_) {
        if (id.empty() || entry.id == id) {
            list.push_back(to_json(entry));
        }
    }
    return list;
}

} // namespace stand_in
