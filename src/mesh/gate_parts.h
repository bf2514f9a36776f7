#pragma once
// Shared by the gate and the retries.

#include "endive/mesh.h"

namespace endive::mesh {

/// Minimum retry delay: the load of the endpoint does not change sooner.
inline constexpr duration min_retry_after = milliseconds{40};

/// Less urgent priorities than this count as one, which bounds the memory.
inline constexpr std::uint32_t max_levels = 64;

inline duration scaled(duration value, double factor) {
    return duration{static_cast<duration::rep>(static_cast<double>(value.count()) * factor)};
}

} // namespace endive::mesh
