#pragma once
/// Fetches newer configuration versions, preferring a delta from a peer, then the whole snapshot from a peer,
/// then the snapshot object from the platform.

#include "distribution/config_store.h"
#include "distribution/platform_calls.h"
#include "distribution/random_source.h"
#include "distribution/table_rows.h"

namespace endive::distribution {

/// A configuration version and the digest of its snapshot.
struct version_digest {
    std::uint64_t version = 0;
    std::uint64_t digest = 0;
    friend bool operator==(const version_digest&, const version_digest&) = default;
};

struct pull_counts {
    std::uint64_t delta = 0;
    std::uint64_t snapshot = 0;
    std::uint64_t object = 0;
};

/// Runs one pull at a time. After a failure it picks a random peer that has the version.
class config_puller {
public:
    config_puller(random_source& random, fault_injection faults) : random_{random}, faults_{faults} {}

    /// Records the version that a peer currently runs.
    void set_peer_version(const member_id& peer, version_digest available);
    void remove_peer(const member_id& peer);
    /// Records the version that the head row names.
    void observe_head(version_digest head) { head_ = head.version > head_.version ? head : head_; }
    [[nodiscard]] version_digest peer_version(const member_id& peer) const;

    /// Newest known version that the store has not refused; the store's own when none is newer.
    [[nodiscard]] version_digest target(const config_store& store) const;
    /// Newest version known, refused or not.
    [[nodiscard]] version_digest newest(const config_store& store) const;
    /// Starts a pull or handles its timeout. Versions below `required` are not fetched.
    void step(time_point now, const config_store& store, std::uint64_t required, platform_calls& calls,
              std::vector<action>& actions);

    /// Returns the outcome when the chunk completes a version.
    std::optional<offer_result> on_chunk(time_point now, const member_id& from, const config_chunk& chunk,
                                         config_store& store, std::vector<action>& actions);
    void on_refusal(time_point now, const member_id& from, const config_refusal& refusal);
    std::optional<offer_result> on_object(time_point now, const platform_result& result, config_store& store);

    [[nodiscard]] const pull_counts& counts() const { return counts_; }
    /// Why the last pull failed or was refused; cleared once there is no version to fetch.
    [[nodiscard]] const std::string& last_error() const { return last_error_; }

private:
    enum class source : std::uint8_t { none, peer, object };
    struct pull {
        source from = source::none;
        member_id peer;
        version_digest wanted;
        std::uint64_t base = 0;
        std::uint32_t next_chunk = 0;
        std::string bytes;
        time_point deadline;
    };
    void start(time_point now, const config_store& store, version_digest wanted, platform_calls& calls,
               std::vector<action>& actions);
    [[nodiscard]] std::optional<member_id> choose_peer(version_digest wanted);
    void request_chunk(time_point now, std::vector<action>& actions);
    void fail(time_point now, std::string reason);
    void finish(const offer_result& result, time_point now);

    random_source& random_;
    fault_injection faults_;
    std::map<member_id, version_digest> peers_;
    version_digest head_;
    pull pull_;
    version_digest failing_version_; ///< version that `failures_` refers to
    int failures_ = 0;
    bool full_snapshot_ = false; ///< the next pull requests the whole snapshot instead of a delta
    time_point next_attempt_;
    member_id last_notifier_;
    std::string last_error_;
    pull_counts counts_;
};

} // namespace endive::distribution
