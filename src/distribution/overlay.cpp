#include "distribution/overlay.h"

#include <algorithm>

namespace endive::distribution {

ring_entry ring_entry_of(const member_id& id) {
    return {stable_hash(id), id};
}

std::vector<std::size_t> ring_distances(std::size_t members) {
    std::vector<std::size_t> distances;
    for (std::size_t near = 1; near <= 2 && near < members; ++near) {
        distances.push_back(near);
    }
    for (auto finger = members / 2; finger > 2 && distances.size() < config::max_overlay_links; finger /= 2) {
        distances.push_back(finger);
    }
    return distances;
}

overlay_view compute_overlay(const std::vector<ring_entry>& ring, const ring_entry& self) {
    const auto count = ring.size();
    overlay_view view;
    view.members = count;
    view.index = static_cast<std::size_t>(std::lower_bound(ring.begin(), ring.end(), self) - ring.begin());
    for (const auto distance : ring_distances(count)) {
        const auto& ahead = ring[(view.index + distance) % count].id;
        const auto& behind = ring[(view.index + count - distance) % count].id;
        view.chosen.push_back(ahead);
        view.neighbours.push_back(ahead);
        view.neighbours.push_back(behind);
    }
    std::ranges::sort(view.neighbours);
    // clang 14 does not compile std::ranges::unique of this standard library.
    view.neighbours.erase(std::unique(view.neighbours.begin(), view.neighbours.end()), view.neighbours.end());
    if (view.index > 0) {
        view.parent = ring[(view.index - 1) / config::report_fanout].id;
    }
    const auto first_child = view.index * config::report_fanout + 1;
    for (auto child = first_child; child < std::min(first_child + config::report_fanout, count); ++child) {
        view.children.push_back(ring[child].id);
    }
    return view;
}

} // namespace endive::distribution
