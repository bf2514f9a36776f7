#include "endive/calls.h"

namespace endive::calls {
namespace {

constexpr auto retention = std::chrono::hours{24};
constexpr std::uint32_t max_reads = 3;
constexpr std::string_view hex_digits = "0123456789abcdef";

[[nodiscard]] std::string_view state_name(operation_state state) {
    switch (state) {
    case operation_state::started:
        return "started";
    case operation_state::finished:
        return "finished";
    case operation_state::not_run:
        return "not_run";
    }
    return "started";
}

[[nodiscard]] operation_state parse_state(const std::string& name) {
    for (const auto state : {operation_state::started, operation_state::finished, operation_state::not_run}) {
        if (state_name(state) == name) {
            return state;
        }
    }
    throw error{result_code::platform_bad_answer, "unknown operation state", "state"};
}

/// Encodes arbitrary bytes as hexadecimal digits, because rows hold JSON text.
[[nodiscard]] std::string to_hex_text(std::string_view bytes) {
    std::string text;
    text.reserve(bytes.size() * 2);
    for (const char c : bytes) {
        const auto byte = static_cast<unsigned char>(c);
        text += hex_digits[byte >> 4U];
        text += hex_digits[byte & 15U];
    }
    return text;
}

[[nodiscard]] unsigned char digit_value(char digit) {
    const auto value = hex_digits.find(digit);
    if (value == std::string_view::npos) {
        throw error{result_code::platform_bad_answer, "operation body is not hexadecimal", "body"};
    }
    return static_cast<unsigned char>(value);
}

[[nodiscard]] std::string from_hex_text(std::string_view text) {
    if (text.size() % 2 != 0) {
        throw error{result_code::platform_bad_answer, "operation body is not hexadecimal", "body"};
    }
    std::string bytes;
    bytes.reserve(text.size() / 2);
    for (std::size_t i = 0; i < text.size(); i += 2) {
        bytes += static_cast<char>((digit_value(text[i]) << 4U) | digit_value(text[i + 1]));
    }
    return bytes;
}

[[nodiscard]] operation_action refuse(result_code code, execution executed) {
    operation_action action;
    action.step = operation_step::refuse;
    action.code = code;
    action.executed = executed;
    return action;
}

[[nodiscard]] operation_action step(operation_step next, std::string etag = {}) {
    operation_action action;
    action.step = next;
    action.etag = std::move(etag);
    return action;
}

} // namespace

std::string operation_row_key(std::string_view service, std::string_view key) {
    return "op/" + std::string{service} + "/" + std::string{key};
}

std::string encode(const operation_record& record) {
    json value{{"state", state_name(record.state)},
               {"write_id", record.write_id},
               {"digest", to_hex(record.request_digest)},
               {"expires", record.expires_unix_ms}};
    if (record.state == operation_state::finished) {
        value["status"] = record.status;
        value["content_type"] = to_hex_text(record.content_type);
        if (record.body_stored) {
            value["body"] = to_hex_text(record.body);
        }
    }
    return value.dump();
}

operation_record decode_operation(std::string_view text) {
    try {
        const auto value = json::parse(text);
        operation_record record;
        record.state = parse_state(value.at("state").get<std::string>());
        record.write_id = value.at("write_id").get<std::string>();
        record.request_digest = std::stoull(value.at("digest").get<std::string>(), nullptr, 16);
        record.expires_unix_ms = value.at("expires").get<std::int64_t>();
        if (record.state == operation_state::finished) {
            record.status = value.at("status").get<std::uint32_t>();
            record.content_type = from_hex_text(value.at("content_type").get<std::string>());
            record.body_stored = value.contains("body");
            record.body = from_hex_text(value.value("body", std::string{}));
        }
        return record;
    } catch (const error&) {
        throw;
    } catch (const std::exception& failure) {
        throw error{result_code::platform_bad_answer, failure.what(), "operation record"};
    }
}

std::uint64_t request_digest(std::string_view method, std::string_view target, std::string_view body) {
    const auto head = stable_hash(std::string{method} + " " + std::string{target});
    return stable_hash(body, head);
}

operation_action operation_claim::begin() {
    return step(operation_step::create);
}

operation_action operation_claim::on_write(write_result result, const std::string& /*etag*/) {
    switch (result) {
    case write_result::written:
        return step(operation_step::run);
    case write_result::precondition_failed:
        return step(operation_step::read);
    case write_result::unknown:
        write_uncertain_ = true;
        return step(operation_step::read);
    case write_result::not_written:
        break;
    }
    return refuse(result_code::call_operation_store_unavailable, execution::not_run);
}

operation_action operation_claim::on_read(const std::optional<platform::row>& row) {
    ++reads_;
    const bool may_retry_write = reads_ < max_reads;
    if (!row) {
        // A write with an unknown result may still be applied. It would leave a record in state `started`,
        // and a repeated call with the key would get an unknown outcome, so the operation cannot run twice.
        return write_uncertain_ || !may_retry_write
                   ? refuse(result_code::call_operation_store_unavailable, execution::not_run)
                   : step(operation_step::create);
    }
    const auto existing = decode_operation(row->value);
    if (existing.write_id == write_id_) {
        return step(operation_step::run, row->etag);
    }
    if (existing.expires_unix_ms > now_unix_ms_) {
        if (existing.request_digest != digest_) {
            return refuse(result_code::call_key_reused, execution::not_run);
        }
        if (existing.state == operation_state::finished) {
            auto action = step(operation_step::reply);
            action.stored = existing;
            return action;
        }
        if (existing.state == operation_state::started) {
            return refuse(result_code::call_duplicate_operation, execution::unknown);
        }
    }
    return may_retry_write ? step(operation_step::replace, row->etag)
                           : refuse(result_code::call_operation_store_unavailable, execution::not_run);
}

operation_action operation_claim::on_read_failed() {
    const auto executed = write_uncertain_ ? execution::not_run : execution::unknown;
    return refuse(result_code::call_operation_store_unavailable, executed);
}

operation_record operation_claim::record() const {
    operation_record record;
    record.write_id = write_id_;
    record.request_digest = digest_;
    record.expires_unix_ms = now_unix_ms_ + milliseconds{retention}.count();
    return record;
}

} // namespace endive::calls
