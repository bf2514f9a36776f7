// Selection of the endpoints that a request may be sent to.

#include "sidecar/active_request.h"

namespace endive::sidecar {
namespace {

/// Requests take well under this time, so a load report of this age no longer describes any running request.
constexpr double load_lifetime_s = 3.0;

/// Reduces the outstanding requests of a load report by its age, since some of them have ended by now.
mesh::endpoint_load reduced_by_age(mesh::endpoint_load load, duration age) {
    const double fraction = 1.0 - std::min(1.0, std::chrono::duration<double>(age).count() / load_lifetime_s);
    load.outstanding = static_cast<std::uint32_t>(load.outstanding * fraction);
    load.work =
        std::chrono::duration_cast<duration>(std::chrono::duration<double, std::nano>(load.work) * fraction);
    return load;
}

} // namespace

std::vector<forwarder::endpoint_option> forwarder::ready_options(const std::string& service) const {
    std::vector<endpoint_option> result;
    const auto now = clock_.now();
    const auto& self = peers_.self();
    if (self.service == service && self.state == mesh::endpoint_state::ready) {
        const std::uint32_t added_failures = self.stopping ? suspect_failures : 0;
        result.push_back({&self, nullptr, {self.daemon, true, true, local_.load(), 0, added_failures}});
    }
    for (auto& [name, entry] : peers_.peers()) {
        const auto& about = entry.about;
        const bool usable = about.service == service && about.state == mesh::endpoint_state::ready &&
                            entry.link && entry.load.accepting;
        if (!usable) {
            continue;
        }
        const bool same_domain = about.failure_domain == settings_.failure_domain;
        const std::uint32_t added_failures =
            entry.link->is_suspect(now) || about.stopping ? suspect_failures : 0;
        result.push_back({&about,
                          &entry,
                          {name, false, same_domain, reduced_by_age(entry.load, now - entry.load_time),
                           entry.sent_since_load, entry.failures + added_failures, entry.work_since_load}});
    }
    return result;
}

/// The version whose endpoints serve what no rollout sends to its new version: that of the last completed
/// rollout, otherwise that of the endpoint that started first. A version that appears later has to be
/// ordered, and one whose rollout did not complete is used only when there is no other. Empty when none is
/// known.
std::string forwarder::version_in_use(std::span<const endpoint_option> options,
                                      const std::string& service) const {
    const auto* history = moves_.history(service);
    const auto is_rejected = [&](const endpoint_option& entry) {
        return history != nullptr && history->is_rejected(entry.about->version);
    };
    const endpoint_option* best = nullptr;
    for (const auto& entry : options) {
        const auto& about = *entry.about;
        if (about.version.empty() || about.endpoint_start_unix_ms == 0) {
            continue;
        }
        if (history != nullptr && about.version == history->stable()) {
            return about.version;
        }
        if (best == nullptr || std::pair{is_rejected(entry), about.endpoint_start_unix_ms} <
                                   std::pair{is_rejected(*best), best->about->endpoint_start_unix_ms}) {
            best = &entry;
        }
    }
    return best == nullptr ? std::string{} : best->about->version;
}

/// Keeps the endpoints of the version that the request may be sent to.
void forwarder::select_version(std::vector<endpoint_option>& options, const active_request& item) const {
    const auto& choice = item.version;
    if (!choice.target_version.empty()) {
        const auto is_new = [&](const endpoint_option& entry) {
            return entry.about->version == choice.target_version;
        };
        const bool any_new = std::any_of(options.begin(), options.end(), is_new);
        const bool use_new = choice.only_new || (choice.use_new && any_new && item.attempts_used() == 0);
        std::erase_if(options, [&](const endpoint_option& entry) {
            return is_new(entry) != use_new || entry.about->version.empty();
        });
        if (use_new) {
            return;
        }
    }
    const auto in_use = version_in_use(options, item.service);
    std::erase_if(options, [&](const endpoint_option& entry) {
        return !in_use.empty() && !entry.about->version.empty() && entry.about->version != in_use;
    });
}

std::vector<forwarder::endpoint_option> forwarder::options_for(const active_request& item) const {
    auto options = ready_options(item.service);
    select_version(options, item);
    std::erase_if(options, [&](const endpoint_option& entry) {
        return std::any_of(item.attempts.begin(), item.attempts.end(), [&](const attempt_trace& attempt) {
            return attempt.daemon == entry.about->daemon && attempt.why != mesh::reason::busy;
        });
    });
    return options;
}

void forwarder::remove_full(std::vector<endpoint_option>& options, active_request& item, time_point now) {
    item.skipped_full = 0;
    const auto facts = item.admission(now);
    const auto position = stable_hash(item.request_id); // the same for all endpoints
    std::erase_if(options, [&](const endpoint_option& entry) {
        const auto wait =
            entry.remote == nullptr ? std::nullopt : entry.remote->refusals.expected_refusal(facts, now);
        if (wait) {
            ++item.skipped_full;
            item.record_refusal(mesh::reason::no_room,
                                fairness::spread_wait(*wait, item.longest_retry_delay(now), position));
            counters_.add("skipped_full");
        }
        return wait.has_value();
    });
}

} // namespace endive::sidecar
