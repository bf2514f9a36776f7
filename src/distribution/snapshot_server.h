#pragma once
/// Serves configuration chunks to peers; at most `max_snapshot_transfers` whole snapshots concurrently.

#include "distribution/config_store.h"

namespace endive::distribution {

class snapshot_server {
public:
    /// Answers one request of `peer`. Deltas are small and always served; a whole snapshot requires a slot,
    /// which the peer holds until its last chunk or until it sends no request for two seconds.
    [[nodiscard]] message answer(time_point now, const member_id& peer, const config_request& request,
                                 config_store& store);
    /// Releases the slot of a peer whose link closed.
    void release_slot(const member_id& peer) { slots_.erase(peer); }

    [[nodiscard]] std::size_t slots_in_use() const { return slots_.size(); }
    [[nodiscard]] std::uint64_t busy_refusals() const { return busy_refusals_; }

private:
    bool admit(time_point now, const member_id& peer);

    std::map<member_id, time_point> slots_; ///< last request of each served peer
    std::uint64_t busy_refusals_ = 0;
};

} // namespace endive::distribution
