#include "sidecar/forwarder.h"

#include "sidecar/events.h"

#include "platform/wire.h"

#include <algorithm>
#include <charconv>
#include <cmath>

namespace endive::sidecar {
namespace {

constexpr unsigned status_bad_request = 400;
constexpr unsigned status_not_found = 404;
constexpr unsigned status_bad_gateway = 502;
constexpr unsigned status_unavailable = 503;
constexpr unsigned status_gateway_timeout = 504;
constexpr unsigned first_server_error = 500;

/// A daemon that has just started or lost its endpoints usually has a current view after this time.
constexpr duration default_retry_after = milliseconds{300};
/// Failures added to a daemon that is silent or shutting down, so that it is used only when no other is
/// available.
constexpr std::uint32_t suspect_failures = 6;
/// Requests take well under this time, so a load report of this age no longer describes any running request.
constexpr double load_lifetime_s = 3.0;
/// Request bodies may take the process's memory divided by this: each body is held up to three times, in the
/// request, the call and the frame.
constexpr std::size_t body_memory_divisor = 6;
/// Maximum number of refusals of one request before its caller is asked to retry later.
constexpr std::uint32_t max_refusals = 4;
/// Fraction of the shared retry budget that is used. The rest covers what this daemon can only estimate: the
/// calls made by repeated runs, which count as retries at the called service.
constexpr double budget_share = 0.8;
/// Fraction of the slack that is used, since daemons that have just restarted begin with a full burst.
constexpr double burst_share = 0.5;
/// Callers detect within two readiness checks that a daemon is stopping; requests that arrive until then are
/// served regardless of their deadline.
constexpr duration stop_notice_time = milliseconds{2500};
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

/// Reduces the outstanding requests of a load report by its age, since some of them have ended by now.
mesh::endpoint_load reduced_by_age(mesh::endpoint_load load, duration age) {
    const double fraction = 1.0 - std::min(1.0, std::chrono::duration<double>(age).count() / load_lifetime_s);
    load.outstanding = static_cast<std::uint32_t>(load.outstanding * fraction);
    return load;
}

std::string_view outcome_name(mesh::attempt_outcome outcome) {
    switch (outcome) {
    case mesh::attempt_outcome::answered:
        return "answered";
    case mesh::attempt_outcome::not_run:
        return "not_run";
    case mesh::attempt_outcome::unknown:
        break;
    }
    return "unknown";
}

double to_ms(duration value) {
    return std::round(std::chrono::duration<double, std::milli>(value).count() * 10) / 10;
}

std::uint64_t next_random(std::uint64_t& state) {
    state ^= state << 13;
    state ^= state >> 7;
    state ^= state << 17;
    return state;
}

} // namespace

/// An attempt and the data that its endpoint was chosen by, for the log.
struct attempt_trace {
    std::string daemon;
    duration expected{0};
    std::uint32_t outstanding = 0; ///< as last reported
    duration load_age{0};
    time_point sent;
    std::string_view outcome = "open";
    mesh::reason why = mesh::reason::none;
    duration elapsed{0};

    /// True when the request may have reached the endpoint, which may have refused it.
    [[nodiscard]] bool may_have_arrived() const {
        return outcome != outcome_name(mesh::attempt_outcome::not_run) ||
               why == mesh::reason::endpoint_refused || why == mesh::reason::wrong_endpoint;
    }
    void end(mesh::attempt_outcome how, mesh::reason reason, time_point now) {
        outcome = outcome_name(how);
        why = reason;
        elapsed = now - sent;
    }
};

/// An attempt without a reply so far.
struct open_call {
    std::size_t attempt = 0; ///< index into the request's attempts
    call_target* target = nullptr;
    std::shared_ptr<peer_link> link; ///< keeps `target` alive; null for this daemon's own endpoint
    std::uint64_t id = 0;

    [[nodiscard]] bool is_suspect(time_point now) const { return link && link->is_suspect(now); }
};

/// A request between its arrival and its response.
struct forwarder::active_request {
    std::shared_ptr<exchange> caller;
    std::shared_ptr<const mesh::route_index> routes; ///< keeps `route` alive
    const mesh::route* route = nullptr;
    std::string service;
    std::string request_id;
    header_list headers;
    time_point arrived;
    time_point deadline;
    std::size_t body_bytes = 0;
    duration age{0};                  ///< since the caller's first request, at arrival
    std::uint64_t target = 0;         ///< hash of host and target
    time_point caller_deadline;       ///< without the route's timeout
    std::uint32_t refused_before = 0; ///< earlier attempts of the caller that were refused
    version_choice version;
    std::vector<attempt_trace> attempts;
    std::uint32_t sent = 0; ///< ended attempts that reached an endpoint or may have done so
    std::uint32_t refusals = 0;
    std::uint32_t busy_answers = 0; ///< endpoints without a free slot
    std::uint32_t skipped_full = 0; ///< endpoints skipped because they recently rejected a similar request
    duration retry_after{0};        ///< minimum over the refusals
    mesh::reason last_refusal = mesh::reason::no_endpoint;
    std::vector<open_call> calls;  ///< more than one when the link of an attempt became suspect
    time_point next_replacement{}; ///< when another endpoint may be asked next while all links are suspect
    bool hedged = false;           ///< a second endpoint was asked because the first one is slow
    std::optional<reply_message> failed_answer; ///< the endpoint's error response, if no retry succeeds

    void record_refusal(mesh::reason why, duration wait) {
        last_refusal = why;
        retry_after = retry_after == duration{0} ? wait : std::min(retry_after, wait);
    }
    [[nodiscard]] mesh::admission_criteria admission(time_point now) const {
        return {route->priority, route->latency_target, deadline - now, now - arrived + age};
    }
    /// Attempts that count against the route's maximum.
    [[nodiscard]] std::size_t attempts_used() const { return sent + calls.size(); }
    /// True when an attempt is open on a link that is not suspect.
    [[nodiscard]] bool has_responsive_call(time_point now) const {
        return std::any_of(calls.begin(), calls.end(),
                           [&](const open_call& call) { return !call.is_suspect(now); });
    }
};

/// An endpoint that a request may be sent to.
struct forwarder::endpoint_option {
    const mesh::member* about = nullptr;
    peer* remote = nullptr; ///< null for this daemon's own endpoint
    mesh::candidate facts;
};

forwarder::forwarder(const clock_source& clock, counter_set& counters, const sidecar_settings& settings,
                     endpoint_service& local, peer_set& peers, rollouts& moves)
    : clock_{clock}, counters_{counters}, settings_{settings}, local_{local}, peers_{peers}, moves_{moves} {
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
    if (remaining) {
        item->age = ages_.age(item->route->name, *remaining, item->arrived);
    }
    const auto earlier =
        returns_.on_arrival(item->route->name, item->target, item->caller_deadline, item->arrived);
    if (earlier) {
        counters_.add("returned_callers");
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
    item->headers = forwarded_headers(request.headers, settings_.service);
    item->version = moves_.choose(item->service, clock_.now());
    // A request to another service may be a call by this VM's endpoint.
    retry_budget_for(item->service)
        .on_request(item->service == settings_.service ? 0.0 : local_.repeat_share());
    attempt(item);
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

std::vector<forwarder::endpoint_option> forwarder::ready_options(const std::string& service) const {
    std::vector<endpoint_option> result;
    const auto now = clock_.now();
    const auto& self = peers_.self();
    if (self.service == service && self.state == mesh::endpoint_state::ready) {
        const std::uint32_t added_failures = self.stopping ? suspect_failures : 0;
        result.push_back({&self, nullptr, {self.daemon, true, true, local_.load(), 0, added_failures}});
    }
    for (auto& [name, entry] : peers_.peers()) {
        const auto& about = entry.about;
        const bool usable = about.service == service && about.state == mesh::endpoint_state::ready &&
                            entry.link && entry.load.accepting;
        if (!usable) {
            continue;
        }
        const bool same_domain = about.failure_domain == settings_.failure_domain;
        const std::uint32_t added_failures =
            entry.link->is_suspect(now) || about.stopping ? suspect_failures : 0;
        result.push_back({&about,
                          &entry,
                          {name, false, same_domain, reduced_by_age(entry.load, now - entry.load_time),
                           entry.sent_since_load, entry.failures + added_failures}});
    }
    return result;
}

/// The version whose endpoints serve what no rollout sends to its new version: that of the last completed
/// rollout, otherwise that of the endpoint that started first. A version that appears later has to be
/// ordered, and one whose rollout did not complete is used only when there is no other. Empty when none is
/// known.
std::string forwarder::version_in_use(std::span<const endpoint_option> options,
                                      const std::string& service) const {
    const auto* history = moves_.history(service);
    const auto is_rejected = [&](const endpoint_option& entry) {
        return history != nullptr && history->is_rejected(entry.about->version);
    };
    const endpoint_option* best = nullptr;
    for (const auto& entry : options) {
        const auto& about = *entry.about;
        if (about.version.empty() || about.endpoint_start_unix_ms == 0) {
            continue;
        }
        if (history != nullptr && about.version == history->stable()) {
            return about.version;
        }
        if (best == nullptr || std::pair{is_rejected(entry), about.endpoint_start_unix_ms} <
                                   std::pair{is_rejected(*best), best->about->endpoint_start_unix_ms}) {
            best = &entry;
        }
    }
    return best == nullptr ? std::string{} : best->about->version;
}

/// Keeps the endpoints of the version that the request may be sent to.
void forwarder::select_version(std::vector<endpoint_option>& options, const active_request& item) const {
    const auto& choice = item.version;
    if (!choice.target_version.empty()) {
        const auto is_new = [&](const endpoint_option& entry) {
            return entry.about->version == choice.target_version;
        };
        const bool any_new = std::any_of(options.begin(), options.end(), is_new);
        const bool use_new = choice.only_new || (choice.use_new && any_new && item.attempts_used() == 0);
        std::erase_if(options, [&](const endpoint_option& entry) {
            return is_new(entry) != use_new || entry.about->version.empty();
        });
        if (use_new) {
            return;
        }
    }
    const auto in_use = version_in_use(options, item.service);
    std::erase_if(options, [&](const endpoint_option& entry) {
        return !in_use.empty() && !entry.about->version.empty() && entry.about->version != in_use;
    });
}

std::vector<forwarder::endpoint_option> forwarder::options_for(const active_request& item) const {
    auto options = ready_options(item.service);
    select_version(options, item);
    std::erase_if(options, [&](const endpoint_option& entry) {
        return std::any_of(item.attempts.begin(), item.attempts.end(), [&](const attempt_trace& attempt) {
            return attempt.daemon == entry.about->daemon && attempt.why != mesh::reason::busy;
        });
    });
    return options;
}

void forwarder::remove_full(std::vector<endpoint_option>& options, active_request& item, time_point now) {
    item.skipped_full = 0;
    const auto facts = item.admission(now);
    std::erase_if(options, [&](const endpoint_option& entry) {
        const auto wait =
            entry.remote == nullptr ? std::nullopt : entry.remote->refusals.expected_refusal(facts, now);
        if (wait) {
            ++item.skipped_full;
            item.record_refusal(mesh::reason::no_room, *wait);
            counters_.add("skipped_full");
        }
        return wait.has_value();
    });
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
    call.priority = item.route->priority;
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
    const mesh::choice_request criteria{item->caller->request().body.size(), item->route->latency_target};
    const auto chosen = mesh::choose_endpoint(facts, criteria, next_random(random_));
    if (!chosen) {
        answer_without_endpoint(item, std::max(default_retry_after, item->retry_after));
        return;
    }
    const auto& target = options[*chosen];
    const auto daemon = target.about->daemon;
    const auto load_age = target.remote == nullptr ? duration{0} : now - target.remote->load_time;
    auto call = make_call(*item, *target.about, now); // before the attempt is recorded
    item->attempts.push_back(
        {daemon, mesh::expected_time(target.facts, criteria), target.facts.load.outstanding, load_age, now});
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
    ++item->refusals;
    item->record_refusal(reply.why, reply.retry_after);
    auto* entry = peers_.find(item->attempts[index].daemon);
    if (entry != nullptr && reply.why == mesh::reason::no_room) {
        entry->refusals.on_refused(item->admission(now), reply.retry_after, now);
    }
    if (item->has_responsive_call(now)) {
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
    answer_without_endpoint(item, std::max(default_retry_after / 4, item->retry_after));
}

void forwarder::answer_without_endpoint(const std::shared_ptr<active_request>& item, duration retry_after) {
    if (!item->calls.empty()) {
        return; // an attempt on a suspect link may still answer
    }
    if (item->failed_answer) {
        deliver(item, std::move(*item->failed_answer));
    } else if (item->sent > 0) {
        fail(item, status_bad_gateway, item->last_refusal);
    } else {
        refuse(item, item->last_refusal, retry_after);
    }
}

void forwarder::deliver(const std::shared_ptr<active_request>& item, reply_message reply) {
    http_message response;
    response.status = reply.status;
    response.headers = std::move(reply.headers);
    response.body = std::move(reply.body);
    counters_.add("requests_delivered");
    latency_.record(clock_.now() - item->arrived);
    if (!log_is_saturated()) {
        log_outcome(event::request_done, *item, response.status, mesh::reason::none);
    }
    answer(item, std::move(response));
}

void forwarder::refuse(const std::shared_ptr<active_request>& item, mesh::reason why, duration retry_after) {
    auto response = own_response(status_unavailable, std::string{to_string(why)} + "\n");
    const auto seconds = std::chrono::duration<double>(retry_after).count();
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    response.headers.push_back({"Retry-After", text.data()});
    counters_.add("refused_" + std::string{to_string(why)});
    if (item->route != nullptr) {
        returns_.on_refused(item->target, item->caller_deadline,
                            {item->refused_before + 1, item->arrived - item->age}, clock_.now());
    }
    log_outcome(event::request_refused, *item, response.status, why);
    answer(item, std::move(response));
}

void forwarder::fail(const std::shared_ptr<active_request>& item, unsigned status, mesh::reason why) {
    counters_.add("failed_" + std::string{to_string(why)});
    log_outcome(event::request_failed, *item, status, why);
    answer(item, own_response(status, std::string{to_string(why)} + "\n"));
}

void forwarder::answer(const std::shared_ptr<active_request>& item, http_message response) {
    release(item);
    cancel_calls(*item);
    item->caller->respond(std::move(response));
}

/// Writes the request's log line: the data it was routed by, its attempts and its outcome.
void forwarder::log_outcome(event what, const active_request& item, unsigned status, mesh::reason why) const {
    json attempts = json::array();
    for (const auto& attempt : item.attempts) {
        attempts.push_back({{"daemon", attempt.daemon},
                            {"expected_ms", to_ms(attempt.expected)},
                            {"outstanding", attempt.outstanding},
                            {"load_age_ms", to_ms(attempt.load_age)},
                            {"outcome", attempt.outcome},
                            {"reason", to_string(attempt.why)},
                            {"ms", to_ms(attempt.elapsed)}});
    }
    log(what, {{"request", item.request_id},
               {"configuration", item.routes ? item.routes->source().version : 0},
               {"route", item.route == nullptr ? std::string{} : item.route->name},
               {"service", item.service},
               {"age_ms", to_ms(item.age)},
               {"refused_before", item.refused_before},
               {"allowed_ms", item.route == nullptr ? 0.0 : to_ms(item.deadline - item.arrived)},
               {"status", status},
               {"reason", to_string(why)},
               {"retry_after_ms", to_ms(item.retry_after)},
               {"skipped_full", item.skipped_full},
               {"attempts", std::move(attempts)},
               {"ms", to_ms(clock_.now() - item.arrived)}});
}

void forwarder::release(const std::shared_ptr<active_request>& item) {
    if (open_.erase(item) > 0) {
        held_bytes_ -= item->body_bytes;
    }
}

std::size_t forwarder::max_held_bytes() const {
    return settings_.memory_part(body_memory_divisor);
}

void forwarder::cancel_calls(active_request& item) {
    for (const auto& call : std::exchange(item.calls, {})) {
        call.target->cancel(call.id);
    }
}

bool forwarder::needs_replacement(const active_request& item, time_point now) const {
    return !item.calls.empty() && item.route->kind == mesh::request_kind::safe &&
           !item.has_responsive_call(now) && now >= item.next_replacement && item.refusals < max_refusals;
}

void forwarder::replace_suspect_attempts(time_point now) {
    std::vector<std::shared_ptr<active_request>> waiting;
    for (const auto& item : open_) {
        if (needs_replacement(*item, now)) {
            waiting.push_back(item);
        }
    }
    for (const auto& item : waiting) {
        // An earlier iteration may have ended this request or replaced its attempt.
        if (!needs_replacement(*item, now)) {
            continue;
        }
        item->next_replacement = now + default_retry_after;
        auto options = options_for(*item);
        remove_full(options, *item, now);
        const bool other_available =
            std::any_of(options.begin(), options.end(),
                        [](const endpoint_option& entry) { return entry.facts.failures < suspect_failures; });
        if (!other_available || !take_retry(*item)) {
            continue;
        }
        // The first attempt stays open: it may be running, and the others may all refuse the request.
        item->attempts[item->calls.back().attempt].why = mesh::reason::peer_silent;
        counters_.add("retry_peer_silent");
        attempt(item);
    }
}

/// True when the only attempt of a safe request takes so long that a second endpoint may answer sooner.
bool forwarder::is_overdue(const active_request& item, time_point now) const {
    return !item.hedged && item.calls.size() == 1 && item.route->kind == mesh::request_kind::safe &&
           mesh::is_overdue(now - item.attempts[item.calls.front().attempt].sent, item.route->latency_target);
}

/// Sends overdue requests to a second endpoint that has a free slot, as long as the retry budget is hardly
/// used.
void forwarder::hedge_overdue_attempts(time_point now) {
    std::vector<std::shared_ptr<active_request>> overdue;
    for (const auto& item : open_) {
        if (is_overdue(*item, now)) {
            overdue.push_back(item);
        }
    }
    for (const auto& item : overdue) {
        const bool time_left = now + item->route->latency_target / 4 < item->deadline;
        const bool allowed = time_left && item->attempts_used() < item->route->max_attempts;
        if (!is_overdue(*item, now) || !allowed || options_for(*item).empty() ||
            !retry_budget_for(item->service).take_spare()) {
            continue;
        }
        item->hedged = true;
        counters_.add("hedged");
        attempt(item, true);
    }
}

void forwarder::end_requests() {
    const auto ended = open_;
    for (const auto& item : ended) {
        if (item->caller->finished()) {
            release(item);
        } else if (item->failed_answer) {
            deliver(item, std::move(*item->failed_answer));
        } else {
            fail(item, status_bad_gateway, mesh::reason::stopping);
        }
    }
}

void forwarder::tick(time_point now) {
    replace_suspect_attempts(now);
    hedge_overdue_attempts(now);
    std::vector<std::shared_ptr<active_request>> expired;
    for (const auto& item : open_) {
        if (item->route != nullptr && item->deadline <= now) {
            expired.push_back(item);
        }
    }
    for (const auto& item : expired) {
        if (item->caller->finished()) {
            release(item);
        } else if (item->failed_answer) {
            deliver(item, std::move(*item->failed_answer));
        } else {
            fail(item, status_gateway_timeout, mesh::reason::timed_out);
        }
    }
}

} // namespace endive::sidecar
