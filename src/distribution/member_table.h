#pragma once
/// Membership table: merge rule, suspicion timers and bucket digests.

#include "endive/distribution.h"

#include <array>
#include <unordered_map>

namespace endive::distribution {

using bucket_digests = std::array<std::uint64_t, config::digest_buckets>;

/// Bucket of a table key in a digest exchange.
[[nodiscard]] std::size_t bucket_of(std::string_view key);

/// The newer of two records of one member: higher incarnation first; within an incarnation the later state,
/// and the data of the higher revision. The version floor never decreases. Commutative, associative,
/// idempotent.
[[nodiscard]] member_record merge_members(const member_record& left, const member_record& right);

/// True when the record is well formed and within limits.
[[nodiscard]] bool is_well_formed(const member_record& record);

enum class merge_outcome : std::uint8_t {
    unchanged,
    changed,      ///< the record is to be flooded
    sender_stale, ///< the sender's record is older than the stored one
    refuted       ///< the record described this daemon wrongly; the own record is to be flooded
};

class member_table {
public:
    /// `self` is the record of this daemon.
    explicit member_table(member_record self);

    merge_outcome merge(time_point now, const member_record& incoming);
    /// Marks an alive member suspect. Returns whether the state changed.
    bool mark_suspect(time_point now, const member_id& id);
    /// Marks suspect and leaving members dead after their timeouts and removes expired tombstones. Returns
    /// the ids to flood.
    [[nodiscard]] std::vector<member_id> advance(time_point now);
    /// Restarts all suspicion timers. Used after a pause, during which this daemon received no messages.
    void restart_timers(time_point now);
    /// Raises the version floor of a member to a version that it is known to have had.
    void raise_version_floor(const member_id& id, std::uint64_t version);
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
    /// Incremented whenever the set of live members changes.
    [[nodiscard]] std::uint64_t live_generation() const { return live_generation_; }
    /// Incremented whenever the result of `control_node::endpoints` changes.
    [[nodiscard]] std::uint64_t endpoint_generation() const { return endpoint_generation_; }
    template <typename Visit>
    void for_each(Visit visit) const {
        for (const auto& [id, entry] : entries_) {
            visit(entry.record);
        }
    }

    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] const bucket_digests& digests() const { return digests_; }
    /// Records of the buckets whose digests differ from `theirs`; all records when the numbers of buckets
    /// differ.
    [[nodiscard]] std::vector<member_record> differing(const std::vector<std::uint64_t>& theirs) const;

private:
    struct kept_member {
        member_record record;
        time_point since; ///< start of the current state
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
