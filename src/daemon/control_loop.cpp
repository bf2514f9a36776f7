#include "daemon/control_loop.h"

#include <ctime>

namespace endive::daemon {
namespace {

constexpr milliseconds tick_interval{100};
// Blocking platform calls in flight. A start needs two at once; the rest is room for moves and rendezvous
// rows.
constexpr std::size_t platform_threads = 4;
constexpr milliseconds status_timeout{1000};
// Three heartbeats, so that neighbours pass the announcement on before the links close.
constexpr milliseconds leave_spread_time{500};

distribution::node_settings node_settings_of(const daemon_settings& settings, std::uint64_t incarnation) {
    distribution::node_settings node;
    node.id = settings.advertised_peer_address;
    node.failure_domain = settings.failure_domain;
    node.region = settings.region;
    node.seeds = settings.seeds;
    node.incarnation = incarnation;
    node.seed = stable_hash(settings.advertised_peer_address, incarnation);
    return node;
}

duration thread_cpu_time() {
    timespec used{};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &used);
    return std::chrono::seconds{used.tv_sec} + std::chrono::nanoseconds{used.tv_nsec};
}

/// Runs a platform call and stores its error code.
template <typename Call>
void guarded(distribution::platform_result& result, Call call) {
    try {
        call();
    } catch (const error& failure) {
        result.code = failure.code();
    } catch (const std::exception& failure) {
        log_event(log_level::error, "platform_call_failed", {{"message", failure.what()}});
        result.code = result_code::platform_bad_answer;
    }
}

moves::write_result to_write_result(result_code code) {
    switch (code) {
    case result_code::ok:
        return moves::write_result::written;
    case result_code::platform_precondition_failed:
        return moves::write_result::conflict;
    case result_code::platform_unavailable:
        return moves::write_result::unavailable;
    default:
        return moves::write_result::unknown;
    }
}

} // namespace

control_loop::control_loop(const daemon_settings& settings, control_dependencies dependencies)
    : settings_{settings}, dependencies_{dependencies}, incarnation_{static_cast<std::uint64_t>(
                                                            to_unix_ms(dependencies.clock.wall_now()))},
      platform_workers_{platform_threads}, node_{node_settings_of(settings, incarnation_)},
      moves_{settings.advertised_peer_address, *this, dependencies.counters},
      registry_{settings.advertised_peer_address, settings.failure_domain} {}

control_loop::~control_loop() {
    stop();
}

void control_loop::start() {
    peers::transport_settings transport;
    transport.listen = settings_.peer_address;
    transport.member = settings_.advertised_peer_address;
    transport.incarnation = incarnation_;
    peers::transport_listener& listener = *this;
    transport_ = std::make_unique<peers::peer_transport>(transport, listener);
    thread_ = std::thread{[this] { run(); }};
}

void control_loop::leave() {
    post_event(distribution::begin_leaving{});
    std::this_thread::sleep_for(leave_spread_time);
}

void control_loop::stop() {
    queue_.close();
    if (thread_.joinable()) {
        thread_.join();
    }
    platform_workers_.stop();
    if (transport_) {
        transport_->stop();
    }
}

void control_loop::run() {
    auto next_tick = dependencies_.clock.now();
    while (!queue_.closed()) {
        if (dependencies_.clock.now() >= next_tick) {
            on_tick();
            next_tick = dependencies_.clock.now() + tick_interval;
        }
        queue_.run_until(next_tick);
        control_cpu_ns_ = thread_cpu_time().count();
    }
    queue_.run();
    for (auto& [id, promise] : submits_) {
        promise.set_value({id, result_code::platform_outcome_unknown, 0, "the daemon is stopping"});
    }
    submits_.clear();
}

void control_loop::on_tick() {
    const auto now = dependencies_.clock.now();
    const auto wall = dependencies_.clock.wall_now();
    queue_event(distribution::tick{wall});
    if (registry_.advance(now)) {
        queue_event(distribution::local_endpoints{registry_.endpoints()});
    }
    handle_pending();
    moves_.on_tick(dependencies_.observations.take(), now, wall);
    handle_pending();
    track_convergence();
    publish_counters();
}

void control_loop::publish_counters() {
    const auto links = transport_->stats();
    dependencies_.counters.at("peer_bytes_in").store(links.bytes_in);
    dependencies_.counters.at("peer_bytes_out").store(links.bytes_out);
    dependencies_.counters.at("peer_messages_dropped").store(links.dropped_messages);
    dependencies_.counters.at("peer_malformed_frames").store(links.malformed_frames);
    dependencies_.counters.at("control_cpu_us")
        .store(static_cast<std::uint64_t>(control_cpu_ns_.load() / 1000));
}

void control_loop::post_event(distribution::event input) {
    queue_.push([this, shared = std::make_shared<distribution::event>(std::move(input))] {
        queue_event(std::move(*shared));
        handle_pending();
    });
}

void control_loop::handle_pending() {
    while (!pending_.empty()) {
        auto input = std::move(pending_.front());
        pending_.pop_front();
        for (auto& action : node_.handle(dependencies_.clock.now(), std::move(input))) {
            execute(action);
        }
        renew_incarnation();
    }
    if (view_stale_) {
        publish_view();
    }
}

/// A pause or a refutation gives the node a new incarnation; later hellos must carry it.
void control_loop::renew_incarnation() {
    if (node_.incarnation() != incarnation_) {
        incarnation_ = node_.incarnation();
        transport_->set_incarnation(incarnation_);
    }
}

void control_loop::execute(distribution::action& action) {
    const auto now = dependencies_.clock.now();
    const auto wall = dependencies_.clock.wall_now();
    if (auto* send = std::get_if<distribution::send_message>(&action)) {
        transport_->send(send->to, send->priority, send->content);
    } else if (const auto* dial = std::get_if<distribution::dial_member>(&action)) {
        transport_->dial(dial->member);
    } else if (const auto* close = std::get_if<distribution::close_link>(&action)) {
        transport_->close(close->member);
    } else if (const auto* snapshot = std::get_if<distribution::apply_snapshot>(&action)) {
        apply(*snapshot);
    } else if (const auto* submitted = std::get_if<distribution::submit_finished>(&action)) {
        finish_submit(*submitted);
    } else if (const auto* records = std::get_if<distribution::records_changed>(&action)) {
        moves_.on_records(records->records, now, wall);
    } else if (std::holds_alternative<distribution::members_changed>(action)) {
        view_stale_ = true;
    } else if (const auto* owner = std::get_if<distribution::became_owner>(&action)) {
        log_event(log_level::info, "became_move_owner", {{"epoch", owner->epoch}});
        moves_.on_lease({true, owner->epoch, owner->valid_until}, now, wall);
    } else if (const auto* extended = std::get_if<distribution::ownership_extended>(&action)) {
        moves_.on_lease({true, extended->epoch, extended->valid_until}, now, wall);
    } else if (const auto* lost = std::get_if<distribution::lost_ownership>(&action)) {
        log_event(log_level::info, "lost_move_ownership", {{"epoch", lost->epoch}});
        moves_.on_lease({false, lost->epoch, now}, now, wall);
    } else if (const auto* evidence = std::get_if<distribution::evidence_collected>(&action)) {
        moves_.on_fleet_evidence(evidence->increments, now, wall);
    } else if (const auto* ready = std::get_if<distribution::ready_changed>(&action)) {
        ready_ = ready->ready;
        not_ready_reason_ = ready->reason;
        view_stale_ = true;
        log_event(log_level::info, "ready_changed", {{"ready", ready->ready}, {"reason", ready->reason}});
    } else if (const auto* fence = std::get_if<distribution::fenced>(&action)) {
        const bool paused = fence->reason == distribution::fence_reason::paused;
        log_event(log_level::warning, "fenced", {{"reason", paused ? "paused" : "newer_epoch"}});
        dependencies_.counters.add(paused ? "fenced_paused" : "fenced_newer_epoch");
        if (paused) {
            dependencies_.views.on_paused();
        }
    } else {
        execute_platform(action);
    }
}

void control_loop::execute_platform(const distribution::action& action) {
    auto& table = dependencies_.table;
    auto& objects = dependencies_.objects;
    if (const auto* get = std::get_if<distribution::table_get>(&action)) {
        run_platform(get->request_id,
                     [&table, key = get->key](auto& result) { result.row = table.get(key); });
    } else if (const auto* list = std::get_if<distribution::table_list>(&action)) {
        run_platform(list->request_id,
                     [&table, prefix = list->prefix](auto& result) { result.rows = table.list(prefix); });
    } else if (const auto* put = std::get_if<distribution::table_put>(&action)) {
        run_platform(put->request_id, [&table, request = *put](auto& result) {
            result.etag = table.put(request.key, request.value, request.condition);
        });
    } else if (const auto* object = std::get_if<distribution::object_get>(&action)) {
        run_platform(object->request_id,
                     [&objects, key = object->key](auto& result) { result.object = objects.get(key); });
    } else if (const auto* store = std::get_if<distribution::object_put>(&action)) {
        run_platform(store->request_id,
                     [&objects, request = *store](auto&) { objects.put(request.key, request.bytes); });
    }
}

void control_loop::run_platform(std::uint64_t request_id,
                                std::function<void(distribution::platform_result&)> work) {
    platform_workers_.push([this, request_id, work = std::move(work)] {
        distribution::platform_result result;
        result.request_id = request_id;
        guarded(result, [&] { work(result); });
        post_event(std::move(result));
    });
}

void control_loop::apply(const distribution::apply_snapshot& action) {
    active_.store(action.table);
    view_stale_ = true;
    log_event(log_level::info, "snapshot_applied",
              {{"version", action.table->version()}, {"member", settings_.advertised_peer_address}});
    dependencies_.counters.add("snapshots_applied");
    moves_.on_snapshot(action.table->source(), dependencies_.clock.now(), dependencies_.clock.wall_now());
}

// ---- submissions -----------------------------------------------------------------------------------------

std::future<distribution::submit_finished>
control_loop::submit(model::team_part part, std::uint64_t precondition, std::string idempotency_key) {
    auto promise = std::make_shared<std::promise<distribution::submit_finished>>();
    auto result = promise->get_future();
    auto request = std::make_shared<distribution::submit_request>();
    request->part = std::move(part);
    request->precondition_version = precondition;
    request->idempotency_key = std::move(idempotency_key);
    request->submitted_unix_ms = to_unix_ms(dependencies_.clock.wall_now());
    const bool queued = queue_.push([this, promise, request] {
        request->submit_id = next_submit_++;
        submits_.emplace(request->submit_id, std::move(*promise));
        queue_event(std::move(*request));
        handle_pending();
    });
    if (!queued) {
        throw error{result_code::not_ready, "the daemon is stopping"};
    }
    return result;
}

void control_loop::finish_submit(const distribution::submit_finished& result) {
    if (result.code == result_code::ok) {
        convergence_probe_ = convergence_probe{result.version, dependencies_.clock.now()};
    }
    log_event(log_level::info, "submit_finished",
              {{"code", number(result.code)}, {"version", result.version}, {"message", result.message}});
    dependencies_.counters.add("submits_" + std::string{to_string(result.code)});
    const auto found = submits_.find(result.submit_id);
    if (found != submits_.end()) {
        found->second.set_value(result);
        submits_.erase(found);
    }
}

void control_loop::track_convergence() {
    if (!convergence_probe_) {
        return;
    }
    const auto now = dependencies_.clock.now();
    const auto fleet = node_.convergence(now);
    if (fleet.newest_version < convergence_probe_->version || fleet.current != fleet.reported ||
        fleet.reported < fleet.members) {
        return;
    }
    convergence_times_.record(now - convergence_probe_->accepted);
    log_event(log_level::info, "version_converged",
              {{"version", fleet.newest_version}, {"daemons", fleet.current}});
    convergence_probe_.reset();
}

// ---- endpoints, records and status -----------------------------------------------------------------------

void control_loop::announce(std::string body) {
    queue_.push([this, body = std::move(body)] {
        if (registry_.announce(body, dependencies_.clock.now())) {
            queue_event(distribution::local_endpoints{registry_.endpoints()});
            handle_pending();
        }
    });
}

void control_loop::publish_all(std::vector<moves::record> records) {
    queue_.push([this, records = std::move(records)] {
        for (const auto& record : records) {
            publish(to_replicated(record));
        }
        handle_pending();
    });
}

control_status control_loop::status() {
    auto promise = std::make_shared<std::promise<control_status>>();
    auto result = promise->get_future();
    queue_.push([this, promise] { promise->set_value(collect_status()); });
    if (result.wait_for(status_timeout) != std::future_status::ready) {
        throw error{result_code::not_ready, "the control thread is busy or stopping"};
    }
    return result.get();
}

control_status control_loop::collect_status() {
    const auto now = dependencies_.clock.now();
    control_status status;
    status.config = node_.config();
    status.convergence = node_.convergence(now);
    status.ownership = node_.ownership(now);
    status.stats = node_.stats();
    status.members = node_.members();
    status.endpoints = node_.endpoints();
    status.moves = moves_.rows();
    status.not_ready_reason = ready_ ? "" : not_ready_reason_;
    return status;
}

std::shared_ptr<const model::routing_table> control_loop::active() const {
    return active_.load();
}

peers::transport_stats control_loop::transport_stats() const {
    return transport_ ? transport_->stats() : peers::transport_stats{};
}

void control_loop::publish_view() {
    view_stale_ = false;
    control_view view;
    view.table = active_.load();
    view.endpoints = node_.endpoints();
    view.splits = moves_.splits();
    view.live_daemons = std::max<std::size_t>(1, node_.live_members());
    view.ready = ready_;
    dependencies_.views.on_view(view);
}

// ---- transport events ------------------------------------------------------------------------------------

void control_loop::on_link_up(const distribution::member_id& member, std::uint64_t incarnation, bool dialed) {
    post_event(distribution::link_up{member, incarnation, dialed});
}

void control_loop::on_link_down(const distribution::member_id& member, result_code reason) {
    dependencies_.counters.add("link_down_" + std::string{to_string(reason)});
    post_event(distribution::link_down{member});
}

void control_loop::on_message(const distribution::member_id& from, distribution::message content) {
    post_event(distribution::message_received{from, std::move(content)});
}

void control_loop::on_relay(const distribution::member_id&, peers::relay_message) {
    dependencies_.counters.add("relay_messages_ignored");
}

// ---- effects of moves ------------------------------------------------------------------------------------

void control_loop::publish(const distribution::replicated_record& record) {
    queue_event(distribution::publish_record{record});
}

void control_loop::publish_evidence(std::vector<distribution::counter_vector> increments) {
    queue_event(distribution::publish_evidence{std::move(increments)});
}

void control_loop::write_move_row(const moves::write_row& request) {
    platform_workers_.push([this, request] {
        distribution::platform_result result;
        guarded(result, [&] {
            result.etag = dependencies_.table.put(request.key, request.value, request.condition);
        });
        queue_.push([this, request, result] {
            moves_.on_write_result(request.move_id, request.write_id, to_write_result(result.code),
                                   result.etag, dependencies_.clock.now(), dependencies_.clock.wall_now());
            handle_pending();
        });
    });
}

void control_loop::read_move_row(const moves::read_row& request) {
    platform_workers_.push([this, request] {
        distribution::platform_result result;
        guarded(result, [&] { result.row = dependencies_.table.get(request.key); });
        queue_.push([this, request, result] {
            if (result.code == result_code::ok) {
                moves_.on_row(request.move_id, result.row, dependencies_.clock.now(),
                              dependencies_.clock.wall_now());
                handle_pending();
            }
        });
    });
}

void control_loop::list_move_rows() {
    platform_workers_.push([this] {
        distribution::platform_result result;
        guarded(result, [&] { result.rows = dependencies_.table.list("move/"); });
        queue_.push([this, result] {
            if (result.code == result_code::ok) {
                moves_.on_rows(result.rows, dependencies_.clock.now(), dependencies_.clock.wall_now());
                handle_pending();
            }
        });
    });
}

} // namespace endive::daemon
