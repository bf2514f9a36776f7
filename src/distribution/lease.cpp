#include "distribution/lease.h"

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

// Three attempts fit in one lease.
constexpr duration renew_interval = config::lease_duration / 3;
constexpr duration retry_interval = 1000ms;
constexpr duration candidate_read_interval = 2000ms;

} // namespace

void lease::check_expiry(time_point now, std::vector<action>& actions) {
    if (holding_ && now >= valid_until_) {
        abandon(actions);
    }
}

void lease::abandon(std::vector<action>& actions) {
    if (!holding_) {
        return;
    }
    holding_ = false;
    release_due_ = true;
    next_step_ = {};
    actions.emplace_back(lost_ownership{epoch_});
}

void lease::observe_epoch(std::uint64_t epoch, std::vector<action>& actions) {
    highest_epoch_ = std::max(highest_epoch_, epoch);
    if (!holding_ || epoch <= epoch_) {
        return;
    }
    abandon(actions);
    release_due_ = false;
    actions.emplace_back(fenced{fence_reason::newer_epoch});
}

void lease::step(time_point now, wall_time wall, bool candidate, platform_calls& calls,
                 std::vector<action>& actions) {
    candidate_ = candidate;
    if (!candidate && holding_) {
        abandon(actions);
    }
    if (phase_ != phase::idle || now < next_step_) {
        return;
    }
    if (holding_ && !write_outcome_unknown_) {
        write(now, wall, epoch_, false, calls);
        return;
    }
    if (!candidate && release_due_ && !write_outcome_unknown_ && etag_) {
        release_due_ = false;
        write(now, wall, epoch_, true, calls);
        return;
    }
    if (candidate || holding_) {
        phase_ = phase::reading;
        calls.table_get(now, requester::lease, std::string{lease_key});
    }
}

void lease::write(time_point now, wall_time wall, std::uint64_t epoch, bool release, platform_calls& calls) {
    phase_ = phase::writing;
    write_started_ = now;
    written_epoch_ = epoch;
    releasing_ = release;
    write_id_ = self_ + "#" + to_hex(random_.next());
    const auto expires = release ? 0 : to_unix_ms(wall) + milliseconds{config::lease_duration}.count();
    calls.table_put(now, requester::lease, std::string{lease_key},
                    encode(lease_row{self_, epoch, expires, write_id_}), platform::precondition{etag_});
}

void lease::on_result(time_point now, wall_time wall, const platform_result& result, platform_calls& calls,
                      std::vector<action>& actions) {
    const auto finished = std::exchange(phase_, phase::idle);
    if (finished == phase::reading) {
        on_read(now, wall, result, calls, actions);
    } else if (finished == phase::writing) {
        on_write(now, result, actions);
    }
}

bool lease::is_available(time_point now, wall_time wall, const std::optional<lease_row>& row) const {
    if (!row || row->holder == self_) {
        return true;
    }
    const auto margin = milliseconds{config::lease_clock_margin}.count();
    if (to_unix_ms(wall) > row->expires_at_unix_ms + margin) {
        return true;
    }
    return now - etag_seen_ > config::lease_duration + config::lease_clock_margin;
}

void lease::on_read(time_point now, wall_time wall, const platform_result& result, platform_calls& calls,
                    std::vector<action>& actions) {
    next_step_ = now + random_.jittered(candidate_read_interval);
    if (result.code != result_code::ok) {
        return;
    }
    const auto row = result.row ? decode_lease(result.row->value) : std::nullopt;
    const auto etag = result.row ? std::optional{result.row->etag} : std::nullopt;
    if (etag != etag_ || etag_seen_ == time_point{}) {
        etag_ = etag;
        etag_seen_ = now;
    }
    last_holder_ = row ? row->holder : member_id{};
    // Releasing the row of another holder would end its lease and restore a lower epoch.
    release_due_ = release_due_ && last_holder_ == self_;
    const auto lost_answer = std::exchange(write_outcome_unknown_, false);
    if (lost_answer && row && row->write_id == write_id_) {
        if (!releasing_) {
            confirm_ownership(now, actions);
        }
        return;
    }
    observe_epoch(row ? row->epoch : 0, actions);
    if (holding_) {
        // No higher epoch was seen, so the write with the lost answer did not take effect; renew now.
        next_step_ = now;
        return;
    }
    if (candidate_ && is_available(now, wall, row)) {
        const auto next = highest_epoch_ + (faults_.reuse_lease_epoch && highest_epoch_ > 0 ? 0 : 1);
        write(now, wall, next, false, calls);
    }
}

void lease::on_write(time_point now, const platform_result& result, std::vector<action>& actions) {
    if (result.code == result_code::ok) {
        etag_ = result.etag;
        etag_seen_ = now;
        if (!releasing_) {
            confirm_ownership(now, actions);
        }
        return;
    }
    next_step_ = now + random_.jittered(retry_interval);
    if (result.code == result_code::platform_precondition_failed) {
        // Another daemon wrote the row, or an earlier write of this daemon with a lost answer took effect.
        write_outcome_unknown_ = true;
        next_step_ = now;
        return;
    }
    write_outcome_unknown_ = result.code != result_code::platform_unavailable;
}

void lease::confirm_ownership(time_point now, std::vector<action>& actions) {
    const auto valid_until = write_started_ + config::lease_duration - config::lease_clock_margin;
    next_step_ = now + random_.jittered(renew_interval);
    highest_epoch_ = std::max(highest_epoch_, written_epoch_);
    last_holder_ = self_;
    release_due_ = false;
    if (now >= valid_until || !candidate_) {
        epoch_ = written_epoch_;
        release_due_ = true;
        return;
    }
    valid_until_ = valid_until;
    if (holding_ && epoch_ == written_epoch_) {
        actions.emplace_back(ownership_extended{epoch_, valid_until_});
        return;
    }
    holding_ = true;
    epoch_ = written_epoch_;
    actions.emplace_back(became_owner{epoch_, valid_until_});
}

} // namespace endive::distribution
