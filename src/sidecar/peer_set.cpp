#include "sidecar/peer_set.h"

#include "sidecar/events.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

constexpr duration connect_timeout = milliseconds{800};
constexpr duration min_dial_backoff = milliseconds{100};
/// Maximum delay between connection attempts to an unreachable daemon, which may be back within a second of
/// its restart.
constexpr duration max_dial_backoff = milliseconds{800};
/// The same for the daemon of a pair that leaves the dialing to the other one. A daemon that has restarted
/// dials all others itself.
constexpr duration max_yielding_dial_backoff = milliseconds{2400};
/// Time for the first announcement on a new connection, which a paused or starting daemon sends late.
constexpr duration greeting_timeout = std::chrono::seconds{3};
/// When both daemons of a pair learn at about the same time that they have no link, the one with the smaller
/// name dials; the other waits for this long.
constexpr duration dial_precedence = milliseconds{500};
/// Number of peers that row versions are sent to in each comparison round. On average each daemon receives
/// two comparisons per round.
constexpr std::size_t compared_peers = 2;
/// A requested row is requested from another peer when nothing has arrived on the link for this long. TCP
/// retransmits lost packets after 200 to 400 ms, so the timeout allows for two consecutive retransmissions.
constexpr duration fetch_stall_timeout = milliseconds{1000};
/// Incomplete messages may take the process's memory divided by this.
constexpr std::size_t message_memory_divisor = 8;
/// A daemon that has been unreachable for this long counts as permanently gone.
constexpr duration expiry_timeout = std::chrono::seconds{60};
/// The same at a daemon that does not reach the majority. Partitions last for minutes.
constexpr duration minority_expiry_timeout = std::chrono::minutes{15};

} // namespace

peer_set::peer_set(boost::asio::io_context& loop, const clock_source& clock, const sidecar_settings& settings,
                   counter_set& counters, endpoint_service& local, const mesh::row_replica& rows,
                   const mesh::row_changes& changes, handlers callbacks)
    : loop_{loop}, clock_{clock}, first_start_{settings.first_start},
      max_buffered_bytes_{settings.memory_part(message_memory_divisor)}, counters_{counters}, local_{local},
      rows_{rows}, changes_{changes}, callbacks_{std::move(callbacks)},
      listener_{loop, settings.peers_address,
                [this](std::shared_ptr<stream> connection) { add_link(std::move(connection)); }} {}

std::shared_ptr<peer_link> peer_set::add_link(std::shared_ptr<stream> connection) {
    connection->count_received(received_total_);
    auto link = std::make_shared<peer_link>(std::move(connection), clock_, local_, *this);
    link->set_buffers(buffers_);
    links_.insert(link);
    send_hello(*link);
    link->start();
    return link;
}

void peer_set::set_memory(const process_memory& memory) {
    buffers_ = {std::make_shared<byte_account>(memory.account),
                std::make_shared<byte_account>(memory.account), max_buffered_bytes_};
}

/// Sends the first announcement of a link: this daemon's member record and the heads of its rows.
void peer_set::send_hello(peer_link& link) {
    announce_message hello;
    hello.members.push_back(self_);
    hello.heads = callbacks_.heads();
    hello.load = local_.load();
    link.send(hello);
}

void peer_set::set_self(const mesh::member& self) {
    self_ = self;
    announce_message message;
    message.members.push_back(self_);
    message.load = local_.load();
    broadcast(message);
}

void peer_set::update_member(const mesh::member& about) {
    if (about.daemon == self_.daemon) {
        callbacks_.member_update(about);
        return;
    }
    if (!about.address.empty() && !parse_address(about.address)) {
        throw error{result_code::platform_bad_answer, "member: not an address: " + about.address};
    }
    const auto [found, is_new] = peers_.try_emplace(about.daemon);
    auto& entry = found->second;
    const bool leaves = about.state == mesh::endpoint_state::draining && !about.endpoint_id.empty();
    if (leaves && (!entry.departure || mesh::supersedes(about, *entry.departure))) {
        entry.departure = about;
    }
    if (!is_new && !mesh::supersedes(about, entry.about)) {
        return;
    }
    const bool restarted = entry.about.daemon_start_unix_ms != about.daemon_start_unix_ms;
    const bool moved = entry.about.address != about.address;
    entry.about = about;
    entry.load.slots = std::max(1U, about.slots);
    if (restarted || moved) {
        entry.load = {0, std::max(1U, about.slots), duration{0}, 0, true};
        entry.sent_since_load = 0;
        entry.work_since_load = duration{0};
        entry.failures = 0;
        entry.refusals = {};
        entry.next_dial = time_point{};
        entry.dial_backoff = duration{0};
        entry.unreachable_since.reset();
        if (moved && entry.link) {
            entry.link.reset();
        }
    }
    if (is_new && first_start_ && !dials_first(entry)) {
        entry.next_dial = clock_.now() + dial_precedence;
    }
    callbacks_.member_update(about);
    if (!entry.link) {
        dial(entry);
    }
}

void peer_set::dial(peer& entry) {
    const auto now = clock_.now();
    const bool waiting = entry.dialing || now < entry.next_dial || awaits_greeting(entry, now);
    if (waiting || entry.about.address.empty()) {
        return;
    }
    entry.dialing = true;
    const auto max_backoff = dials_first(entry) ? max_dial_backoff : max_yielding_dial_backoff;
    entry.dial_backoff = std::clamp(entry.dial_backoff * 2, min_dial_backoff, max_backoff);
    entry.next_dial = now + entry.dial_backoff;
    const auto name = entry.about.daemon;
    connect_stream(loop_, to_endpoint(entry.about.address), connect_timeout,
                   [this, name](std::shared_ptr<stream> connection) {
                       auto* known = find(name);
                       if (known != nullptr) {
                           known->dialing = false;
                       }
                       if (connection && (known == nullptr || known->link)) {
                           connection->close(); // the peer has connected to this daemon meanwhile
                       } else if (connection) {
                           known->greeting = add_link(std::move(connection));
                           known->greeting_since = clock_.now();
                       }
                   });
}

/// True while a connection to a daemon that is busy or paused may still become its link.
bool peer_set::awaits_greeting(const peer& entry, time_point now) const {
    const auto link = entry.greeting.lock();
    const bool pending = link && link->is_open() && link->daemon().empty();
    return pending && now - entry.greeting_since < greeting_timeout;
}

bool peer_set::dials_first(const peer& entry) const {
    return self_.daemon < entry.about.daemon;
}

peer* peer_set::find(const std::string& daemon) {
    const auto found = peers_.find(daemon);
    return found == peers_.end() ? nullptr : &found->second;
}

void peer_set::broadcast(const peer_message& message, audience to) {
    if (links_.empty()) {
        return;
    }
    const auto frame = std::make_shared<const std::string>(encode(message));
    for (const auto& [name, entry] : peers_) {
        const bool meant = to == audience::all || entry.about.failure_domain == self_.failure_domain;
        if (entry.link && meant) {
            entry.link->send_frame(frame, "announce");
        }
    }
}

void peer_set::publish_row(const mesh::store_row& row) {
    announce_message message;
    message.rows.push_back(row);
    broadcast(message);
}

void peer_set::publish_change(const mesh::store_row& row, const mesh::row_delta* change) {
    announce_message message;
    message.heads.push_back({row.table, row.key, {}, row.version, row.removed});
    if (change != nullptr) {
        message.deltas.push_back(*change);
    }
    broadcast(message, audience::own_domain);
}

void peer_set::publish_reading(bool reading) {
    announce_message message;
    message.heads = callbacks_.heads();
    message.reading = reading;
    broadcast(message, audience::own_domain);
}

void peer_set::publish_load(const mesh::endpoint_load& load, bool to_all) {
    announce_message message;
    message.load = load;
    broadcast(message, to_all ? audience::all : audience::own_domain);
}

void peer_set::send_evidence(const std::string& daemon, const std::vector<mesh::version_evidence>& counters) {
    const auto* entry = find(daemon);
    if (entry != nullptr && entry->link) {
        announce_message message;
        message.counters = counters;
        entry->link->send(message);
    }
}

void peer_set::publish_progress(const std::vector<mesh::rollout_progress>& moves) {
    announce_message message;
    message.moves = moves;
    broadcast(message);
}

void peer_set::compare_rows(std::uint64_t random) {
    std::vector<std::shared_ptr<peer_link>> linked;
    for (const auto& [name, entry] : peers_) {
        if (entry.link) {
            linked.push_back(entry.link);
        }
    }
    announce_message message;
    message.heads = callbacks_.heads();
    for (std::size_t i = 0; i < std::min(compared_peers, linked.size()); ++i) {
        linked[(random + i * (linked.size() / compared_peers + 1)) % linked.size()]->send(message);
    }
}

/// Takes the identity of the daemon at the other end from its own member record; true when that is new. A
/// daemon whose record is older than a known one has restarted while its clock was set back: it is told what
/// is known of it, so that it continues from there.
bool peer_set::identify(peer_link& link, const std::vector<mesh::member>& members) {
    const auto own = std::find_if(members.begin(), members.end(), [&](const mesh::member& about) {
        return link.daemon().empty() || about.daemon == link.daemon();
    });
    if (own == members.end()) {
        return false;
    }
    const bool is_new = link.daemon().empty() || own->daemon_start_unix_ms > link.daemon_start();
    if (is_new) {
        link.set_daemon(*own);
    }
    const auto* known = find(own->daemon);
    if (known != nullptr && known->about.daemon_start_unix_ms > own->daemon_start_unix_ms) {
        announce_message correction;
        correction.members.push_back(known->about);
        link.send(correction);
    }
    if (is_new) {
        remind_of_departure(link, *own);
    }
    return is_new;
}

/// Tells a daemon that has restarted of the departure that it knew of before.
void peer_set::remind_of_departure(peer_link& link, const mesh::member& own) {
    const auto* known = find(own.daemon);
    if (known == nullptr || !known->departure ||
        known->departure->daemon_start_unix_ms >= own.daemon_start_unix_ms) {
        return;
    }
    announce_message reminder;
    reminder.members.push_back(*known->departure);
    link.send(reminder);
}

void peer_set::on_announce(const std::shared_ptr<peer_link>& link, announce_message message) {
    const bool is_new = link->daemon().empty();
    if (is_new) {
        if (message.members.empty() || message.members.front().daemon == self_.daemon) {
            link->close();
            return;
        }
        const bool same = message.members.front().failure_domain == self_.failure_domain;
        link->count_bytes(counters_, same ? "peer_bytes_in_domain_" : "peer_bytes_between_domains_");
    }
    const bool is_restarted = identify(*link, message.members);
    for (const auto& about : message.members) {
        update_member(about);
    }
    auto* entry = find(link->daemon());
    const bool is_better =
        entry != nullptr &&
        (!entry->link || (is_restarted && entry->link->daemon_start() <= link->daemon_start()));
    if (is_better && !link->is_retired()) {
        // A daemon that has retired a link opens a new one, while the retired one may look usable from here.
        const bool was_down = !entry->link;
        entry->link = link;
        entry->dial_backoff = duration{0};
        entry->unreachable_since.reset();
        if (was_down) {
            log(event::peer_up, {{"peer", link->daemon()}});
        }
        close_links_before(*link);
    }
    if (message.load) {
        on_load(link, *message.load);
    }
    for (const auto& row : message.rows) {
        on_row(link->daemon(), row, nullptr);
    }
    on_deltas(link->daemon(), message.deltas);
    record_missing(link->daemon(), message.heads);
    if (message.reading && entry != nullptr && entry->about.failure_domain == self_.failure_domain) {
        callbacks_.reading(link->daemon(), *message.reading);
    }
    if (!message.counters.empty() && entry != nullptr) {
        callbacks_.evidence(link->daemon(), entry->about.daemon_start_unix_ms, std::move(message.counters));
    }
    for (const auto& move : message.moves) {
        callbacks_.progress(link->daemon(), move);
    }
}

/// Applies deltas that follow each other as one change, since each new version of a configuration is costly
/// to decode.
void peer_set::on_deltas(const std::string& daemon, std::span<const mesh::row_delta> deltas) {
    while (!deltas.empty()) {
        const auto& first = deltas.front();
        std::optional<mesh::store_row> row;
        if (const auto* base = rows_.find(first.table, first.key)) {
            row = mesh::apply_delta(*base, first);
        }
        std::size_t applied = 1;
        while (row && applied < deltas.size()) {
            auto next = mesh::apply_delta(*row, deltas[applied]);
            if (!next) {
                break;
            }
            row = std::move(next);
            ++applied;
        }
        if (row) {
            on_row(daemon, *row, applied == 1 ? &first : nullptr);
        }
        deltas = deltas.subspan(applied);
    }
}

void peer_set::on_row(const std::string& daemon, const mesh::store_row& row, const mesh::row_delta* via) {
    if (const auto elapsed = missing_.on_answer(row, daemon, clock_.now())) {
        log(event::row_received,
            {{"table", row.table},
             {"key", row.key},
             {"version", row.version},
             {"peer", daemon},
             {"bytes", row.value.size()},
             {"elapsed_ms", std::chrono::duration_cast<milliseconds>(*elapsed).count()}});
    }
    callbacks_.row(row, via);
}

void peer_set::record_missing(const std::string& daemon, const std::vector<mesh::store_row>& heads) {
    const auto* entry = find(daemon);
    const bool is_near = entry != nullptr && entry->about.failure_domain == self_.failure_domain;
    for (const auto& head : heads) {
        if (missing_.on_head(head, daemon, is_near, rows_, clock_.now())) {
            const auto* known = rows_.find(head.table, head.key);
            log(event::row_announced, {{"table", head.table},
                                       {"key", head.key},
                                       {"version", head.version},
                                       {"known", known == nullptr ? 0 : known->version},
                                       {"peer", daemon}});
        }
    }
}

void peer_set::on_fetch(const std::shared_ptr<peer_link>& link, const fetch_message& message) {
    announce_message answer;
    for (const auto& known : message.known) {
        const auto changes = changes_.since(known);
        answer.deltas.insert(answer.deltas.end(), changes.begin(), changes.end());
    }
    for (const auto& wanted : message.rows) {
        const bool has_deltas =
            std::any_of(answer.deltas.begin(), answer.deltas.end(), [&](const auto& delta) {
                return delta.table == wanted.table && delta.key == wanted.key;
            });
        if (has_deltas) {
            continue;
        }
        if (const auto* row = rows_.find(wanted.table, wanted.key)) {
            const bool packed = message.accepts_packed && row->value.size() >= min_packed_bytes &&
                                row->value.size() <= max_unpacked_bytes;
            if (packed) {
                answer.packed_rows.push_back(packer_.pack(*row));
            } else {
                answer.rows.push_back(*row);
            }
        }
    }
    link->send(answer);
}

void peer_set::on_load(const std::shared_ptr<peer_link>& link, const mesh::endpoint_load& load) {
    if (auto* entry = find(link->daemon())) {
        entry->load = load;
        entry->load_time = clock_.now();
        entry->sent_since_load = 0;
        entry->work_since_load = duration{0};
        if (load.outstanding < load.slots) {
            entry->refusals.on_slot_available();
        }
    }
}

void peer_set::on_quota(const std::shared_ptr<peer_link>& link, const quota_message& message) {
    if (callbacks_.quota && find(link->daemon()) != nullptr) {
        callbacks_.quota(link, message);
    }
}

/// Closes the links to earlier starts of the daemon at the other end of `link`.
void peer_set::close_links_before(const peer_link& link) {
    const auto links = links_;
    for (const auto& other : links) {
        if (other->daemon() == link.daemon() && other->daemon_start() < link.daemon_start()) {
            other->close();
        }
    }
}

void peer_set::on_down(const std::shared_ptr<peer_link>& link) {
    links_.erase(link);
    replace_link(link);
}

/// Other daemons may have failed at the same time, such as a part of the fleet that lost power. Checking all
/// links now spares the next requests the wait.
void peer_set::on_unverified(const std::shared_ptr<peer_link>& /*link*/) {
    const auto now = clock_.now();
    for (const auto& [name, entry] : peers_) {
        if (entry.link && entry.about.state == mesh::endpoint_state::ready) {
            entry.link->verify(now);
        }
    }
}

void peer_set::on_retired(const std::shared_ptr<peer_link>& link) {
    replace_link(link);
}

/// Selects another link to the daemon at the other end of `link`, which takes no more calls, or connects
/// again.
void peer_set::replace_link(const std::shared_ptr<peer_link>& link) {
    auto* entry = find(link->daemon());
    if (entry == nullptr || entry->link != link) {
        return;
    }
    entry->link.reset();
    for (const auto& other : links_) {
        if (other->daemon() == link->daemon() && other->is_open() && !other->is_retired()) {
            entry->link = other;
        }
    }
    if (!entry->link) {
        log(event::peer_down, {{"peer", link->daemon()}});
        entry->next_dial = clock_.now() + (dials_first(*entry) ? duration{0} : dial_precedence);
        dial(*entry);
    }
}

void peer_set::tick(time_point now) {
    const auto links = links_;
    for (const auto& link : links) {
        link->tick(now);
    }
    limit_buffered();
    for (auto& [name, entry] : peers_) {
        if (entry.link) {
            entry.unreachable_since.reset();
            continue;
        }
        if (!entry.unreachable_since) {
            entry.unreachable_since = now;
        }
        dial(entry);
    }
    fetch_missing(now);
}

/// Bounds the memory of incomplete messages on all links together. Between two calls a VM's network link
/// delivers at most some megabytes.
void peer_set::limit_buffered() {
    const auto size_of = [](const std::shared_ptr<peer_link>& link) { return link->buffered_bytes(); };
    for (;;) {
        std::size_t total = 0;
        for (const auto& link : links_) {
            total += size_of(link);
        }
        if (total <= max_buffered_bytes_) {
            return;
        }
        const auto largest =
            *std::max_element(links_.begin(), links_.end(),
                              [&](const auto& a, const auto& b) { return size_of(a) < size_of(b); });
        largest->reject("incomplete messages take too much memory");
    }
}

/// Requests rows that peers hold and that the store has not delivered within the fetch delay.
void peer_set::fetch_missing(time_point now) {
    for (const auto& request : missing_.open_requests()) {
        const auto* entry = find(request.daemon);
        const bool linked = entry != nullptr && entry->link;
        if (!linked || now - std::max(request.since, entry->link->last_received()) > fetch_stall_timeout) {
            missing_.on_unanswered(request.daemon);
        }
    }
    for (const auto& request : missing_.take_due(now, callbacks_.store_timeouts(), rows_)) {
        const auto* entry = find(request.daemon);
        if (entry != nullptr && entry->link) {
            log(event::row_requested,
                {{"table", request.head.table},
                 {"key", request.head.key},
                 {"version", request.head.version},
                 {"peer", request.daemon},
                 {"waited_ms", std::chrono::duration_cast<milliseconds>(request.waited).count()}});
            fetch_message message{{request.head}, true, {}};
            const auto* known = rows_.find(request.head.table, request.head.key);
            if (known != nullptr && known->value.size() >= min_packed_bytes) {
                message.known.push_back({known->table, known->key, {}, known->version, known->removed});
            }
            entry->link->send(message);
        }
    }
}

std::size_t peer_set::link_count() const {
    return static_cast<std::size_t>(std::count_if(
        peers_.begin(), peers_.end(), [](const auto& item) { return item.second.link != nullptr; }));
}

void peer_set::verify_links(time_point now) {
    for (const auto& [name, entry] : peers_) {
        if (entry.link) {
            entry.link->verify(now);
        }
    }
}

mesh::reachability peer_set::heard_since(time_point since) const {
    mesh::reachability result;
    for (const auto& [name, entry] : peers_) {
        if (!entry.about.stopping) {
            ++result.known;
            result.reachable += entry.link && entry.link->last_received() >= since ? 1 : 0;
        }
    }
    return result;
}

bool peer_set::has_undelivered_replies() const {
    return std::any_of(links_.begin(), links_.end(),
                       [](const auto& link) { return link->has_undelivered_reply(); });
}

std::vector<mesh::member> peer_set::expired_members(time_point now) const {
    const bool in_majority = mesh::is_majority(heard_since({}));
    const auto timeout = in_majority ? expiry_timeout : minority_expiry_timeout;
    std::vector<mesh::member> result;
    for (const auto& [name, entry] : peers_) {
        if (entry.unreachable_since && now - *entry.unreachable_since > timeout) {
            result.push_back(entry.about);
        }
    }
    return result;
}

} // namespace endive::sidecar
