#include "ctl/explain.h"

#include <algorithm>
#include <istream>
#include <sstream>

namespace endive::ctl {
namespace {

std::string text_of(const json& fields, const char* name) {
    const auto found = fields.find(name);
    if (found == fields.end()) {
        return "-";
    }
    return found->is_string() ? found->get<std::string>() : found->dump();
}

/// Returns a description of a reason that a daemon logged.
std::string_view describe_reason(std::string_view reason) {
    struct entry {
        std::string_view reason;
        std::string_view cause;
    };
    static constexpr entry causes[] = {
        {"no_configuration",
         "the daemon had not read a configuration yet; see its store_lost and started lines"},
        {"no_route", "no route of the configuration in force matches the host and path"},
        {"no_endpoint", "the daemon knew no ready endpoint of the service, or had tried all of them"},
        {"no_room", "every endpoint tried was too busy to finish before the deadline"},
        {"too_late", "the request waited until its deadline"},
        {"draining", "the endpoint was leaving"},
        {"stopping", "the daemon was shutting down"},
        {"retired", "the endpoint ran a version that had been replaced"},
        {"wrong_endpoint", "the endpoint known to the caller's daemon had been replaced by another one"},
        {"endpoint_refused", "the endpoint itself refused the request without running it"},
        {"connect_failed", "the endpoint did not accept a connection"},
        {"connection_lost",
         "the connection to the endpoint ended before a complete response; it may have run"},
        {"bad_response", "the endpoint sent bytes that are no response to this request; it may have run"},
        {"timed_out", "the time of the route or of the caller was over while the endpoint worked"},
        {"peer_lost", "the link to the other daemon ended before its reply; the request may have run"},
        {"peer_silent", "the other daemon did not answer a ping, so the request was also sent elsewhere; it "
                        "may run at both"},
        {"over_quota", "the tenant had used up its quota, which all daemons share; see its tenant and "
                       "retry_after_ms"},
        {"caller_left", "the caller closed its connection"},
        {"bad_request", "the request has no id"},
        {"key_unknown",
         "the request had no API key, or the daemon's configuration gave its key to no tenant; "
         "a new key is in force 2.5 s after it was stored"},
        {"keys_stale",
         "the daemon could not prove that the key had not been revoked, as it had reached neither "
         "the store nor a daemon that reaches it; see its keys_stale and store_lost lines"},
        {"memory", "the bodies that the daemon held took all the memory meant for them"},
    };
    for (const auto& known : causes) {
        if (known.reason == reason) {
            return known.cause;
        }
    }
    return "the endpoint answered; its status is the answer";
}

void print_line(std::ostream& out, const log_line& line) {
    out << line.time << "  " << line.process << "  " << line.event;
    for (const auto& [name, value] : line.fields.items()) {
        const bool is_standard_field = name == "time" || name == "process" || name == "event" ||
                                       name == "level" || name == "request" || name == "attempts";
        if (!is_standard_field) {
            out << "  " << name << "=" << (value.is_string() ? value.get<std::string>() : value.dump());
        }
    }
    out << "\n";
    const auto attempts = line.fields.find("attempts");
    if (attempts == line.fields.end() || !attempts->is_array()) {
        return;
    }
    for (const auto& attempt : *attempts) {
        out << "    attempt at " << text_of(attempt, "daemon") << ": expected "
            << text_of(attempt, "expected_ms") << " ms with " << text_of(attempt, "outstanding")
            << " outstanding as told " << text_of(attempt, "load_age_ms") << " ms before; "
            << text_of(attempt, "outcome") << " (" << text_of(attempt, "reason") << ") after "
            << text_of(attempt, "ms") << " ms\n";
    }
}

bool is_outcome(const log_line& line) {
    return line.event.starts_with("request_");
}

/// Returns the last line of `daemon` at or before `time` with one of the events, or null when there is none.
/// Precondition: `lines` are in order of time.
const log_line* find_last(const std::vector<log_line>& lines, const std::string& daemon,
                          const std::string& time, const std::vector<std::string_view>& events) {
    const log_line* found = nullptr;
    for (const auto& line : lines) {
        if (line.time > time) {
            break;
        }
        const bool matches = std::find(events.begin(), events.end(), line.event) != events.end();
        if (line.process == daemon && matches) {
            found = &line;
        }
    }
    return found;
}

void print_last(std::ostream& out, const std::vector<log_line>& lines, const std::string& daemon,
                const std::string& time, const std::vector<std::string_view>& events) {
    if (const auto* line = find_last(lines, daemon, time, events)) {
        out << "  ";
        print_line(out, *line);
    }
}

} // namespace

std::vector<log_line> read_log(std::istream& in) {
    std::vector<log_line> result;
    std::string text;
    while (std::getline(in, text)) {
        const auto start = text.find('{');
        if (start == std::string::npos) {
            continue;
        }
        auto fields =
            json::parse(text.begin() + static_cast<std::ptrdiff_t>(start), text.end(), nullptr, false);
        if (fields.is_object() && fields.contains("event")) {
            result.push_back(
                {text_of(fields, "time"), text_of(fields, "process"), text_of(fields, "event"), fields});
        }
    }
    std::stable_sort(result.begin(), result.end(),
                     [](const log_line& a, const log_line& b) { return a.time < b.time; });
    return result;
}

std::string describe_beliefs(const std::vector<log_line>& lines, const std::string& daemon,
                             const std::string& time) {
    std::ostringstream out;
    out << "beliefs of " << daemon << " at " << time << ":\n";
    print_last(out, lines, daemon, time, {"started", "stopping", "stopped"});
    print_last(out, lines, daemon, time, {"store_lost", "store_regained"});
    print_last(out, lines, daemon, time, {"configuration_in_force"});
    print_last(out, lines, daemon, time, {"keys_stale", "keys_current"});
    print_last(out, lines, daemon, time,
               {"endpoint_changed", "endpoint_unreachable", "endpoint_silent", "endpoint_deregistered"});
    print_last(out, lines, daemon, time, {"move_ordered", "move_share", "move_status", "move_version_bad"});
    std::map<std::string, const log_line*> peers;
    for (const auto& line : lines) {
        if (line.time <= time && line.process == daemon && line.event.starts_with("peer_")) {
            peers[text_of(line.fields, "peer")] = &line;
        }
    }
    for (const auto& [name, line] : peers) {
        out << "  peer " << name << ": " << line->event << " since " << line->time << "\n";
    }
    return out.str();
}

std::string explain_request(const std::vector<log_line>& lines, const std::string& request_id) {
    std::ostringstream out;
    const log_line* outcome = nullptr;
    std::vector<std::string> daemons;
    for (const auto& line : lines) {
        if (text_of(line.fields, "request") != request_id) {
            continue;
        }
        print_line(out, line);
        if (is_outcome(line)) {
            outcome = &line;
        }
        if (std::find(daemons.begin(), daemons.end(), line.process) == daemons.end()) {
            daemons.push_back(line.process);
        }
    }
    if (daemons.empty()) {
        throw error{result_code::admin_not_found,
                    "no line names the request; lines of successes are dropped first under load", request_id};
    }
    if (outcome == nullptr) {
        out << "the line of the caller's daemon is missing\n";
        return out.str();
    }
    const auto attempts = outcome->fields.value("attempts", json::array());
    for (const auto& attempt : attempts) {
        const auto daemon = text_of(attempt, "daemon");
        if (std::find(daemons.begin(), daemons.end(), daemon) == daemons.end()) {
            daemons.push_back(daemon);
        }
    }
    out << "\n";
    for (const auto& daemon : daemons) {
        out << describe_beliefs(lines, daemon, outcome->time);
    }
    auto reason = text_of(outcome->fields, "reason");
    if (reason == "none" && !attempts.empty()) {
        reason = text_of(attempts.back(), "reason");
    }
    out << "\ncause: status " << text_of(outcome->fields, "status") << ", " << reason << ": "
        << describe_reason(reason) << "\n";
    return out.str();
}

} // namespace endive::ctl
