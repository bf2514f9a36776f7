#include "distribution/rendezvous.h"

#include "distribution/schedules.h"

namespace endive::distribution {
namespace {

// Three peers are enough to join; their member lists contain the others.
constexpr std::size_t max_contacts = 3;

bool fresh(const rendezvous_row& row, wall_time wall) {
    const auto age = to_unix_ms(wall) - row.time_unix_ms;
    return age <= milliseconds{config::rendezvous_expiry}.count();
}

} // namespace

std::string rendezvous_row_key(const member_id& id, const std::string& failure_domain) {
    return std::string{rendezvous_prefix} + failure_domain + "/" +
           std::to_string(stable_hash(id) % config::rendezvous_rows_per_domain);
}

void rendezvous::step(time_point now, std::size_t members, bool alone, bool keep, platform_calls& calls) {
    members_ = members;
    if (!started_) {
        started_ = true;
        next_refresh_ = now + random_.jittered(config::rendezvous_refresh / 4);
    }
    if (phase_ != phase::idle) {
        return;
    }
    if (alone && now >= next_list_) {
        phase_ = phase::listing;
        next_list_ = now + list_backoff_.next(random_);
        calls.table_list(now, requester::rendezvous, std::string{rendezvous_prefix});
        return;
    }
    if (!alone) {
        list_backoff_.reset();
    }
    if (keep && now >= next_refresh_) {
        phase_ = phase::reading;
        calls.table_get(now, requester::rendezvous, row_key_);
    }
}

void rendezvous::on_result(time_point now, wall_time wall, const platform_result& result,
                           platform_calls& calls) {
    const auto finished = std::exchange(phase_, phase::idle);
    if (finished == phase::listing) {
        on_list(wall, result);
    } else if (finished == phase::reading) {
        on_row(now, wall, result, calls);
    }
}

void rendezvous::on_list(wall_time wall, const platform_result& result) {
    if (result.code != result_code::ok) {
        return;
    }
    std::vector<member_id> found;
    for (const auto& row : result.rows) {
        const auto value = decode_rendezvous(row.value);
        if (value && value->member != self_ && fresh(*value, wall) && parse_address(value->member)) {
            found.push_back(value->member);
        }
    }
    contacts_.clear();
    while (!found.empty() && contacts_.size() < max_contacts) {
        const auto pick = random_.below(found.size());
        contacts_.push_back(std::move(found[pick]));
        found.erase(found.begin() + static_cast<std::ptrdiff_t>(pick));
    }
}

void rendezvous::on_row(time_point now, wall_time wall, const platform_result& result,
                        platform_calls& calls) {
    const auto observe_interval =
        std::max<duration>(config::rendezvous_refresh, head_poll_interval(members_));
    if (result.code != result_code::ok) {
        next_refresh_ = now + random_.jittered(observe_interval);
        return;
    }
    const auto row = result.row ? decode_rendezvous(result.row->value) : std::nullopt;
    const auto own_row = row && row->member == self_;
    if (row && !own_row && fresh(*row, wall)) {
        contacts_ = {row->member};
        next_refresh_ = now + random_.jittered(observe_interval);
        return;
    }
    next_refresh_ = now + config::rendezvous_refresh;
    const auto condition =
        result.row ? platform::precondition::matches(result.row->etag) : platform::precondition::absent();
    phase_ = phase::writing;
    calls.table_put(now, requester::rendezvous, row_key_,
                    encode(rendezvous_row{self_, self_, to_unix_ms(wall)}), condition);
}

} // namespace endive::distribution
