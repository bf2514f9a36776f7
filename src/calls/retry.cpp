#include "endive/calls.h"

namespace endive::calls {
namespace {

// On loopback and local networks, hedging earlier than this costs more than it saves.
constexpr duration min_hedge_delay = milliseconds{5};
// Hedge delay while the tail latency is unknown.
constexpr duration default_hedge_delay = milliseconds{250};

} // namespace

void retry_budget::on_request() {
    tokens_ = std::min(burst_, tokens_ + ratio_);
}

bool retry_budget::take() {
    if (tokens_ < 1.0) {
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

bool may_retry(const retry_context& context) {
    if (context.caller_attempt > 1 || context.from_deeper_layer) {
        return false;
    }
    if (context.attempts_made >= max_attempts || context.remaining <= context.service_time) {
        return false;
    }
    switch (context.executed) {
    case execution::not_run:
        return true;
    case execution::unknown:
        return context.idempotent;
    case execution::ran:
        return false;
    }
    return false;
}

std::optional<duration> hedge_delay(bool idempotent, std::uint32_t caller_attempt, duration tail_latency,
                                    duration remaining) {
    if (!idempotent || caller_attempt > 1) {
        return std::nullopt;
    }
    const auto delay =
        tail_latency == duration{0} ? default_hedge_delay : std::max(min_hedge_delay, tail_latency);
    if (delay >= remaining) {
        return std::nullopt;
    }
    return delay;
}

connection_use decide_use(const connection_record& record, bool idempotent, time_point suspect_before,
                          time_point now) {
    const duration idle = now - record.last_response;
    const duration max_idle =
        idempotent ? duration{config::silent_connection_timeout} : duration{config::fresh_connection_age};
    if (idle > max_idle || record.last_response < suspect_before) {
        return connection_use::replace;
    }
    return connection_use::reuse;
}

} // namespace endive::calls
