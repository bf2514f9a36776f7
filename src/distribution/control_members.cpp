// Members, replicated records, digest repair and the convergence report.

#include "distribution/control_node_impl.h"

#include <algorithm>

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t members_per_message = 64;
constexpr std::size_t record_bytes_per_message = 256UL * 1024;
// A digest that differs in one heartbeat only is usually an update still in transit.
constexpr int mismatches_before_repair = 2;
// A daemon with many links starts at most one digest exchange per table in this interval.
constexpr auto repair_interval = 300ms;

bool stops_new_work(const member_record& record) {
    const auto ending = [](const model::endpoint_info& endpoint) {
        return endpoint.state == model::endpoint_state::draining ||
               endpoint.state == model::endpoint_state::leaving;
    };
    return record.state == member_state::leaving || std::ranges::any_of(record.endpoints, ending);
}

std::vector<std::uint64_t> to_vector(const bucket_digests& digests) {
    return {digests.begin(), digests.end()};
}

message_priority priority_of(const std::vector<replicated_record>& records) {
    const auto is_hold = [](const replicated_record& record) { return record.kind == record_kind::hold; };
    return std::ranges::any_of(records, is_hold) ? message_priority::urgent : message_priority::moves;
}

} // namespace

void control_node::impl::receive(const member_id& from, const heartbeat& input) {
    auto& link = links.at(from);
    link.incarnation = input.incarnation;
    if (input.version > 0) {
        puller.set_peer_version(from, {input.version, input.config_digest});
        members.raise_version_floor(from, input.version);
    }
    ownership.observe_epoch(input.lease_epoch, out);
    const auto* record = members.find(from);
    if (record != nullptr && record->state != member_state::alive &&
        record->incarnation >= input.incarnation && record->state != member_state::leaving) {
        // The heartbeat shows that the sender is alive: send it the outdated record so that it refutes it.
        send_members(from, {*record});
    }
    const auto first = !std::exchange(link.heartbeat_received, true);
    if (first) {
        link.mismatches.fill(mismatches_before_repair);
    }
    compare_digest(from, link, table_kind::members, input.members_digest != members.digest());
    compare_digest(from, link, table_kind::records, input.records_digest != records.digest());
}

void control_node::impl::compare_digest(const member_id& from, link_state& link, table_kind table,
                                        bool differs) {
    const auto index = static_cast<std::size_t>(table);
    auto& count = link.mismatches.at(index);
    if (!differs) {
        count = 0;
        return;
    }
    ++count;
    if (count < mismatches_before_repair || now < next_repair.at(index)) {
        return;
    }
    next_repair.at(index) = now + repair_interval;
    ++stats.digest_exchanges;
    const auto& digests = table == table_kind::members ? members.digests() : records.digests();
    send(from, message_priority::members, table_digests{table, false, to_vector(digests)});
}

void control_node::impl::receive(const member_id& from, const table_digests& input) {
    const auto is_members = input.table == table_kind::members;
    const auto& own = is_members ? members.digests() : records.digests();
    if (is_members) {
        send_members(from, members.differing(input.buckets));
    } else {
        send_records(from, records.differing(input.buckets));
    }
    if (!input.reply && to_vector(own) != input.buckets) {
        send(from, message_priority::members, table_digests{input.table, true, to_vector(own)});
    }
}

void control_node::impl::send_members(const member_id& to, const std::vector<member_record>& list) {
    for (std::size_t first = 0; first < list.size(); first += members_per_message) {
        const auto last = std::min(list.size(), first + members_per_message);
        const auto begin = list.begin();
        member_update update{
            {begin + static_cast<std::ptrdiff_t>(first), begin + static_cast<std::ptrdiff_t>(last)}};
        const auto urgent = std::ranges::any_of(update.members, stops_new_work);
        send(to, urgent ? message_priority::urgent : message_priority::members, std::move(update));
    }
}

void control_node::impl::send_records(const member_id& to, const std::vector<replicated_record>& list) {
    record_update update;
    std::size_t bytes = 0;
    const auto flush = [&] {
        if (!update.records.empty()) {
            const auto priority = priority_of(update.records);
            send(to, priority, std::exchange(update, {}));
        }
        bytes = 0;
    };
    for (const auto& record : list) {
        bytes += record.payload.size() + record.key.size() + 64;
        update.records.push_back(record);
        if (bytes >= record_bytes_per_message) {
            flush();
        }
    }
    flush();
}

void control_node::impl::queue_member(const member_id& id, const member_id& origin) {
    auto& known_by = member_floods[id];
    known_by.clear();
    if (!origin.empty()) {
        known_by.push_back(origin);
    }
    const auto* record = members.find(id);
    flood_urgent = flood_urgent || (record != nullptr && stops_new_work(*record));
}

/// Excludes a peer that sent the queued record itself from the flood.
void control_node::impl::mark_known_by(const member_id& id, const member_id& peer) {
    if (const auto found = member_floods.find(id); found != member_floods.end()) {
        found->second.push_back(peer);
    }
}

/// Sends queued member changes to all linked peers that do not have them yet.
void control_node::impl::flush_members() {
    flood_urgent = false;
    const auto floods = std::exchange(member_floods, {});
    if (floods.empty()) {
        return;
    }
    for (const auto& [to, link] : links) {
        std::vector<member_record> list;
        for (const auto& [id, known_by] : floods) {
            const auto* record = members.find(id);
            if (record != nullptr && std::ranges::find(known_by, to) == known_by.end()) {
                list.push_back(*record);
            }
        }
        send_members(to, list);
    }
}

void control_node::impl::receive(const member_id& from, const member_update& input) {
    std::vector<member_record> newer;
    for (const auto& incoming : input.members) {
        switch (members.merge(now, incoming)) {
        case merge_outcome::unchanged:
            mark_known_by(incoming.id, from);
            break;
        case merge_outcome::changed:
            queue_member(incoming.id, from);
            break;
        case merge_outcome::sender_stale:
            newer.push_back(*members.find(incoming.id));
            break;
        case merge_outcome::refuted:
            ++stats.refutations;
            queue_member(settings.id, {});
            break;
        }
    }
    send_members(from, newer);
}

void control_node::impl::flood_records(const std::vector<replicated_record>& list, const member_id& origin) {
    for (const auto& [id, link] : links) {
        if (id != origin) {
            send_records(id, list);
        }
    }
    out.emplace_back(records_changed{list});
}

void control_node::impl::receive(const member_id& from, const record_update& input) {
    std::vector<replicated_record> changed;
    for (const auto& incoming : input.records) {
        if (records.merge(incoming)) {
            changed.push_back(incoming);
        }
    }
    if (!changed.empty()) {
        ownership.observe_epoch(records.highest_epoch(), out);
        flood_records(changed, from);
    }
}

void control_node::impl::receive(const member_id& from, const subtree_report& input) {
    report.on_report(now, from, input);
}

void control_node::impl::receive(const member_id& from, const fleet_totals& input) {
    if (overlay.parent == from && report.on_totals(now, input)) {
        forward_totals(input);
    }
}

void control_node::impl::forward_totals(const fleet_totals& totals) {
    for (const auto& child : overlay.children) {
        if (links.contains(child)) {
            send(child, message_priority::members, totals);
        }
    }
}

void control_node::impl::send_report() {
    if (overlay.members == 0 || (overlay.parent && !links.contains(*overlay.parent))) {
        return;
    }
    const auto reason = lag_reason();
    auto subtree = report.build(now, members.self().incarnation, {settings.id, store.version(), reason},
                                !reason.empty(), overlay.children);
    if (overlay.parent) {
        send(*overlay.parent, message_priority::members, std::move(subtree));
        return;
    }
    const auto sequence = static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_unix_ms(wall())));
    fleet_totals totals{settings.id, sequence, std::move(subtree.counts), std::move(subtree.laggards)};
    if (report.on_totals(now, totals)) {
        forward_totals(totals);
    }
    if (!subtree.evidence.empty()) {
        out.emplace_back(evidence_collected{std::move(subtree.evidence)});
    }
}

} // namespace endive::distribution
