// Responses of the forwarder, and the end of requests.

#include "sidecar/active_request.h"
#include "sidecar/events.h"

namespace endive::sidecar {
namespace {

/// Request bodies may take the process's memory divided by this: each body is held up to three times, in the
/// request, the call and the frame.
constexpr std::size_t body_memory_divisor = 6;

constexpr unsigned status_unauthorized = 401;

double to_ms(duration value) {
    return std::round(std::chrono::duration<double, std::milli>(value).count() * 10) / 10;
}

} // namespace

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
    const bool over_quota = why == mesh::reason::over_quota;
    auto response = own_response(over_quota ? status_too_many_requests : status_unavailable,
                                 std::string{to_string(why)} + "\n");
    const auto seconds = std::chrono::duration<double>(retry_after).count();
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%.3f", seconds);
    response.headers.push_back({"Retry-After", text.data()});
    counters_.add("refused_" + std::string{to_string(why)});
    // A tenant over its quota gains no precedence from its refusals.
    if (item->route != nullptr && !over_quota) {
        const auto now = clock_.now();
        const bool useful = retry_after <= item->longest_retry_delay(now);
        returns_.on_refused(item->target, item->caller_deadline,
                            {item->refused_before + 1, item->arrived - item->age,
                             useful ? now + retry_after : time_point::max()},
                            now);
        if (item->refused_before > 0) {
            counters_.add(item->returned ? "refused_again_as_told" : "refused_again");
        }
    }
    if (!over_quota || !log_is_saturated()) {
        log_outcome(event::request_refused, *item, response.status, why);
    }
    answer(item, std::move(response));
}

bool forwarder::refuse_by_key(const std::shared_ptr<active_request>& item, mesh::reason why) {
    if (why == mesh::reason::none) {
        return false;
    }
    if (why == mesh::reason::key_unknown) {
        counters_.add("refused_unknown_key");
        fail(item, status_unauthorized, why);
    } else {
        refuse(item, why, default_retry_after);
    }
    return true;
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
                            {"expected_cost_ms", to_ms(attempt.expected_cost)},
                            {"pace", std::round(attempt.pace * 100) / 100},
                            {"service_time_ms", to_ms(attempt.service_time)},
                            {"outstanding", attempt.outstanding},
                            {"load_age_ms", to_ms(attempt.load_age)},
                            {"outcome", attempt.outcome},
                            {"reason", to_string(attempt.why)},
                            {"ms", to_ms(attempt.elapsed)}});
    }
    json fields{{"request", item.request_id},
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
                {"ms", to_ms(clock_.now() - item.arrived)}};
    if (item.caller_id.tenant != nullptr) {
        fields["tenant"] = item.caller_id.tenant->name;
    }
    log(what, fields);
}

void forwarder::release(const std::shared_ptr<active_request>& item) {
    if (open_.erase(item) > 0) {
        settle_quota(*item);
        held_bytes_ -= item->body_bytes;
    }
}

std::size_t forwarder::max_held_bytes() const {
    return settings_.memory_part(body_memory_divisor);
}

void forwarder::cancel_calls(active_request& item, mesh::reason why) {
    for (const auto& call : std::exchange(item.calls, {})) {
        if (call.target->cancel(call.id)) {
            item.attempts[call.attempt].end(mesh::attempt_outcome::not_run, why, clock_.now());
        }
    }
}

void forwarder::end_unanswered(const std::shared_ptr<active_request>& item, unsigned status,
                               mesh::reason why) {
    cancel_calls(*item, why);
    if (item->failed_answer) {
        deliver(item, std::move(*item->failed_answer));
    } else if (item->may_have_run()) {
        fail(item, status, why);
    } else {
        refuse(item, why == mesh::reason::timed_out ? mesh::reason::too_late : why,
               item->retry_after > duration{0} ? item->retry_after : item->retry_delay_guess(clock_.now()));
    }
}

void forwarder::end_requests() {
    const auto ended = open_;
    for (const auto& item : ended) {
        if (item->caller->finished()) {
            release(item);
        } else {
            end_unanswered(item, status_bad_gateway, mesh::reason::stopping);
        }
    }
}

} // namespace endive::sidecar
