#include "sidecar/peer_link.h"

#include "sidecar/events.h"

#include <array>

namespace endive::sidecar {
namespace {

/// Time without received data after which a link with pending calls is pinged. Well above the latency
/// between failure domains.
constexpr duration ping_after_busy = milliseconds{400};
/// Time without received data after which a link is pinged on which something was sent since. If a call is
/// sent on a link that has been silent for longer than `ping_after_busy`, the next tick pings it.
constexpr duration ping_after_sent = milliseconds{5000};
/// The same for an unused link. Each daemon has a link to every other, and most are hardly used.
constexpr duration ping_after_idle = milliseconds{15000};
/// Maximum time from the first byte of a message to the last. No call lasts longer, and a row of the maximum
/// size takes some seconds on a slow link.
constexpr duration message_timeout = std::chrono::seconds{30};
/// A call is sent at once on a link on which something was received within this time. One that may run only
/// once is not sent blindly for as long as a safe one, which can be repeated elsewhere.
constexpr duration verified_for_safe = milliseconds{800};
constexpr duration verified_for_unsafe = milliseconds{300};
/// Time for the answer to a ping before a call that waits for it goes elsewhere.
constexpr duration verify_timeout = milliseconds{150};
/// A link whose ping is unanswered for this long is suspect and avoided for new requests.
constexpr duration suspect_timeout = milliseconds{250};
/// A link whose ping is unanswered for this long is retired. TCP retransmits lost packets after 200 to
/// 400 ms, so the timeout allows for two consecutive retransmissions.
constexpr duration retire_timeout = milliseconds{1500};
/// Time for which a retired link stays open without calls. The other daemon may have sent a call before it
/// learned of the new link, and the last reply may still be on its way.
constexpr duration retired_idle_time = std::chrono::seconds{5};

std::string_view kind_of(const peer_message& message) {
    static constexpr std::array<std::string_view, 7> names{"call",  "cancel", "reply", "announce",
                                                           "fetch", "ping",   "quota"};
    return names.at(message.index());
}

} // namespace

peer_link::peer_link(std::shared_ptr<stream> connection, const clock_source& clock, call_target& local,
                     peer_events& events)
    : connection_{std::move(connection)}, clock_{clock}, local_{local}, events_{events}, last_received_{
                                                                                             clock.now()} {}

void peer_link::set_buffers(const link_buffers& buffers) {
    connection_->charge_queue(buffers.sending);
    receiving_.move_to(buffers.receiving);
    max_queued_bytes_ = buffers.max_queued_bytes;
}

void peer_link::start() {
    connection_->start([self = shared_from_this()](std::string_view bytes) { self->on_data(bytes); },
                       [self = shared_from_this()](stream_end) { self->end(); });
}

std::uint64_t peer_link::execute(call_message call, reply_handler done) {
    const auto id = next_stream_++;
    if (!connection_->is_open()) {
        reply_message lost;
        lost.outcome = mesh::attempt_outcome::not_run;
        lost.why = mesh::reason::peer_lost;
        done(std::move(lost));
        return id;
    }
    call.stream = id;
    const auto now = clock_.now();
    const auto verified_for = call.kind == mesh::request_kind::safe ? verified_for_safe : verified_for_unsafe;
    if (now - last_received_ <= verified_for) {
        pending_[id] = std::move(done);
        send(std::move(call));
    } else {
        unverified_[id] = {std::move(call), std::move(done)};
        verify(now);
    }
    return id;
}

void peer_link::verify(time_point now) {
    if (!ping_sent_ && now - last_received_ > verified_for_unsafe) {
        ping(now);
    }
}

void peer_link::ping(time_point now) {
    ping_sent_ = now;
    send(ping_message{static_cast<std::uint64_t>(now.time_since_epoch().count()), false});
}

void peer_link::send_unverified() {
    for (auto& [id, waiting] : std::exchange(unverified_, {})) {
        pending_[id] = std::move(waiting.done);
        send(std::move(waiting.call));
    }
}

/// Ends the calls that wait for a ping's answer; they were not sent.
void peer_link::end_unverified(mesh::reason why) {
    for (auto& [id, waiting] : std::exchange(unverified_, {})) {
        reply_message unsent;
        unsent.outcome = mesh::attempt_outcome::not_run;
        unsent.why = why;
        waiting.done(std::move(unsent));
    }
}

bool peer_link::cancel(std::uint64_t id) {
    if (unverified_.erase(id) > 0) {
        return true;
    }
    if (pending_.erase(id) > 0) {
        send(cancel_message{id});
    }
    return false;
}

void peer_link::send(const peer_message& message) {
    send_frame(std::make_shared<const std::string>(encode(message)), kind_of(message));
}

void peer_link::send_frame(const std::shared_ptr<const std::string>& frame, std::string_view kind) {
    if (counters_ != nullptr) {
        counters_->add(counter_prefix_ + std::string{kind}, frame->size());
    }
    sent_since_received_ = sent_since_received_ || kind != kind_of(ping_message{});
    connection_->send(frame);
}

bool peer_link::is_suspect(time_point now) const {
    return ping_sent_ && now - *ping_sent_ > suspect_timeout;
}

void peer_link::on_data(std::string_view bytes) {
    const auto self = shared_from_this();
    last_received_ = clock_.now();
    sent_since_received_ = false;
    ping_sent_.reset();
    send_unverified();
    try {
        decoder_.feed(bytes);
        while (!ended_) {
            const auto frame = decoder_.next();
            if (!frame) {
                break;
            }
            incomplete_since_.reset();
            on_message(decode_message(*frame));
        }
    } catch (const error& cause) {
        reject(cause.what());
        return;
    }
    decoder_.release_consumed();
    receiving_.set(decoder_.buffered());
    if (decoder_.buffered() == 0) {
        incomplete_since_.reset();
    } else if (!incomplete_since_) {
        incomplete_since_ = last_received_;
    }
}

void peer_link::reject(std::string_view why) {
    log(event::peer_message_malformed,
        {{"peer", daemon_}, {"buffered_bytes", decoder_.buffered()}, {"reason", why}});
    close();
}

void peer_link::on_message(peer_message message) {
    const auto self = shared_from_this();
    if (auto* call = std::get_if<call_message>(&message)) {
        on_call(std::move(*call));
    } else if (const auto* cancelled = std::get_if<cancel_message>(&message)) {
        const auto found = serving_.find(cancelled->stream);
        if (found != serving_.end()) {
            const auto local_id = found->second;
            serving_.erase(found);
            local_.cancel(local_id);
        }
    } else if (auto* reply = std::get_if<reply_message>(&message)) {
        if (reply->outcome == mesh::attempt_outcome::answered && !is_final_status(reply->status)) {
            reply->outcome = mesh::attempt_outcome::unknown;
            reply->why = mesh::reason::bad_response;
        }
        events_.on_load(self, reply->load);
        const auto found = pending_.find(reply->stream);
        if (found != pending_.end()) {
            const auto done = std::move(found->second);
            pending_.erase(found);
            done(std::move(*reply));
        }
    } else if (auto* announced = std::get_if<announce_message>(&message)) {
        events_.on_announce(self, std::move(*announced));
    } else if (const auto* fetch = std::get_if<fetch_message>(&message)) {
        events_.on_fetch(self, *fetch);
    } else if (const auto* ping = std::get_if<ping_message>(&message)) {
        if (ping->answer) {
            events_.on_ping_answer(self, *ping);
        } else {
            send(ping_message{ping->id, true, events_.own_proof()});
        }
    } else if (const auto* quota = std::get_if<quota_message>(&message)) {
        events_.on_quota(self, *quota);
    }
}

void peer_link::on_call(call_message call) {
    const auto stream_id = call.stream;
    // The reply may arrive before `execute` returns.
    serving_[stream_id] = 0;
    const auto local_id =
        local_.execute(std::move(call), [self = weak_from_this(), stream_id](reply_message reply) {
            const auto link = self.lock();
            if (link && link->serving_.erase(stream_id) > 0) {
                reply.stream = stream_id;
                link->send_reply(std::move(reply));
            }
        });
    const auto found = serving_.find(stream_id);
    if (found != serving_.end()) {
        found->second = local_id;
    }
}

/// The other messages of a link must not wait behind more replies than it can carry, and the request has run:
/// its outcome is reported as unknown.
void peer_link::send_reply(reply_message reply) {
    const bool is_large = reply.body.size() > max_small_message_bytes;
    const auto queued = connection_->queued_bytes();
    if (is_large && queued > 0 && queued + reply.body.size() > max_queued_bytes_) {
        log(event::reply_discarded,
            {{"peer", daemon_}, {"reply_bytes", reply.body.size()}, {"queued_bytes", queued}});
        if (counters_ != nullptr) {
            counters_->add("replies_discarded");
        }
        reply.outcome = mesh::attempt_outcome::unknown;
        reply.why = mesh::reason::memory;
        reply.status = 0;
        reply.headers.clear();
        reply.body = std::string{};
    }
    send(std::move(reply));
    reply_undelivered_ = true;
}

bool peer_link::has_undelivered_reply() {
    reply_undelivered_ = reply_undelivered_ && connection_->is_undelivered();
    return reply_undelivered_;
}

void peer_link::tick(time_point now) {
    if (ended_) {
        return;
    }
    if (!unverified_.empty() && ping_sent_ && now - *ping_sent_ >= verify_timeout) {
        const auto self = shared_from_this();
        end_unverified(mesh::reason::peer_silent);
        events_.on_unverified(self);
    }
    if (incomplete_since_ && now - *incomplete_since_ > message_timeout) {
        reject("incomplete for too long");
        return;
    }
    if (retired_) {
        const bool busy = !pending_.empty() || !serving_.empty() || connection_->sending();
        if (busy) {
            retired_idle_since_ = now;
        } else if (now - retired_idle_since_ > retired_idle_time) {
            close();
            return;
        }
    }
    if (ping_sent_) {
        if (!retired_ && now - *ping_sent_ > retire_timeout) {
            log(event::peer_silent,
                {{"peer", daemon_},
                 {"silent_ms", std::chrono::duration_cast<milliseconds>(now - last_received_).count()},
                 {"open_calls", pending_.size()},
                 {"running", serving_.size()}});
            retired_ = true;
            retired_idle_since_ = now;
            events_.on_retired(shared_from_this());
        }
        return;
    }
    const auto unused = sent_since_received_ ? ping_after_sent : ping_after_idle;
    if (now - last_received_ > (pending_.empty() ? unused : ping_after_busy)) {
        ping(now);
    }
}

void peer_link::close() {
    const auto self = shared_from_this();
    connection_->close();
    end();
}

void peer_link::end() {
    if (std::exchange(ended_, true)) {
        return;
    }
    const auto self = shared_from_this();
    for (const auto& [stream_id, local_id] : std::exchange(serving_, {})) {
        local_.cancel(local_id);
    }
    events_.on_down(self);
    end_unverified(mesh::reason::peer_lost);
    for (auto& [id, done] : std::exchange(pending_, {})) {
        reply_message lost;
        lost.outcome = mesh::attempt_outcome::unknown;
        lost.why = mesh::reason::peer_lost;
        done(std::move(lost));
    }
}

} // namespace endive::sidecar
