#include "endive/mesh.h"

namespace endive::mesh {
namespace {

/// Evidence and progress of the others arrive within this time of the first contact.
constexpr duration settling_time = milliseconds{1000};

} // namespace

bool is_majority(const reachability& others) {
    return 2 * (others.reachable + 1) > others.known + 1;
}

void majority_contact::update(const reachability& others, time_point now) {
    if (!is_majority(others)) {
        since_.reset();
    } else if (!since_) {
        since_ = now;
    }
}

bool majority_contact::may_decide(time_point now) const {
    return since_ && now - *since_ >= settling_time;
}

} // namespace endive::mesh
