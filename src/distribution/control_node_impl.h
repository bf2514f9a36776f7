#pragma once
/// State of a control node. The member functions are defined in control_node.cpp and control_*.cpp.

#include "distribution/acceptance.h"
#include "distribution/config_puller.h"
#include "distribution/convergence_report.h"
#include "distribution/lease.h"
#include "distribution/record_store.h"
#include "distribution/rendezvous.h"
#include "distribution/snapshot_server.h"

#include <set>

namespace endive::distribution {

struct link_state {
    std::uint64_t incarnation = 0;
    bool dialed = false;
    bool heartbeat_received = false; ///< whether the first heartbeat has arrived
    bool closing = false;
    time_point up_since;
    time_point last_received;
    std::array<int, 2> mismatches{}; ///< consecutive heartbeats with a differing digest, by table_kind
    std::optional<time_point> unwanted_since;
};

struct dial_state {
    bool pending = false;
    time_point wanted_since;
    time_point next_attempt;
    backoff delay{std::chrono::milliseconds{250}, std::chrono::seconds{8}};
};

/// Failure detection of one ring neighbour.
struct watch_state {
    time_point since; ///< last message, suspicion or restart of the timer
    int suspicions = 0;
};

/// Determines, at a fresh start or after a pause, the version that the daemon must reach before it is ready.
struct verification {
    bool active = false;
    bool ask_peers = false; ///< the head row is unavailable or names a refused version
    bool from_head = false; ///< `required` comes from the head row
    std::optional<std::uint64_t> required;
    std::uint64_t nonce = 0;
    time_point next_request;
    std::map<member_id, state_answer> answers;
};

struct control_node::impl {
    impl(node_settings given, fault_injection faults);

    // control_node.cpp
    std::vector<action> handle(time_point now, event input);
    void on(tick input);
    void on(const link_up& input);
    void on(const link_down& input);
    void on(message_received input);
    void on(const platform_result& input);
    void on(local_endpoints input);
    void on(submit_request input);
    void on(publish_record input);
    void on(const publish_evidence& input);
    void on(begin_leaving input);
    void dispatch_result(requester who, const platform_result& result);
    void recover_from_pause();
    void advance();
    void update_ready();
    void report_member_changes();
    [[nodiscard]] wall_time wall() const;
    [[nodiscard]] bool ready() const;
    void send(const member_id& to, message_priority priority, message content);

    // control_links.cpp
    void refresh_overlay();
    void manage_links();
    void dial(const member_id& member, bool immediately);
    void close(const member_id& member);
    void close_unwanted_links();
    void close_silent_links();
    void watch_neighbours();
    void probe_absent_member();
    void send_heartbeats();
    [[nodiscard]] heartbeat make_heartbeat();
    [[nodiscard]] std::set<member_id> wanted_members() const;

    // control_config.cpp
    void begin_verification(std::string reason);
    void step_verification();
    void ask_peers();
    void choose_peer_version();
    void poll_head();
    void on_head(const platform_result& result);
    void observe_head(const head_row& head);
    void on_offer_result(const offer_result& result);
    void apply_acceptance(acceptance_output& output);
    void receive(const member_id& from, const version_notice& input);
    void receive(const member_id& from, const config_request& input);
    void receive(const member_id& from, const config_chunk& input);
    void receive(const member_id& from, const config_refusal& input);
    void receive(const member_id& from, const state_request& input);
    void receive(const member_id& from, const state_answer& input);
    [[nodiscard]] std::string lag_reason() const;

    // control_members.cpp
    void receive(const member_id& from, const heartbeat& input);
    void receive(const member_id& from, const table_digests& input);
    void receive(const member_id& from, const member_update& input);
    void receive(const member_id& from, const record_update& input);
    void receive(const member_id& from, const subtree_report& input);
    void receive(const member_id& from, const fleet_totals& input);
    void compare_digest(const member_id& from, link_state& link, table_kind table, bool differs);
    void queue_member(const member_id& id, const member_id& origin);
    void mark_known_by(const member_id& id, const member_id& peer);
    void flush_members();
    void flood_records(const std::vector<replicated_record>& records, const member_id& origin);
    void send_members(const member_id& to, const std::vector<member_record>& records);
    void send_records(const member_id& to, const std::vector<replicated_record>& records);
    void send_report();
    void forward_totals(const fleet_totals& totals);

    node_settings settings;
    random_source random;
    std::vector<action> out;

    time_point now;
    time_point last_tick;
    wall_time last_wall;
    bool started = false;
    bool leaving = false;
    bool reported_ready = false;
    std::string not_ready_reason = "starting";

    platform_calls calls;
    member_table members;
    record_store records;
    config_store store;
    config_puller puller;
    snapshot_server server;
    acceptance submissions;
    lease ownership;
    convergence_report report;
    rendezvous rendezvous_rows;
    verification version_check;

    bool confirmed = false;
    backoff head_backoff{std::chrono::milliseconds{500}, std::chrono::seconds{30}};
    time_point next_head_poll;

    overlay_view overlay;
    std::uint64_t overlay_generation = UINT64_MAX;
    time_point overlay_computed_at;
    time_point root_since;
    std::map<member_id, link_state> links;
    std::map<member_id, dial_state> dials;
    std::map<member_id, watch_state> watches;
    std::optional<member_id> probe;
    time_point next_probe;
    time_point next_heartbeat;
    time_point next_report;
    std::uint64_t heartbeat_sequence = 0;
    std::array<time_point, 2> next_repair{}; ///< by table_kind

    std::map<member_id, std::vector<member_id>> member_floods; ///< changed members and informed peers
    bool flood_urgent = false;
    std::uint64_t reported_live_generation = 0;
    std::uint64_t reported_endpoint_generation = 0;
    control_stats stats;
};

} // namespace endive::distribution
