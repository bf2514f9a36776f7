#pragma once
/// Request ids and timeouts of platform requests.

#include "endive/distribution.h"

namespace endive::distribution {

/// Component of the control state machine that issued a request.
enum class requester : std::uint8_t { head, submission, lease, rendezvous, snapshot_object };

/// Issues platform actions; each requester has at most one outstanding request. An answer that arrives after
/// the timeout, or after a newer request of the same requester, is dropped.
class platform_calls {
public:
    void table_get(time_point now, requester who, std::string key);
    void table_list(time_point now, requester who, std::string prefix);
    void table_put(time_point now, requester who, std::string key, std::string value,
                   platform::precondition condition);
    void object_get(time_point now, requester who, std::string key);
    void object_put(time_point now, requester who, std::string key, std::string bytes);

    [[nodiscard]] bool pending(requester who) const { return pending_.contains(who); }
    /// Cancels the outstanding request of `who`; its answer will be dropped.
    void cancel(requester who) { pending_.erase(who); }
    /// Completes a request. Returns its requester, or empty when the request is no longer outstanding.
    [[nodiscard]] std::optional<requester> finish(const platform_result& result);
    /// Removes requests that timed out and returns their requesters; the caller answers them with
    /// `platform_timeout`.
    [[nodiscard]] std::vector<requester> expire(time_point now);
    /// Actions issued since the last call.
    [[nodiscard]] std::vector<action> take_actions() { return std::exchange(actions_, {}); }

    [[nodiscard]] std::uint64_t reads() const { return reads_; }
    [[nodiscard]] std::uint64_t writes() const { return writes_; }

private:
    struct outstanding {
        std::uint64_t id = 0;
        time_point deadline;
    };
    std::uint64_t open_request(time_point now, requester who);

    std::uint64_t last_id_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::map<requester, outstanding> pending_;
    std::vector<action> actions_;
};

} // namespace endive::distribution
