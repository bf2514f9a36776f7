// Configuration: version verification at a start or after a pause, head polling, pulls and submissions.

#include "distribution/control_node_impl.h"
#include "distribution/schedules.h"

#include <algorithm>

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

// Gives a starting daemon time to establish its other links before it decides how many answers to wait for.
constexpr auto peer_collection_time = 500ms;
constexpr auto peer_request_interval = 1000ms;
constexpr std::size_t required_peer_answers = 3;

} // namespace

void control_node::impl::begin_verification(std::string reason) {
    if (leaving) {
        return;
    }
    version_check = {};
    version_check.active = true;
    version_check.nonce = random.next();
    version_check.next_request = now;
    confirmed = false;
    not_ready_reason = std::move(reason);
    calls.cancel(requester::head);
    head_backoff.reset();
    next_head_poll = now;
}

void control_node::impl::poll_head() {
    if (leaving || now < next_head_poll || calls.pending(requester::head)) {
        return;
    }
    calls.table_get(now, requester::head, std::string{head_key});
}

void control_node::impl::on_head(const platform_result& result) {
    auto head = result.row ? decode_head(result.row->value) : std::nullopt;
    const auto usable = result.code == result_code::ok && (head || !result.row);
    if (!usable) {
        const auto wait = head_backoff.next(random);
        const auto interval = confirmed ? random.jittered(head_poll_interval(members.live())) : duration{0};
        next_head_poll = now + std::max(wait, interval);
        version_check.ask_peers = true;
        return;
    }
    head_backoff.reset();
    next_head_poll = now + random.jittered(head_poll_interval(members.live()));
    observe_head(head ? *head : head_row{});
}

void control_node::impl::observe_head(const head_row& head) {
    const version_digest named{head.version, head.digest};
    if (named.version > 0) {
        puller.observe_head(named);
    }
    if (version_check.active) {
        version_check.from_head = true;
        version_check.required = std::max(named.version, version_check.required.value_or(0));
        version_check.ask_peers = store.refused(named.version, named.digest);
    } else if (!confirmed) {
        confirmed = store.version() >= named.version;
        if (!confirmed) {
            next_head_poll = std::min(next_head_poll, now + random.jittered(config::min_head_poll_interval));
        }
    }
}

void control_node::impl::step_verification() {
    if (!version_check.active) {
        return;
    }
    if (version_check.ask_peers) {
        ask_peers();
        choose_peer_version();
    }
    if (version_check.required && store.version() >= *version_check.required) {
        version_check.active = false;
        confirmed = version_check.from_head;
    }
}

void control_node::impl::ask_peers() {
    if (now < version_check.next_request) {
        return;
    }
    version_check.next_request = now + peer_request_interval;
    for (const auto& [id, link] : links) {
        const auto answered = version_check.answers.find(id);
        if (answered == version_check.answers.end() || !answered->second.ready) {
            send(id, message_priority::urgent, state_request{version_check.nonce});
        }
    }
}

void control_node::impl::choose_peer_version() {
    if (version_check.required && !version_check.from_head) {
        return;
    }
    time_point first_up = time_point::max();
    for (const auto& [id, link] : links) {
        first_up = std::min(first_up, link.up_since);
    }
    if (links.empty() || now - first_up < peer_collection_time ||
        version_check.answers.size() < std::min(required_peer_answers, links.size())) {
        return;
    }
    std::uint64_t floor = std::max(store.version(), members.self().version_floor);
    std::optional<std::uint64_t> best;
    for (const auto& [id, answer] : version_check.answers) {
        floor = std::max(floor, answer.floor);
        if (answer.ready && !store.refused(answer.version, answer.digest)) {
            best = std::max(best.value_or(0), answer.version);
        }
    }
    if (best && *best >= floor) {
        version_check.required = *best;
        version_check.from_head = false;
    }
}

void control_node::impl::on_offer_result(const offer_result& result) {
    if (result.outcome == offer_outcome::refused && version_check.active && version_check.from_head) {
        version_check.ask_peers = true;
    }
    if (result.outcome != offer_outcome::applied) {
        return;
    }
    out.emplace_back(apply_snapshot{store.active()});
    members.raise_version_floor(settings.id, store.version());
    const version_notice notice{store.version(), store.digest()};
    for (const auto& [id, link] : links) {
        if (puller.peer_version(id).version < notice.version) {
            send(id, message_priority::configuration, notice);
        }
    }
}

void control_node::impl::apply_acceptance(acceptance_output& output) {
    if (output.observed_head) {
        puller.observe_head({output.observed_head->version, output.observed_head->digest});
    }
    if (output.accepted) {
        const version_digest accepted{output.accepted->snapshot.version, output.accepted->digest};
        puller.observe_head(accepted);
        on_offer_result(store.offer(std::move(output.accepted->snapshot), accepted.digest));
        // The conditional write of this version succeeded, so the table has confirmed it.
        confirmed = confirmed || (!version_check.active && store.version() == accepted.version);
    }
    for (auto& finished : output.finished) {
        out.emplace_back(std::move(finished));
    }
}

void control_node::impl::receive(const member_id& from, const version_notice& input) {
    puller.set_peer_version(from, {input.version, input.digest});
    members.raise_version_floor(from, input.version);
}

void control_node::impl::receive(const member_id& from, const config_request& input) {
    auto answer = server.answer(now, from, input, store);
    send(from, message_priority::configuration, std::move(answer));
}

void control_node::impl::receive(const member_id& from, const config_chunk& input) {
    if (const auto outcome = puller.on_chunk(now, from, input, store, out)) {
        on_offer_result(*outcome);
    }
}

void control_node::impl::receive(const member_id& from, const config_refusal& input) {
    puller.on_refusal(now, from, input);
}

void control_node::impl::receive(const member_id& from, const state_request& input) {
    send(from, message_priority::urgent,
         state_answer{input.nonce, ready(), store.version(), store.digest(), members.version_floor(from)});
}

void control_node::impl::receive(const member_id& from, const state_answer& input) {
    if (!version_check.active || input.nonce != version_check.nonce) {
        return;
    }
    version_check.answers[from] = input;
    if (input.version > 0) {
        puller.set_peer_version(from, {input.version, input.digest});
    }
}

std::string control_node::impl::lag_reason() const {
    const auto newest = puller.newest(store);
    if (newest.version <= store.version()) {
        return version_check.active ? not_ready_reason : std::string{};
    }
    if (const auto refusal = store.refusal(newest.version, newest.digest); !refusal.empty()) {
        return "refused: " + refusal;
    }
    return puller.last_error().empty() ? "pulling" : puller.last_error();
}

} // namespace endive::distribution
