#include "faults.h"

namespace stand_in {
namespace {

using endive::error;
using endive::result_code;

std::string one_of(endive::settings_reader& reader, const std::string& key, const std::string& fallback,
                   std::initializer_list<std::string_view> allowed) {
    auto value = reader.optional_string(key, fallback);
    for (const auto& name : allowed) {
        if (value == name) {
            return value;
        }
    }
    throw error{result_code::settings_out_of_range, key + " has unsupported value " + value, key};
}

} // namespace

fault_plan::rule fault_plan::parse_rule(const endive::json& object, std::size_t index) {
    endive::settings_reader reader{object, "/faults/" + std::to_string(index)};
    rule parsed;
    parsed.kind = one_of(reader, "kind", "", {"refuse", "hang", "delay", "lose_answer"});
    parsed.on = one_of(reader, "on", "both", {"reads", "writes", "both"});
    parsed.store = one_of(reader, "store", "both", {"rows", "objects", "both"});
    parsed.prefix = reader.optional_string("prefix", "");
    parsed.delay = endive::milliseconds{reader.optional_integer("delay_ms", 0, 0, 600000)};
    parsed.remaining = reader.optional_integer("next", -1, 0, INT64_MAX);
    parsed.probability = reader.optional_number("probability", 1.0, 0.0, 1.0);
    parsed.random.seed(static_cast<std::uint64_t>(reader.optional_integer("seed", 1, 0, INT64_MAX)));
    reader.reject_unknown_keys();
    return parsed;
}

void fault_plan::replace(const endive::json& control) {
    std::vector<rule> parsed;
    for (const auto& object : control.at("faults")) {
        parsed.push_back(parse_rule(object, parsed.size()));
    }
    const std::lock_guard lock{mutex_};
    rules_ = std::move(parsed);
}

bool fault_plan::should_fire(rule& candidate, const operation& operation) {
    const bool kind_matches = candidate.on == "both" || (candidate.on == "writes") == operation.is_write;
    const bool store_matches =
        candidate.store == "both" || (candidate.store == "objects") == operation.is_object;
    if (!kind_matches || !store_matches || !operation.key.starts_with(candidate.prefix) ||
        candidate.remaining == 0) {
        return false;
    }
    // One random draw per matching request makes the sequence of decisions depend only on the seed.
    if (std::uniform_real_distribution<>{}(candidate.random) >= candidate.probability) {
        return false;
    }
    if (candidate.remaining > 0) {
        --candidate.remaining;
    }
    return true;
}

fault_effects fault_plan::decide(const operation& operation) {
    const std::lock_guard lock{mutex_};
    fault_effects result;
    for (rule& candidate : rules_) {
        if (!should_fire(candidate, operation)) {
            continue;
        }
        ++counts_[candidate.kind];
        result.delay += candidate.delay;
        result.refuse |= candidate.kind == "refuse";
        result.hang |= candidate.kind == "hang";
        result.lose_answer |= candidate.kind == "lose_answer";
    }
    return result;
}

endive::json fault_plan::counts() const {
    const std::lock_guard lock{mutex_};
    return counts_;
}

} // namespace stand_in
