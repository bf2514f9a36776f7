#pragma once
// All known peer daemons: their member records, the links to them and the load of their endpoints.

#include "sidecar/endpoint_service.h"
#include "sidecar/peer_link.h"
#include "sidecar/settings.h"

namespace endive::sidecar {

/// A peer daemon as known to this daemon.
struct peer {
    mesh::member about;
    /// The last record in which its endpoint was leaving. A daemon that restarts while the store is away
    /// learns of it from its peers.
    std::optional<mesh::member> departure;
    std::shared_ptr<peer_link> link; ///< null while not connected
    mesh::endpoint_load load;
    time_point load_time{};
    std::uint32_t sent_since_load = 0;
    duration work_since_load{0}; ///< expected work of the requests of `sent_since_load`
    std::uint32_t failures = 0;  ///< consecutive failures of requests sent to it
    mesh::refusal_cache refusals;
    time_point next_dial{};
    duration dial_backoff{0};
    bool dialing = false;
    std::weak_ptr<peer_link> greeting; ///< a dialed connection without an announcement so far
    time_point greeting_since{};
    std::optional<time_point> unreachable_since;
};

/// Not thread safe.
class peer_set final : public peer_events {
public:
    struct handlers {
        /// A row from a peer; `via` is the delta that it was made with, if any.
        std::function<void(const mesh::store_row&, const mesh::row_delta* via)> row;
        std::function<void(const mesh::member&)> member_update;
        std::function<void(const std::string& daemon, std::int64_t start,
                           std::vector<mesh::version_evidence>)>
            evidence;
        std::function<void(const std::string& daemon, const mesh::rollout_progress&)> progress;
        /// Heads of the rows that are replicated between all daemons.
        std::function<std::vector<mesh::store_row>()> heads;
        /// Time that the store has to deliver a row that peers hold before it is requested from a peer.
        std::function<mesh::missing_rows::store_timeouts()> store_timeouts;
        /// A daemon in the same failure domain reports whether its reads of the store succeed.
        std::function<void(const std::string& daemon, bool reading)> reading;
        std::function<void(const std::string& daemon, const ping_message& answer)> ping_answer;
        /// What this daemon answers to pings.
        std::function<std::optional<key_proof>()> own_proof;
        std::function<void(const std::shared_ptr<peer_link>& link, const quota_message&)> quota{};
    };
    peer_set(boost::asio::io_context& loop, const clock_source& clock, const sidecar_settings& settings,
             counter_set& counters, endpoint_service& local, const mesh::row_replica& rows,
             const mesh::row_changes& changes, handlers callbacks);

    /// Sets the member record of this daemon and broadcasts it to all peers.
    void set_self(const mesh::member& self);
    [[nodiscard]] const mesh::member& self() const { return self_; }
    /// Handles a member record received from a peer or the store. Throws `error` with `platform_bad_answer`
    /// when its address cannot be dialed.
    void update_member(const mesh::member& about);
    /// Broadcasts a small row that this daemon wrote to all peers.
    void publish_row(const mesh::store_row& row);
    /// Broadcasts within the failure domain that this daemon has a new version of a row that it read from the
    /// store; `change` may be null. Peers with the previous version need nothing more.
    void publish_change(const mesh::store_row& row, const mesh::row_delta* change);
    /// Broadcasts within the failure domain whether this daemon's reads of the store succeed.
    void publish_reading(bool reading);
    /// Broadcasts the load to the peers in this failure domain, or to all peers with `to_all`, which is for
    /// changes of `accepting` and for endpoints that accept no more work.
    void publish_load(const mesh::endpoint_load& load, bool to_all);
    void send_evidence(const std::string& daemon, const std::vector<mesh::version_evidence>& counters);
    void publish_progress(const std::vector<mesh::rollout_progress>& moves);
    /// Sends the heads of this daemon's rows to a few peers selected by `random`, so that a daemon without
    /// access to the store receives changes from its peers.
    void compare_rows(std::uint64_t random);
    [[nodiscard]] std::map<std::string, peer>& peers() { return peers_; }
    [[nodiscard]] const std::map<std::string, peer>& peers() const { return peers_; }
    [[nodiscard]] peer* find(const std::string& daemon);
    /// Connects to peers without a link, checks the links and requests missing rows. Call about every 100 ms.
    void tick(time_point now);
    [[nodiscard]] std::size_t link_count() const;
    /// Checks the links on which nothing was received lately.
    void verify_links(time_point now);
    /// The peers that do not stop; reachable are those with a link on which something was received since.
    [[nodiscard]] mesh::reachability heard_since(time_point since) const;
    /// Charges what the links hold to `memory`. Call before the first link.
    void set_memory(const process_memory& memory);
    /// True when replies to other daemons wait in such a number that further ones should wait at the
    /// endpoint.
    [[nodiscard]] bool is_congested() const { return buffers_.sending->total() > buffers_.max_queued_bytes; }
    /// Adds the bytes received on links that are opened from now on to `total`.
    void count_received(std::shared_ptr<std::uint64_t> total) { received_total_ = std::move(total); }
    /// Open connections to peers, including retired and redundant ones.
    [[nodiscard]] std::size_t connection_count() const { return links_.size(); }
    /// True while a link has a reply that the other daemon has not acknowledged.
    [[nodiscard]] bool has_undelivered_replies() const;
    /// Daemons that have been unreachable for so long that their rows may be removed. On the smaller side of
    /// a partition the others are not taken for gone before a long time has passed.
    [[nodiscard]] std::vector<mesh::member> expired_members(time_point now) const;
    void remove_member(const std::string& daemon) { peers_.erase(daemon); }

    void on_announce(const std::shared_ptr<peer_link>& link, announce_message message) override;
    void on_fetch(const std::shared_ptr<peer_link>& link, const fetch_message& message) override;
    void on_load(const std::shared_ptr<peer_link>& link, const mesh::endpoint_load& load) override;
    void on_quota(const std::shared_ptr<peer_link>& link, const quota_message& message) override;
    void on_unverified(const std::shared_ptr<peer_link>& link) override;
    void on_retired(const std::shared_ptr<peer_link>& link) override;
    void on_down(const std::shared_ptr<peer_link>& link) override;
    void on_ping_answer(const std::shared_ptr<peer_link>& link, const ping_message& answer) override {
        callbacks_.ping_answer(link->daemon(), answer);
    }
    [[nodiscard]] std::optional<key_proof> own_proof() const override { return callbacks_.own_proof(); }

private:
    void dial(peer& entry);
    std::shared_ptr<peer_link> add_link(std::shared_ptr<stream> connection);
    void limit_buffered();
    [[nodiscard]] bool dials_first(const peer& entry) const;
    [[nodiscard]] bool awaits_greeting(const peer& entry, time_point now) const;
    void send_hello(peer_link& link);
    void remind_of_departure(peer_link& link, const mesh::member& own);
    bool identify(peer_link& link, const std::vector<mesh::member>& members);
    void close_links_before(const peer_link& link);
    void replace_link(const std::shared_ptr<peer_link>& link);
    enum class audience : std::uint8_t { all, own_domain };
    void broadcast(const peer_message& message, audience to = audience::all);
    void on_row(const std::string& daemon, const mesh::store_row& row, const mesh::row_delta* via);
    void on_deltas(const std::string& daemon, std::span<const mesh::row_delta> deltas);
    void record_missing(const std::string& daemon, const std::vector<mesh::store_row>& heads);
    void fetch_missing(time_point now);

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    bool first_start_;
    std::size_t max_buffered_bytes_;
    link_buffers buffers_;
    counter_set& counters_;
    endpoint_service& local_;
    const mesh::row_replica& rows_;
    const mesh::row_changes& changes_;
    handlers callbacks_;
    mesh::member self_;
    std::map<std::string, peer> peers_;
    std::set<std::shared_ptr<peer_link>> links_;
    mesh::missing_rows missing_;
    row_packer packer_;
    std::shared_ptr<std::uint64_t> received_total_;
    listener listener_;
};

} // namespace endive::sidecar
