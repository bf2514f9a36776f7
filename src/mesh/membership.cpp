#include "endive/mesh.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace endive::mesh {
namespace {

/// Timeout of a request to a peer. A row of 1 MB takes 1.7 seconds on a link of 10 Mbit/s that is half used,
/// and a second copy would slow down the first.
constexpr duration fetch_timeout = milliseconds{2000};
/// Number of missing versions of a row whose first heads are remembered.
constexpr std::size_t max_announcements = 32;
/// Number of daemons remembered as holding a missing row.
constexpr std::size_t max_holders = 4;

std::uint64_t version_in(const row_replica& rows, const store_row& head) {
    const auto* known = rows.find(head.table, head.key);
    return known == nullptr ? 0 : known->version;
}

constexpr std::string_view text_of(endpoint_state state) {
    switch (state) {
    case endpoint_state::ready:
        return "ready";
    case endpoint_state::draining:
        return "draining";
    case endpoint_state::absent:
        break;
    }
    return "absent";
}

/// Reads an integer from 0 to `max`. Throws `json::exception` when it is missing and `error` when it is
/// something else.
template <typename number>
number read_number(const json& object, const char* key,
                   std::uint64_t max = std::numeric_limits<number>::max()) {
    const auto& value = object.at(key);
    if (!value.is_number_unsigned() || value.get<std::uint64_t>() > max) {
        throw error{result_code::platform_bad_answer,
                    std::string{"member: "} + key + " is not an integer from 0 to " + std::to_string(max)};
    }
    return static_cast<number>(value.get<std::uint64_t>());
}

endpoint_state parse_state(const std::string& text) {
    if (text == "ready") {
        return endpoint_state::ready;
    }
    return text == "draining" ? endpoint_state::draining : endpoint_state::absent;
}

} // namespace

endpoint_tracker::endpoint_tracker(std::string service, std::string address) {
    current_.service = std::move(service);
    current_.address = std::move(address);
    current_.state = endpoint_state::absent;
}

void endpoint_tracker::set_state(endpoint_state state) {
    if (current_.state != state) {
        current_.state = state;
        ++revision_;
    }
}

bool endpoint_tracker::on_heartbeat(const heartbeat& beat, time_point now) {
    const bool other_endpoint = beat.service != current_.service || beat.address != current_.address;
    if (other_endpoint || beat.start_unix_ms < current_.start_unix_ms) {
        return false;
    }
    const bool same_start =
        beat.endpoint_id == current_.endpoint_id && beat.start_unix_ms == current_.start_unix_ms;
    if (same_start && beat.sequence <= current_.sequence) {
        return false;
    }
    const auto departed = departed_.find(beat.endpoint_id);
    const bool has_departed = departed != departed_.end() && beat.start_unix_ms <= departed->second;
    const bool changed = beat.endpoint_id != current_.endpoint_id || beat.version != current_.version ||
                         beat.slots != current_.slots || beat.start_unix_ms != current_.start_unix_ms;
    const auto previous_state = current_.state;
    current_ = beat;
    current_.state = previous_state;
    last_heartbeat_ = now;
    if (changed) {
        ++revision_;
    }
    set_state(has_departed ? endpoint_state::draining : beat.state);
    if (beat.state == endpoint_state::draining) {
        departed_[beat.endpoint_id] = beat.start_unix_ms;
    }
    return true;
}

bool endpoint_tracker::on_deregister(std::string_view endpoint_id, std::int64_t not_after_unix_ms) {
    const bool current = endpoint_id == current_.endpoint_id;
    const bool start_known = current && current_.start_unix_ms != 0;
    auto& departed = departed_[std::string{endpoint_id}];
    departed = std::max(departed, start_known ? current_.start_unix_ms : not_after_unix_ms);
    if (current || current_.endpoint_id.empty()) {
        current_.endpoint_id = std::string{endpoint_id};
        ++revision_; // the departure may bind later starts than before
        set_state(endpoint_state::draining);
    }
    return current;
}

std::int64_t endpoint_tracker::start_unix_ms() const {
    const auto departed = departed_.find(current_.endpoint_id);
    const bool has_left = current_.state == endpoint_state::draining && departed != departed_.end();
    return has_left ? std::max(current_.start_unix_ms, departed->second) : current_.start_unix_ms;
}

void endpoint_tracker::on_health(std::string_view endpoint_id, bool healthy, std::uint32_t slots) {
    if (endpoint_id.empty() || current_.state != endpoint_state::absent) {
        return;
    }
    if (current_.endpoint_id != endpoint_id) {
        if (!current_.endpoint_id.empty() && current_.sequence > 0) {
            return; // the next heartbeat reports the new start
        }
        current_.endpoint_id = std::string{endpoint_id};
        current_.slots = slots;
        ++revision_;
    }
    if (!departed_.contains(endpoint_id)) {
        set_state(healthy ? endpoint_state::ready : endpoint_state::draining);
    }
}

void endpoint_tracker::on_reported_departure(std::string_view endpoint_id, std::int64_t start_unix_ms) {
    auto& departed = departed_.try_emplace(std::string{endpoint_id}, start_unix_ms).first->second;
    departed = std::max(departed, start_unix_ms);
    if (current_.endpoint_id == endpoint_id && current_.start_unix_ms <= start_unix_ms) {
        set_state(endpoint_state::draining);
    }
}

void endpoint_tracker::on_unreachable() {
    set_state(endpoint_state::absent);
}

bool endpoint_tracker::expire(time_point now, duration heartbeat_timeout) {
    const bool has_heartbeat = last_heartbeat_ != time_point{};
    if (!has_heartbeat || current_.state == endpoint_state::absent ||
        now - last_heartbeat_ <= heartbeat_timeout) {
        return false;
    }
    set_state(endpoint_state::absent);
    return true;
}

std::string encode(const member& value) {
    return json{{"daemon", value.daemon},
                {"start", value.daemon_start_unix_ms},
                {"revision", value.revision},
                {"address", value.address},
                {"domain", value.failure_domain},
                {"service", value.service},
                {"endpoint", value.endpoint_id},
                {"version", value.version},
                {"slots", value.slots},
                {"state", text_of(value.state)},
                {"born", value.endpoint_start_unix_ms},
                {"stopping", value.stopping},
                {"link_mbps", value.link_mbps}}
        .dump();
}

member decode_member(std::string_view text) {
    try {
        const auto object = json::parse(text);
        member result;
        object.at("daemon").get_to(result.daemon);
        result.daemon_start_unix_ms = read_number<std::int64_t>(object, "start", max_unix_ms);
        result.revision = read_number<std::uint64_t>(object, "revision");
        object.at("address").get_to(result.address);
        object.at("domain").get_to(result.failure_domain);
        object.at("service").get_to(result.service);
        object.at("endpoint").get_to(result.endpoint_id);
        object.at("version").get_to(result.version);
        result.slots = read_number<std::uint32_t>(object, "slots");
        result.state = parse_state(object.at("state").get<std::string>());
        result.endpoint_start_unix_ms = read_number<std::int64_t>(object, "born", max_unix_ms);
        object.at("stopping").get_to(result.stopping);
        if (object.contains("link_mbps")) { // absent in rows of earlier versions
            result.link_mbps = read_number<std::int64_t>(object, "link_mbps");
        }
        if (result.daemon.empty()) {
            throw error{result_code::platform_bad_answer, "member: no name of a daemon"};
        }
        return result;
    } catch (const json::exception& cause) {
        throw error{result_code::platform_bad_answer, std::string{"member: "} + cause.what()};
    }
}

bool supersedes(const member& candidate, const member& known) {
    return std::tie(candidate.daemon_start_unix_ms, candidate.revision) >
           std::tie(known.daemon_start_unix_ms, known.revision);
}

bool row_replica::apply(const store_row& row) {
    const auto [found, is_new] = rows_.try_emplace({row.table, row.key}, row);
    if (is_new) {
        return true;
    }
    if (row.version <= found->second.version) {
        return false;
    }
    found->second = row;
    return true;
}

const store_row* row_replica::find(std::string_view table, std::string_view key) const {
    const auto found = rows_.find({std::string{table}, std::string{key}});
    return found == rows_.end() ? nullptr : &found->second;
}

std::vector<store_row> row_replica::heads() const {
    std::vector<store_row> result;
    result.reserve(rows_.size());
    for (const auto& [key, row] : rows_) {
        result.push_back({row.table, row.key, {}, row.version, row.removed});
    }
    return result;
}

void missing_rows::missing::add_holder(const std::string& daemon, bool same_domain) {
    const bool present = std::any_of(holders.begin(), holders.end(),
                                     [&](const holder& entry) { return entry.daemon == daemon; });
    if (present) {
        return;
    }
    if (holders.size() >= max_holders) {
        if (!same_domain || holders.back().same_domain) {
            return;
        }
        holders.pop_back();
    }
    const auto first_far =
        std::find_if(holders.begin(), holders.end(), [](const holder& entry) { return !entry.same_domain; });
    holders.insert(same_domain ? first_far : holders.end(), {daemon, same_domain});
}

bool missing_rows::on_head(const store_row& head, const std::string& daemon, bool same_domain,
                           const row_replica& rows, time_point now) {
    const auto known = version_in(rows, head);
    if (known >= head.version) {
        return false;
    }
    const auto [found, is_new] = rows_.try_emplace({head.table, head.key});
    auto& entry = found->second;
    const bool is_newer = is_new || head.version > entry.head.version;
    if (is_newer) {
        entry.head = head;
        entry.holders.clear();
        if (entry.announced.size() < max_announcements) {
            entry.announced.push_back({head.version, now});
        } else {
            entry.announced.back().version = head.version;
        }
    }
    if (head.version == entry.head.version) {
        entry.add_holder(daemon, same_domain);
    }
    return is_newer;
}

std::vector<missing_rows::request> missing_rows::take_due(time_point now, const store_timeouts& timeouts,
                                                          const row_replica& rows) {
    std::vector<request> result;
    for (auto item = rows_.begin(); item != rows_.end();) {
        auto& entry = item->second;
        const auto known = version_in(rows, entry.head);
        if (known >= entry.head.version) {
            item = rows_.erase(item);
            continue;
        }
        if (entry.request && now - entry.request->since > fetch_timeout) {
            end_request(entry);
        }
        std::erase_if(entry.announced, [&](const announcement& first) { return first.version <= known; });
        const auto waited = now - entry.announced.front().time;
        const bool has_holder = !entry.holders.empty();
        const bool is_near = has_holder && entry.holders.front().same_domain;
        const auto timeout = is_near ? timeouts.same_domain : timeouts.other_domain;
        if (!entry.request && has_holder && waited >= timeout) {
            entry.request = {entry.holders.front().daemon, now};
            result.push_back({entry.head, entry.request->daemon, waited});
        }
        ++item;
    }
    return result;
}

std::optional<duration> missing_rows::on_answer(const store_row& row, const std::string& daemon,
                                                time_point now) {
    const auto found = rows_.find({row.table, row.key});
    if (found == rows_.end() || !found->second.request || found->second.request->daemon != daemon) {
        return std::nullopt;
    }
    const auto elapsed = now - found->second.request->since;
    found->second.request.reset();
    return elapsed;
}

std::vector<missing_rows::open_request> missing_rows::open_requests() const {
    std::vector<open_request> result;
    for (const auto& [key, entry] : rows_) {
        if (entry.request) {
            result.push_back(*entry.request);
        }
    }
    return result;
}

void missing_rows::on_unanswered(const std::string& daemon) {
    for (auto& [key, entry] : rows_) {
        if (entry.request && entry.request->daemon == daemon) {
            end_request(entry);
        }
    }
}

void missing_rows::end_request(missing& entry) {
    std::erase_if(entry.holders, [&](const holder& known) { return known.daemon == entry.request->daemon; });
    entry.request.reset();
}

} // namespace endive::mesh
