#pragma once
// State of one request between its arrival and its response. Used only by the parts of the forwarder.

#include "sidecar/forwarder.h"

#include <algorithm>
#include <cmath>

namespace endive::sidecar {

/// A daemon that has just started or lost its endpoints usually has a current view after this time.
inline constexpr duration default_retry_after = milliseconds{300};
/// Shorter waits change nothing: the load of an endpoint does not change sooner.
inline constexpr duration min_retry_after = milliseconds{40};
/// Failures added to a daemon that is silent or shutting down, so that it is used only when no other is
/// available.
inline constexpr std::uint32_t suspect_failures = 6;
/// Maximum number of refusals of one request before its caller is asked to retry later.
inline constexpr std::uint32_t max_refusals = 4;

inline constexpr unsigned status_too_many_requests = 429;
inline constexpr unsigned status_bad_gateway = 502;
inline constexpr unsigned status_unavailable = 503;
inline constexpr unsigned status_gateway_timeout = 504;

[[nodiscard]] std::string_view outcome_name(mesh::attempt_outcome outcome);

/// An attempt and the data that its endpoint was chosen by, for the log.
struct attempt_trace {
    std::string daemon;
    duration expected{0};
    duration expected_cost{0};     ///< at an endpoint of usual pace; zero when unknown
    double pace = 1;               ///< of the endpoint, as last reported
    duration service_time{0};      ///< that the endpoint took; zero when it did not answer
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
    caller_identity caller_id;
    std::uint32_t priority = 0;     ///< of the tenant or else of the route
    std::string tenant;             ///< empty without an API key
    std::uint64_t quota_ticket = 0; ///< not 0 while the request waits for its tenant's quota
    std::uint32_t quota_tokens = 0; ///< taken from the tenant's quota
    header_list headers;
    time_point arrived;
    time_point deadline;
    std::size_t body_bytes = 0;
    duration age{0};                  ///< since the caller's first request, at arrival
    std::uint64_t target = 0;         ///< hash of host and target
    time_point caller_deadline;       ///< without the route's timeout
    std::uint32_t refused_before = 0; ///< earlier attempts of the caller that were refused
    scheduling::cost_key cost_key;
    bool returned = false; ///< the caller came back as told
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
        return {priority,
                route->latency_target,
                deadline - now,
                now - arrived + age,
                fairness::tenant_id_of(tenant),
                returned};
    }
    /// Callers come back within this time or do not follow the delay they were told.
    [[nodiscard]] duration longest_retry_delay(time_point now) const { return (caller_deadline - now) / 3; }
    /// Retry delay when no endpoint has told one: the caller returns only within a third of its time.
    [[nodiscard]] duration retry_delay_guess(time_point now) const {
        return std::clamp<duration>(longest_retry_delay(now), min_retry_after, default_retry_after);
    }
    /// False when every attempt is known not to have run.
    [[nodiscard]] bool may_have_run() const {
        return std::any_of(attempts.begin(), attempts.end(), [](const attempt_trace& attempt) {
            return attempt.outcome != outcome_name(mesh::attempt_outcome::not_run);
        });
    }
    /// Attempts that have run or may do so.
    [[nodiscard]] std::size_t possible_runs() const {
        return static_cast<std::size_t>(
            std::count_if(attempts.begin(), attempts.end(), [](const attempt_trace& attempt) {
                return attempt.outcome != outcome_name(mesh::attempt_outcome::not_run);
            }));
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

} // namespace endive::sidecar
