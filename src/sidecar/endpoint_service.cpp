#include "sidecar/endpoint_service.h"

#include "sidecar/events.h"

#include "platform/wire.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

constexpr unsigned status_misdirected = 421;
constexpr unsigned first_server_error = 500;
/// Consecutive failed connection attempts after which the endpoint is considered absent until its next
/// heartbeat.
constexpr std::uint32_t connect_failures_until_absent = 2;
/// Responses being received may take the process's memory divided by this: a growing buffer takes up to three
/// times its content, and a complete response is copied into its frame.
constexpr std::size_t response_memory_divisor = 8;

/// A request that has not been sent to the endpoint is refused this long before its deadline, so that the
/// other daemon still learns in time that it did not run: two passes through event loops, each with a tick of
/// 20 ms at worst, and a round trip between failure domains.
constexpr duration refusal_delivery_time = milliseconds{45};

} // namespace

struct endpoint_service::job {
    std::uint64_t id = 0;
    call_message call;
    reply_handler done;
    time_point arrived;
    time_point deadline;
    time_point unsent_end; ///< when a request that has not been sent to the endpoint is refused
    std::optional<time_point> started;
    std::uint64_t client_id = 0;
    std::string version;
    bool cold = false;
    byte_charge held; ///< of the body until it is sent
    priced_request priced;
};

endpoint_service::endpoint_service(boost::asio::io_context& loop, const clock_source& clock,
                                   counter_set& counters, const sidecar_settings& settings)
    : clock_{clock}, counters_{counters}, tracker_{settings.service, settings.endpoint_address},
      client_{loop, clock, settings.endpoint_address, settings.memory_part(response_memory_divisor)} {}

std::uint64_t endpoint_service::execute(call_message call, reply_handler done) {
    const auto now = clock_.now();
    auto item = std::make_shared<job>();
    item->id = next_id_++;
    item->call = std::move(call);
    item->done = std::move(done);
    item->arrived = now;
    item->deadline = now + item->call.remaining;
    item->unsent_end = item->deadline - std::min(refusal_delivery_time, duration{item->call.remaining} / 2);
    jobs_[item->id] = item;
    if (item->call.endpoint_id != tracker_.current().endpoint_id ||
        item->call.service != tracker_.current().service) {
        refuse(item, mesh::reason::wrong_endpoint, duration{0});
        return item->id;
    }
    if (!may_start() || (stop_deadline_ && item->deadline > *stop_deadline_)) {
        refuse(item, not_starting_reason(), duration{0});
        return item->id;
    }
    if (const auto why = key_refusal(*item); why != mesh::reason::none) {
        refuse(item, why, duration{0});
        return item->id;
    }
    if (memory_.is_full() && item->call.body.size() > max_small_message_bytes) {
        refuse(item, mesh::reason::memory, duration{0});
        return item->id;
    }
    item->held.move_to(memory_.account);
    item->held.set(item->call.body.size());
    const auto target = now + item->call.latency_target - item->call.waited;
    item->priced = costs_.on_arrival(item->id, item->call, gate_.load().slowness, now);
    apply(gate_.offer({item->id, item->call.priority, item->call.latency_target, target, item->deadline,
                       item->call.only_if_free, item->priced.cost.mean,
                       fairness::tenant_id_of(item->call.tenant), item->call.refused_before > 0},
                      now));
    return item->id;
}

/// A request that starts late in the grace period would be cut at its end.
void endpoint_service::set_stop_deadline(time_point end) {
    stop_deadline_ = end;
    const auto jobs = jobs_;
    for (const auto& [id, item] : jobs) {
        if (!item->started && item->deadline > end) {
            gate_.remove(id);
            refuse(item, mesh::reason::stopping, duration{0});
        }
    }
}

mesh::reason endpoint_service::not_starting_reason() const {
    if (!tracker_.is_ready()) {
        return mesh::reason::draining;
    }
    return retired_ ? mesh::reason::retired : mesh::reason::stopping;
}

mesh::reason endpoint_service::key_refusal(const job& item) const {
    const auto& call = item.call;
    const bool has_key = call.key_digest != 0 && check_key_;
    return has_key ? check_key_(call.key_digest, call.tenant) : mesh::reason::none;
}

void endpoint_service::apply(std::vector<mesh::gate_action> actions) {
    // A call that is refused instead of started makes room for others, whose actions are appended.
    for (std::size_t next = 0; next < actions.size(); ++next) {
        const auto action = actions[next];
        const auto found = jobs_.find(action.ticket);
        if (found == jobs_.end() || action.verdict == mesh::gate_verdict::queued) {
            continue;
        }
        const auto item = found->second;
        if (action.verdict == mesh::gate_verdict::start) {
            if (const auto why = key_refusal(*item); why != mesh::reason::none) {
                refuse(item, why, duration{0});
                const auto more = gate_.finish(item->id, std::nullopt, clock_.now());
                actions.insert(actions.end(), more.begin(), more.end());
                continue;
            }
            start(item);
        } else if (action.verdict == mesh::gate_verdict::busy) {
            refuse(item, mesh::reason::busy, duration{0});
        } else {
            counters_.add(action.reserved ? "reservations" : "refusals_without_reservation");
            refuse(item, may_start() ? mesh::reason::no_room : not_starting_reason(), action.retry_after);
        }
    }
}

void endpoint_service::start(const std::shared_ptr<job>& item) {
    const auto now = clock_.now();
    item->started = now;
    repeats_.on_run(item->call.repeated);
    costs_.on_start(item->id, item->priced, now);
    item->version = tracker_.current().version;
    item->cold = tracker_.current().cold_remaining > milliseconds{0};
    http_message request;
    request.method = item->call.method;
    request.target = item->call.target;
    request.headers = std::move(item->call.headers);
    request.body = std::move(item->call.body);
    item->held.set(0);
    const auto remaining =
        std::max(milliseconds{1}, std::chrono::duration_cast<milliseconds>(item->deadline - now));
    request.headers.push_back(
        {std::string{platform_wire::remaining_time_header}, std::to_string(remaining.count())});
    request.headers.push_back({std::string{platform_wire::expected_endpoint_header}, item->call.endpoint_id});
    item->client_id =
        client_.send(std::move(request), item->call.request_id,
                     [this, item](endpoint_result result) { on_result(item, std::move(result)); });
}

void endpoint_service::on_result(const std::shared_ptr<job>& item, endpoint_result result) {
    const auto latency = clock_.now() - *item->started;
    reply_message message;
    message.outcome = result.outcome;
    message.why = result.why;
    message.status = result.response.status;
    std::optional<duration> service_time;
    connect_failures_ = result.why == mesh::reason::connect_failed ? connect_failures_ + 1 : 0;
    if (result.outcome == mesh::attempt_outcome::answered) {
        take_report(result.response);
        const bool misdirected = result.response.status == status_misdirected;
        if (is_refusal(result.response)) {
            message.outcome = mesh::attempt_outcome::not_run;
            message.why = misdirected ? mesh::reason::wrong_endpoint : mesh::reason::endpoint_refused;
            message.retry_after = milliseconds{0};
        } else {
            message.headers = end_to_end_headers(result.response.headers);
            message.body = std::move(result.response.body);
            const bool failed = result.response.status >= first_server_error;
            if (!failed) {
                service_time = latency;
                message.service_time = std::chrono::duration_cast<std::chrono::microseconds>(latency);
                costs_.on_response(item->priced, item->call, latency, clock_.now());
            }
            record_evidence(*item, failed, latency);
        }
        if (misdirected) {
            update([](mesh::endpoint_tracker& tracker) { tracker.on_unreachable(); });
        }
    } else if (result.outcome == mesh::attempt_outcome::unknown) {
        record_evidence(*item, true, latency);
    }
    if (connect_failures_ >= connect_failures_until_absent) {
        log(event::endpoint_unreachable,
            {{"endpoint", tracker_.current().endpoint_id}, {"failures", connect_failures_}});
        update([](mesh::endpoint_tracker& tracker) { tracker.on_unreachable(); });
    }
    reply(item, std::move(message));
    release_slot(item, service_time);
}

mesh::endpoint_load endpoint_service::load() const {
    auto result = gate_.load();
    result.accepting = may_start();
    result.link_use = link_use_;
    const auto now = clock_.now();
    result.work = costs_.work(now);
    result.pace = costs_.pace(now);
    return result;
}

void endpoint_service::record_evidence(const job& item, bool failed, duration latency) {
    const auto matches = [&](const mesh::version_evidence& entry) {
        return entry.version == item.version && entry.route == item.call.route;
    };
    auto found = std::find_if(evidence_.begin(), evidence_.end(), matches);
    if (found == evidence_.end()) {
        evidence_.push_back({tracker_.current().service, item.version, item.call.route});
        found = evidence_.end() - 1;
    }
    if (failed) {
        ++found->failed;
    } else if (!item.cold) {
        ++found->answered;
        found->latency_us += static_cast<std::uint64_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(latency).count());
    }
}

void endpoint_service::reply(const std::shared_ptr<job>& item, reply_message message) {
    jobs_.erase(item->id);
    costs_.on_end(item->id);
    if (message.outcome == mesh::attempt_outcome::not_run && message.why != mesh::reason::busy) {
        refused_tenants_.add(item->call.tenant);
    }
    message.stream = item->call.stream;
    message.load = load();
    counters_.add("endpoint_" + std::string{to_string(message.why)});
    // The daemon that sent the request logs all endpoints that were busy.
    if (message.outcome != mesh::attempt_outcome::answered && message.why != mesh::reason::busy) {
        log_unanswered(*item, message);
    }
    item->done(std::move(message));
}

/// Logs a refused or failed call with the state that this daemon had at the time.
void endpoint_service::log_unanswered(const job& item, const reply_message& message) const {
    const bool not_run = message.outcome == mesh::attempt_outcome::not_run;
    log(not_run ? event::call_refused : event::call_failed,
        {{"request", item.call.request_id},
         {"service", item.call.service},
         {"endpoint", item.call.endpoint_id},
         {"tenant", item.call.tenant},
         {"refused_before", item.call.refused_before},
         {"current_endpoint", tracker_.current().endpoint_id},
         {"reason", to_string(message.why)},
         {"running", gate_.running()},
         {"waiting", gate_.waiting()},
         {"service_time_us", message.load.service_time.count() / 1000},
         {"started", item.started.has_value()},
         {"remaining_ms", item.call.remaining.count()},
         {"retry_after_ms", message.retry_after.count()}});
}

void endpoint_service::refuse(const std::shared_ptr<job>& item, mesh::reason why, duration retry_after) {
    reply_message message;
    message.outcome = mesh::attempt_outcome::not_run;
    message.why = why;
    message.retry_after = std::chrono::duration_cast<milliseconds>(retry_after);
    reply(item, std::move(message));
}

/// The time of a run that was ended before its response, if it already exceeds what is expected: without it
/// an endpoint whose callers give up would still look fast.
std::optional<duration> endpoint_service::unfinished_service_time(const job& item) const {
    const auto elapsed = clock_.now() - *item.started;
    const auto slowness = gate_.load().slowness;
    const auto expected = std::chrono::duration<double, std::nano>(item.call.latency_target) * slowness;
    return slowness > 0 && elapsed > expected ? std::optional{elapsed} : std::nullopt;
}

void endpoint_service::release_slot(const std::shared_ptr<job>& item, std::optional<duration> service_time) {
    apply(gate_.finish(item->id, service_time, clock_.now()));
}

bool endpoint_service::cancel(std::uint64_t id) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return false;
    }
    const auto item = found->second;
    jobs_.erase(found);
    costs_.on_end(id);
    if (!item->started) {
        gate_.remove(id);
        return true;
    }
    const bool unsent = client_.cancel(item->client_id);
    release_slot(item, unsent ? std::nullopt : unfinished_service_time(*item));
    return unsent;
}

void endpoint_service::set_memory(const process_memory& memory, std::function<bool()> is_congested) {
    memory_ = memory;
    client_.set_memory(memory, std::move(is_congested));
}

void endpoint_service::tick(time_point now) {
    client_.resume_waiting();
    refresh_gate();
    if (probe_ && probe_->deadline <= now) {
        client_.cancel(probe_->client_id);
        probe_.reset();
    }
    std::vector<std::shared_ptr<job>> expired;
    for (const auto& [id, item] : jobs_) {
        const bool sent = item->started && client_.is_sent(item->client_id);
        if ((sent ? item->deadline : item->unsent_end) <= now) {
            expired.push_back(item);
        }
    }
    for (const auto& item : expired) {
        if (!item->started) {
            gate_.remove(item->id);
            refuse(item, mesh::reason::too_late, duration{0});
            continue;
        }
        if (client_.cancel(item->client_id)) {
            refuse(item, mesh::reason::too_late, duration{0});
            release_slot(item, std::nullopt);
            continue;
        }
        reply_message message;
        message.why = mesh::reason::timed_out;
        record_evidence(*item, true, now - *item->started);
        reply(item, std::move(message));
        release_slot(item, unfinished_service_time(*item));
    }
    if (gate_.waiting() > 0) {
        apply(gate_.advance(now));
    }
}

void endpoint_service::sweep(time_point now) {
    client_.sweep(now);
}

} // namespace endive::sidecar
