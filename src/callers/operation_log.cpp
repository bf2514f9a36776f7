#include "callers/operation_log.h"

#include <random>

namespace endive::callers {
namespace {

// Attempts at the final write. After a failed or unconfirmed write the record is read back first.
constexpr int max_close_attempts = 3;

[[nodiscard]] std::string random_id() {
    std::random_device source;
    const auto high = static_cast<std::uint64_t>(source()) << 32U;
    return to_hex(high | source());
}

} // namespace

std::string operation_path(std::string_view service, std::string_view key) {
    return "/endive/v1/operations/" + std::string{service} + "/" + std::string{key};
}

operation_log::operation_log(platform::table_store& table, const clock_source& clock, counter_set& counters)
    : table_{table}, clock_{clock}, counters_{counters}, process_id_{random_id()} {}

std::string operation_log::make_write_id() {
    return process_id_ + "-" + std::to_string(next_write_++);
}

operation_log::write_outcome operation_log::write(const std::string& row_key,
                                                  const calls::operation_record& record,
                                                  const platform::precondition& condition) {
    try {
        return {calls::write_result::written, table_.put(row_key, calls::encode(record), condition)};
    } catch (const error& problem) {
        switch (problem.code()) {
        case result_code::platform_precondition_failed:
            return {calls::write_result::precondition_failed, {}};
        case result_code::platform_unavailable:
            return {calls::write_result::not_written, {}};
        default:
            return {calls::write_result::unknown, {}};
        }
    }
}

open_operation_result operation_log::open(const std::string& service, const std::string& key,
                                          std::uint64_t digest) {
    const auto row_key = calls::operation_row_key(service, key);
    calls::operation_claim claim{make_write_id(), digest, to_unix_ms(clock_.wall_now())};
    auto action = claim.begin();
    std::string etag;
    while (true) {
        switch (action.step) {
        case calls::operation_step::create:
        case calls::operation_step::replace: {
            const auto condition = action.step == calls::operation_step::create
                                       ? platform::precondition::absent()
                                       : platform::precondition::matches(action.etag);
            const auto outcome = write(row_key, claim.record(), condition);
            etag = outcome.etag;
            action = claim.on_write(outcome.result, etag);
            break;
        }
        case calls::operation_step::read:
            counters_.add("operations.read_back");
            try {
                action = claim.on_read(table_.get(row_key));
            } catch (const error&) {
                action = claim.on_read_failed();
            }
            break;
        case calls::operation_step::run:
            return {
                open_operation{row_key, action.etag.empty() ? etag : action.etag, claim.record()}, {}, {}};
        case calls::operation_step::reply:
            return {{}, action.stored, {}};
        case calls::operation_step::refuse:
            return {{}, {}, refusal{action.code, action.executed, {}, operation_path(service, key)}};
        }
    }
}

void operation_log::close(open_operation operation, calls::operation_state state, std::uint32_t status,
                          const std::string& content_type, std::string_view body, bool body_complete) {
    auto& record = operation.record;
    record.state = state;
    record.status = status;
    record.content_type = content_type;
    record.body_stored = body_complete && body.size() <= calls::max_stored_body_bytes;
    record.body = record.body_stored ? std::string{body} : std::string{};
    for (int i = 0; i < max_close_attempts; ++i) {
        const auto outcome =
            write(operation.row_key, record, platform::precondition::matches(operation.etag));
        if (outcome.result == calls::write_result::written) {
            return;
        }
        try {
            const auto row = table_.get(operation.row_key);
            const auto present = row ? calls::decode_operation(row->value) : calls::operation_record{};
            if (present.write_id != record.write_id || present.state != calls::operation_state::started) {
                return; // the unconfirmed write took effect, or another call now owns the record
            }
            operation.etag = row->etag;
        } catch (const error&) {
            break;
        }
    }
    counters_.add("operations.end_not_recorded");
}

operation_response operation_log::describe(const std::string& service, const std::string& key) {
    try {
        const auto row = table_.get(calls::operation_row_key(service, key));
        if (!row) {
            return {404, {{"error", to_string(result_code::admin_not_found)}}};
        }
        const auto record = calls::decode_operation(row->value);
        if (record.state == calls::operation_state::finished) {
            return {200,
                    {{"state", "finished"}, {"status", record.status}, {"body_stored", record.body_stored}}};
        }
        const bool not_run = record.state == calls::operation_state::not_run;
        return {200, {{"state", not_run ? "not-run" : "unknown"}}};
    } catch (const error& problem) {
        return {503, {{"error", to_string(problem.code())}}};
    }
}

} // namespace endive::callers
