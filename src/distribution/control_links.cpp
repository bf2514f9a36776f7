// Links: overlay, dialing, heartbeats and suspicion of silent neighbours.

#include "distribution/control_node_impl.h"

#include <algorithm>

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

// Bounds the cost of recomputing the overlay while many members come and go.
constexpr auto overlay_refresh_interval = 500ms;
// The member with the lower id dials; the other one dials only if there is no link after this time.
constexpr auto passive_dial_delay = 2000ms;
// A dial is normally answered well before this; a lost answer must not block further dials to the member.
constexpr auto dial_timeout = 5000ms;
// Leaves time for a new connection to deliver a message before the member becomes suspect at 3 s.
constexpr auto silent_link_timeout = 2400ms;
// A dialed link that the overlay does not require is kept for this time, because member lists differ while
// changes propagate.
constexpr auto unwanted_link_grace = 10s;
// Each false suspicion doubles the timeout of the next one, up to 3 s << 4.
constexpr int max_suspicion_doublings = 4;
constexpr auto stable_link_age = 30s;
constexpr auto probe_interval = 5s;

} // namespace

void control_node::impl::refresh_overlay() {
    if (overlay_generation == members.live_generation() ||
        (overlay.members > 0 && now - overlay_computed_at < overlay_refresh_interval)) {
        return;
    }
    overlay_generation = members.live_generation();
    overlay_computed_at = now;
    const auto self = ring_entry_of(settings.id);
    std::vector<ring_entry> ring;
    ring.reserve(members.live() + 1);
    members.for_each([&](const member_record& record) {
        if (record.id != self.id && members.is_live(record.id)) {
            ring.push_back(ring_entry_of(record.id));
        }
    });
    ring.push_back(self);
    std::sort(ring.begin(), ring.end());
    const auto was_root = overlay.members > 0 && overlay.root();
    overlay = compute_overlay(ring, self);
    if (overlay.root() && !was_root) {
        root_since = now;
    }
    std::erase_if(watches, [&](const auto& watch) {
        return !std::ranges::binary_search(overlay.neighbours, watch.first);
    });
}

std::set<member_id> control_node::impl::wanted_members() const {
    std::set<member_id> wanted{overlay.neighbours.begin(), overlay.neighbours.end()};
    if (overlay.parent) {
        wanted.insert(*overlay.parent);
    }
    wanted.insert(overlay.children.begin(), overlay.children.end());
    if (probe) {
        wanted.insert(*probe);
    }
    // Groups with disjoint member lists discover each other through the seeds and rendezvous rows.
    if (version_check.active || links.empty()) {
        wanted.insert(settings.seeds.begin(), settings.seeds.end());
        wanted.insert(rendezvous_rows.contacts().begin(), rendezvous_rows.contacts().end());
    }
    wanted.erase(settings.id);
    return wanted;
}

void control_node::impl::manage_links() {
    probe_absent_member();
    if (leaving) {
        return;
    }
    const auto wanted = wanted_members();
    for (const auto& id : wanted) {
        if (!links.contains(id)) {
            const auto bootstrap = !members.is_live(id);
            dial(id, bootstrap || settings.id < id);
        }
    }
    std::erase_if(dials, [&](const auto& entry) {
        return !entry.second.pending && !wanted.contains(entry.first) &&
               now - entry.second.next_attempt > unwanted_link_grace;
    });
    for (auto& [id, link] : links) {
        if (wanted.contains(id)) {
            link.unwanted_since.reset();
        } else if (!link.unwanted_since) {
            link.unwanted_since = now;
        }
    }
}

void control_node::impl::dial(const member_id& member, bool immediately) {
    const auto [found, added] = dials.try_emplace(member);
    auto& state = found->second;
    if (added) {
        state.wanted_since = now;
        state.next_attempt = now;
    }
    if (state.pending && now - state.next_attempt < dial_timeout) {
        return;
    }
    if (now < state.next_attempt || (!immediately && now - state.wanted_since < passive_dial_delay)) {
        return;
    }
    state.pending = true;
    state.next_attempt = now;
    out.emplace_back(dial_member{member});
}

void control_node::impl::close(const member_id& member) {
    auto& link = links.at(member);
    if (!link.closing) {
        link.closing = true;
        out.emplace_back(close_link{member});
    }
}

void control_node::impl::close_unwanted_links() {
    if (version_check.active) {
        return;
    }
    for (const auto& [id, link] : links) {
        if (link.dialed && link.unwanted_since && now - *link.unwanted_since > unwanted_link_grace) {
            close(id);
        }
    }
}

void control_node::impl::close_silent_links() {
    for (const auto& [id, link] : links) {
        if (now - link.last_received > silent_link_timeout) {
            close(id);
        }
    }
}

void control_node::impl::watch_neighbours() {
    if (leaving) {
        return;
    }
    for (const auto& id : overlay.neighbours) {
        auto& watch = watches.try_emplace(id, watch_state{now, 0}).first->second;
        if (const auto link = links.find(id); link != links.end()) {
            watch.since = std::max(watch.since, link->second.last_received);
            if (now - link->second.up_since > stable_link_age) {
                watch.suspicions = 0;
            }
        }
        const auto timeout =
            config::suspect_timeout * (1 << std::min(watch.suspicions, max_suspicion_doublings));
        if (now - watch.since >= timeout && members.mark_suspect(now, id)) {
            ++watch.suspicions;
            watch.since = now;
            queue_member(id, {});
        }
    }
}

/// Periodically selects a member that is not live as a dial target, so that the sides of a healed partition,
/// or groups that started separately, discover each other.
void control_node::impl::probe_absent_member() {
    if (now < next_probe || leaving) {
        return;
    }
    next_probe = now + random.jittered(probe_interval);
    probe.reset();
    std::vector<member_id> absent;
    members.for_each([&](const member_record& record) {
        if (record.state == member_state::dead) {
            absent.push_back(record.id);
        }
    });
    const auto add_unless_live = [&](const member_id& id) {
        if (id != settings.id && !members.is_live(id)) {
            absent.push_back(id);
        }
    };
    std::ranges::for_each(settings.seeds, add_unless_live);
    std::ranges::for_each(rendezvous_rows.contacts(), add_unless_live);
    if (!absent.empty()) {
        probe = absent[random.below(absent.size())];
    }
}

heartbeat control_node::impl::make_heartbeat() {
    return {members.self().incarnation, ++heartbeat_sequence, store.version(),          store.digest(),
            members.digest(),           records.digest(),     ownership.highest_epoch()};
}

void control_node::impl::send_heartbeats() {
    const auto beat = make_heartbeat();
    for (const auto& [id, link] : links) {
        send(id, message_priority::urgent, beat);
    }
}

} // namespace endive::distribution
