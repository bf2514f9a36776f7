#include "faults.h"

namespace stand_in {
namespace {

using endive::error;
using endive::milliseconds;
using endive::result_code;
using endive::settings_reader;

constexpr std::int64_t max_ms = 3600000;

std::string one_of(settings_reader& reader, const std::string& key, const std::string& fallback,
                   std::initializer_list<std::string_view> allowed) {
    auto value = reader.optional_string(key, fallback);
    for (const auto& name : allowed) {
        if (value == name) {
            return value;
        }
    }
    throw error{result_code::settings_out_of_range, key + " has unsupported value " + value, key};
}

bool occurs(double rate, std::mt19937_64& random) {
    return std::uniform_real_distribution<>{}(random) < rate;
}

} // namespace

backend_faults::rule backend_faults::parse_rule(const endive::json& object, std::size_t index,
                                                endive::time_point now) {
    settings_reader reader{object, "/faults/" + std::to_string(index)};
    rule parsed;
    parsed.kind = one_of(reader, "kind", "", {"fail", "slow", "freeze", "cut", "drop"});
    parsed.path_prefix = reader.optional_string("path_prefix", "/");
    parsed.rate = reader.optional_number("rate", 1.0, 0.0, 1.0);
    parsed.factor = reader.optional_number("factor", 1.0, 0.0, 1e6);
    parsed.status = static_cast<int>(reader.optional_integer("status", 500, 400, 599));
    parsed.above_concurrency =
        static_cast<std::size_t>(reader.optional_integer("above_concurrency", 0, 0, 100000));
    parsed.remaining = reader.optional_integer("next", -1, 0, INT64_MAX);
    parsed.active_from = now + milliseconds{reader.optional_integer("after_ms", 0, 0, max_ms)};
    parsed.random.seed(static_cast<std::uint64_t>(reader.optional_integer("seed", 1, 0, INT64_MAX)));
    reader.reject_unknown_keys();
    return parsed;
}

report_faults backend_faults::parse_reports(const endive::json& settings) {
    report_faults parsed;
    settings_reader health{settings.value("health", endive::json::object()), "/health"};
    parsed.health = one_of(health, "report", "truth", {"truth", "ok", "failing"});
    parsed.health_lag = milliseconds{health.optional_integer("lag_ms", 0, 0, max_ms)};
    health.reject_unknown_keys();
    settings_reader load{settings.value("load", endive::json::object()), "/load"};
    if (load.has("report")) {
        parsed.load = load.optional_number("report", 0.0, 0.0, 1000.0);
    }
    parsed.load_lag = milliseconds{load.optional_integer("lag_ms", 0, 0, max_ms)};
    load.reject_unknown_keys();
    return parsed;
}

void backend_faults::replace(const endive::json& settings, endive::time_point now) {
    std::vector<rule> parsed;
    for (const auto& object : settings.value("faults", endive::json::array())) {
        parsed.push_back(parse_rule(object, parsed.size(), now));
    }
    const auto reports = parse_reports(settings);
    const std::lock_guard lock{mutex_};
    for (rule& old : rules_) {
        old.replaced_at = now;
        history_.push_back(std::move(old));
    }
    rules_ = std::move(parsed);
    reports_ = reports;
}

bool backend_faults::rule::matches(const std::string& path, std::size_t concurrency,
                                   endive::time_point now) const {
    return now >= active_from && path.starts_with(path_prefix) && concurrency > above_concurrency &&
           remaining != 0;
}

execution_plan backend_faults::decide(const std::string& path, std::size_t concurrency,
                                      endive::time_point now) {
    const std::lock_guard lock{mutex_};
    execution_plan plan;
    for (rule& candidate : rules_) {
        if (!candidate.matches(path, concurrency, now) || !occurs(candidate.rate, candidate.random)) {
            continue;
        }
        if (candidate.remaining > 0) {
            --candidate.remaining;
        }
        plan.slowdown *= candidate.kind == "slow" ? candidate.factor : 1.0;
        plan.fail_status = candidate.kind == "fail" ? candidate.status : plan.fail_status;
        plan.freeze |= candidate.kind == "freeze";
        plan.cut |= candidate.kind == "cut";
        plan.drop |= candidate.kind == "drop";
    }
    return plan;
}

bool backend_faults::frozen(const std::string& path, std::size_t concurrency, endive::time_point now) const {
    const std::lock_guard lock{mutex_};
    for (const rule& candidate : rules_) {
        // A rule for the next N requests has `remaining` 0 by now, but still freezes the requests that it
        // counted.
        const bool in_scope = path.starts_with(candidate.path_prefix) && now >= candidate.active_from &&
                              concurrency > candidate.above_concurrency;
        if (candidate.kind == "freeze" && in_scope) {
            return true;
        }
    }
    return false;
}

bool backend_faults::unhealthy_at(endive::time_point time) const {
    const std::lock_guard lock{mutex_};
    const auto affects_health = [time](const rule& candidate) {
        const bool kind = candidate.kind == "fail" || candidate.kind == "freeze";
        return kind && candidate.rate >= 0.5 && candidate.path_prefix == "/" &&
               candidate.above_concurrency == 0 && time >= candidate.active_from &&
               time < candidate.replaced_at;
    };
    return std::any_of(rules_.begin(), rules_.end(), affects_health) ||
           std::any_of(history_.begin(), history_.end(), affects_health);
}

report_faults backend_faults::reports() const {
    const std::lock_guard lock{mutex_};
    return reports_;
}

} // namespace stand_in
