#pragma once
// A link to another daemon over one TCP connection: calls in both directions, state announcements and
// liveness checks.

#include "sidecar/call_target.h"
#include "sidecar/stream.h"

#include <map>

namespace endive::sidecar {

class peer_link;

/// Receives the events of links.
class peer_events {
public:
    peer_events() = default;
    peer_events(const peer_events&) = delete;
    peer_events& operator=(const peer_events&) = delete;
    virtual ~peer_events() = default;
    /// The first announcement from each side has the sender itself as its first member.
    virtual void on_announce(const std::shared_ptr<peer_link>& link, announce_message message) = 0;
    virtual void on_fetch(const std::shared_ptr<peer_link>& link, const fetch_message& message) = 0;
    virtual void on_load(const std::shared_ptr<peer_link>& link, const mesh::endpoint_load& load) = 0;
    /// A call was not sent because the other daemon did not answer a ping.
    virtual void on_unverified(const std::shared_ptr<peer_link>& link) = 0;
    /// The link has been retired.
    virtual void on_retired(const std::shared_ptr<peer_link>& link) = 0;
    virtual void on_down(const std::shared_ptr<peer_link>& link) = 0;
    virtual void on_quota(const std::shared_ptr<peer_link>& /*link*/, const quota_message& /*message*/) {}
    virtual void on_ping_answer(const std::shared_ptr<peer_link>& /*link*/, const ping_message& /*answer*/) {}
    /// What is answered to a ping beside the answer itself.
    [[nodiscard]] virtual std::optional<key_proof> own_proof() const { return std::nullopt; }
};

/// What the links of a daemon hold, and the bound of one of them.
struct link_buffers {
    std::shared_ptr<byte_account> sending = std::make_shared<byte_account>();   ///< queued by all links
    std::shared_ptr<byte_account> receiving = std::make_shared<byte_account>(); ///< incomplete messages
    std::size_t max_queued_bytes = SIZE_MAX; ///< on one link, for another large reply
};

/// Not thread safe.
class peer_link final : public call_target, public std::enable_shared_from_this<peer_link> {
public:
    /// `local` runs the calls received from the other daemon and must outlive the link.
    peer_link(std::shared_ptr<stream> connection, const clock_source& clock, call_target& local,
              peer_events& events);
    /// Call before `start`. A large reply for which a link has no room is replaced by one with an unknown
    /// outcome.
    void set_buffers(const link_buffers& buffers);
    void start();

    /// On a link that has been silent for a while, the call is sent when the other daemon has answered a
    /// ping. If it does not answer soon, the call ends as not run with reason `peer_silent`.
    std::uint64_t execute(call_message call, reply_handler done) override;
    bool cancel(std::uint64_t id) override;
    void send(const peer_message& message);
    /// Counts the bytes sent for each kind of message in counters with this prefix.
    void count_bytes(counter_set& counters, std::string prefix) {
        counters_ = &counters;
        counter_prefix_ = std::move(prefix);
    }
    /// Sends an encoded frame, which several links may share.
    void send_frame(const std::shared_ptr<const std::string>& frame, std::string_view kind);

    /// Name of the other daemon; empty until its first announcement.
    [[nodiscard]] const std::string& daemon() const { return daemon_; }
    [[nodiscard]] time_point last_received() const { return last_received_; }
    [[nodiscard]] std::int64_t daemon_start() const { return daemon_start_; }
    void set_daemon(const mesh::member& member) {
        daemon_ = member.daemon;
        daemon_start_ = member.daemon_start_unix_ms;
    }
    [[nodiscard]] bool is_open() const { return connection_->is_open(); }
    /// Bytes of a message that is not complete yet.
    [[nodiscard]] std::size_t buffered_bytes() const { return decoder_.buffered(); }
    /// Closes the link because of what the other daemon sent; `why` goes into the log.
    void reject(std::string_view why);
    /// A ping has been unanswered for longer than the suspect timeout.
    [[nodiscard]] bool is_suspect(time_point now) const;
    /// The other daemon has not answered for long, so the link takes no new calls. It stays open until its
    /// calls have ended: the other daemon may only be slow, and closing the link would end runs at both
    /// endpoints.
    [[nodiscard]] bool is_retired() const { return retired_; }
    /// Pings the other daemon unless it was heard from lately.
    void verify(time_point now);
    /// True while a reply to a call of the other daemon has not been acknowledged.
    [[nodiscard]] bool has_undelivered_reply();
    /// Pings an idle link, retires one that no longer answers and closes it some time after its last call.
    /// Call about every 100 ms.
    void tick(time_point now);
    void close();

private:
    void on_data(std::string_view bytes);
    void on_message(peer_message message);
    void on_call(call_message call);
    void send_reply(reply_message reply);
    void ping(time_point now);
    void send_unverified();
    void end_unverified(mesh::reason why);
    void end();

    std::shared_ptr<stream> connection_;
    const clock_source& clock_;
    call_target& local_;
    peer_events& events_;
    frame_decoder decoder_{max_message_bytes};
    byte_charge receiving_;
    std::size_t max_queued_bytes_ = SIZE_MAX;
    std::optional<time_point> incomplete_since_; ///< first byte of a message that is not complete yet
    std::string daemon_;
    std::int64_t daemon_start_ = 0;
    std::uint64_t next_stream_ = 1;
    std::map<std::uint64_t, reply_handler> pending_; ///< calls sent, by stream
    std::map<std::uint64_t, std::uint64_t> serving_; ///< calls received: local id by stream
    struct unverified_call {
        call_message call;
        reply_handler done;
    };
    std::map<std::uint64_t, unverified_call> unverified_; ///< calls that wait for a ping's answer, by stream
    time_point last_received_;
    bool sent_since_received_ = false; ///< pings and their answers do not count
    std::optional<time_point> ping_sent_;
    bool reply_undelivered_ = false;
    bool retired_ = false;
    time_point retired_idle_since_{}; ///< end of the last call or write since the link was retired
    bool ended_ = false;
    counter_set* counters_ = nullptr;
    std::string counter_prefix_;
};

} // namespace endive::sidecar
