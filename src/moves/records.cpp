#include "moves/codec.h"

#include <tuple>

namespace endive::moves {

namespace {

constexpr std::array<std::string_view, 3> hold_state_names{"held", "released", "taken_back"};
constexpr std::array<std::string_view, 4> signal_names{"failures", "slow", "connections", "cold_failures"};

template <typename Enum, std::size_t Size>
std::optional<Enum> parse_name(const std::array<std::string_view, Size>& names, std::string_view text) {
    for (std::size_t i = 0; i < Size; ++i) {
        if (names[i] == text) {
            return static_cast<Enum>(i);
        }
    }
    return std::nullopt;
}

} // namespace

bool supersedes(const record& candidate, const record& current) {
    return std::tie(candidate.final, candidate.epoch, candidate.sequence) >
           std::tie(current.final, current.epoch, current.sequence);
}

bool record_set::apply(const record& candidate) {
    const auto [position, inserted] = records_.try_emplace({candidate.kind, candidate.key}, candidate);
    if (inserted) {
        return true;
    }
    // A final record is never replaced; all final records of a key are equivalent.
    if (position->second.final || !supersedes(candidate, position->second)) {
        return false;
    }
    position->second = candidate;
    return true;
}

const record* record_set::find(std::string_view kind, std::string_view key) const {
    const auto position = records_.find({std::string{kind}, std::string{key}});
    return position == records_.end() ? nullptr : &position->second;
}

std::vector<record> record_set::all() const {
    std::vector<record> result;
    result.reserve(records_.size());
    for (const auto& [key, value] : records_) {
        result.push_back(value);
    }
    return result;
}

std::string hold_key(std::string_view service, std::string_view version) {
    return std::string{service} + "|" + std::string{version};
}

std::string_view to_string(signal value) {
    return signal_names.at(static_cast<std::size_t>(value));
}

json signal_to_json(const signal_evidence& value) {
    return {{"route", value.route},      {"signal", to_string(value.what)}, {"old_total", value.old_total},
            {"old_bad", value.old_bad},  {"new_total", value.new_total},    {"new_bad", value.new_bad},
            {"evidence", value.evidence}};
}

signal_evidence signal_from_json(const json& object) {
    signal_evidence value;
    value.route = object.at("route").get<std::string>();
    const auto what = parse_name<signal>(signal_names, object.at("signal").get<std::string>());
    value.what = what.value_or(signal::failures);
    value.old_total = object.at("old_total").get<double>();
    value.old_bad = object.at("old_bad").get<double>();
    value.new_total = object.at("new_total").get<double>();
    value.new_bad = object.at("new_bad").get<double>();
    value.evidence = object.at("evidence").get<double>();
    return value;
}

std::string encode(const hold_payload& value) {
    return json{{"service", value.service},
                {"version", value.version},
                {"state", hold_state_names.at(static_cast<std::size_t>(value.state))},
                {"daemon", value.daemon},
                {"reason", value.reason},
                {"evidence", signal_to_json(value.evidence)},
                {"decided_unix_ms", value.decided_unix_ms}}
        .dump();
}

std::optional<hold_payload> decode_hold(std::string_view bytes) {
    try {
        const auto object = json::parse(bytes);
        const auto state = parse_name<hold_state>(hold_state_names, object.at("state").get<std::string>());
        if (!state) {
            return std::nullopt;
        }
        hold_payload value;
        value.service = object.at("service").get<std::string>();
        value.version = object.at("version").get<std::string>();
        value.state = *state;
        value.daemon = object.at("daemon").get<std::string>();
        value.reason = object.at("reason").get<std::string>();
        value.evidence = signal_from_json(object.at("evidence"));
        value.decided_unix_ms = object.at("decided_unix_ms").get<std::int64_t>();
        return value;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

bool is_hold_active(const record* hold) {
    if (hold == nullptr) {
        return false;
    }
    if (hold->final) {
        return true;
    }
    const auto payload = decode_hold(hold->payload);
    // A malformed hold counts as active: stopping the traffic to a suspect version is the safe choice.
    return !payload || payload->state != hold_state::released;
}

std::string encode(const directive& value) {
    return json{{"move_id", value.move_id}, {"service", value.service},
                {"from", value.from},       {"to", value.to},
                {"share", value.share},     {"share_non_idempotent", value.share_non_idempotent},
                {"state", value.state}}
        .dump();
}

std::optional<directive> decode_directive(std::string_view bytes) {
    try {
        const auto object = json::parse(bytes);
        directive value;
        value.move_id = object.at("move_id").get<std::string>();
        value.service = object.at("service").get<std::string>();
        value.from = object.at("from").get<std::string>();
        value.to = object.at("to").get<std::string>();
        value.share = object.at("share").get<double>();
        value.share_non_idempotent = object.at("share_non_idempotent").get<double>();
        value.state = object.at("state").get<std::string>();
        const auto valid = [](double share) { return share >= 0 && share <= 1; };
        if (!valid(value.share) || !valid(value.share_non_idempotent)) {
            return std::nullopt;
        }
        return value;
    } catch (const json::exception&) {
        return std::nullopt;
    }
}

} // namespace endive::moves
