#pragma once
/// Poll intervals that keep the table reads of the fleet at a constant rate.

#include "endive/distribution.h"

namespace endive::distribution {

/// Mean interval between a daemon's reads of `head`.
[[nodiscard]] inline duration head_poll_interval(std::size_t members) {
    const auto shared_interval =
        std::chrono::duration<double>{static_cast<double>(members) / config::fleet_head_reads_per_second};
    return std::max<duration>(config::min_head_poll_interval,
                              std::chrono::duration_cast<duration>(shared_interval));
}

} // namespace endive::distribution
