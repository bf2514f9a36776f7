// The daemon's own member row, and the duties that one daemon performs for all.

#include "sidecar/own_rows.h"
#include "sidecar/sidecar.h"

namespace endive::sidecar {
namespace {

/// A daemon whose endpoint is still unknown writes its member row after this time.
constexpr duration first_row_timeout = std::chrono::seconds{2};
constexpr unsigned status_ok = 200;

} // namespace

void sidecar::publish_self() {
    const auto& endpoint = local_.tracker().current();
    ++self_.revision;
    self_.endpoint_id = endpoint.endpoint_id;
    self_.version = endpoint.version;
    self_.slots = endpoint.slots;
    self_.state = endpoint.state;
    self_.endpoint_start_unix_ms = local_.tracker().start_unix_ms();
    self_.stopping = stopping_since_.has_value();
    peers_.set_self(self_);
    write_self();
}

const mesh::store_row* sidecar::own_member_row() const {
    const auto* row = rows_.find(own_table, std::string{member_prefix} + self_.daemon);
    return row == nullptr || row->removed ? nullptr : row;
}

std::optional<mesh::member> sidecar::stored_member() const {
    const auto* row = own_member_row();
    if (row == nullptr || era_.is_outdated(*row)) {
        return std::nullopt;
    }
    try {
        return mesh::decode_member(row->value);
    } catch (const error&) {
        return std::nullopt; // a row of another writer, which is replaced
    }
}

/// True when the member row lacks what others and a restart of this daemon need from it: where the daemon is,
/// and that its endpoint has left. Peers learn all other changes over their links.
bool sidecar::needs_member_row() const {
    const auto stored = stored_member();
    const bool moved = !stored || stored->address != self_.address ||
                       stored->failure_domain != self_.failure_domain || stored->service != self_.service;
    const bool departed = self_.state == mesh::endpoint_state::draining && !self_.endpoint_id.empty();
    return moved || (departed && !is_departure_stored());
}

/// True when the store holds the departure of the current endpoint.
bool sidecar::is_departure_stored() const {
    const auto stored = stored_member();
    return stored && stored->state == mesh::endpoint_state::draining &&
           stored->endpoint_id == self_.endpoint_id &&
           stored->endpoint_start_unix_ms >= self_.endpoint_start_unix_ms;
}

/// Writes this daemon's member row. Peers find the daemon by it, and after a restart the daemon reads the
/// last departure of its endpoint.
void sidecar::write_self() {
    const auto now = clock_.now();
    // The first write waits for the endpoint's id, which is known after one heartbeat interval.
    const bool too_early = self_.endpoint_id.empty() && now < started_ + first_row_timeout;
    const bool row_unknown = !members_loaded_ && !settings_.first_start;
    if (writing_self_ || too_early || row_unknown || now < next_self_write_ || !needs_member_row()) {
        return;
    }
    writing_self_ = true;
    const bool is_first = own_member_row() == nullptr;
    const auto key = std::string{member_prefix} + self_.daemon;
    const auto* known = rows_.find(own_table, key);
    const mesh::store_row row{std::string{own_table}, key, mesh::encode(self_), 0};
    write(row, known == nullptr || known->removed ? 0 : known->version, [this, is_first](bool written) {
        writing_self_ = false;
        if (!departure_answers_.empty() && is_departure_stored()) {
            departure_answers_.acknowledge();
        }
        if (!written) {
            next_self_write_ = clock_.now() + store_retry_delay;
        } else if (is_first) {
            // Reading after the own row is written lets two daemons that start together find each other.
            load_table(std::string{own_table}, {});
        }
        write_self();
    });
}

std::size_t sidecar::duty_rank(std::string_view duty) const {
    const auto weight = [&](const std::string& daemon) { return stable_hash(daemon, stable_hash(duty)); };
    const auto own = weight(self_.daemon);
    std::size_t rank = 0;
    for (const auto& [name, entry] : peers_.peers()) {
        if (entry.link && weight(name) < own) {
            ++rank;
        }
    }
    return rank;
}

/// Removes daemons that are permanently gone. One of the remaining daemons deletes their rows from the store,
/// where rows never expire.
void sidecar::remove_expired(time_point now) {
    for (const auto& about : peers_.expired_members(now)) {
        const auto key = std::string{member_prefix} + about.daemon;
        const auto* row = rows_.find(own_table, key);
        if (row != nullptr && !row->removed && !era_.is_outdated(*row) && duty_rank(key) == 0) {
            const platform_wire::row_condition condition{row->table, key, row->version};
            counters_.add("store_writes");
            store_.call(platform_wire::remove_row(condition), store_timeout,
                        [this, key](const store_answer& answer) {
                            if (answer.status != status_ok) {
                                counters_.add("store_write_failed");
                                log(event::store_write_failed,
                                    {{"table", own_table}, {"key", key}, {"status", answer.status}});
                            }
                        });
        }
        log(event::peer_forgotten, {{"peer", about.daemon}});
        peers_.remove_member(about.daemon);
    }
}

} // namespace endive::sidecar
