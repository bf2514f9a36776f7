#include "distribution/platform_calls.h"

namespace endive::distribution {

std::uint64_t platform_calls::open_request(time_point now, requester who) {
    pending_[who] = {++last_id_, now + config::platform_request_timeout};
    return last_id_;
}

void platform_calls::table_get(time_point now, requester who, std::string key) {
    ++reads_;
    actions_.emplace_back(distribution::table_get{open_request(now, who), std::move(key)});
}

void platform_calls::table_list(time_point now, requester who, std::string prefix) {
    ++reads_;
    actions_.emplace_back(distribution::table_list{open_request(now, who), std::move(prefix)});
}

void platform_calls::table_put(time_point now, requester who, std::string key, std::string value,
                               platform::precondition condition) {
    ++writes_;
    actions_.emplace_back(distribution::table_put{open_request(now, who), std::move(key), std::move(value),
                                                  std::move(condition)});
}

void platform_calls::object_get(time_point now, requester who, std::string key) {
    ++reads_;
    actions_.emplace_back(distribution::object_get{open_request(now, who), std::move(key)});
}

void platform_calls::object_put(time_point now, requester who, std::string key, std::string bytes) {
    ++writes_;
    actions_.emplace_back(distribution::object_put{open_request(now, who), std::move(key), std::move(bytes)});
}

std::optional<requester> platform_calls::finish(const platform_result& result) {
    for (const auto& [who, request] : pending_) {
        if (request.id == result.request_id) {
            const auto found = who;
            pending_.erase(found);
            return found;
        }
    }
    return {};
}

std::vector<requester> platform_calls::expire(time_point now) {
    std::vector<requester> expired;
    for (const auto& [who, request] : pending_) {
        if (now >= request.deadline) {
            expired.push_back(who);
        }
    }
    for (const auto who : expired) {
        pending_.erase(who);
    }
    return expired;
}

} // namespace endive::distribution
