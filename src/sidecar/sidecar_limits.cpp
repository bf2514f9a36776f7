// Bounds of the daemon's buffers and connections (docs/design/client-limits.md).

#include "sidecar/sidecar.h"

namespace endive::sidecar {
namespace {

/// Maximum connections of each server for readiness, announcements and metrics.
constexpr std::size_t max_own_connections = 32;

} // namespace

/// Bounds what clients and peers make the process hold.
void sidecar::limit_buffers() {
    const process_memory memory{std::make_shared<byte_account>(),
                                process_buffer_bound(settings_.memory_part(1))};
    const auto descriptors = static_cast<std::size_t>(settings_.max_descriptors);
    callers_.set_bounds(caller_bounds(descriptors, settings_.memory_part(1)), memory, &counters_);
    const client_bounds own{.connections = max_own_connections,
                            .connections_per_address = max_own_connections};
    for (auto* server : {&readiness_, &announcements_, metrics_.get()}) {
        if (server != nullptr) {
            server->set_bounds(own, memory, &counters_);
        }
    }
    peers_.set_memory(memory);
    local_.set_memory(memory, [this, memory] { return peers_.is_congested() || memory.is_short(); });
}

} // namespace endive::sidecar
