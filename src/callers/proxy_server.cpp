#include "backends/relay_exchange.h"
#include "callers/call_runner.h"
#include "callers/http_listener.h"
#include "callers/operation_log.h"

#include <algorithm>

namespace endive::callers {
namespace {

constexpr milliseconds drain_poll_interval{2};
constexpr std::string_view operations_prefix = "/endive/v1/operations/";

/// A view and the runtimes of its services by name.
struct compiled_view {
    std::shared_ptr<const request_view> view;
    std::map<std::string, std::shared_ptr<service_runtime>, std::less<>> services;
};

struct call_totals {
    std::atomic<std::uint64_t> requests{0};
    std::atomic<std::uint64_t> answered{0};
    std::atomic<std::uint64_t> not_run{0};
    std::atomic<std::uint64_t> unknown{0};
    std::atomic<std::uint64_t> failed{0};
};

[[nodiscard]] std::uint64_t seed_or_random(std::uint64_t seed, const clock_source& clock) {
    return seed != 0 ? seed : static_cast<std::uint64_t>(clock.wall_now().time_since_epoch().count());
}

[[nodiscard]] model::traffic_split split_of(const request_view& view, const model::service& service) {
    const auto found = std::ranges::find(view.splits, service.name, &model::traffic_split::service);
    if (found != view.splits.end()) {
        return *found;
    }
    return {service.name, {{service.stable_version, 1.0}}, {}};
}

[[nodiscard]] calls::call_headers read_call_headers(const caller_request& request) {
    return calls::parse_headers(
        {find_header(request.headers, "endive-timeout-ms"), find_header(request.headers, "endive-depth"),
         find_header(request.headers, "endive-attempt"), find_header(request.headers, "endive-priority"),
         find_header(request.headers, "idempotency-key")});
}

} // namespace

struct proxy_server::state {
    state(proxy_settings wanted, const clock_source& source, counter_set& counts,
          platform::table_store& table, observer& observations)
        : settings{std::move(wanted)}, clock{source}, counters{counts},
          operations{table, source, counts}, pool{source, counts, settings.pool},
          environment{source, counts, observations, pool}, seed{seed_or_random(settings.seed, source)} {
        settings.endpoints.failure_domain = settings.failure_domain;
        environment.hedging = settings.hedging;
    }

    proxy_settings settings;
    const clock_source& clock;
    counter_set& counters;
    operation_log operations;
    backends::http_pool pool;
    call_environment environment;
    std::optional<backends::relay_sender> relay;
    std::uint64_t seed;
    std::atomic<std::shared_ptr<const compiled_view>> active;
    std::mutex view_mutex; ///< serialises `set_view`
    std::uint64_t view_sequence = 0;
    call_totals totals;
    std::atomic<bool> draining{false};
    std::unique_ptr<http_listener> listener;

    void apply(std::shared_ptr<const request_view> view);
    caller_reply handle(const caller_request& request, bool too_large);
    caller_reply route_call(const caller_request& request);
    caller_reply run_call(const call_context& context, const model::route& route);
    caller_reply run_keyed(const call_context& context, const reservation_request& wanted);
    [[nodiscard]] call_end reserve_and_run(const call_context& context, const reservation_request& wanted);
    caller_reply finish_reply(call_end end, const std::string& operation);
    caller_reply refuse(const refusal& reason);
    caller_reply describe_operation(std::string_view path);
};

void proxy_server::state::apply(std::shared_ptr<const request_view> view) {
    const std::scoped_lock lock{view_mutex};
    auto next = std::make_shared<compiled_view>();
    const auto previous = active.load();
    ++view_sequence;
    std::map<std::string, service_view> services;
    if (view && view->routes) {
        for (const auto& service : view->routes->services()) {
            auto& part = services[service.name];
            part.sequence = view_sequence;
            auto split = split_of(*view, service);
            part.shares = std::move(split.shares);
            part.non_idempotent_shares = std::move(split.non_idempotent_shares);
            part.live_daemons = view->live_daemons;
        }
        for (const auto& endpoint : view->endpoints) {
            const auto found = services.find(endpoint.service);
            if (found != services.end()) {
                found->second.endpoints[endpoint.version].push_back(endpoint);
            }
        }
    }
    for (const auto& [name, part] : services) {
        std::shared_ptr<service_runtime> runtime;
        if (previous && previous->services.contains(name)) {
            runtime = previous->services.find(name)->second;
        } else {
            runtime = std::make_shared<service_runtime>(settings.endpoints, settings.admission, clock,
                                                        seed ^ stable_hash(name));
        }
        runtime->apply(part);
        next->services[name] = std::move(runtime);
    }
    next->view = std::move(view);
    active.store(std::move(next));
}

caller_reply proxy_server::state::refuse(const refusal& reason) {
    counters.add("calls.refused." + std::string{to_string(reason.code)});
    if (reason.executed == calls::execution::not_run) {
        totals.not_run.fetch_add(1, std::memory_order_relaxed);
    } else if (reason.executed == calls::execution::unknown) {
        counters.add("calls.outcome_unknown");
        totals.unknown.fetch_add(1, std::memory_order_relaxed);
    } else {
        totals.failed.fetch_add(1, std::memory_order_relaxed);
    }
    return make_reply(reason);
}

caller_reply proxy_server::state::handle(const caller_request& request, bool too_large) {
    totals.requests.fetch_add(1, std::memory_order_relaxed);
    if (too_large) {
        return refuse({result_code::call_body_too_large,
                       calls::execution::not_run,
                       "the body exceeds " + std::to_string(settings.max_body_bytes) + " bytes",
                       {}});
    }
    if (request.target.empty() || request.target.front() != '/') {
        return refuse({result_code::call_bad_request, calls::execution::not_run, "expected a path", {}});
    }
    if (request.target.starts_with(operations_prefix) && request.method == "GET") {
        return describe_operation(request.target.substr(operations_prefix.size()));
    }
    if (draining) {
        return refuse({result_code::call_draining, calls::execution::not_run, {}, {}});
    }
    if (listener->running() > settings.max_in_flight) {
        return refuse({result_code::call_overloaded, calls::execution::not_run, {}, {}});
    }
    return route_call(request);
}

caller_reply proxy_server::state::describe_operation(std::string_view path) {
    const auto slash = path.find('/');
    if (slash == std::string_view::npos) {
        return refuse(
            {result_code::call_bad_request, calls::execution::not_run, "expected <service>/<key>", {}});
    }
    const auto response =
        operations.describe(std::string{path.substr(0, slash)}, std::string{path.substr(slash + 1)});
    caller_reply reply;
    reply.status = response.http_status;
    reply.headers.push_back({"Content-Type", "application/json"});
    reply.body = response.body.dump();
    return reply;
}

caller_reply proxy_server::state::route_call(const caller_request& request) {
    const auto current = active.load();
    if (!current || !current->view || !current->view->routes) {
        return refuse({result_code::call_not_ready, calls::execution::not_run, {}, {}});
    }
    const auto& routes = *current->view->routes;
    const auto path = request.target.substr(0, request.target.find('?'));
    const auto found = routes.find_route(request.method, path);
    if (!found.valid()) {
        return refuse({result_code::call_no_route, calls::execution::not_run, {}, {}});
    }
    const auto& route = routes.at(found);
    call_context context;
    context.request = &request;
    try {
        context.headers = read_call_headers(request);
    } catch (const error& problem) {
        return refuse({problem.code(), calls::execution::not_run, problem.what(), {}});
    }
    const auto service = current->services.find(route.service);
    if (service == current->services.end()) {
        return refuse({result_code::call_no_endpoint, calls::execution::not_run, {}, {}});
    }
    context.service = service->second;
    context.service_name = route.service;
    context.route = route.name;
    context.idempotent = route.idempotent;
    context.live_daemons = current->view->live_daemons;
    context.deadline = calls::deadline_of(context.headers, route, clock.now());
    return run_call(context, route);
}

caller_reply proxy_server::state::run_call(const call_context& context, const model::route& route) {
    context.service->count_request();
    const reservation_request wanted{context.headers.priority.value_or(route.priority), context.deadline,
                                     context.idempotent};
    if (!context.idempotent && !context.headers.idempotency_key.empty()) {
        return run_keyed(context, wanted);
    }
    return finish_reply(reserve_and_run(context, wanted), {});
}

call_end proxy_server::state::reserve_and_run(const call_context& context,
                                              const reservation_request& wanted) {
    auto reserved = context.service->reserve(wanted);
    if (!reserved.slot) {
        return {reserved.code, calls::execution::not_run, {}, false};
    }
    return call_runner{environment, context}.run(std::move(*reserved.slot));
}

caller_reply proxy_server::state::run_keyed(const call_context& context, const reservation_request& wanted) {
    const auto& key = context.headers.idempotency_key;
    if (context.service->is_saturated()) {
        return refuse({result_code::call_overloaded, calls::execution::not_run, {}, {}});
    }
    const auto digest =
        calls::request_digest(context.request->method, context.request->target, context.request->body);
    auto opened = operations.open(context.service_name, key, digest);
    if (opened.refused) {
        return refuse(*opened.refused);
    }
    const auto path = operation_path(context.service_name, key);
    if (opened.stored) {
        counters.add("operations.replayed");
        caller_reply reply;
        reply.status = opened.stored->status;
        reply.headers.push_back({"Content-Type", opened.stored->content_type});
        reply.headers.push_back({"endive-replayed", "true"});
        reply.body = opened.stored->body;
        return reply;
    }
    auto end = reserve_and_run(context, wanted);
    if (end.executed != calls::execution::unknown) {
        const auto reached = end.executed == calls::execution::ran ? calls::operation_state::finished
                                                                   : calls::operation_state::not_run;
        const std::string content_type{find_header(end.reply.headers, "content-type")};
        operations.close(std::move(*opened.owned), reached, end.reply.status, content_type, end.reply.body,
                         !end.streamed);
    }
    return finish_reply(std::move(end), path);
}

caller_reply proxy_server::state::finish_reply(call_end end, const std::string& operation) {
    if (end.code == result_code::ok) {
        totals.answered.fetch_add(1, std::memory_order_relaxed);
        return std::move(end.reply);
    }
    if (end.code == result_code::call_cancelled) {
        counters.add("calls.cancelled");
    }
    if (end.code == result_code::call_upstream_truncated) {
        counters.add("calls.truncated");
    }
    const bool name_operation = end.executed == calls::execution::unknown;
    return refuse({end.code, end.executed, {}, name_operation ? operation : std::string{}});
}

proxy_server::proxy_server(proxy_settings settings, const clock_source& clock, counter_set& counters,
                           platform::table_store& table, observer& observations,
                           backends::relay_transport* relay)
    : state_{std::make_unique<state>(std::move(settings), clock, counters, table, observations)} {
    auto& s = *state_;
    if (relay != nullptr) {
        s.relay.emplace(*relay, clock);
        s.environment.relay = &*s.relay;
        s.settings.endpoints.relay_available = true;
    }
    listener_settings listening{s.settings.listen, s.settings.max_connections, s.settings.max_body_bytes,
                                s.settings.idle_timeout, s.settings.read_timeout};
    s.listener = std::make_unique<http_listener>(
        std::move(listening), clock, counters,
        [&s](const caller_request& request, bool too_large) { return s.handle(request, too_large); });
}

proxy_server::~proxy_server() {
    stop();
}

void proxy_server::start() {
    state_->listener->start();
}

std::uint16_t proxy_server::port() const {
    return state_->listener->port();
}

void proxy_server::set_view(std::shared_ptr<const request_view> view) {
    state_->apply(std::move(view));
}

std::uint64_t proxy_server::drain(duration timeout) {
    auto& s = *state_;
    s.draining = true;
    const auto end = s.clock.now() + timeout;
    while (s.listener->running() > 0 && s.clock.now() < end) {
        std::this_thread::sleep_for(drain_poll_interval);
    }
    return s.listener->running();
}

void proxy_server::stop() {
    state_->listener->stop();
}

proxy_stats proxy_server::stats() const {
    const auto& s = *state_;
    proxy_stats result;
    result.requests = s.totals.requests;
    result.answered = s.totals.answered;
    result.refused_not_run = s.totals.not_run;
    result.outcome_unknown = s.totals.unknown;
    result.failed = s.totals.failed;
    result.hedges = s.counters.value("calls.hedged");
    result.cancelled = s.counters.value("calls.cancelled");
    for (const auto& [name, value] : s.counters.values()) {
        result.retries += name.starts_with("calls.retried.") ? value : 0;
    }
    result.in_flight = s.listener->running();
    result.caller_connections = s.listener->connections();
    if (const auto current = s.active.load()) {
        for (const auto& [name, service] : current->services) {
            result.queued += service->queued();
            result.ejected_endpoints += service->ejected();
        }
    }
    result.pool = s.pool.stats();
    return result;
}

std::vector<calls::endpoint_status> proxy_server::endpoint_status(const std::string& service) const {
    const auto current = state_->active.load();
    if (!current || !current->services.contains(service)) {
        return {};
    }
    return current->services.find(service)->second->status();
}

operation_response proxy_server::operation(const std::string& service, const std::string& key) {
    return state_->operations.describe(service, key);
}

void proxy_server::report_load(const std::string& service, const std::string& address, double load) {
    const auto current = state_->active.load();
    if (current && current->services.contains(service)) {
        current->services.find(service)->second->report_load(address, load);
    }
}

} // namespace endive::callers
