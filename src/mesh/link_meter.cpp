#include "endive/mesh.h"

#include <algorithm>
#include <cmath>

namespace endive::mesh {
namespace {

/// Time constant of the average: long enough to cover the gaps between bodies, short enough to show a link
/// that fills before callers give up their connection attempts.
constexpr double averaging_time_s = 0.25;
constexpr double bits_per_byte = 8;
constexpr double bits_per_megabit = 1e6;

} // namespace

void link_meter::record(std::uint64_t received_bytes, time_point now) {
    if (recorded_at_ && now > *recorded_at_ && link_mbps_ > 0) {
        const double elapsed = std::chrono::duration<double>(now - *recorded_at_).count();
        const double bits = static_cast<double>(received_bytes - received_bytes_) * bits_per_byte;
        const double current =
            std::min(1.0, bits / (static_cast<double>(link_mbps_) * bits_per_megabit * elapsed));
        use_ += (current - use_) * (1 - std::exp(-elapsed / averaging_time_s));
    }
    received_bytes_ = received_bytes;
    recorded_at_ = now;
}

} // namespace endive::mesh
