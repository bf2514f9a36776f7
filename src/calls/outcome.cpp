#include "endive/calls.h"

namespace endive::calls {
namespace {

using model::call_outcome;

/// A request of which no byte was sent cannot have been executed.
[[nodiscard]] execution executed_by_bytes(const attempt_result& result) {
    return result.bytes_sent == 0 ? execution::not_run : execution::unknown;
}

[[nodiscard]] attempt_class classify_answer(const attempt_result& result) {
    if (result.status == 503 && result.reports_not_run) {
        return {call_outcome::shed, execution::not_run, result_code::ok};
    }
    if (result.status < 500) {
        return {call_outcome::success, execution::ran, result_code::ok};
    }
    const auto executed = result.reports_unknown ? execution::unknown : execution::ran;
    return {call_outcome::server_error, executed, result_code::ok};
}

[[nodiscard]] result_code closed_code(execution executed) {
    return executed == execution::not_run ? result_code::call_upstream_failed
                                          : result_code::call_outcome_unknown;
}

} // namespace

attempt_class classify(const attempt_result& result) {
    const auto sent_execution = executed_by_bytes(result);
    switch (result.transport) {
    case transport_result::answered:
        return classify_answer(result);
    case transport_result::connect_failed:
    case transport_result::closed_unsent:
        return {call_outcome::connection_failed, execution::not_run, result_code::call_upstream_failed};
    case transport_result::closed_unanswered:
        return {call_outcome::connection_failed, sent_execution, closed_code(sent_execution)};
    case transport_result::timed_out:
        return {call_outcome::timeout, sent_execution, result_code::call_deadline_exceeded};
    case transport_result::truncated:
        return {call_outcome::connection_failed, execution::unknown, result_code::call_upstream_truncated};
    case transport_result::malformed:
        return {call_outcome::server_error, execution::unknown, result_code::call_upstream_failed};
    case transport_result::cancelled:
        return {call_outcome::cancelled, sent_execution, result_code::call_cancelled};
    }
    return {call_outcome::server_error, execution::unknown, result_code::internal};
}

bool is_complete(const response_framing& framing, std::uint64_t received, bool last_chunk_seen) {
    if (!framing.body_allowed) {
        return received == 0;
    }
    if (framing.chunked) {
        return last_chunk_seen;
    }
    return framing.content_length && *framing.content_length == received;
}

} // namespace endive::calls
