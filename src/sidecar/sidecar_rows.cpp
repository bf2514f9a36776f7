// Rows of the store: the operator's, the statuses and those of the daemons.

#include "sidecar/own_rows.h"
#include "sidecar/sidecar.h"

namespace endive::sidecar {
namespace {

constexpr unsigned status_ok = 200;
constexpr unsigned status_precondition_failed = 412;
/// After the store has been restored all daemons write their member rows; this spreads 300 of them over 1.5
/// s.
constexpr duration restored_write_spread = milliseconds{5};

} // namespace

/// Called with the era of each answer of the store and of each row. After the store has been restored, what
/// the daemons wrote in its lost time is written again: here the own member row, and what the rollouts hold.
void sidecar::observe_era(std::uint32_t era) {
    const auto before = era_.current();
    if (!era_.observe(era)) {
        return;
    }
    log(event::store_era_changed, {{"era", era}, {"era_before", before}});
    counters_.add("store_era_changed");
    next_self_write_ = clock_.now() + restored_write_spread * duty_rank("restored");
    rollouts_.on_store_restored(era);
    if (statuses_requested_) {
        load_table(std::string{platform_wire::status_table}, {});
    }
    if (operator_rows_.is_active()) {
        load_table(std::string{own_table}, {});
    }
}

void sidecar::on_row(const mesh::store_row& row, const mesh::row_delta* via) {
    observe_era(mesh::era_of(row.version));
    std::optional<mesh::store_row> base;
    const auto* known = rows_.find(row.table, row.key);
    if (via == nullptr && known != nullptr && row.value.size() >= min_packed_bytes) {
        base = *known;
    }
    if (!rows_.apply(row)) {
        return;
    }
    const mesh::row_delta* change = nullptr;
    if (via != nullptr) {
        change = row_changes_.record(*via, row.value.size());
    } else if (base) {
        change = row_changes_.record(*base, row);
    }
    if (row.table == platform_wire::operator_table && operator_rows_.is_active()) {
        peers_.publish_change(row, change);
    }
    on_row_update(row, clock_.now());
    try {
        if (row.table == platform_wire::operator_table) {
            on_operator_row(row);
        } else if (row.table == platform_wire::status_table &&
                   row.key.starts_with(platform_wire::rollout_prefix)) {
            rollouts_.on_status(row);
        } else if (row.table == own_table) {
            on_own_row(row);
        }
    } catch (const error& cause) {
        report_malformed(row, cause.location(), cause.what());
    } catch (const std::exception& cause) {
        // The rows that come with this one are read all the same.
        report_malformed(row, {}, cause.what());
    }
}

void sidecar::report_malformed(const mesh::store_row& row, std::string_view place, std::string_view reason) {
    counters_.add("row_malformed");
    log(event::row_malformed, {{"table", row.table},
                               {"key", row.key},
                               {"version", row.version},
                               {"place", place},
                               {"reason", reason}});
}

void sidecar::on_operator_row(const mesh::store_row& row) {
    if (row.key == platform_wire::configuration_key) {
        key_proofs_.on_row(row.version);
        on_configuration(row);
    } else if (row.key.starts_with(platform_wire::rollout_prefix)) {
        rollouts_.on_order(row, clock_.now());
        if (!std::exchange(statuses_requested_, true)) {
            load_table(std::string{platform_wire::status_table}, {});
        }
        // The start may have been recorded before this daemon received the order.
        const auto* start = rows_.find(own_table, std::string{start_prefix} +
                                                      row.key.substr(platform_wire::rollout_prefix.size()));
        if (start != nullptr) {
            on_own_row(*start);
        }
    }
}

void sidecar::on_configuration(const mesh::store_row& row) {
    if (row.removed) {
        log(event::configuration_removed, {{"version", row.version}});
        return;
    }
    auto decoded = platform_wire::decode_configuration(row.value);
    if (routes_ && decoded.version <= routes_->source().version) {
        log(event::configuration_not_newer,
            {{"configuration", decoded.version}, {"in_force", routes_->source().version}});
        return;
    }
    const bool first = routes_ == nullptr;
    const auto routes = std::make_shared<const mesh::route_index>(std::move(decoded));
    authentication_.set_configuration(routes); // throws when the tenants contradict each other
    routes_ = routes;
    callers_.set_limits(routes_->source().limits);
    forwarder_.set_configuration(routes_);
    quota_.set_configuration(routes_->source());
    log(event::configuration_in_force, {{"configuration", routes_->source().version},
                                        {"row", row.version},
                                        {"routes", routes_->source().routes.size()},
                                        {"first", first}});
}

void sidecar::on_own_row(const mesh::store_row& row) {
    if (row.removed) {
        return;
    }
    if (row.key.starts_with(member_prefix)) {
        peers_.update_member(mesh::decode_member(row.value));
        return;
    }
    if (row.key.starts_with(start_prefix)) {
        const auto start = mesh::decode_rollout_start(row.value);
        const auto now = store_time();
        std::optional<duration> elapsed;
        if (now && start.store_time) {
            elapsed = *now - *start.store_time;
        }
        rollouts_.on_start(row.key.substr(start_prefix.size()), start, elapsed, clock_.now());
    }
}

std::optional<duration> sidecar::store_time() const {
    if (!store_clock_offset_) {
        return std::nullopt;
    }
    return clock_.now().time_since_epoch() + *store_clock_offset_;
}

/// Handles a member update. A record of this daemon was written before its restart. If it has a later start
/// time, the clock was set back meanwhile, and the start is moved behind it so that peers take this start for
/// the newer one.
void sidecar::on_member_update(const mesh::member& about) {
    if (about.daemon != self_.daemon) {
        return;
    }
    const bool is_own =
        about.daemon_start_unix_ms == self_.daemon_start_unix_ms && about.revision <= self_.revision;
    if (is_own) {
        return;
    }
    if (about.state == mesh::endpoint_state::draining && !about.endpoint_id.empty()) {
        local_.update([&](mesh::endpoint_tracker& tracker) {
            tracker.on_reported_departure(about.endpoint_id, about.endpoint_start_unix_ms);
        });
    }
    if (about.daemon_start_unix_ms >= self_.daemon_start_unix_ms) {
        self_.daemon_start_unix_ms = about.daemon_start_unix_ms + 1;
        publish_self();
    }
}

void sidecar::load_table(const std::string& table, const std::string& from) {
    counters_.add("store_reads");
    store_.call(platform_wire::read_rows(table, from), store_timeout,
                [this, table, from](const store_answer& answer) {
                    bool complete = false;
                    if (answer.status == status_ok) {
                        try {
                            observe_era(answer.era);
                            const auto page = platform_wire::decode_rows(answer.body, answer.era);
                            if (page.store_time > milliseconds{0}) {
                                store_clock_offset_ = page.store_time - clock_.now().time_since_epoch();
                            }
                            for (const auto& row : page.rows) {
                                on_row(row);
                            }
                            if (page.has_more && !page.rows.empty()) {
                                load_table(table, page.rows.back().key + '\x01');
                                return;
                            }
                            complete = true;
                        } catch (const std::exception& cause) {
                            log_malformed_answer(table, cause);
                        }
                    }
                    if (table == own_table) {
                        members_requested_ = members_requested_.value_or(clock_.now());
                        select_readers(clock_.now());
                    }
                    if (!complete) {
                        counters_.add("store_read_failed");
                        auto timer = std::make_shared<boost::asio::steady_timer>(loop_, store_retry_delay);
                        timer->async_wait([this, timer, table, from](error_code code) {
                            if (!code) {
                                load_table(table, from);
                            }
                        });
                        return;
                    }
                    (table == own_table ? members_loaded_ : statuses_loaded_) = true;
                    quota_.set_members_known(members_loaded_);
                    next_member_read_ = clock_.now() + member_read_interval;
                });
}

void sidecar::write(const mesh::store_row& row, std::uint64_t expected, std::function<void(bool)> done) {
    const platform_wire::row_condition condition{row.table, row.key, era_.expected_version(expected)};
    counters_.add("store_writes");
    store_.call(
        platform_wire::write_row(&condition, row), store_timeout,
        [this, row, done = std::move(done)](const store_answer& answer) {
            bool written = false;
            try {
                if (answer.status == status_ok) {
                    auto stored = row;
                    stored.version = platform_wire::decode_transaction_version(answer.body, answer.era);
                    on_row(stored);
                    if (!stored.key.starts_with(member_prefix)) {
                        peers_.publish_row(stored);
                    }
                    written = true;
                } else if (answer.status == status_precondition_failed) {
                    for (const auto& current : platform_wire::decode_rows(answer.body, answer.era).rows) {
                        on_row(current);
                    }
                }
            } catch (const std::exception& cause) {
                log_malformed_answer(row.table, cause);
            }
            if (!written) {
                counters_.add("store_write_failed");
                log(event::store_write_failed,
                    {{"table", row.table}, {"key", row.key}, {"status", answer.status}});
            }
            done(written);
        });
}
} // namespace endive::sidecar
