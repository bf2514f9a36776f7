#pragma once
// All daemons that this one knows: what they say of themselves, links to them, load of their endpoints.

#include "sidecar/endpoint_service.h"
#include "sidecar/peer_link.h"
#include "sidecar/settings.h"

namespace endive::sidecar {

/// A daemon as seen from here.
struct peer {
    mesh::member about;
    std::shared_ptr<peer_link> link; ///< null while none is open
    mesh::endpoint_load load;
    time_point load_at{};
    std::uint32_t sent_since_load = 0;
    std::uint32_t failures = 0; ///< in a row, of requests sent there
    mesh::refusal_cache refusals;
    time_point next_dial{};
    duration dial_pause{0};
    bool dialing = false;
    std::optional<time_point> unreachable_since;
};

/// Not thread safe.
class peer_set final : public peer_events {
public:
    struct handlers {
        std::function<void(const mesh::store_row&)> row;
        std::function<void(const mesh::member&)> member_news;
        std::function<void(const std::string& daemon, std::int64_t start,
                           std::vector<mesh::version_evidence>)>
            evidence;
        std::function<void(const std::string& daemon, const mesh::rollout_progress&)> progress;
        /// Rows that the daemon keeps in common with all others, without their values.
        std::function<std::vector<mesh::store_row>()> heads;
        /// How long the store may take to deliver a row that others have, before a peer is asked.
        std::function<duration()> fetch_delay;
    };
    peer_set(boost::asio::io_context& loop, const clock_source& clock, const sidecar_settings& settings,
             counter_set& counters, endpoint_service& local, const mesh::row_replica& rows,
             handlers callbacks);

    /// What this daemon says of itself; sent to all links.
    void set_self(const mesh::member& self);
    [[nodiscard]] const mesh::member& self() const { return self_; }
    /// A daemon that another one or the store told of.
    void learn(const mesh::member& about);
    /// Tells all daemons of a small row that this one wrote.
    void spread(const mesh::store_row& row);
    /// Tells the daemons of this failure domain; a change of `accepting` goes to all.
    void spread_load(const mesh::endpoint_load& load, bool to_all);
    void send_evidence(const std::string& daemon, const std::vector<mesh::version_evidence>& counters);
    void spread_progress(const std::vector<mesh::rollout_progress>& moves);
    /// Compares rows with a few other daemons, drawn by `random`: a daemon that the store does not answer
    /// learns of changes from them.
    void compare_rows(std::uint64_t random);
    [[nodiscard]] std::map<std::string, peer>& peers() { return peers_; }
    [[nodiscard]] const std::map<std::string, peer>& peers() const { return peers_; }
    [[nodiscard]] peer* find(const std::string& daemon);
    /// Dials, pings, forgets. Call every 100 ms or so.
    void tick(time_point now);
    [[nodiscard]] std::size_t link_count() const;
    /// Daemons that were unreachable for so long that their rows may go.
    [[nodiscard]] std::vector<mesh::member> long_gone(time_point now) const;
    void forget(const std::string& daemon) { peers_.erase(daemon); }

    void on_announce(const std::shared_ptr<peer_link>& link, announce_message message) override;
    void on_fetch(const std::shared_ptr<peer_link>& link, const fetch_message& message) override;
    void on_load(const std::shared_ptr<peer_link>& link, const mesh::endpoint_load& load) override;
    void on_down(const std::shared_ptr<peer_link>& link) override;

private:
    void dial(peer& entry);
    void adopt(std::shared_ptr<stream> connection);
    void greet(peer_link& link);
    enum class audience : std::uint8_t { all, own_domain };
    void broadcast(const peer_message& message, audience to = audience::all);
    void note_missing(const std::string& daemon, const std::vector<mesh::store_row>& heads);
    void fetch_missing(time_point now);

    boost::asio::io_context& loop_;
    const clock_source& clock_;
    counter_set& counters_;
    endpoint_service& local_;
    const mesh::row_replica& rows_;
    handlers callbacks_;
    mesh::member self_;
    std::map<std::string, peer> peers_;
    std::set<std::shared_ptr<peer_link>> links_;
    mesh::missing_rows missing_;
    listener listener_;
};

} // namespace endive::sidecar
