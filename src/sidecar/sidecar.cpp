#include "sidecar/sidecar.h"

#include "sidecar/guard.h"
#include "sidecar/own_rows.h"

#include <algorithm>
#include <sstream>

namespace endive::sidecar {
namespace {

constexpr duration tick_interval = milliseconds{20};
constexpr duration slow_tick_interval = milliseconds{100};
/// A tick that comes later than this after its time is logged: nothing else was handled in time either.
constexpr duration loop_delay_threshold = milliseconds{500};
/// Maximum body size of requests that the daemon handles itself, such as heartbeats.
constexpr std::uint64_t max_own_request_bytes = 64UL * 1024;
/// Requests of callers that have not been read whole may take the process's memory divided by this.
constexpr std::size_t incomplete_memory_divisor = 8;
constexpr duration reader_selection_interval = milliseconds{200};
/// Number of consecutive missed heartbeats after which an endpoint is absent.
constexpr int max_missed_heartbeats = 4;
constexpr duration summary_interval = std::chrono::seconds{10};
/// After SIGTERM callers keep sending new requests until two readiness checks, one per second, have failed.
constexpr duration min_stop_time = milliseconds{2600};
/// The process exits this long before the end of the grace period, after which it would be killed.
constexpr duration stop_reserve = milliseconds{400};
/// Time between the last response and the exit. A process that exits sooner resets connections with unread
/// bytes, and responses in transit are lost.
constexpr duration settle_time = milliseconds{300};

constexpr unsigned status_ok = 200;
constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_unavailable = 503;

http_message json_response(unsigned status, const json& body) {
    http_message response;
    response.status = status;
    response.headers.push_back({"Content-Type", "application/json"});
    response.body = body.dump();
    return response;
}

} // namespace

sidecar::sidecar(boost::asio::io_context& loop, const clock_source& clock, sidecar_settings settings)
    : loop_{loop}, clock_{clock}, settings_{std::move(settings)}, key_proofs_{clock, counters_, settings_},
      authentication_{key_proofs_}, local_{loop, clock, counters_, settings_}, rollouts_{settings_},
      peers_{loop,
             clock,
             settings_,
             counters_,
             local_,
             rows_,
             row_changes_,
             {[this](const mesh::store_row& row, const mesh::row_delta* via) { on_row(row, via); },
              [this](const mesh::member& about) { on_member_update(about); },
              [this](const std::string& daemon, std::int64_t start,
                     const std::vector<mesh::version_evidence>& counters) {
                  rollouts_.on_evidence(daemon, start, counters);
              },
              [this](const std::string& daemon, const mesh::rollout_progress& progress) {
                  rollouts_.on_progress(daemon, progress, clock_.now());
              },
              [this] { return row_heads(); }, [this] { return store_timeouts(); },
              [this](const std::string& daemon, bool reading) {
                  readers_.on_report(daemon, reading, clock_.now());
                  key_proofs_.on_reading(daemon, reading);
              },
              [this](const std::string& daemon, const ping_message& answer) {
                  key_proofs_.on_ping_answer(daemon, answer);
              },
              [this] { return key_proofs_.own_proof(); },
              [this](const std::shared_ptr<peer_link>& link, const quota_message& message) {
                  quota_.on_message(link, message);
              }}},
      quota_{clock, counters_, settings_, peers_}, forwarder_{clock,  counters_, settings_,       local_,
                                                              peers_, rollouts_, authentication_, quota_},
      callers_{loop, clock, settings_.callers_address,
               [this](const std::shared_ptr<exchange>& request) { forwarder_.handle(request); }},
      readiness_{loop, clock, settings_.readiness_address,
                 [this](const std::shared_ptr<exchange>& request) { on_readiness_call(request); }},
      announcements_{loop, clock, settings_.announcements_address,
                     [this](const std::shared_ptr<exchange>& request) { on_announcement(request); }},
      operator_rows_{loop,
                     clock,
                     counters_,
                     settings_.store_address,
                     std::string{platform_wire::operator_table},
                     [this](const std::vector<mesh::store_row>& rows) {
                         for (const auto& row : rows) {
                             on_row(row);
                         }
                     },
                     [this](bool healthy) { on_store_health(healthy); }},
      store_{loop, clock, settings_.store_address}, timer_{loop}, link_meter_{settings_.link_mbps} {
    if (!settings_.metrics_address.empty()) {
        metrics_ = std::make_unique<http_server>(
            loop, clock, settings_.metrics_address,
            [this](const std::shared_ptr<exchange>& request) { on_metrics(request); });
    }
    for (auto* server : {&readiness_, &announcements_, metrics_.get()}) {
        if (server != nullptr) {
            server->set_limits({.body_bytes = max_own_request_bytes});
        }
    }
    callers_.count_received(received_bytes_);
    peers_.count_received(received_bytes_);
    limit_buffers();
    callers_.set_buffer_limit(settings_.memory_part(incomplete_memory_divisor));
    self_.daemon = settings_.name;
    self_.daemon_start_unix_ms = to_unix_ms(clock_.wall_now());
    self_.address = settings_.advertised_peer_address.empty() ? settings_.peers_address
                                                              : settings_.advertised_peer_address;
    self_.failure_domain = settings_.failure_domain;
    self_.service = settings_.service;
    self_.link_mbps = settings_.link_mbps;
    local_.on_change([this] { publish_self(); });
    if (settings_.fail_closed) {
        operator_rows_.prove(
            std::string{platform_wire::configuration_key},
            [this](time_point sent, std::uint64_t version) { key_proofs_.on_store_read(sent, version); });
    }
    local_.on_key_check([this](std::uint64_t digest, std::string_view tenant) {
        return authentication_.check(digest, tenant);
    });
}

sidecar::~sidecar() = default;

void sidecar::start() {
    started_ = clock_.now();
    publish_self();
    if (!settings_.first_start) {
        load_table(std::string{own_table}, {});
    }
    tick();
}

// ---- incoming calls ---------------------------------------------------------------------------------------

void sidecar::on_readiness_call(const std::shared_ptr<exchange>& request) {
    const auto& message = request->request();
    if (platform_wire::parse_call(message.method, message.target).name !=
        platform_wire::call_name::readiness) {
        request->respond(own_response(status_not_found, "no such call\n"));
        return;
    }
    const bool ready = routes_ != nullptr && !stopping_since_;
    request->respond(own_response(ready ? status_ok : status_unavailable, ready ? "ready\n" : "not ready\n"));
}

void sidecar::on_announcement(const std::shared_ptr<exchange>& request) {
    const auto& message = request->request();
    const auto call = platform_wire::parse_call(message.method, message.target);
    switch (call.name) {
    case platform_wire::call_name::heartbeat:
        on_heartbeat(request, call.endpoint_id);
        return;
    case platform_wire::call_name::deregister:
        on_deregister(request, call.endpoint_id);
        return;
    case platform_wire::call_name::readiness:
        on_readiness_call(request);
        return;
    case platform_wire::call_name::unknown:
        request->respond(own_response(status_not_found, "no such call\n"));
        return;
    }
}

void sidecar::on_heartbeat(const std::shared_ptr<exchange>& request, const std::string& endpoint_id) {
    try {
        const auto beat = platform_wire::decode_heartbeat(endpoint_id, request->request().body);
        bool accepted = false;
        local_.update(
            [&](mesh::endpoint_tracker& tracker) { accepted = tracker.on_heartbeat(beat, clock_.now()); });
        if (!accepted) {
            counters_.add("heartbeat_refused");
            log(event::heartbeat_refused, {{"endpoint", endpoint_id},
                                           {"service", beat.service},
                                           {"address", beat.address},
                                           {"sequence", beat.sequence},
                                           {"born", beat.start_unix_ms},
                                           {"current", local_.tracker().current().endpoint_id}});
        }
        answer_report(request, endpoint_id);
    } catch (const error& cause) {
        counters_.add("heartbeat_malformed");
        log(event::heartbeat_malformed,
            {{"endpoint", endpoint_id}, {"place", cause.location()}, {"reason", cause.what()}});
        request->respond(
            own_response(status_bad_request, std::string{cause.location()} + ": " + cause.what() + "\n"));
    }
}

void sidecar::on_deregister(const std::shared_ptr<exchange>& request, const std::string& endpoint_id) {
    bool known = false;
    const auto start = platform_wire::decode_deregister_start(request->request().body);
    const auto not_after = start.value_or(to_unix_ms(clock_.wall_now()));
    local_.update(
        [&](mesh::endpoint_tracker& tracker) { known = tracker.on_deregister(endpoint_id, not_after); });
    log(event::endpoint_deregistered, {{"endpoint", endpoint_id}, {"current", known}});
    answer_report(request, endpoint_id);
}

void sidecar::answer_report(const std::shared_ptr<exchange>& request, const std::string& endpoint_id) {
    const auto& current = local_.tracker().current();
    const bool has_left =
        current.endpoint_id == endpoint_id && current.state == mesh::endpoint_state::draining;
    if (has_left && !is_departure_stored()) {
        departure_answers_.add(request, clock_.now());
        write_self();
    } else {
        request->respond(json_response(status_ok, json::object()));
    }
}

void sidecar::on_metrics(const std::shared_ptr<exchange>& request) {
    std::ostringstream out;
    for (const auto& [name, value] : counters_.values()) {
        out << "endive_" << name << "_total " << value << "\n";
    }
    out << "endive_unexpected_exceptions_total " << caught_exceptions() << "\n";
    const auto load = local_.load();
    out << "endive_endpoint_outstanding " << load.outstanding << "\n";
    out << "endive_accepted_connections_total " << callers_.accepted_connections() << "\n";
    out << "endive_link_use " << link_meter_.use() << "\n";
    out << "endive_reservations_missed_total " << forwarder_.missed_reservations() << "\n";
    local_.refused_tenants().write(out, "endive_refused_calls_total");
    out << "endive_peer_links " << peers_.link_count() << "\n";
    out << "endive_peer_connections " << peers_.connection_count() << "\n";
    if (const auto age = key_proofs_.age()) {
        out << "endive_key_age_seconds " << std::chrono::duration<double>(*age).count() << "\n";
    }
    for (const double quantile : {0.5, 0.9, 0.99}) {
        out << "endive_request_seconds{quantile=\"" << quantile << "\"} "
            << std::chrono::duration<double>(forwarder_.latency().quantile(quantile)).count() << "\n";
    }
    out << "endive_request_seconds_count " << forwarder_.latency().count() << "\n";
    request->respond(own_response(status_ok, out.str()));
}

// ---- timers and shutdown ----------------------------------------------------------------------------------

void sidecar::tick() {
    const auto now = clock_.now();
    run_guarded("delay of the event loop", [&] { record_loop_delay(now); });
    run_guarded("deadlines of requests", [&] { forwarder_.tick(now); });
    run_guarded("quotas", [&] { quota_.tick(now); });
    run_guarded("deadlines of calls", [&] { local_.tick(now); });
    if (now >= next_slow_tick_) {
        next_slow_tick_ = now + slow_tick_interval;
        run_guarded("periodic work", [&] { slow_tick(now); });
    }
    if (stopping_since_) {
        run_guarded("stop", [&] { finish_stop(now); });
    }
    next_tick_ = clock_.now() + tick_interval;
    timer_.expires_after(tick_interval);
    timer_.async_wait([this](error_code code) {
        if (!code) {
            tick();
        }
    });
}

/// Measures how long events wait for the loop, by how late the tick is.
void sidecar::record_loop_delay(time_point now) {
    const auto delay = next_tick_ ? now - *next_tick_ : duration{0};
    longest_loop_delay_ = std::max(longest_loop_delay_, delay);
    if (delay > loop_delay_threshold) {
        counters_.add("loop_delays");
        log(event::loop_delayed, {{"delay_ms", std::chrono::duration_cast<milliseconds>(delay).count()},
                                  {"open_requests", forwarder_.open_requests()},
                                  {"accepted_connections", callers_.accepted_connections()}});
    }
}

void sidecar::slow_tick(time_point now) {
    link_meter_.record(*received_bytes_, now);
    local_.set_link_use(link_meter_.use());
    operator_rows_.tick(now);
    store_.tick(now);
    if (now >= next_reader_selection_) {
        next_reader_selection_ = now + reader_selection_interval;
        select_readers(now);
    }
    peers_.tick(now);
    key_proofs_.tick(peers_, authentication_.has_tenants());
    callers_.sweep(now);
    readiness_.sweep(now);
    announcements_.sweep(now);
    if (metrics_) {
        metrics_->sweep(now);
    }
    local_.sweep(now);
    local_.update([&](mesh::endpoint_tracker& tracker) {
        if (tracker.expire(now, settings_.heartbeat_interval * max_missed_heartbeats)) {
            log(event::endpoint_silent, {{"endpoint", tracker.current().endpoint_id}});
        }
    });
    if (routes_) {
        if (const auto* service = routes_->find_service(settings_.service)) {
            local_.probe(service->health_path);
        }
    }
    write_self();
    departure_answers_.tick(now);
    advance_rollouts(now);
    compare_rows(now);
    log_summary(now);
    remove_expired(now);
    local_.set_retired(rollouts_.is_retired(self_.service, self_.version, now));
    if (members_loaded_ && statuses_loaded_ && !stopping_since_) {
        write_due_statuses(now);
    }
    const auto load = local_.load();
    if (load_reports_.take_due(load, now)) {
        // All daemons wait for the end of the work at endpoints of a version that has been replaced.
        peers_.publish_load(load, load.accepting != published_accepting_ || !load.accepting);
        published_accepting_ = load.accepting;
    }
    const bool reads_members = operator_rows_.is_active() || peers_.link_count() == 0;
    if (members_loaded_ && reads_members && now >= next_member_read_) {
        next_member_read_ = now + member_read_interval;
        load_table(std::string{own_table}, {});
    }
}

/// Logs the counters that increased since the last summary, for engineers who have only the log.
void sidecar::log_summary(time_point now) {
    if (now < next_summary_) {
        return;
    }
    next_summary_ = now + summary_interval;
    json grown = json::object();
    for (const auto& [name, value] : counters_.values()) {
        auto& before = summarized_[name];
        if (value != before) {
            grown[name] = value - before;
            before = value;
        }
    }
    log(event::summary, {{"counters", grown},
                         {"links", peers_.link_count()},
                         {"outstanding", local_.load().outstanding},
                         {"accepted_connections", callers_.accepted_connections()},
                         {"link_use", link_meter_.use()},
                         {"key_age_ms", key_proofs_.age_ms()},
                         {"longest_loop_delay_ms", std::chrono::duration_cast<milliseconds>(
                                                       std::exchange(longest_loop_delay_, duration{0}))
                                                       .count()}});
}

void sidecar::stop() {
    if (stopping_since_) {
        return;
    }
    stopping_since_ = clock_.now();
    log(event::stopping, {{"open_requests", forwarder_.open_requests()}, {"open_jobs", local_.open_jobs()}});
    callers_.start_draining();
    work_end_ = *stopping_since_ + settings_.stop_grace - stop_reserve - settle_time;
    forwarder_.set_stop_times(*stopping_since_, work_end_);
    local_.set_stop_deadline(work_end_);
    publish_self();
}

/// Stops the event loop when callers have had time to switch to other daemons, all work is done and its
/// answers are delivered, or when the grace period is over.
void sidecar::finish_stop(time_point now) {
    const auto elapsed = now - *stopping_since_;
    if (now >= work_end_) {
        forwarder_.end_requests();
    }
    if (now >= work_end_ + settle_time / 2) {
        callers_.stop_reading();
    }
    const bool delivered = callers_.undelivered_sessions() == 0 && !peers_.has_undelivered_replies();
    const bool idle = forwarder_.open_requests() == 0 && local_.open_jobs() == 0 && delivered;
    if (!idle) {
        idle_since_.reset();
    } else if (!idle_since_) {
        idle_since_ = now;
    }
    const bool settled = idle_since_ && now - *idle_since_ >= settle_time;
    const bool done = settled && elapsed >= min_stop_time;
    if (!done && elapsed < settings_.stop_grace - stop_reserve) {
        return;
    }
    log(event::stopped, {{"elapsed_ms", std::chrono::duration_cast<milliseconds>(elapsed).count()},
                         {"open_requests", forwarder_.open_requests()},
                         {"open_jobs", local_.open_jobs()},
                         {"undelivered_responses", callers_.undelivered_sessions()}});
    loop_.stop();
}

} // namespace endive::sidecar
