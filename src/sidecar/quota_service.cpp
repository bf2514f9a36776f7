#include "sidecar/quota_service.h"

#include "sidecar/events.h"

namespace endive::sidecar {
namespace {

constexpr duration view_interval = milliseconds{100};
/// Time between two log lines about the refusals of a tenant.
constexpr duration report_interval = std::chrono::seconds{1};
/// Most links to the other daemons are up this long after the start. Requests of tenants with a limit are
/// refused until then.
constexpr duration settling_time = milliseconds{700};
/// Without the store, the others have connected to a daemon that has restarted after this time.
constexpr duration settling_time_without_store = std::chrono::seconds{5};

std::uint64_t id_of(time_point at) {
    return static_cast<std::uint64_t>(
        std::chrono::duration_cast<std::chrono::nanoseconds>(at.time_since_epoch()).count());
}

/// The time that an id of this daemon stands for; empty when it cannot be one.
std::optional<time_point> time_of(std::uint64_t id, time_point now) {
    if (id > id_of(now)) {
        return std::nullopt;
    }
    return time_point{std::chrono::duration_cast<duration>(std::chrono::nanoseconds{id})};
}

std::uint64_t whole(double tokens) {
    return static_cast<std::uint64_t>(tokens);
}

} // namespace

quota_service::quota_service(const clock_source& clock, counter_set& counters,
                             const sidecar_settings& settings, peer_set& peers)
    : clock_{clock}, counters_{counters}, peers_{peers}, view_{settings.name, settings.link_mbps},
      coordinator_{{settings.quota_window, settings.quota_overage, settings.quota_slack}, settings.name},
      stop_grace_{settings.stop_grace}, started_{clock.now()} {}

void quota_service::set_configuration(const mesh::configuration& configuration) {
    const auto now = clock_.now();
    configuration_ = configuration.version;
    client_.set_tenants(configuration.tenants);
    coordinator_.set_tenants(configuration.tenants, view_, now);
    next_view_ = now;
}

std::uint64_t quota_service::decide(const std::string& tenant, handler done) {
    const auto now = clock_.now();
    auto decision = client_.on_request(tenant, now);
    flush(now);
    if (decision.verdict == tenants::quota_verdict::wait) {
        decision = client_.resume(tenant, now, now); // this daemon may coordinate the tenant
    }
    if (decision.verdict == tenants::quota_verdict::wait) {
        counters_.add("quota_waited");
        parked_.emplace(next_parked_, parked{tenant, now, std::move(done)});
        return next_parked_++;
    }
    if (decision.verdict == tenants::quota_verdict::refuse) {
        record_refusal(tenant, decision.retry_after);
    }
    done(decision);
    return 0;
}

void quota_service::leave(std::uint64_t waiting) {
    const auto found = parked_.find(waiting);
    if (found != parked_.end()) {
        client_.on_left(found->second.tenant);
        parked_.erase(found);
    }
}

void quota_service::give_back(const std::string& tenant) {
    counters_.add("quota_given_back");
    client_.give_back(tenant);
}

void quota_service::charge(const std::string& tenant) {
    client_.charge(tenant);
}

/// Decides again about the requests that wait. Ended ones may lead to new ones.
void quota_service::resume(time_point now) {
    std::vector<std::pair<handler, tenants::quota_decision>> decided;
    for (auto next = parked_.begin(); next != parked_.end();) {
        auto& item = next->second;
        const auto decision = client_.resume(item.tenant, item.since, now);
        if (decision.verdict == tenants::quota_verdict::wait) {
            ++next;
            continue;
        }
        if (decision.verdict == tenants::quota_verdict::refuse) {
            record_refusal(item.tenant, decision.retry_after);
        }
        decided.emplace_back(std::move(item.done), decision);
        next = parked_.erase(next);
    }
    for (const auto& [done, decision] : decided) {
        done(decision);
    }
}

tenants::quota_lease quota_service::lease(const tenants::quota_ask& ask, time_point now) {
    auto result = coordinator_.on_ask(ask, view_, now);
    counters_.add("quota_tokens_leased", whole(result.tokens));
    counters_.add("quota_tokens_returned", whole(ask.returned));
    return result;
}

void quota_service::flush(time_point now) {
    std::map<std::string, std::vector<tenants::quota_ask>> by_coordinator;
    for (auto& ask : client_.take_asks(now)) {
        const auto& coordinator = view_.coordinator_of(ask.tenant);
        if (coordinator == view_.self()) {
            const auto leased = lease(ask, now);
            if (ask.tokens > 0) {
                client_.on_lease(leased, now, now);
            }
        } else {
            by_coordinator[coordinator].push_back(std::move(ask));
        }
    }
    for (const auto& [coordinator, asks] : by_coordinator) {
        send(coordinator, asks, now);
    }
}

void quota_service::send(const std::string& coordinator, const std::vector<tenants::quota_ask>& asks,
                         time_point now) {
    const auto* entry = peers_.find(coordinator);
    if (entry == nullptr || !entry->link) {
        next_view_ = now; // the tenants get another coordinator
        for (const auto& ask : asks) {
            client_.on_unanswered(ask.tenant);
        }
        return;
    }
    quota_message message{id_of(now), false, configuration_, {}};
    for (const auto& ask : asks) {
        message.entries.push_back({ask.tenant, ask.tokens, ask.returned, milliseconds{0}, ask.spent});
    }
    counters_.add("quota_asks");
    entry->link->send(message);
}

void quota_service::answer(const std::shared_ptr<peer_link>& link, const quota_message& message,
                           time_point now) {
    quota_message reply{message.id, true, configuration_, {}};
    for (const auto& entry : message.entries) {
        const auto leased = lease({entry.tenant, entry.tokens, entry.spent, entry.returned}, now);
        if (entry.tokens >= 1) {
            reply.entries.push_back(
                {entry.tenant, leased.tokens, 0, std::chrono::ceil<milliseconds>(leased.wait)});
        }
    }
    if (!reply.entries.empty()) {
        link->send(reply);
    }
}

void quota_service::on_message(const std::shared_ptr<peer_link>& link, const quota_message& message) {
    const auto now = clock_.now();
    if (!message.answer && !message.entries.empty()) {
        answer(link, message, now);
        return;
    }
    if (!message.answer) {
        if (!client_.empty()) {
            view_.on_heard(link->daemon(), now);
            link->send(quota_message{message.id, true, configuration_, {}, view_.grant(now)});
        }
        return;
    }
    const auto asked = time_of(message.id, now);
    if (!asked) {
        return;
    }
    if (message.grant) {
        coordinator_.on_grant(link->daemon(), *message.grant, *asked, now);
        return;
    }
    view_.on_heard(link->daemon(), now);
    for (const auto& entry : message.entries) {
        counters_.add("quota_tokens_received", whole(entry.tokens));
        client_.on_lease({entry.tenant, entry.tokens, entry.wait}, *asked, now);
    }
    resume(now);
    flush(now);
}

void quota_service::update_view(time_point now) {
    next_view_ = now + view_interval;
    std::vector<tenants::quota_view::candidate> linked;
    std::size_t present = 1;
    for (const auto& [name, entry] : peers_.peers()) {
        present += has_ended(entry, now) ? 0 : 1;
        if (entry.link && !entry.about.stopping) {
            linked.push_back({name, entry.about.link_mbps});
        }
    }
    const auto needed = members_known_ ? settling_time : settling_time_without_store;
    const auto known = now - started_ < needed ? 0 : present;
    if (!view_.update(linked, known, !peers_.self().stopping, now)) {
        return;
    }
    coordinator_.on_view(view_, now);
    next_probe_ = now;
    log(event::quota_coordinators, {{"coordinators", view_.coordinators()},
                                    {"coordinates", coordinator_.tenant_count()},
                                    {"linked", linked.size()},
                                    {"daemons", known}});
}

/// True for a daemon that announced its end and has been gone for longer than the end may take: it admits no
/// request, and its part of the quotas belongs to the others.
bool quota_service::has_ended(const peer& entry, time_point now) const {
    return entry.about.stopping && !entry.link && entry.unreachable_since &&
           now - *entry.unreachable_since > stop_grace_;
}

/// Asks all daemons to delegate their parts of the quotas.
void quota_service::probe(time_point now) {
    next_probe_ = now + tenants::quota_probe_interval;
    if (!view_.leads()) {
        return;
    }
    const auto frame =
        std::make_shared<const std::string>(encode(quota_message{id_of(now), false, configuration_, {}}));
    for (const auto& [name, entry] : peers_.peers()) {
        if (entry.link) {
            entry.link->send_frame(frame, "quota");
        }
    }
}

void quota_service::record_refusal(const std::string& tenant, duration retry_after) {
    auto& entry = refusals_[tenant];
    ++entry.count;
    entry.retry_after = retry_after;
}

void quota_service::log_refusals(time_point now) {
    next_report_ = now + report_interval;
    for (const auto& [tenant, entry] : std::exchange(refusals_, {})) {
        log(event::quota_refusals,
            {{"tenant", tenant},
             {"refused", entry.count},
             {"retry_after_ms", std::chrono::duration_cast<milliseconds>(entry.retry_after).count()},
             {"coordinator", view_.coordinator_of(tenant)},
             {"share", coordinator_.share(tenant, view_, now)}});
    }
}

void quota_service::tick(time_point now) {
    if (client_.empty() && parked_.empty()) {
        return;
    }
    if (now >= next_view_) {
        update_view(now);
    }
    if (now >= next_probe_) {
        probe(now);
    }
    client_.tick(now);
    flush(now);
    resume(now);
    const auto unanswered = client_.unanswered();
    counters_.add("quota_unanswered", unanswered - std::exchange(reported_unanswered_, unanswered));
    if (now >= next_report_) {
        log_refusals(now);
    }
}

} // namespace endive::sidecar
