#include "distribution/config_puller.h"

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

// A neighbour answers within milliseconds; a longer timeout only delays the attempt with the next peer.
constexpr auto chunk_timeout = 1000ms;
constexpr duration first_retry = 100ms;
constexpr duration longest_retry = 2000ms;
// After this many failed attempts with peers, one attempt goes to the object store; the cycle then repeats.
constexpr int peer_attempts = 3;

} // namespace

void config_puller::set_peer_version(const member_id& peer, version_digest available) {
    peers_[peer] = available;
    last_notifier_ = peer;
}

void config_puller::remove_peer(const member_id& peer) {
    peers_.erase(peer);
    if (pull_.from == source::peer && pull_.peer == peer) {
        pull_ = {};
    }
}

version_digest config_puller::peer_version(const member_id& peer) const {
    const auto found = peers_.find(peer);
    return found == peers_.end() ? version_digest{} : found->second;
}

version_digest config_puller::newest(const config_store& store) const {
    version_digest best{store.version(), store.digest()};
    best = head_.version > best.version ? head_ : best;
    for (const auto& [peer, available] : peers_) {
        if (available.version > best.version) {
            best = available;
        }
    }
    return best;
}

version_digest config_puller::target(const config_store& store) const {
    version_digest best{store.version(), store.digest()};
    const auto consider = [&](version_digest available) {
        const auto wanted = available.version > best.version ||
                            (faults_.accept_older_versions && available.version != store.version());
        if (wanted && !store.refused(available.version, available.digest)) {
            best = available;
        }
    };
    consider(head_);
    for (const auto& [peer, available] : peers_) {
        consider(available);
    }
    return best;
}

void config_puller::step(time_point now, const config_store& store, std::uint64_t required,
                         platform_calls& calls, std::vector<action>& actions) {
    const auto wanted = target(store);
    const auto reached = wanted.version <= store.version();
    if (faults_.accept_older_versions ? wanted.version == store.version() : reached) {
        pull_ = {};
        last_error_.clear();
        return;
    }
    if (pull_.from != source::none) {
        if (now < pull_.deadline) {
            return;
        }
        fail(now, "the pull timed out");
    }
    if (now < next_attempt_ || wanted.version < required) {
        return;
    }
    start(now, store, wanted, calls, actions);
}

std::optional<member_id> config_puller::choose_peer(version_digest wanted) {
    if (failures_ == 0 && peer_version(last_notifier_) == wanted) {
        return last_notifier_;
    }
    std::vector<const member_id*> candidates;
    for (const auto& [peer, available] : peers_) {
        if (available == wanted) {
            candidates.push_back(&peer);
        }
    }
    if (candidates.empty()) {
        return {};
    }
    return *candidates[random_.below(candidates.size())];
}

void config_puller::start(time_point now, const config_store& store, version_digest wanted,
                          platform_calls& calls, std::vector<action>& actions) {
    if (failing_version_ != wanted) {
        failing_version_ = wanted;
        failures_ = 0;
        full_snapshot_ = false;
    }
    const auto peer = choose_peer(wanted);
    const auto ask_platform = !peer || (failures_ % (peer_attempts + 1)) == peer_attempts;
    if (ask_platform) {
        ++counts_.object;
        pull_ = {
            source::object, {}, wanted, 0, 0, {}, now + config::platform_request_timeout + chunk_timeout};
        calls.object_get(now, requester::snapshot_object, snapshot_key(wanted.version, wanted.digest));
        return;
    }
    const auto base = full_snapshot_ ? 0 : store.version();
    ++(base == 0 ? counts_.snapshot : counts_.delta);
    pull_ = {source::peer, *peer, wanted, base, 0, {}, {}};
    request_chunk(now, actions);
}

void config_puller::request_chunk(time_point now, std::vector<action>& actions) {
    pull_.deadline = now + chunk_timeout;
    actions.emplace_back(send_message{pull_.peer, message_priority::configuration,
                                      config_request{pull_.wanted.version, pull_.base, pull_.next_chunk}});
}

void config_puller::fail(time_point now, std::string reason) {
    pull_ = {};
    last_error_ = std::move(reason);
    const auto doubled = first_retry * (1LL << std::min(failures_, 5));
    ++failures_;
    next_attempt_ = now + random_.jittered(std::min<duration>(doubled, longest_retry));
}

void config_puller::finish(const offer_result& result, time_point now) {
    if (result.outcome == offer_outcome::mismatched) {
        full_snapshot_ = true;
        fail(now, result.reason);
        return;
    }
    pull_ = {};
    failures_ = 0;
    full_snapshot_ = false;
    next_attempt_ = now;
    last_error_ = result.outcome == offer_outcome::refused ? result.reason : std::string{};
}

std::optional<offer_result> config_puller::on_chunk(time_point now, const member_id& from,
                                                    const config_chunk& chunk, config_store& store,
                                                    std::vector<action>& actions) {
    const auto expected = pull_.from == source::peer && pull_.peer == from &&
                          pull_.wanted == version_digest{chunk.version, chunk.digest} &&
                          pull_.base == chunk.base_version && pull_.next_chunk == chunk.chunk &&
                          chunk.chunk < chunk.chunks;
    if (!expected) {
        return {};
    }
    if (pull_.bytes.size() + chunk.bytes.size() > config::max_config_bytes) {
        fail(now, "the configuration exceeds the size limit");
        return {};
    }
    pull_.bytes += chunk.bytes;
    ++pull_.next_chunk;
    if (pull_.next_chunk < chunk.chunks) {
        request_chunk(now, actions);
        return {};
    }
    const auto done = std::exchange(pull_, {});
    const auto result = done.base == 0
                            ? store.offer_snapshot_bytes(done.wanted.version, done.wanted.digest, done.bytes)
                            : store.offer_delta_bytes(done.wanted.version, done.wanted.digest, done.bytes);
    finish(result, now);
    return result;
}

void config_puller::on_refusal(time_point now, const member_id& from, const config_refusal& refusal) {
    if (pull_.from != source::peer || pull_.peer != from || pull_.wanted.version != refusal.version ||
        pull_.base != refusal.base_version) {
        return;
    }
    switch (refusal.reason) {
    case config_refusal_reason::base_absent:
        // The peer has the version but not the base of the delta: request the whole snapshot immediately.
        full_snapshot_ = true;
        pull_ = {};
        next_attempt_ = now;
        break;
    case config_refusal_reason::version_absent:
        peers_.erase(from);
        fail(now, "the peer no longer has the version");
        break;
    case config_refusal_reason::busy:
        fail(now, "the peer has no free snapshot transfer slot");
        break;
    }
}

std::optional<offer_result> config_puller::on_object(time_point now, const platform_result& result,
                                                     config_store& store) {
    if (pull_.from != source::object) {
        return {};
    }
    const auto wanted = pull_.wanted;
    pull_ = {};
    if (result.code != result_code::ok) {
        fail(now, "object store: " + std::string{to_string(result.code)});
        return {};
    }
    if (!result.object) {
        fail(now, "the snapshot object is absent");
        return {};
    }
    const auto outcome = store.offer_snapshot_bytes(wanted.version, wanted.digest, *result.object);
    finish(outcome, now);
    return outcome;
}

} // namespace endive::distribution
