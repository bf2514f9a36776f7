#include "sidecar/key_proofs.h"

#include "sidecar/events.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Age from which other daemons are asked. A daemon that watches the store renews its proof when a watch
/// ends, which is up to two times 700 ms after the earlier one was sent; it does not need to ask, and one
/// that asks it at this age gets a renewed proof.
constexpr duration ask_age = milliseconds{1450};
/// Ages from which more daemons are asked at once. Requests are served for 3 s after the last path to the
/// store is lost, so the age should stay below 1.9 s while there is a path.
constexpr duration worried_age = milliseconds{1700};
constexpr duration alarmed_age = milliseconds{2500};
constexpr duration ask_interval = milliseconds{200};
/// Number of daemons asked at once, by the age.
constexpr std::size_t asked_first = 1;
constexpr std::size_t asked_when_worried = 2;
constexpr std::size_t asked_when_alarmed = 4;
/// An answer that takes longer proves nothing that is young enough.
constexpr duration answer_timeout = std::chrono::seconds{5};

} // namespace

key_proofs::key_proofs(const clock_source& clock, counter_set& counters, const sidecar_settings& settings)
    : clock_{clock}, counters_{counters}, fail_closed_{settings.fail_closed}, freshness_{
                                                                                  settings.revoke_time} {}

void key_proofs::on_row(std::uint64_t version) {
    freshness_.on_row(version);
    next_ask_ = time_point{};
}

void key_proofs::on_store_read(time_point sent, std::uint64_t version) {
    freshness_.accept_read(sent, version);
}

void key_proofs::on_reading(const std::string& daemon, bool reading) {
    if (reading) {
        readers_.insert(daemon);
    } else {
        readers_.erase(daemon);
    }
}

void key_proofs::on_ping_answer(const std::string& daemon, const ping_message& answer) {
    const auto found = questions_.find(answer.id);
    if (found == questions_.end() || found->second.daemon != daemon) {
        return; // the answer to a ping that only checked the link
    }
    const auto sent = found->second.sent;
    questions_.erase(found);
    if (!answer.proof) {
        return;
    }
    const auto before = freshness_.proof();
    freshness_.accept_answer(sent, answer.proof->age, answer.proof->version);
    if (freshness_.proof() != before) {
        last_source_ = daemon;
    } else if (last_source_ == daemon) {
        last_source_.clear(); // its own path to the store is lost as well
    }
}

std::optional<key_proof> key_proofs::own_proof() const {
    const auto own_age = age();
    if (!own_age) {
        return std::nullopt;
    }
    // Rounded up, so that the receiver never takes the proof for younger than it is.
    const auto rounded = std::chrono::ceil<std::chrono::microseconds>(*own_age);
    return key_proof{freshness_.proof()->version, rounded};
}

bool key_proofs::is_current() const {
    return !fail_closed_ || freshness_.is_current(clock_.now());
}

std::optional<duration> key_proofs::age() const {
    return fail_closed_ ? freshness_.age(clock_.now()) : std::nullopt;
}

json key_proofs::age_ms() const {
    const auto own_age = age();
    return own_age ? json(std::chrono::duration_cast<milliseconds>(*own_age).count()) : json();
}

void key_proofs::tick(const peer_set& peers, bool has_tenants) {
    if (!fail_closed_ || !has_tenants) {
        return;
    }
    const auto now = clock_.now();
    report_change(now);
    std::erase_if(questions_, [&](const auto& entry) { return now - entry.second.sent > answer_timeout; });
    const auto own_age = freshness_.age(now);
    if (now >= next_ask_ && (!own_age || *own_age >= ask_age)) {
        next_ask_ = now + ask_interval;
        ask(peers, now);
    }
}

/// Asks the daemon that helped last, then those of the failure domain that read the store, then all others in
/// turn: any daemon may have a younger proof, and its answer tells the true age.
void key_proofs::ask(const peer_set& peers, time_point now) {
    using askable = std::pair<std::string_view, std::shared_ptr<peer_link>>;
    std::vector<askable> preferred;
    std::vector<askable> others;
    for (const auto& [name, entry] : peers.peers()) {
        if (!entry.link || entry.link->is_suspect(now)) {
            continue;
        }
        const bool is_preferred = name == last_source_ || readers_.contains(name);
        (is_preferred ? preferred : others).emplace_back(name, entry.link);
    }
    if (!preferred.empty()) {
        const auto first = std::find_if(preferred.begin(), preferred.end(),
                                        [&](const askable& entry) { return entry.first == last_source_; });
        const auto offset = first != preferred.end()
                                ? first - preferred.begin()
                                : static_cast<std::ptrdiff_t>(rotation_++ % preferred.size());
        std::rotate(preferred.begin(), preferred.begin() + offset, preferred.end());
    }
    const auto own_age = freshness_.age(now);
    std::size_t count = asked_first;
    if (!own_age || *own_age >= alarmed_age) {
        count = asked_when_alarmed;
    } else if (*own_age >= worried_age) {
        count = asked_when_worried;
    }
    // Half of several questions go to others, as what was preferred has not helped so far.
    const auto from_others = std::min(others.size(), count - std::min(preferred.size(), (count + 1) / 2));
    preferred.resize(std::min(preferred.size(), count - from_others));
    for (std::size_t i = 0; i < from_others; ++i) {
        preferred.push_back(others[rotation_++ % others.size()]);
    }
    for (const auto& [name, link] : preferred) {
        const auto id = next_id_++;
        questions_[id] = {std::string{name}, now};
        counters_.add("key_proof_questions");
        link->send(ping_message{id, false});
    }
}

void key_proofs::report_change(time_point now) {
    const bool current = freshness_.is_current(now);
    if (reported_current_ == current) {
        return;
    }
    reported_current_ = current;
    log(current ? event::keys_current : event::keys_stale, {{"age_ms", age_ms()}, {"source", last_source_}});
}

} // namespace endive::sidecar
