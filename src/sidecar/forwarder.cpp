#include "sidecar/active_request.h"
#include "sidecar/events.h"

#include "platform/wire.h"

#include <charconv>

namespace endive::sidecar {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned first_server_error = 500;

/// Fraction of the shared retry budget that is used. The rest covers what this daemon can only estimate: the
/// calls made by repeated runs, which count as retries at the called service.
constexpr double budget_share = 0.8;
/// Fraction of the slack that is used, since daemons that have just restarted begin with a full burst.
constexpr double burst_share = 0.5;
/// Callers detect within two readiness checks that a daemon is stopping; requests that arrive until then are
/// served regardless of their deadline.
constexpr duration stop_notice_time = milliseconds{2500};
/// Maximum number of earlier refusals that a call message tells.
constexpr std::uint32_t max_told_refusals = 255;
/// Timeout of requests without a deadline header.
constexpr milliseconds default_timeout{30000};

std::optional<milliseconds> parse_milliseconds(std::string_view text) {
    std::uint32_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    if (parsed.ec != std::errc{} || parsed.ptr != text.data() + text.size()) {
        return std::nullopt;
    }
    return milliseconds{value};
}

/// Headers to forward: the end-to-end headers, with those that the daemons set replaced.
header_list forwarded_headers(const header_list& headers, const std::string& caller_service) {
    auto result = end_to_end_headers(headers);
    std::erase_if(result, [](const header_field& entry) {
        return equal_ignoring_case(entry.name, platform_wire::remaining_time_header) ||
               equal_ignoring_case(entry.name, platform_wire::expected_endpoint_header) ||
               equal_ignoring_case(entry.name, platform_wire::caller_service_header);
    });
    result.push_back({std::string{platform_wire::caller_service_header}, caller_service});
    return result;
}

std::uint64_t next_random(std::uint64_t& state) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

} // namespace

forwarder::forwarder(const clock_source& clock, counter_set& counters, const sidecar_settings& settings,
                     endpoint_service& local, peer_set& peers, rollouts& moves, const authentication& keys,
                     quota_service& quota)
    : clock_{clock}, counters_{counters}, settings_{settings}, local_{local}, peers_{peers}, moves_{moves},
      keys_{keys}, quota_{quota} {
    random_ ^= stable_hash(settings.name);
}

void forwarder::handle(const std::shared_ptr<exchange>& caller) {
    auto item = std::make_shared<active_request>();
    item->caller = caller;
    item->arrived = caller->arrived();
    auto& request = caller->request();
    item->request_id = find_header(request.headers, platform_wire::request_id_header);
    item->body_bytes = request.body.size();
    held_bytes_ += item->body_bytes;
    open_.insert(item);
    caller->on_abandoned([this, item] {
        counters_.add("caller_left");
        log_outcome(event::request_abandoned, *item, 0, mesh::reason::caller_left);
        cancel_calls(*item);
        release(item);
    });
    if (held_bytes_ > max_held_bytes()) {
        refuse(item, mesh::reason::memory, default_retry_after);
        return;
    }
    if (!routes_) {
        refuse(item, mesh::reason::no_configuration, default_retry_after);
        return;
    }
    if (item->request_id.empty()) {
        fail(item, status_bad_request, mesh::reason::bad_request);
        return;
    }
    item->routes = routes_;
    item->route = routes_->find(find_header(request.headers, "Host"), request.target);
    if (item->route == nullptr) {
        fail(item, status_not_found, mesh::reason::no_route);
        return;
    }
    const auto remaining =
        parse_milliseconds(find_header(request.headers, platform_wire::remaining_time_header));
    const auto allowed = std::min(remaining.value_or(default_timeout), item->route->timeout);
    item->deadline = item->arrived + allowed;
    item->target = stable_hash(request.target, stable_hash(find_header(request.headers, "Host")));
    item->caller_deadline = item->arrived + remaining.value_or(default_timeout);
    item->caller_id = keys_.identify(request.headers, *item->route);
    if (refuse_by_key(item, item->caller_id.refusal)) {
        return;
    }
    const auto* tenant = item->caller_id.tenant;
    item->priority =
        tenant == nullptr ? item->route->priority : tenant->priority.value_or(item->route->priority);
    item->tenant = tenant == nullptr ? std::string{} : tenant->name;
    if (remaining) {
        item->age = ages_.age(item->route->name, *remaining, item->arrived);
    }
    const auto earlier =
        returns_.on_arrival(item->route->name, item->target, item->caller_deadline, item->arrived);
    if (earlier) {
        counters_.add("returned_callers");
        item->returned = mesh::return_tracker::is_on_time(*earlier, item->arrived);
        counters_.add(item->returned ? "returned_as_told" : "returned_otherwise");
        item->refused_before = earlier->refusals;
        item->age = item->arrived - earlier->first_arrival;
    }
    const bool noticed = stop_ && item->arrived - stop_->begin > stop_notice_time;
    const bool ending = stop_ && item->arrived >= stop_->end;
    if (ending || (noticed && item->deadline > stop_->end)) {
        refuse(item, mesh::reason::stopping, default_retry_after);
        return;
    }
    item->service = item->route->parts[splits_.choose(*item->route)].service;
    item->cost_key =
        scheduling::make_cost_key(item->service, item->route->name, request.method, item->body_bytes);
    item->headers = forwarded_headers(request.headers, settings_.service);
    keys_.replace_headers(item->headers, item->caller_id);
    item->version = moves_.choose(item->service, clock_.now());
    begin(item);
}

mesh::retry_budget& forwarder::retry_budget_for(const std::string& service) {
    const auto found = retry_budgets_.find(service);
    if (found != retry_budgets_.end()) {
        return found->second;
    }
    const double daemons = static_cast<double>(peers_.peers().size() + 1);
    const double burst = std::max(2.0, settings_.retry_slack * burst_share / daemons);
    return retry_budgets_.try_emplace(service, settings_.retry_ratio * budget_share, burst).first->second;
}
call_message forwarder::make_call(const active_request& item, const mesh::member& about,
                                  time_point now) const {
    const auto& request = item.caller->request();
    call_message call;
    call.service = item.service;
    call.endpoint_id = about.endpoint_id;
    call.request_id = item.request_id;
    call.method = request.method;
    call.target = request.target;
    call.headers = item.headers;
    call.body = request.body;
    call.route = item.route->name;
    call.remaining = std::chrono::duration_cast<milliseconds>(item.deadline - now);
    call.latency_target = item.route->latency_target;
    call.waited = std::chrono::duration_cast<milliseconds>(now - item.arrived + item.age);
    call.priority = item.priority;
    if (item.caller_id.tenant != nullptr) {
        call.tenant = item.caller_id.tenant->name;
        call.key_digest = item.caller_id.key_digest;
    }
    call.refused_before = item.returned ? std::min(item.refused_before, max_told_refusals) : 0;
    call.kind = item.route->kind;
    call.repeated = std::any_of(item.attempts.begin(), item.attempts.end(),
                                [](const attempt_trace& attempt) { return attempt.may_have_arrived(); });
    return call;
}

void forwarder::attempt(const std::shared_ptr<active_request>& item, bool only_if_free) {
    const auto now = clock_.now();
    if (now >= item->deadline) {
        tick(now);
        return;
    }
    auto options = options_for(*item);
    remove_full(options, *item, now);
    std::vector<mesh::candidate> facts;
    facts.reserve(options.size());
    for (const auto& entry : options) {
        facts.push_back(entry.facts);
    }
    const auto cost = local_.sent_costs().estimate(item->cost_key, item->route->latency_target);
    const mesh::choice_request criteria{item->caller->request().body.size(), item->route->latency_target,
                                        cost.mean, cost.variation};
    const auto chosen = mesh::choose_endpoint(facts, criteria, next_random(random_));
    if (!chosen) {
        answer_without_endpoint(item, std::max(item->retry_delay_guess(now), item->retry_after));
        return;
    }
    const auto& target = options[*chosen];
    const auto daemon = target.about->daemon;
    const auto load_age = target.remote == nullptr ? duration{0} : now - target.remote->load_time;
    auto call = make_call(*item, *target.about, now); // before the attempt is recorded
    charge_attempt(*item);
    attempt_trace trace;
    trace.daemon = daemon;
    trace.expected = mesh::expected_time(target.facts, criteria);
    trace.expected_cost = cost.mean;
    trace.pace = target.facts.load.pace;
    trace.outstanding = target.facts.load.outstanding;
    trace.load_age = load_age;
    trace.sent = now;
    item->attempts.push_back(std::move(trace));
    call.expected_cost = std::chrono::duration_cast<std::chrono::microseconds>(cost.mean);
    const auto index = item->attempts.size() - 1;
    call.only_if_free =
        only_if_free || !mesh::may_wait(target.facts, criteria, options.size(), item->busy_answers);
    auto done = [this, item, index](reply_message reply) {
        const auto ended =
            std::erase_if(item->calls, [&](const open_call& entry) { return entry.attempt == index; });
        if (ended > 0 && !item->caller->finished()) {
            on_reply(item, index, std::move(reply));
        }
    };
    open_call opened;
    opened.attempt = index;
    opened.target = &local_;
    if (target.remote != nullptr) {
        ++target.remote->sent_since_load;
        target.remote->work_since_load += cost.mean;
        opened.link = target.remote->link;
        opened.target = opened.link.get();
    }
    item->calls.push_back(opened);
    const auto id = opened.target->execute(std::move(call), std::move(done));
    // The reply may have arrived before `execute` returned.
    for (auto& entry : item->calls) {
        if (entry.attempt == index) {
            entry.id = id;
        }
    }
}

bool forwarder::take_retry(const active_request& item) {
    const bool time_left = clock_.now() + item.route->latency_target / 4 < item.deadline;
    return time_left && item.attempts_used() < item.route->max_attempts &&
           retry_budget_for(item.service).take();
}

void forwarder::on_reply(const std::shared_ptr<active_request>& item, std::size_t index,
                         reply_message reply) {
    const auto now = clock_.now();
    auto* entry = peers_.find(item->attempts[index].daemon);
    item->attempts[index].end(reply.outcome, reply.why, now);
    item->attempts[index].service_time = reply.service_time;
    local_.sent_costs().on_reply(item->cost_key, item->route->latency_target, reply);
    if (reply.outcome == mesh::attempt_outcome::not_run) {
        on_not_run(item, index, reply);
        return;
    }
    ++item->sent;
    const bool failed = reply.outcome == mesh::attempt_outcome::unknown || reply.status >= first_server_error;
    if (entry != nullptr) {
        entry->failures = failed ? entry->failures + 1 : 0;
    }
    if (!failed) {
        deliver(item, std::move(reply));
        return;
    }
    const auto why = reply.why;
    if (reply.outcome == mesh::attempt_outcome::answered) {
        item->failed_answer = std::move(reply);
    }
    const bool safe = item->route->kind == mesh::request_kind::safe;
    if (safe && !item->has_responsive_call(now) && take_retry(*item)) {
        counters_.add("retry_" + std::string{to_string(why)});
        attempt(item);
        return;
    }
    if (!item->calls.empty()) {
        return; // another attempt may still answer
    }
    if (item->failed_answer) {
        deliver(item, std::move(*item->failed_answer));
    } else if (why == mesh::reason::timed_out) {
        fail(item, status_gateway_timeout, why);
    } else {
        fail(item, status_bad_gateway, why);
    }
}

void forwarder::on_not_run(const std::shared_ptr<active_request>& item, std::size_t index,
                           const reply_message& reply) {
    const auto now = clock_.now();
    if (reply.why == mesh::reason::busy || reply.why == mesh::reason::peer_silent) {
        item->busy_answers += reply.why == mesh::reason::busy ? 1 : 0;
        counters_.add(reply.why == mesh::reason::busy ? "busy_answers" : "unsent_peer_silent");
        item->last_refusal = reply.why;
        if (!item->has_responsive_call(now)) {
            attempt(item);
        }
        return;
    }
    if (reply.why == mesh::reason::too_late) {
        // It waited until no time was left, so no other endpoint can answer in time either.
        item->record_refusal(reply.why, reply.retry_after);
        answer_without_endpoint(item, item->retry_delay_guess(now));
        return;
    }
    ++item->refusals;
    item->record_refusal(reply.why, reply.retry_after);
    auto* entry = peers_.find(item->attempts[index].daemon);
    if (entry != nullptr && reply.why == mesh::reason::no_room) {
        entry->refusals.on_refused(item->admission(now), reply.retry_after, now);
    }
    if (item->has_responsive_call(now)) {
        return;
    }
    // The key may have been revoked since the request arrived.
    if (reply.why == mesh::reason::key_unknown && item->calls.empty() && item->sent == 0 &&
        !keys_.holds(item->caller_id)) {
        refuse_by_key(item, reply.why);
        return;
    }
    const bool reached_endpoint =
        reply.why == mesh::reason::endpoint_refused || reply.why == mesh::reason::wrong_endpoint;
    // A request refused by the endpoint itself did arrive there, so another attempt counts against the shared
    // retry budget.
    const bool comes_back = returns_.comes_back(item->route->name, now);
    const bool allowed =
        !reached_endpoint || retry_budget_for(item->service).take(item->refused_before, comes_back);
    if (allowed && item->refusals < max_refusals) {
        attempt(item);
        return;
    }
    answer_without_endpoint(item, std::max(min_retry_after, item->retry_after));
}

} // namespace endive::sidecar
