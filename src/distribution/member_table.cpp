#include "distribution/member_table.h"

#include <algorithm>

namespace endive::distribution {
namespace {

// A leaving member receives no new work and may drain for a while, so there is no need to mark it dead soon.
constexpr auto leaving_retention = std::chrono::seconds{30};

bool is_live_state(member_state state) {
    return state == member_state::alive || state == member_state::suspect;
}

std::uint64_t mix(std::uint64_t hash, std::uint64_t value) {
    hash ^= value + 0x9e3779b97f4a7c15ULL + (hash << 6) + (hash >> 2);
    return hash * 0xff51afd7ed558ccdULL;
}

/// Dead members are excluded, because daemons remove them at different times.
std::uint64_t digest_of(const member_record& record) {
    if (record.state == member_state::dead) {
        return 0;
    }
    auto hash = mix(stable_hash(record.id), record.incarnation);
    hash = mix(hash, static_cast<std::uint64_t>(record.state));
    return mix(hash, record.revision);
}

/// Order of the data that a member wrote about itself. Equal revisions with different data only occur when
/// two processes claim one id; the comparison then keeps the merge deterministic.
auto data_key(const member_record& record) {
    return std::tie(record.revision, record.failure_domain, record.region, record.endpoints);
}

bool same_data(const member_record& left, const member_record& right) {
    return left.incarnation == right.incarnation && left.state == right.state &&
           data_key(left) == data_key(right);
}

} // namespace

std::size_t bucket_of(std::string_view key) {
    return stable_hash(key) % config::digest_buckets;
}

member_record merge_members(const member_record& left, const member_record& right) {
    const auto& later = left.incarnation >= right.incarnation ? left : right;
    auto merged = later;
    if (left.incarnation == right.incarnation) {
        merged = data_key(left) >= data_key(right) ? left : right;
        merged.state = std::max(left.state, right.state);
    }
    merged.version_floor = std::max(left.version_floor, right.version_floor);
    return merged;
}

bool is_well_formed(const member_record& record) {
    return parse_address(record.id).has_value() && record.state <= member_state::dead &&
           record.failure_domain.size() <= config::max_name_length &&
           record.region.size() <= config::max_name_length &&
           record.endpoints.size() <= config::max_endpoints_per_member;
}

member_table::member_table(member_record self) {
    const auto id = self.id;
    self_ = entries_.emplace(id, kept_member{std::move(self), {}}).first;
    add_digest(self_->second.record);
    live_ = 1;
}

void member_table::add_digest(const member_record& record) {
    digests_[bucket_of(record.id)] += digest_of(record);
}

void member_table::replace(kept_member& target, member_record next, time_point now) {
    auto& record = target.record;
    digests_[bucket_of(record.id)] -= digest_of(record);
    const auto was_live = is_live_state(record.state);
    const auto is_live = is_live_state(next.state);
    if (was_live != is_live) {
        live_ = is_live ? live_ + 1 : live_ - 1;
        ++live_generation_;
    }
    // Suspicion does not change the endpoint list: calls assess an endpoint by their own observations.
    const auto visibility_changed = was_live != is_live || (record.state != next.state && !is_live);
    if (visibility_changed || record.endpoints != next.endpoints) {
        ++endpoint_generation_;
    }
    if (record.state != next.state || record.incarnation != next.incarnation) {
        target.since = now;
    }
    record = std::move(next);
    add_digest(record);
}

merge_outcome member_table::merge_self(const member_record& incoming) {
    const auto& own = self();
    raise_version_floor(own.id, incoming.version_floor);
    const auto newer_process = incoming.incarnation > own.incarnation;
    // A leaving member does not refute: it receives no new work in either case.
    const auto declared_failed = incoming.incarnation == own.incarnation && incoming.state > own.state &&
                                 own.state != member_state::leaving;
    if (newer_process || declared_failed) {
        set_incarnation(incoming.incarnation + 1);
        return merge_outcome::refuted;
    }
    const auto older = incoming.incarnation < own.incarnation || incoming.revision < own.revision ||
                       incoming.state < own.state;
    return older ? merge_outcome::sender_stale : merge_outcome::unchanged;
}

merge_outcome member_table::merge(time_point now, const member_record& incoming) {
    if (!is_well_formed(incoming)) {
        return merge_outcome::unchanged;
    }
    if (incoming.id == self().id) {
        return merge_self(incoming);
    }
    const auto found = entries_.find(incoming.id);
    if (found == entries_.end()) {
        if (incoming.state == member_state::dead || entries_.size() >= config::max_members) {
            return merge_outcome::unchanged;
        }
        auto& added = entries_[incoming.id];
        added.record.id = incoming.id;
        added.record.state = member_state::dead;
        replace(added, incoming, now);
        added.since = now;
        return merge_outcome::changed;
    }
    auto& kept = found->second.record;
    if (same_data(kept, incoming)) {
        kept.version_floor = std::max(kept.version_floor, incoming.version_floor);
        return merge_outcome::unchanged;
    }
    auto merged = merge_members(kept, incoming);
    kept.version_floor = merged.version_floor;
    if (merged != kept) {
        replace(found->second, std::move(merged), now);
        return merge_outcome::changed;
    }
    return merge_outcome::sender_stale;
}

bool member_table::mark_suspect(time_point now, const member_id& id) {
    const auto found = entries_.find(id);
    if (found == entries_.end() || found == self_ || found->second.record.state != member_state::alive) {
        return false;
    }
    auto next = found->second.record;
    next.state = member_state::suspect;
    replace(found->second, std::move(next), now);
    return true;
}

std::vector<member_id> member_table::advance(time_point now) {
    std::vector<member_id> dead_members;
    for (auto at = entries_.begin(); at != entries_.end();) {
        auto& [id, kept] = *at;
        const auto state = kept.record.state;
        const auto age = now - kept.since;
        if (at == self_ || state == member_state::alive) {
            ++at;
        } else if (state == member_state::dead) {
            at = age >= config::dead_member_retention ? entries_.erase(at) : std::next(at);
        } else {
            if (age >= (state == member_state::leaving ? duration{leaving_retention}
                                                       : duration{config::dead_timeout})) {
                auto next = kept.record;
                next.state = member_state::dead;
                replace(kept, std::move(next), now);
                dead_members.push_back(id);
            }
            ++at;
        }
    }
    return dead_members;
}

void member_table::restart_timers(time_point now) {
    for (auto& [id, kept] : entries_) {
        if (kept.record.state == member_state::suspect || kept.record.state == member_state::leaving) {
            kept.since = now;
        }
    }
}

void member_table::raise_version_floor(const member_id& id, std::uint64_t version) {
    if (const auto found = entries_.find(id); found != entries_.end()) {
        auto& floor = found->second.record.version_floor;
        floor = std::max(floor, version);
    }
}

std::uint64_t member_table::version_floor(const member_id& id) const {
    const auto* record = find(id);
    return record != nullptr ? record->version_floor : 0;
}

void member_table::set_endpoints(std::vector<model::endpoint_info> endpoints) {
    auto next = self();
    next.endpoints = std::move(endpoints);
    ++next.revision;
    replace(self_->second, std::move(next), self_->second.since);
}

void member_table::set_leaving() {
    auto next = self();
    next.state = member_state::leaving;
    ++next.revision;
    replace(self_->second, std::move(next), self_->second.since);
}

void member_table::set_incarnation(std::uint64_t incarnation) {
    auto next = self();
    next.incarnation = incarnation;
    replace(self_->second, std::move(next), self_->second.since);
}

const member_record* member_table::find(const member_id& id) const {
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second.record;
}

bool member_table::is_live(const member_id& id) const {
    const auto* record = find(id);
    return record != nullptr && is_live_state(record->state);
}

std::uint64_t member_table::digest() const {
    std::uint64_t sum = 0;
    for (const auto bucket : digests_) {
        sum = mix(sum, bucket);
    }
    return sum;
}

std::vector<member_record> member_table::differing(const std::vector<std::uint64_t>& theirs) const {
    const auto comparable = theirs.size() == digests_.size();
    std::vector<member_record> records;
    for (const auto& [id, kept] : entries_) {
        const auto bucket = bucket_of(id);
        if (!comparable || theirs[bucket] != digests_[bucket]) {
            records.push_back(kept.record);
        }
    }
    return records;
}

} // namespace endive::distribution
