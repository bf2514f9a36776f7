#include "callers/call_runner.h"

#include <algorithm>
#include <cerrno>
#include <cstring>
#include <sys/socket.h>

namespace endive::callers {
namespace {

// The connection of the first attempt is considered silent when the hedge was faster by this factor.
constexpr int silent_latency_factor = 4;
constexpr milliseconds min_silent_wait{50};
// Time after which a hedge that the retry budget refused is requested again.
constexpr milliseconds hedge_retry_interval{20};
// Maximum wait before deadlines and the other attempt are checked again.
constexpr milliseconds max_wait{100};

[[nodiscard]] caller_reply reply_of(const backends::response_head& head) {
    caller_reply reply;
    reply.status = head.status;
    reply.headers = head.headers;
    return reply;
}

} // namespace

/// Forwards a large response while it is being received.
class call_runner::response_stream final : public body_stream {
public:
    response_stream(call_environment& environment, call_context context, std::unique_ptr<attempt> source)
        : runner_{environment, std::move(context)}, environment_{environment}, source_{std::move(source)},
          head_latency_{environment.clock.now() - source_->began} {}
    ~response_stream() override {
        if (!ended_) {
            source_->exchange->cancel();
            environment_.counters.add("calls.cancelled");
            end();
        }
    }

    std::int64_t read(char* out, std::size_t max) override {
        while (offset_ == chunk_.size()) {
            chunk_ = source_->exchange->take_body();
            offset_ = 0;
            if (!chunk_.empty()) {
                break;
            }
            if (ended_) {
                return complete_ ? 0 : -1;
            }
            if (source_->exchange->step()) {
                end();
            } else if (source_->exchange->buffered() == 0) {
                source_->exchange->wait(max_wait, nullptr, -1);
            }
        }
        const auto count = std::min(max, chunk_.size() - offset_);
        std::memcpy(out, chunk_.data() + offset_, count);
        offset_ += count;
        return static_cast<std::int64_t>(count);
    }

private:
    void end() {
        ended_ = true;
        const auto result = source_->exchange->result();
        const auto verdict = calls::classify(result);
        complete_ = result.transport == calls::transport_result::answered;
        if (result.transport == calls::transport_result::truncated) {
            environment_.counters.add("calls.truncated");
        }
        runner_.context_.service->finish(source_->slot, {verdict.outcome, head_latency_});
        runner_.observe(*source_, verdict.outcome, head_latency_);
    }

    call_runner runner_;
    call_environment& environment_;
    std::unique_ptr<attempt> source_;
    duration head_latency_;
    std::string chunk_;
    std::size_t offset_ = 0;
    bool ended_ = false;
    bool complete_ = false;
};

duration call_runner::time_until(time_point when) const {
    return std::max(duration{0}, when - environment_.clock.now());
}

backends::backend_request call_runner::make_request(bool fresh) const {
    backends::backend_request request;
    request.method = context_.request->method;
    request.target = context_.request->target;
    request.body = context_.request->body;
    request.idempotent = context_.idempotent;
    request.fresh_connection = fresh;
    request.deadline = context_.deadline;
    request.headers = forwarded_headers(context_.request->headers);
    const auto remaining = std::chrono::duration_cast<milliseconds>(time_until(context_.deadline));
    request.headers.push_back({"endive-timeout-ms", std::to_string(remaining.count())});
    request.headers.push_back({"endive-depth", std::to_string(context_.headers.depth + 1)});
    const auto attempt_number = context_.headers.attempt + attempts_;
    request.headers.push_back({"endive-attempt", std::to_string(attempt_number)});
    return request;
}

std::unique_ptr<call_runner::attempt> call_runner::start(reservation slot, bool fresh, bool hedge) {
    auto result = std::make_unique<attempt>();
    const auto share = std::floor(config::usable_connection_ratio * slot.endpoint.connections /
                                  std::max(1U, context_.live_daemons));
    const bool by_relay = environment_.relay != nullptr && share < 2 && !slot.endpoint.relay.empty();
    backends::transport& transport =
        by_relay ? *environment_.relay : static_cast<backends::transport&>(environment_.direct);
    tried_.push_back(slot.endpoint.address);
    result->began = environment_.clock.now();
    result->hedge = hedge;
    result->exchange = transport.start(slot.endpoint, make_request(fresh));
    result->slot = std::move(slot);
    ++attempts_;
    return result;
}

bool call_runner::caller_disconnected() {
    if (!watch_caller_ || context_.request->socket < 0) {
        return false;
    }
    char byte = 0;
    const auto count = ::recv(context_.request->socket, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0) {
        watch_caller_ = false; // a pipelined request hides a disconnect
    }
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

bool call_runner::is_decided(const attempt& candidate) const {
    return candidate.exchange->has_head() && candidate.exchange->buffered() >= environment_.stream_threshold;
}

std::unique_ptr<call_runner::attempt> call_runner::start_hedge(const attempt& primary) {
    if (!context_.service->take_retry_token()) {
        environment_.counters.add("calls.refused_hedge_budget");
        return nullptr;
    }
    hedged_ = true;
    auto slot = context_.service->reserve_another(primary.slot.version, tried_, context_.idempotent);
    if (!slot) {
        slot = context_.service->reserve_another(primary.slot.version, {}, context_.idempotent);
    }
    if (!slot) {
        return nullptr;
    }
    environment_.counters.add("calls.hedged");
    return start(std::move(*slot), true, true);
}

void call_runner::cancel_loser(attempt& loser, const attempt& winner) {
    const auto now = environment_.clock.now();
    const duration waited = now - loser.began;
    const duration needed = now - winner.began;
    const bool silent = !loser.exchange->has_head() && !loser.hedge &&
                        waited > std::max<duration>(min_silent_wait, needed * silent_latency_factor);
    loser.exchange->cancel();
    if (silent) {
        environment_.direct.mark_silent(loser.slot.endpoint.address);
    }
    // A first attempt that has no response head when its hedge wins counts as a timeout of its endpoint.
    // Otherwise hedges would hide an endpoint that never answers, and it would not be ejected.
    const bool overtaken = winner.hedge && !loser.exchange->has_head();
    const auto outcome = silent ? model::call_outcome::timeout : model::call_outcome::cancelled;
    context_.service->finish(loser.slot, {overtaken ? model::call_outcome::timeout : outcome, waited});
    observe(loser, outcome, waited);
    if (winner.hedge) {
        environment_.counters.add("calls.hedge_won");
    }
}

/// Returns the attempt that ended or started to stream; `decided` is true for one that streams.
std::unique_ptr<call_runner::attempt> call_runner::drive(std::unique_ptr<attempt> primary, bool& decided) {
    std::unique_ptr<attempt> hedge;
    const auto delay =
        calls::hedge_delay(context_.idempotent && environment_.hedging, context_.headers.attempt,
                           primary->slot.high_latency, time_until(context_.deadline));
    auto hedge_at = primary->began + delay.value_or(duration{0});
    const auto select_winner = [&](std::unique_ptr<attempt>& winner, std::unique_ptr<attempt>& loser) {
        if (loser) {
            cancel_loser(*loser, *winner);
        }
        return std::move(winner);
    };
    while (true) {
        for (auto* current : {&primary, &hedge}) {
            auto& other = current == &primary ? hedge : primary;
            if (!*current) {
                continue;
            }
            const bool ended = (*current)->exchange->step();
            if (ended) {
                const auto verdict = calls::classify((*current)->exchange->result());
                const bool answers =
                    verdict.code == result_code::ok && verdict.outcome != model::call_outcome::shed;
                if (answers || !other) {
                    decided = false;
                    return select_winner(*current, other);
                }
                // The other attempt may still succeed.
                (void)finish(**current);
                current->reset();
            } else if (is_decided(**current)) {
                decided = true;
                return select_winner(*current, other);
            }
        }
        if (!primary) {
            std::swap(primary, hedge);
        }
        if (caller_disconnected()) {
            cancelled_ = true;
            if (hedge) {
                cancel_loser(*hedge, *primary);
            }
            primary->exchange->cancel();
            decided = false;
            return primary;
        }
        const bool may_hedge = delay && !hedged_ && !primary->exchange->has_head();
        if (may_hedge && time_until(hedge_at) == duration{0}) {
            hedge = start_hedge(*primary);
            hedge_at = environment_.clock.now() + std::max<duration>(*delay, hedge_retry_interval);
            continue;
        }
        const auto limit =
            may_hedge ? std::min<duration>(max_wait, time_until(hedge_at)) : duration{max_wait};
        primary->exchange->wait(limit, hedge ? hedge->exchange.get() : nullptr,
                                watch_caller_ ? context_.request->socket : -1);
    }
}

void call_runner::observe(const attempt& ended, model::call_outcome outcome, duration latency) {
    environment_.observations.on_call({context_.service_name, ended.slot.version, context_.route,
                                       context_.idempotent, outcome, latency, ended.slot.cold,
                                       ended.exchange->result().opened_connection});
}

call_runner::attempt_end call_runner::finish(attempt& ended) {
    const auto result = ended.exchange->result();
    const auto verdict = calls::classify(result);
    const duration latency = environment_.clock.now() - ended.began;
    context_.service->finish(ended.slot, {verdict.outcome, latency});
    observe(ended, verdict.outcome, latency);
    return {verdict, result};
}

std::unique_ptr<call_runner::attempt> call_runner::reserve_retry(const attempt& failed,
                                                                 const attempt_end& end) {
    calls::retry_context retry;
    retry.idempotent = context_.idempotent;
    retry.caller_attempt = context_.headers.attempt;
    retry.attempts_made = attempts_;
    retry.executed = end.verdict.executed;
    retry.from_deeper_layer = end.result.from_deeper_layer;
    retry.remaining = time_until(context_.deadline);
    retry.service_time = failed.slot.typical_latency;
    if (cancelled_ || !calls::may_retry(retry)) {
        return nullptr;
    }
    if (!context_.service->take_retry_token()) {
        environment_.counters.add("calls.refused_retry_budget");
        return nullptr;
    }
    auto slot = context_.service->reserve_another(failed.slot.version, tried_, context_.idempotent);
    const bool shed = end.verdict.outcome == model::call_outcome::shed;
    if (!slot && !shed) {
        slot = context_.service->reserve_another(failed.slot.version, {}, context_.idempotent);
    }
    if (!slot) {
        return nullptr;
    }
    const auto reason = shed ? std::string_view{"shed"} : to_string(end.verdict.code);
    environment_.counters.add("calls.retried." + std::string{reason});
    return start(std::move(*slot), true, false);
}

call_end call_runner::make_end(std::unique_ptr<attempt> winner) {
    call_end result;
    result.reply = reply_of(winner->exchange->head());
    result.reply.body = winner->exchange->take_body();
    return result;
}

call_end call_runner::run(reservation first) {
    auto current = start(std::move(first), false, false);
    while (true) {
        bool decided = false;
        current = drive(std::move(current), decided);
        if (decided) {
            const auto& framing = current->exchange->head().framing;
            call_end result;
            result.reply = reply_of(current->exchange->head());
            result.reply.stream_length = framing.chunked ? std::nullopt : framing.content_length;
            result.reply.stream =
                std::make_unique<response_stream>(environment_, context_, std::move(current));
            result.streamed = true;
            return result;
        }
        const auto end = finish(*current);
        auto retry = reserve_retry(*current, end);
        if (retry) {
            current = std::move(retry);
            continue;
        }
        if (end.verdict.code == result_code::ok) {
            auto result = make_end(std::move(current));
            result.executed = end.verdict.executed;
            return result;
        }
        return {end.verdict.code, end.verdict.executed, {}, false};
    }
}

} // namespace endive::callers
