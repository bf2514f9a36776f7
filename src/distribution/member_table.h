#pragma once
/// The list of members with the merge rule, suspicion timers and bucket digests.

#include "endive/distribution.h"

#include <array>
#include <unordered_map>

namespace endive::distribution {

using bucket_digests = std::array<std::uint64_t, config::digest_buckets>;

/// Bucket of a table key in a digest exchange.
[[nodiscard]] std::size_t bucket_of(std::string_view key);

/// The newer of two records of one member: higher incarnation first; within an incarnation the later state,
/// and the data of the higher revision. The version floor only grows. Commutative, associative, idempotent.
[[nodiscard]] member_record merge_members(const member_record& left, const member_record& right);

/// True when the record is well formed and within limits.
[[nodiscard]] bool acceptable(const member_record& record);

enum class merge_outcome : std::uint8_t {
    unchanged,
    changed,      ///< flood it
    sender_stale, ///< the sender's record is older than the kept one
    refuted       ///< the record was about this daemon and is outdated; flood the own record
};

class member_table {
public:
    /// `self` is the record of this daemon.
    explicit member_table(member_record self);

    merge_outcome merge(time_point now, const member_record& incoming);
    /// Marks an alive member suspect. True when that changed it.
    bool suspect(time_point now, const member_id& id);
    /// Marks suspect and leaving members dead after their time and forgets old tombstones. Returns the ids to
    /// flood.
    [[nodiscard]] std::vector<member_id> advance(time_point now);
    /// Restarts all suspicion timers, because this daemon was paused and heard nobody.
    void restart_timers(time_point now);
    /// Records that the member had this version.
    void note_version(const member_id& id, std::uint64_t version);
    [[nodiscard]] std::uint64_t version_floor(const member_id& id) const;

    [[nodiscard]] const member_record& self() const { return self_->second.record; }
    /// Changes the own record: new endpoints, state or incarnation.
    void set_endpoints(std::vector<model::endpoint_info> endpoints);
    void set_leaving();
    void set_incarnation(std::uint64_t incarnation);

    [[nodiscard]] const member_record* find(const member_id& id) const;
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// Members that are alive or suspect, this one included.
    [[nodiscard]] std::size_t live() const { return live_; }
    [[nodiscard]] bool is_live(const member_id& id) const;
    /// Raised whenever the set of live members changes.
    [[nodiscard]] std::uint64_t live_generation() const { return live_generation_; }
    /// Raised whenever the result of `endpoints` changes.
    [[nodiscard]] std::uint64_t endpoint_generation() const { return endpoint_generation_; }
    template <typename Visit>
    void for_each(Visit visit) const {
        for (const auto& [id, entry] : entries_) {
            visit(entry.record);
        }
    }

    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] const bucket_digests& digests() const { return digests_; }
    /// Records of the buckets whose digests differ from `theirs`; all when the sizes differ.
    [[nodiscard]] std::vector<member_record> differing(const std::vector<std::uint64_t>& theirs) const;

private:
    struct kept_member {
        member_record record;
        time_point since; ///< of the state
    };
    using entry_map = std::unordered_map<member_id, kept_member>;

    void replace(kept_member& target, member_record next, time_point now);
    void add_digest(const member_record& record);
    merge_outcome merge_self(const member_record& incoming);

    entry_map entries_;
    entry_map::iterator self_;
    bucket_digests digests_{};
    std::size_t live_ = 0;
    std::uint64_t live_generation_ = 0;
    std::uint64_t endpoint_generation_ = 0;
};

} // namespace endive::distribution
