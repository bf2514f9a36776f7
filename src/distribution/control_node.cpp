#include "distribution/control_node_impl.h"

#include <algorithm>

namespace endive::distribution {
namespace {

// A daemon that is the root for less than this time does not request the lease.
constexpr auto overlay_settle_time = std::chrono::seconds{1};

member_record own_record(const node_settings& settings) {
    member_record record;
    record.id = settings.id;
    record.incarnation = settings.incarnation;
    record.failure_domain = settings.failure_domain;
    record.region = settings.region;
    return record;
}

} // namespace

control_node::impl::impl(node_settings given, fault_injection faults)
    : settings{std::move(given)}, random{settings.seed}, members{own_record(settings)}, store{faults},
      puller{random, faults}, submissions{random, settings.id + "@" + std::to_string(settings.incarnation)},
      ownership{random, settings.id, faults}, rendezvous_rows{random, settings.id, settings.failure_domain} {}

std::vector<action> control_node::impl::handle(time_point at, event input) {
    now = std::max(now, at);
    ownership.check_expiry(now, out);
    if (started && now - last_tick > config::pause_threshold) {
        recover_from_pause();
    }
    std::visit([this](auto& content) { on(std::move(content)); }, input);
    advance();
    return std::exchange(out, {});
}

wall_time control_node::impl::wall() const {
    return last_wall + std::chrono::duration_cast<wall_time::duration>(now - last_tick);
}

void control_node::impl::send(const member_id& to, message_priority priority, message content) {
    out.emplace_back(send_message{to, priority, std::move(content)});
}

void control_node::impl::on(tick input) {
    last_tick = now;
    last_wall = input.wall;
    if (!started) {
        started = true;
        next_heartbeat = now;
        next_report = now + random.jittered(config::heartbeat_interval);
        next_probe = now;
        begin_verification("starting");
    }
    for (const auto who : calls.expire(now)) {
        platform_result timeout;
        timeout.code = result_code::platform_timeout;
        dispatch_result(who, timeout);
    }
    for (const auto& id : members.advance(now)) {
        queue_member(id, {});
    }
    refresh_overlay();
    close_silent_links();
    manage_links();
    close_unwanted_links();
    watch_neighbours();
    if (now >= next_heartbeat) {
        next_heartbeat = now + config::heartbeat_interval;
        send_heartbeats();
    }
    if (now >= next_report) {
        next_report = now + config::heartbeat_interval;
        send_report();
    }
    poll_head();
    rendezvous_rows.step(now, members.live(), links.empty(), ready(), calls);
    flush_members();
}

void control_node::impl::recover_from_pause() {
    ++stats.pauses;
    ownership.abandon(out);
    out.emplace_back(fenced{fence_reason::paused});
    last_wall = wall();
    last_tick = now;
    for (auto& [id, link] : links) {
        link.last_received = now;
    }
    for (auto& [id, watch] : watches) {
        watch.since = now;
    }
    members.restart_timers(now);
    const auto by_clock = static_cast<std::uint64_t>(std::max<std::int64_t>(0, to_unix_ms(last_wall)));
    members.set_incarnation(std::max(members.self().incarnation + 1, by_clock));
    queue_member(settings.id, {});
    begin_verification("the process was paused");
}

void control_node::impl::on(const link_up& input) {
    if (input.member == settings.id) {
        out.emplace_back(close_link{input.member});
        return;
    }
    link_state link;
    link.incarnation = input.incarnation;
    link.dialed = input.dialed;
    link.up_since = now;
    link.last_received = now;
    links[input.member] = link;
    dials.erase(input.member);
    send_members(input.member, {members.self()});
    send(input.member, message_priority::urgent, make_heartbeat());
    version_check.next_request = now;
}

void control_node::impl::on(const link_down& input) {
    links.erase(input.member);
    puller.remove_peer(input.member);
    server.release_slot(input.member);
    if (const auto found = dials.find(input.member); found != dials.end()) {
        found->second.pending = false;
        found->second.next_attempt = now + found->second.delay.next(random);
    }
}

void control_node::impl::on(message_received input) {
    const auto found = links.find(input.from);
    if (found == links.end()) {
        return;
    }
    ++stats.messages_in;
    found->second.last_received = now;
    std::visit([&](auto& content) { receive(input.from, content); }, input.content);
}

void control_node::impl::on(const platform_result& input) {
    if (const auto who = calls.finish(input)) {
        dispatch_result(*who, input);
    }
}

void control_node::impl::dispatch_result(requester who, const platform_result& result) {
    switch (who) {
    case requester::head:
        on_head(result);
        break;
    case requester::submission: {
        acceptance_output output;
        submissions.on_result(now, result, store, calls, output);
        apply_acceptance(output);
        break;
    }
    case requester::lease:
        ownership.on_result(now, wall(), result, calls, out);
        break;
    case requester::rendezvous:
        rendezvous_rows.on_result(now, wall(), result, calls);
        break;
    case requester::snapshot_object:
        if (const auto outcome = puller.on_object(now, result, store)) {
            on_offer_result(*outcome);
        }
        break;
    }
}

void control_node::impl::on(local_endpoints input) {
    members.set_endpoints(std::move(input.endpoints));
    queue_member(settings.id, {});
}

void control_node::impl::on(submit_request input) {
    if (leaving) {
        out.emplace_back(
            submit_finished{input.submit_id, result_code::not_ready, 0, "the daemon is stopping"});
        return;
    }
    submissions.submit(now, std::move(input));
}

void control_node::impl::on(publish_record input) {
    if (records.merge(input.record)) {
        ownership.observe_epoch(records.highest_epoch(), out);
        flood_records({std::move(input.record)}, {});
    }
}

void control_node::impl::on(const publish_evidence& input) {
    report.add_evidence(input.increments);
}

void control_node::impl::on(begin_leaving /*input*/) {
    if (leaving) {
        return;
    }
    leaving = true;
    version_check.active = false;
    not_ready_reason = "leaving";
    members.set_leaving();
    queue_member(settings.id, {});
}

/// Runs the steps that any event may have made possible.
void control_node::impl::advance() {
    if (!started) {
        return;
    }
    acceptance_output output;
    submissions.step(now, calls, output);
    apply_acceptance(output);
    step_verification();
    if (!version_check.active || version_check.required) {
        puller.step(now, store, version_check.active ? *version_check.required : 0, calls, out);
    }
    update_ready();
    const auto settled_root =
        overlay.members > 0 && overlay.root() && now - root_since >= overlay_settle_time;
    ownership.step(now, wall(), settled_root && ready(), calls, out);
    if (flood_urgent) {
        flush_members();
    }
    report_member_changes();
    auto requests = calls.take_actions();
    std::ranges::move(requests, std::back_inserter(out));
    for (const auto& item : out) {
        stats.messages_out += std::holds_alternative<send_message>(item) ? 1 : 0;
    }
}

bool control_node::impl::ready() const {
    return started && !leaving && !version_check.active;
}

void control_node::impl::update_ready() {
    if (ready() != reported_ready) {
        reported_ready = ready();
        out.emplace_back(ready_changed{reported_ready, reported_ready ? std::string{} : not_ready_reason});
    }
}

void control_node::impl::report_member_changes() {
    const auto endpoints_changed = reported_endpoint_generation != members.endpoint_generation();
    if (endpoints_changed || reported_live_generation != members.live_generation()) {
        reported_endpoint_generation = members.endpoint_generation();
        reported_live_generation = members.live_generation();
        out.emplace_back(members_changed{endpoints_changed});
    }
}

control_node::control_node(node_settings settings, fault_injection faults)
    : impl_{std::make_unique<impl>(std::move(settings), faults)} {}

control_node::~control_node() = default;

std::vector<action> control_node::handle(time_point now, event input) {
    return impl_->handle(now, std::move(input));
}

const member_id& control_node::id() const {
    return impl_->settings.id;
}

std::uint64_t control_node::incarnation() const {
    return impl_->members.self().incarnation;
}

std::shared_ptr<const model::routing_table> control_node::active() const {
    return impl_->store.active();
}

config_status control_node::config() const {
    const auto& state = *impl_;
    const auto newest = state.puller.newest(state.store).version;
    return {state.store.version(), state.store.digest(), state.confirmed, state.ready(), newest,
            state.lag_reason()};
}

convergence_status control_node::convergence(time_point now) const {
    auto status = impl_->report.status(now);
    status.members = impl_->members.live();
    return status;
}

ownership_status control_node::ownership(time_point now) const {
    const auto& lease = impl_->ownership;
    return {lease.held(now), lease.highest_epoch(), lease.last_holder(), lease.valid_until()};
}

std::vector<member_record> control_node::members() const {
    std::vector<member_record> result;
    result.reserve(impl_->members.size());
    impl_->members.for_each([&](const member_record& record) { result.push_back(record); });
    std::ranges::sort(result, {}, &member_record::id);
    return result;
}

std::size_t control_node::live_members() const {
    return impl_->members.live();
}

std::vector<model::endpoint_info> control_node::endpoints() const {
    std::vector<const member_record*> visible;
    impl_->members.for_each([&](const member_record& record) {
        if (record.state != member_state::dead && !record.endpoints.empty()) {
            visible.push_back(&record);
        }
    });
    std::ranges::sort(visible, {}, [](const auto* record) { return std::string_view{record->id}; });
    std::vector<model::endpoint_info> result;
    for (const auto* record : visible) {
        for (const auto& endpoint : record->endpoints) {
            result.push_back(endpoint);
            if (record->state == member_state::leaving) {
                result.back().state = model::endpoint_state::leaving;
            }
        }
    }
    return result;
}

std::vector<replicated_record> control_node::records() const {
    return impl_->records.all();
}

std::vector<member_id> control_node::linked_members() const {
    std::vector<member_id> result;
    for (const auto& [id, link] : impl_->links) {
        result.push_back(id);
    }
    return result;
}

const control_stats& control_node::stats() const {
    auto& state = *impl_;
    auto& stats = state.stats;
    stats.stale_versions = state.store.stale_offers();
    stats.refused_versions = state.store.refused_offers();
    stats.delta_pulls = state.puller.counts().delta;
    stats.snapshot_pulls = state.puller.counts().snapshot;
    stats.object_pulls = state.puller.counts().object;
    stats.busy_refusals = state.server.busy_refusals();
    stats.table_reads = state.calls.reads();
    stats.table_writes = state.calls.writes();
    return stats;
}

} // namespace endive::distribution
