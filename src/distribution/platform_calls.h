#pragma once
/// Request ids and timeouts of platform requests.

#include "endive/distribution.h"

namespace endive::distribution {

/// Part of the control state machine that waits for the answer.
enum class requester : std::uint8_t { head, submission, lease, rendezvous, snapshot_object };

/// Issues platform actions; each requester has at most one outstanding request. An answer that comes after
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
    /// Forgets the outstanding request of `who`.
    void abandon(requester who) { pending_.erase(who); }
    /// Requester of an answer; empty when nobody waits for it.
    [[nodiscard]] std::optional<requester> finish(const platform_result& result);
    /// Requesters whose requests ran out of time; the caller answers them with `platform_timeout`.
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
    std::uint64_t open(time_point now, requester who);

    std::uint64_t last_id_ = 0;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
    std::map<requester, outstanding> pending_;
    std::vector<action> actions_;
};

} // namespace endive::distribution
