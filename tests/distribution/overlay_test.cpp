#include "support.h"

#include "distribution/overlay.h"

#include <algorithm>
#include <queue>

using namespace endive;
using namespace endive::distribution;
using namespace endive::distribution::test;

namespace {

std::vector<overlay_view> views_of(std::vector<member_id> ids, std::vector<ring_entry>& ring) {
    ring.clear();
    for (const auto& id : ids) {
        ring.push_back(ring_entry_of(id));
    }
    std::sort(ring.begin(), ring.end());
    std::vector<overlay_view> views;
    for (const auto& entry : ring) {
        views.push_back(compute_overlay(ring, entry));
    }
    return views;
}

/// Hops from member `start` to the most distant one; the number of members when some are unreachable.
std::size_t depth_from(const std::vector<overlay_view>& views, const std::vector<ring_entry>& ring,
                       std::size_t start) {
    std::map<member_id, std::size_t> index;
    for (std::size_t at = 0; at < ring.size(); ++at) {
        index[ring[at].id] = at;
    }
    std::vector<std::size_t> hops(views.size(), SIZE_MAX);
    std::queue<std::size_t> open;
    hops[start] = 0;
    open.push(start);
    while (!open.empty()) {
        const auto at = open.front();
        open.pop();
        for (const auto& neighbour : views[at].neighbours) {
            const auto next = index.at(neighbour);
            if (hops[next] == SIZE_MAX) {
                hops[next] = hops[at] + 1;
                open.push(next);
            }
        }
    }
    const auto furthest = *std::ranges::max_element(hops);
    return furthest == SIZE_MAX ? views.size() : furthest;
}

std::vector<member_id> random_ids(random_source& random, std::size_t count) {
    std::set<member_id> ids;
    while (ids.size() < count) {
        ids.insert(address_of(random.below(60000)));
    }
    return {ids.begin(), ids.end()};
}

} // namespace

TEST_CASE("every daemon computes the same connected overlay with bounded degree and logarithmic depth") {
    check_property("overlay", [](std::uint64_t seed) {
        random_source random{seed};
        const auto count = 1 + random.below(200);
        std::vector<ring_entry> ring;
        const auto views = views_of(random_ids(random, count), ring);
        std::size_t logarithm = 1;
        while ((1UL << logarithm) < count) {
            ++logarithm;
        }
        RC_ASSERT(depth_from(views, ring, random.below(count)) <= logarithm);
        for (std::size_t at = 0; at < views.size(); ++at) {
            RC_ASSERT(views[at].chosen.size() <= config::max_overlay_links);
            for (const auto& neighbour : views[at].neighbours) {
                const auto other = std::ranges::find(ring, neighbour, &ring_entry::id) - ring.begin();
                RC_ASSERT(
                    std::ranges::count(views[static_cast<std::size_t>(other)].neighbours, ring[at].id) == 1);
                RC_ASSERT(neighbour != ring[at].id);
            }
        }
    });
}

TEST_CASE("the report tree has one root and each child lists the parent that lists it") {
    check_property("tree", [](std::uint64_t seed) {
        random_source random{seed};
        std::vector<ring_entry> ring;
        const auto views = views_of(random_ids(random, 1 + random.below(300)), ring);
        std::map<member_id, std::size_t> listed;
        for (std::size_t at = 0; at < views.size(); ++at) {
            RC_ASSERT(views[at].children.size() <= config::report_fanout);
            RC_ASSERT(views[at].root() == !views[at].parent.has_value());
            for (const auto& child : views[at].children) {
                ++listed[child];
                const auto index =
                    static_cast<std::size_t>(std::ranges::find(ring, child, &ring_entry::id) - ring.begin());
                RC_ASSERT(views[index].parent == ring[at].id);
            }
        }
        RC_ASSERT(listed.size() + 1 == views.size());
    });
}
