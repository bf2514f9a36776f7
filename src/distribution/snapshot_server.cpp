#include "distribution/snapshot_server.h"

namespace endive::distribution {
namespace {

// Longer than the interval between two chunk requests, but short compared to the convergence target of 9 s.
constexpr auto slot_idle_timeout = std::chrono::seconds{2};

std::uint32_t chunk_count(std::size_t bytes) {
    return static_cast<std::uint32_t>(
        std::max<std::size_t>(1, (bytes + config::snapshot_chunk_bytes - 1) / config::snapshot_chunk_bytes));
}

} // namespace

bool snapshot_server::admit(time_point now, const member_id& peer) {
    std::erase_if(slots_, [&](const auto& slot) { return now - slot.second > slot_idle_timeout; });
    if (!slots_.contains(peer) && slots_.size() >= config::max_snapshot_transfers) {
        ++busy_refusals_;
        return false;
    }
    slots_[peer] = now;
    return true;
}

message snapshot_server::answer(time_point now, const member_id& peer, const config_request& request,
                                config_store& store) {
    if (store.version() == 0 || store.version() != request.version) {
        return config_refusal{request.version, request.base_version, config_refusal_reason::version_absent};
    }
    if (request.base_version == 0 && !admit(now, peer)) {
        return config_refusal{request.version, request.base_version, config_refusal_reason::busy};
    }
    const auto bytes = store.encoded(request.base_version);
    if (!bytes) {
        return config_refusal{request.version, request.base_version, config_refusal_reason::base_absent};
    }
    const auto chunks = chunk_count(bytes->size());
    if (request.chunk >= chunks) {
        return config_refusal{request.version, request.base_version, config_refusal_reason::version_absent};
    }
    if (request.chunk + 1 == chunks) {
        slots_.erase(peer);
    }
    return config_chunk{
        request.version,
        store.digest(),
        request.base_version,
        request.chunk,
        chunks,
        bytes->substr(request.chunk * config::snapshot_chunk_bytes, config::snapshot_chunk_bytes)};
}

} // namespace endive::distribution
