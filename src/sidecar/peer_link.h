#pragma once
// A link to another daemon: calls both ways over one TCP connection, beliefs, and liveness.

#include "sidecar/call_target.h"
#include "sidecar/stream.h"

#include <map>

namespace endive::sidecar {

class peer_link;

/// Receives what arrives on links.
class peer_events {
public:
    peer_events() = default;
    peer_events(const peer_events&) = delete;
    peer_events& operator=(const peer_events&) = delete;
    virtual ~peer_events() = default;
    /// The first announcement of each side names itself as its first member.
    virtual void on_announce(const std::shared_ptr<peer_link>& link, announce_message message) = 0;
    virtual void on_fetch(const std::shared_ptr<peer_link>& link, const fetch_message& message) = 0;
    virtual void on_load(const std::shared_ptr<peer_link>& link, const mesh::endpoint_load& load) = 0;
    virtual void on_down(const std::shared_ptr<peer_link>& link) = 0;
};

/// Not thread safe.
class peer_link final : public call_target, public std::enable_shared_from_this<peer_link> {
public:
    /// `local` runs the calls that the other daemon sends; it outlives the link.
    peer_link(std::shared_ptr<stream> connection, const clock_source& clock, call_target& local,
              peer_events& events);
    void start();

    std::uint64_t execute(call_message call, reply_handler done) override;
    void cancel(std::uint64_t id) override;
    void send(const peer_message& message);
    /// Counts the bytes sent by kind of message under this prefix.
    void count_bytes(counter_set& counters, std::string prefix) {
        counters_ = &counters;
        counter_prefix_ = std::move(prefix);
    }
    /// Sends a frame that several links share.
    void send_frame(const std::shared_ptr<const std::string>& frame, std::string_view kind);

    /// Name of the other daemon; empty until its first announcement.
    [[nodiscard]] const std::string& daemon() const { return daemon_; }
    [[nodiscard]] std::int64_t daemon_start() const { return daemon_start_; }
    void set_daemon(const mesh::member& about) {
        daemon_ = about.daemon;
        daemon_start_ = about.daemon_start_unix_ms;
    }
    [[nodiscard]] bool is_open() const { return connection_->is_open(); }
    /// Nothing has arrived for a while though something was expected.
    [[nodiscard]] bool is_suspect(time_point now) const;
    /// Pings when quiet; closes the link when the other side is silent. Call every 100 ms or so.
    void tick(time_point now);
    void close();

private:
    void on_data(std::string_view bytes);
    void on_message(peer_message message);
    void on_call(call_message call);
    void end();

    std::shared_ptr<stream> connection_;
    const clock_source& clock_;
    call_target& local_;
    peer_events& events_;
    frame_decoder decoder_{max_message_bytes};
    std::string daemon_;
    std::int64_t daemon_start_ = 0;
    std::uint64_t next_stream_ = 1;
    std::map<std::uint64_t, reply_handler> pending_; ///< calls sent
    std::map<std::uint64_t, std::uint64_t> serving_; ///< calls received: stream, local id
    time_point last_heard_;
    std::optional<time_point> pinged_;
    bool ended_ = false;
    counter_set* counters_ = nullptr;
    std::string counter_prefix_;
};

} // namespace endive::sidecar
