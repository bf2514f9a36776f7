#include "distribution/acceptance.h"

#include <algorithm>

namespace endive::distribution {
namespace {

bool outcome_unknown(result_code code) {
    return code == result_code::platform_timeout || code == result_code::platform_outcome_unknown ||
           code == result_code::platform_bad_answer;
}

} // namespace

std::uint64_t request_digest_of(const submit_request& request) {
    auto part = request.part;
    part.changed_at_version = 0;
    return stable_hash(model::encode(part), request.precondition_version);
}

void acceptance::submit(time_point now, submit_request request) {
    submission entry;
    entry.request_digest = request_digest_of(request);
    entry.write_id = request.idempotency_key.empty()
                         ? writer_ + "#" + to_hex(random_.next()) + "-" + std::to_string(++writes_)
                         : to_hex(stable_hash(request.part.team + '\0' + request.idempotency_key));
    entry.deadline = now + config::submit_timeout;
    entry.request = std::move(request);
    queue_.push_back(std::move(entry));
}

void acceptance::step(time_point now, platform_calls& calls, acceptance_output& output) {
    if (queue_.empty() || phase_ != phase::start || now < next_step_) {
        return;
    }
    if (now >= queue_.front().deadline) {
        if (write_outcome_unknown_) {
            fail(result_code::platform_outcome_unknown, "the outcome of the table write is unknown", output);
        } else {
            fail(result_code::platform_unavailable,
                 "the platform did not answer before the deadline; nothing was changed", output);
        }
        return;
    }
    phase_ = phase::reading_head;
    calls.table_get(now, requester::submission, std::string{head_key});
}

void acceptance::on_result(time_point now, const platform_result& result, const config_store& store,
                           platform_calls& calls, acceptance_output& output) {
    switch (phase_) {
    case phase::start:
        break;
    case phase::reading_head:
        on_head(now, result, store, calls, output);
        break;
    case phase::reading_base:
        on_base(now, result, calls, output);
        break;
    case phase::putting_object:
        on_object(now, result, calls, output);
        break;
    case phase::writing_head:
        on_write(now, result, output);
        break;
    }
}

bool acceptance::resolve_from_head(const head_row& head, acceptance_output& output) {
    const auto& front = queue_.front();
    const auto found = std::ranges::find(head.recent, front.write_id, &accepted_write::write_id);
    if (found == head.recent.end()) {
        return false;
    }
    if (found->request_digest != front.request_digest) {
        fail(result_code::call_key_reused, "the idempotency key was already used for a different request",
             output);
        return true;
    }
    if (write_outcome_unknown_ && merged_.version == found->version) {
        output.accepted = accepted_version{std::move(merged_), merged_digest_};
    }
    finish({front.request.submit_id, result_code::ok, found->version, {}}, output);
    return true;
}

void acceptance::on_head(time_point now, const platform_result& result, const config_store& store,
                         platform_calls& calls, acceptance_output& output) {
    if (result.code != result_code::ok) {
        retry(now, result.code, "head row read: ", output);
        return;
    }
    head_ = {};
    head_etag_.reset();
    if (result.row) {
        auto head = decode_head(result.row->value);
        if (!head) {
            fail(result_code::platform_bad_answer, "the head row is malformed", output);
            return;
        }
        head_ = std::move(*head);
        head_etag_ = result.row->etag;
        output.observed_head = head_;
        if (resolve_from_head(head_, output)) {
            return;
        }
    }
    if (head_.version == 0) {
        merge(now, {}, calls, output);
        return;
    }
    if (const auto base = store.find(head_.version, head_.digest)) {
        merge(now, base->source(), calls, output);
        return;
    }
    phase_ = phase::reading_base;
    calls.object_get(now, requester::submission, head_.object);
}

void acceptance::on_base(time_point now, const platform_result& result, platform_calls& calls,
                         acceptance_output& output) {
    if (result.code != result_code::ok || !result.object) {
        retry(now, result.code == result_code::ok ? result_code::platform_not_found : result.code,
              "snapshot object read: ", output);
        return;
    }
    try {
        const auto base = model::decode_snapshot(*result.object);
        if (base.version != head_.version || model::digest(base) != head_.digest) {
            fail(result_code::snapshot_digest_mismatch,
                 "the snapshot object does not match the digest in the head row", output);
            return;
        }
        merge(now, base, calls, output);
    } catch (const error& failure) {
        fail(failure.code(), failure.what(), output);
    }
}

void acceptance::merge(time_point now, const model::snapshot& base, platform_calls& calls,
                       acceptance_output& output) {
    auto& request = queue_.front().request;
    const auto* current = model::find_part(base, request.part.team);
    const auto changed_at = current != nullptr ? current->changed_at_version : 0;
    if (changed_at != request.precondition_version) {
        finish({request.submit_id, result_code::submit_conflict, changed_at,
                "the part changed at version " + std::to_string(changed_at)},
               output);
        return;
    }
    if (current != nullptr && model::same_content(request.part, *current)) {
        finish({request.submit_id, result_code::ok, base.version, "nothing changed"}, output);
        return;
    }
    try {
        request.part.changed_at_version = base.version + 1;
        merged_ = model::merge_part(base, request.part);
        model::validate(merged_);
        merged_digest_ = model::digest(merged_);
        phase_ = phase::putting_object;
        calls.object_put(now, requester::submission, snapshot_key(merged_.version, merged_digest_),
                         model::encode(merged_));
    } catch (const error& failure) {
        fail(failure.code(), failure.what(), output);
    }
}

void acceptance::on_object(time_point now, const platform_result& result, platform_calls& calls,
                           acceptance_output& output) {
    // Object keys contain the digest, so repeating a put after a lost answer writes the same bytes.
    if (result.code != result_code::ok && result.code != result_code::platform_precondition_failed) {
        retry(now, result.code, "snapshot object write: ", output);
        return;
    }
    write_head(now, calls);
}

void acceptance::write_head(time_point now, platform_calls& calls) {
    const auto& front = queue_.front();
    head_row next{merged_.version, snapshot_key(merged_.version, merged_digest_), merged_digest_,
                  front.write_id, head_.recent};
    next.recent.push_back({front.write_id, merged_.version, front.request_digest, front.request.part.team,
                           writer_.substr(0, writer_.find('@')), front.request.submitted_unix_ms});
    if (next.recent.size() > config::max_head_write_ids) {
        next.recent.erase(next.recent.begin());
    }
    phase_ = phase::writing_head;
    calls.table_put(now, requester::submission, std::string{head_key}, encode(next),
                    platform::precondition{head_etag_});
}

void acceptance::on_write(time_point now, const platform_result& result, acceptance_output& output) {
    if (result.code == result_code::ok) {
        output.accepted = accepted_version{std::move(merged_), merged_digest_};
        finish({queue_.front().request.submit_id, result_code::ok, output.accepted->snapshot.version, {}},
               output);
        return;
    }
    write_outcome_unknown_ = write_outcome_unknown_ || outcome_unknown(result.code);
    if (result.code == result_code::platform_precondition_failed) {
        phase_ = phase::start;
        next_step_ = now;
        return;
    }
    retry(now, result.code, "head row write: ", output);
}

void acceptance::retry(time_point now, result_code code, const std::string& text, acceptance_output& output) {
    phase_ = phase::start;
    next_step_ = now + backoff_.next(random_);
    if (next_step_ < queue_.front().deadline) {
        return;
    }
    if (write_outcome_unknown_) {
        fail(result_code::platform_outcome_unknown, "the outcome of the table write is unknown", output);
        return;
    }
    fail(code, text + std::string{to_string(code)}, output);
}

void acceptance::fail(result_code code, std::string text, acceptance_output& output) {
    finish({queue_.front().request.submit_id, code, 0, std::move(text)}, output);
}

void acceptance::finish(submit_finished outcome, acceptance_output& output) {
    output.finished.push_back(std::move(outcome));
    queue_.pop_front();
    phase_ = phase::start;
    next_step_ = {};
    backoff_.reset();
    write_outcome_unknown_ = false;
    merged_ = {};
}

} // namespace endive::distribution
