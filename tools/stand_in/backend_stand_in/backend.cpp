#include "backend.h"

#include <thread>

namespace stand_in {
namespace {

using namespace std::chrono_literals;
using clock = std::chrono::steady_clock;
using endive::json;

constexpr auto load_history_length = 60s;
constexpr auto freeze_check_interval = 10ms;
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;

/// Counts a request as in flight during the lifetime of the object.
class in_flight_guard {
public:
    in_flight_guard(std::atomic<std::size_t>& in_flight, load_history& history)
        : in_flight_{in_flight}, history_{history}, concurrency_{++in_flight} {
        history_.record(clock::now(), concurrency_);
    }
    in_flight_guard(const in_flight_guard&) = delete;
    in_flight_guard& operator=(const in_flight_guard&) = delete;
    ~in_flight_guard() { history_.record(clock::now(), --in_flight_); }
    /// Number of requests in flight when this one started, including itself.
    [[nodiscard]] std::size_t concurrency() const { return concurrency_; }

private:
    std::atomic<std::size_t>& in_flight_;
    load_history& history_;
    std::size_t concurrency_;
};

/// Remaining time from the request's `endive-timeout-ms` header; empty without the header.
std::optional<endive::milliseconds> timeout_of(const request& incoming) {
    const auto text = incoming.header("endive-timeout-ms");
    if (text.empty()) {
        return std::nullopt;
    }
    return endive::milliseconds{std::stoll(text)};
}

/// Body content that depends on request id and position, so that the checks detect a body that is truncated,
/// shifted or from another request.
std::string body_of_size(const std::string& id, std::size_t size) {
    std::string body;
    body.reserve(size + 16);
    for (std::uint64_t block = 0; body.size() < size; ++block) {
        body += endive::to_hex(endive::stable_hash(id, block));
    }
    body.resize(size);
    return body;
}

/// Waits until `end` or until the client disconnects; returns whether it disconnected.
bool client_disconnects_before(const request& incoming, endive::time_point end) {
    for (auto now = clock::now(); now < end; now = clock::now()) {
        const auto left = std::chrono::duration_cast<endive::milliseconds>(end - now);
        if (left < 1ms) {
            std::this_thread::sleep_until(end);
        } else if (incoming.wait_for_disconnect(static_cast<int>(left.count()))) {
            return true;
        }
    }
    return false;
}

} // namespace

void load_history::record(endive::time_point now, std::size_t in_flight) {
    const std::lock_guard lock{mutex_};
    samples_.emplace_back(now, in_flight);
    while (samples_.front().first < now - load_history_length) {
        samples_.pop_front();
    }
}

std::size_t load_history::at(endive::time_point time) const {
    const std::lock_guard lock{mutex_};
    std::size_t value = 0;
    for (const auto& [when, in_flight] : samples_) {
        if (when > time) {
            break;
        }
        value = in_flight;
    }
    return value;
}

bool backend::draining_at(endive::time_point time) const {
    const auto since = draining_since_.load();
    return since != 0 && time.time_since_epoch().count() >= since;
}

reply backend::handle(const request& incoming) {
    const auto path = incoming.path();
    if (path == "/health") {
        return health();
    }
    if (path == "/load") {
        return load();
    }
    if (path.starts_with("/test/")) {
        return handle_test(incoming, path);
    }
    const auto timeout = timeout_of(incoming);
    const in_flight_guard slot{in_flight_, load_history_};
    const auto concurrency = slot.concurrency();
    const bool expired = timeout && *timeout <= 0ms;
    const bool full = concurrency > static_cast<std::size_t>(settings_.slots);
    return full || expired || draining_at(clock::now()) ? shed() : execute(incoming, path, concurrency);
}

reply backend::handle_test(const request& incoming, const std::string& path) {
    if (path == "/test/ledger" && incoming.method() == "GET") {
        return json_reply(200, {{"entries", ledger_.entries(incoming.query("id"))}});
    }
    if (path == "/test/stats" && incoming.method() == "GET") {
        return stats();
    }
    if (path == "/test/faults" && incoming.method() == "PUT") {
        faults_.replace(json::parse(incoming.body()), clock::now());
        return json_reply(200, json::object());
    }
    return {404};
}

reply backend::stats() const {
    json body{{"executed", 0}, {"completed", 0}, {"cancelled", 0}, {"shed", 0}};
    for (const auto& [name, count] : counters_.values()) {
        body[name] = count;
    }
    body["in_flight"] = in_flight_.load();
    body["max_in_flight"] = max_in_flight_.load();
    return json_reply(200, body);
}

reply backend::health() const {
    const auto reports = faults_.reports();
    const auto time = clock::now() - reports.health_lag;
    bool healthy = !faults_.unhealthy_at(time) && !draining_at(time);
    if (reports.health != "truth") {
        healthy = reports.health == "ok";
    }
    return json_reply(healthy ? 200 : 503, {{"status", healthy ? "ok" : "failing"}});
}

reply backend::load() const {
    const auto reports = faults_.reports();
    const auto in_flight =
        reports.load_lag > 0ms ? load_history_.at(clock::now() - reports.load_lag) : in_flight_.load();
    const auto ratio = static_cast<double>(in_flight) / static_cast<double>(settings_.slots);
    return json_reply(200, {{"load", reports.load.value_or(ratio)}, {"slots", settings_.slots}});
}

reply backend::shed() {
    counters_.add("shed");
    auto answer = json_reply(503, {{"error", "no free slot"}});
    answer.headers["endive-outcome"] = "not-run";
    return answer;
}

reply backend::execute(const request& incoming, const std::string& path, std::size_t concurrency) {
    auto seen = max_in_flight_.load();
    while (seen < concurrency && !max_in_flight_.compare_exchange_weak(seen, concurrency)) {
    }
    counters_.add("executed");
    execution started;
    started.id = incoming.header("endive-test-id");
    started.method = incoming.method();
    started.path = path;
    started.idempotency_key = incoming.header("idempotency-key");
    started.started_unix_ms = endive::to_unix_ms(std::chrono::system_clock::now());
    const auto entry = ledger_.start(std::move(started));

    const auto plan = faults_.decide(path, concurrency, clock::now());
    const auto end = run(incoming, path, concurrency, plan);
    if (end == wait_end::elapsed) {
        return finish(incoming, entry, plan);
    }
    counters_.add("cancelled");
    ledger_.finish(entry, execution_state::cancelled, 0);
    return json_reply(504, {{"error", "deadline exceeded"}});
}

backend::wait_end backend::run(const request& incoming, const std::string& path, std::size_t concurrency,
                               const execution_plan& plan) {
    const auto start = clock::now();
    const auto timeout = timeout_of(incoming);
    const auto deadline = timeout ? start + *timeout : endive::time_point::max();
    while (plan.freeze && faults_.frozen(path, concurrency, clock::now())) {
        if (client_disconnects_before(incoming, clock::now() + freeze_check_interval)) {
            return wait_end::client_gone;
        }
        if (clock::now() >= deadline) {
            return wait_end::deadline;
        }
    }
    const bool cold = start - started_ < endive::milliseconds{settings_.cold_start_ms};
    const auto factor = plan.slowdown * (cold ? settings_.cold_start_slowdown : 1.0);
    const std::chrono::duration<double, std::milli> service_time{settings_.service_time_ms * factor};
    const auto end = clock::now() + std::chrono::duration_cast<endive::duration>(service_time);
    if (client_disconnects_before(incoming, std::min(end, deadline))) {
        return wait_end::client_gone;
    }
    return end > deadline ? wait_end::deadline : wait_end::elapsed;
}

reply backend::finish(const request& incoming, std::size_t entry, const execution_plan& plan) {
    auto answer = response_to(incoming);
    if (plan.fail_status != 0) {
        answer.status = plan.fail_status;
    }
    counters_.add("completed");
    ledger_.finish(entry, execution_state::completed, answer.status);
    if (plan.drop) {
        incoming.cut();
    } else if (plan.cut) {
        answer.cut_after = answer.body.size() / 2;
    }
    return answer;
}

reply backend::response_to(const request& incoming) const {
    const auto id = incoming.header("endive-test-id");
    const auto size = incoming.header("endive-test-size");
    const auto digest = endive::to_hex(endive::stable_hash(incoming.body()));
    reply answer;
    if (size.empty()) {
        answer = json_reply(200, {{"id", id},
                                  {"service", settings_.service},
                                  {"version", settings_.version},
                                  {"request_digest", digest}});
    } else {
        answer.body = body_of_size(id, std::min<std::size_t>(std::stoul(size), max_response_bytes));
    }
    answer.headers["endive-test-id"] = id;
    answer.headers["endive-test-service"] = settings_.service;
    answer.headers["endive-test-version"] = settings_.version;
    answer.headers["endive-test-request-digest"] = digest;
    answer.headers["endive-test-checksum"] = endive::to_hex(endive::stable_hash(answer.body));
    return answer;
}

} // namespace stand_in
