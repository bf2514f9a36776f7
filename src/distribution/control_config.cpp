// Configuration: verification at a start, head polling, pulls and submissions.

#include "distribution/control_node_impl.h"
#include "distribution/schedules.h"

#include <algorithm>

namespace endive::distribution {
namespace {

using namespace std::chrono_literals;

// Lets the other links of a starting daemon come up before it counts its known peers.
constexpr auto peer_gather_time = 500ms;
constexpr auto peer_request_interval = 1000ms;
constexpr std::size_t wanted_peer_answers = 3;

} // namespace

void control_node::impl::begin_verification(std::string reason) {
    if (leaving) {
        return;
    }
    check = {};
    check.active = true;
    check.nonce = random.next();
    check.next_request = now;
    confirmed = false;
    not_ready_reason = std::move(reason);
    calls.abandon(requester::head);
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
        check.ask_peers = true;
        return;
    }
    head_backoff.reset();
    next_head_poll = now + random.jittered(head_poll_interval(members.live()));
    learn_head(head ? *head : head_row{});
}

void control_node::impl::learn_head(const head_row& head) {
    const version_digest named{head.version, head.digest};
    if (named.version > 0) {
        puller.learn_head(named);
    }
    if (check.active) {
        check.by_head = true;
        check.required = std::max(named.version, check.required.value_or(0));
        check.ask_peers = store.refused(named.version, named.digest);
    } else if (!confirmed) {
        confirmed = store.version() >= named.version;
        if (!confirmed) {
            next_head_poll = std::min(next_head_poll, now + random.jittered(config::min_head_poll_interval));
        }
    }
}

void control_node::impl::step_verification() {
    if (!check.active) {
        return;
    }
    if (check.ask_peers) {
        ask_peers();
        choose_peer_version();
    }
    if (check.required && store.version() >= *check.required) {
        check.active = false;
        confirmed = check.by_head;
    }
}

void control_node::impl::ask_peers() {
    if (now < check.next_request) {
        return;
    }
    check.next_request = now + peer_request_interval;
    for (const auto& [id, link] : links) {
        const auto answered = check.answers.find(id);
        if (answered == check.answers.end() || !answered->second.ready) {
            send(id, message_priority::urgent, state_request{check.nonce});
        }
    }
}

void control_node::impl::choose_peer_version() {
    if (check.required && !check.by_head) {
        return;
    }
    time_point first_up = time_point::max();
    for (const auto& [id, link] : links) {
        first_up = std::min(first_up, link.up_since);
    }
    if (links.empty() || now - first_up < peer_gather_time ||
        check.answers.size() < std::min(wanted_peer_answers, links.size())) {
        return;
    }
    std::uint64_t floor = std::max(store.version(), members.self().version_floor);
    std::optional<std::uint64_t> best;
    for (const auto& [id, answer] : check.answers) {
        floor = std::max(floor, answer.floor);
        if (answer.ready && !store.refused(answer.version, answer.digest)) {
            best = std::max(best.value_or(0), answer.version);
        }
    }
    if (best && *best >= floor) {
        check.required = *best;
        check.by_head = false;
    }
}

void control_node::impl::after_offer(const offer_result& result) {
    if (result.outcome == offer_outcome::refused && check.active && check.by_head) {
        check.ask_peers = true;
    }
    if (result.outcome != offer_outcome::applied) {
        return;
    }
    out.emplace_back(apply_snapshot{store.active()});
    members.note_version(settings.id, store.version());
    const version_notice notice{store.version(), store.digest()};
    for (const auto& [id, link] : links) {
        if (puller.peer_version(id).version < notice.version) {
            send(id, message_priority::configuration, notice);
        }
    }
}

void control_node::impl::take(acceptance_output& output) {
    if (output.head_seen) {
        puller.learn_head({output.head_seen->version, output.head_seen->digest});
    }
    if (output.accepted) {
        const version_digest accepted{output.accepted->snapshot.version, output.accepted->digest};
        puller.learn_head(accepted);
        after_offer(store.offer(std::move(output.accepted->snapshot), accepted.digest));
        // The conditional write succeeded on this very version, so the table has confirmed it.
        confirmed = confirmed || (!check.active && store.version() == accepted.version);
    }
    for (auto& finished : output.finished) {
        out.emplace_back(std::move(finished));
    }
}

void control_node::impl::receive(const member_id& from, const version_notice& input) {
    puller.learn(from, {input.version, input.digest});
    members.note_version(from, input.version);
}

void control_node::impl::receive(const member_id& from, const config_request& input) {
    auto answer = server.answer(now, from, input, store);
    send(from, message_priority::configuration, std::move(answer));
}

void control_node::impl::receive(const member_id& from, const config_chunk& input) {
    if (const auto outcome = puller.on_chunk(now, from, input, store, out)) {
        after_offer(*outcome);
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
    if (!check.active || input.nonce != check.nonce) {
        return;
    }
    check.answers[from] = input;
    if (input.version > 0) {
        puller.learn(from, {input.version, input.digest});
    }
}

std::string control_node::impl::lag_reason() const {
    const auto newest = puller.newest(store);
    if (newest.version <= store.version()) {
        return check.active ? not_ready_reason : std::string{};
    }
    if (const auto refusal = store.refusal(newest.version, newest.digest); !refusal.empty()) {
        return "refused: " + refusal;
    }
    return puller.last_fault().empty() ? "pulling" : puller.last_fault();
}

} // namespace endive::distribution
