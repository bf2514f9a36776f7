#include "endive/mesh.h"

#include <algorithm>
#include <tuple>

namespace endive::mesh {
namespace {

/// Number of readers of the whole fleet that are always active, so that the loss of one or two is not
/// noticed.
constexpr std::size_t min_fleet_readers = 3;
/// Silence of all readers of the domain after which the first standby becomes active. Active readers report
/// every second.
constexpr duration silence_timeout = milliseconds{1600};
/// Silence at the start, while this daemon knows no configuration.
constexpr duration initial_silence_timeout = milliseconds{300};
/// Additional delay of each further standby, so that they do not all read at once.
constexpr duration standby_step = milliseconds{300};
constexpr duration initial_standby_step = milliseconds{50};
/// No standby waits for longer, even if all those before it are unreachable without this daemon having
/// noticed.
constexpr std::size_t max_standby_steps = 8;
/// The same while this daemon knows no configuration. The steps are short, and after a restart of the whole
/// fleet the first readers take longer than a few of them.
constexpr std::size_t max_initial_steps = 30;
/// A reader that reported a failed store is passed over for this long, unless it reports success before.
constexpr duration failure_lifetime = std::chrono::seconds{5};
/// Delay before this daemon takes over for each failed one but the first, so that an outage of the store is
/// probed by a few daemons at a time.
constexpr duration takeover_step = milliseconds{150};
/// A standby that became active stays so for this long after it is no longer needed: the reader before it may
/// fail again, and each start reads the whole table.
constexpr duration standby_hold = std::chrono::seconds{3};

} // namespace

void reader_selection::start(time_point now) {
    last_report_ = now;
}

void reader_selection::on_report(const std::string& daemon, bool reading, time_point now) {
    last_report_ = std::max(last_report_, now);
    if (reading) {
        failures_.erase(daemon);
    } else {
        failures_[daemon] = now;
    }
}

void reader_selection::on_own_read(bool succeeded, time_point now) {
    if (succeeded) {
        own_failure_.reset();
    } else if (!own_failure_) {
        own_failure_ = now;
    }
}

bool reader_selection::should_read(const reader_candidate& self, std::span<const reader_candidate> others,
                                   std::size_t domains, bool has_configuration, time_point now) {
    std::erase_if(failures_, [&](const auto& entry) { return now - entry.second > failure_lifetime; });
    if (own_failure_ && now - *own_failure_ > failure_lifetime) {
        own_failure_.reset();
    }
    const auto weight = [](const reader_candidate& entry) {
        return std::tuple{-entry.link_mbps, stable_hash(entry.daemon), std::string_view{entry.daemon}};
    };
    std::size_t rank = 0;         // among the daemons that are not known to fail
    std::size_t failed_ahead = 0; // daemons that would read instead of this one
    bool other_available = false;
    time_point last_failure{};
    for (const auto& entry : others) {
        const auto failure = failures_.find(entry.daemon);
        const bool ahead = weight(entry) < weight(self);
        if (failure == failures_.end()) {
            other_available = true;
            rank += ahead ? 1 : 0;
        } else if (ahead) {
            ++failed_ahead;
            last_failure = std::max(last_failure, failure->second);
        }
    }
    if (own_failure_ && other_available) {
        needed_.reset();
        return false;
    }
    const auto known_domains = std::max<std::size_t>(1, domains);
    const auto readers = (min_fleet_readers + known_domains - 1) / known_domains;
    const auto max_steps = has_configuration ? max_standby_steps : max_initial_steps;
    const auto standby = static_cast<duration::rep>(rank < readers ? 0 : std::min(rank - readers, max_steps));
    const auto timeout = has_configuration ? silence_timeout + standby_step * standby
                                           : initial_silence_timeout + initial_standby_step * standby;
    const auto takeover = failed_ahead == 0
                              ? time_point{}
                              : last_failure + takeover_step * static_cast<duration::rep>(failed_ahead - 1);
    if ((rank < readers && now >= takeover) || now - last_report_ > timeout) {
        needed_ = now;
    }
    return needed_ && now - *needed_ < standby_hold;
}

} // namespace endive::mesh
