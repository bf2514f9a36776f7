#pragma once
/// Ring overlay and report tree; a pure function of the member list.

#include "endive/distribution.h"

namespace endive::distribution {

/// Ring order: by stable hash of the id, then by id.
struct ring_entry {
    std::uint64_t hash = 0;
    member_id id;
    friend bool operator==(const ring_entry&, const ring_entry&) = default;
    friend bool operator<(const ring_entry& left, const ring_entry& right) {
        return std::tie(left.hash, left.id) < std::tie(right.hash, right.id);
    }
};

[[nodiscard]] ring_entry ring_entry_of(const member_id& id);

/// Position and links of one daemon in the overlay.
struct overlay_view {
    std::size_t members = 0;
    std::size_t index = 0;
    std::vector<member_id> chosen;     ///< links that this member selects, at most `max_overlay_links`
    std::vector<member_id> neighbours; ///< selected links in both directions; sorted
    std::optional<member_id> parent;   ///< in the report tree; empty at the root
    std::vector<member_id> children;
    [[nodiscard]] bool root() const { return index == 0; }
    friend bool operator==(const overlay_view&, const overlay_view&) = default;
};

/// Ring distances of the links that a member selects in a ring of `members`: 1, 2, n/2, n/4 and so on.
[[nodiscard]] std::vector<std::size_t> ring_distances(std::size_t members);

/// Precondition: `ring` is sorted and holds `self`.
[[nodiscard]] overlay_view compute_overlay(const std::vector<ring_entry>& ring, const ring_entry& self);

} // namespace endive::distribution
