#include "ctl/text_output.h"

#include <algorithm>
#include <cstdio>

namespace endive::ctl {
namespace {

using table = std::vector<std::vector<std::string>>;

/// Returns the array in `field`, or an empty array when it is absent or of another type.
json array_field(const json& object, const std::string& field) {
    return object.is_object() && object.contains(field) && object[field].is_array() ? object[field]
                                                                                    : json::array();
}

std::string format_share(const json& move) {
    const auto share = move.value("share", json{});
    if (!share.is_number()) {
        return "-";
    }
    char text[32];
    std::snprintf(text, sizeof text, "%.1f%%", share.get<double>() * 100.0);
    return text;
}

/// Makes a table with a heading, one row for each item and one column for each field.
table make_rows(const json& items, const std::vector<std::string>& fields) {
    table rows = {fields};
    for (const auto& item : items) {
        std::vector<std::string> row;
        row.reserve(fields.size());
        for (const auto& field : fields) {
            row.push_back(text_of(item, field));
        }
        rows.push_back(std::move(row));
    }
    return rows;
}

/// Sums up the requests, failures and slow requests of the move's new version over all routes.
std::string evidence_summary(const json& move) {
    std::uint64_t requests = 0;
    std::uint64_t failures = 0;
    std::uint64_t slow = 0;
    for (const auto& item : array_field(move, "evidence")) {
        if (item.value("version", "") == move.value("to", "")) {
            requests += item.value("requests", 0ULL);
            failures += item.value("failures", 0ULL);
            slow += item.value("slow", 0ULL);
        }
    }
    return std::to_string(requests) + " requests, " + std::to_string(failures) + " failed, " +
           std::to_string(slow) + " slow";
}

std::string format_line(const std::string& label, const std::string& value) {
    constexpr std::size_t label_width = 26;
    return label + std::string(label_width - std::min(label_width - 1, label.size()), ' ') + value + "\n";
}

} // namespace

std::string format_table(const table& rows) {
    std::vector<std::size_t> widths;
    for (const auto& row : rows) {
        widths.resize(std::max(widths.size(), row.size()), 0);
        for (std::size_t i = 0; i < row.size(); ++i) {
            widths[i] = std::max(widths[i], row[i].size());
        }
    }
    std::string text;
    for (const auto& row : rows) {
        for (std::size_t i = 0; i < row.size(); ++i) {
            const bool last = i + 1 == row.size();
            text += row[i] + (last ? "\n" : std::string(widths[i] - row[i].size() + 2, ' '));
        }
    }
    return text;
}

std::string text_of(const json& object, const std::string& field) {
    const auto found = object.find(field);
    if (found == object.end() || found->is_null()) {
        return "-";
    }
    const auto text = found->is_string() ? found->get<std::string>() : found->dump();
    return text.empty() ? "-" : text;
}

std::string status_text(const json& status) {
    std::string text;
    for (const auto* field :
         {"member", "failure_domain", "ready", "confirmed", "active_version", "active_digest", "head_version",
          "move_owner", "lease_epoch", "daemons_alive", "daemons_suspect"}) {
        text += format_line(field, text_of(status, field));
    }
    text += "\n" + format_table(make_rows(array_field(status, "versions"), {"version", "daemons"}));
    if (!array_field(status, "lagging").empty()) {
        text +=
            "\n" + format_table(make_rows(array_field(status, "lagging"), {"member", "version", "reason"}));
    }
    const auto endpoints = array_field(status, "endpoints");
    return text + "\n" + format_table(make_rows(endpoints, {"service", "version", "serving", "other"}));
}

std::string history_text(const json& body) {
    return format_table(
        make_rows(array_field(body, "history"), {"version", "team", "accepted", "accepted_by", "digest"}));
}

std::string moves_text(const json& moves) {
    table rows = {{"id", "state", "share", "evidence", "started", "deadline", "finished", "reason"}};
    for (const auto& move : moves) {
        rows.push_back({text_of(move, "id"), text_of(move, "state"), format_share(move),
                        evidence_summary(move), text_of(move, "started"), text_of(move, "deadline"),
                        text_of(move, "finished"), text_of(move, "reason")});
    }
    return format_table(rows);
}

std::string move_text(const json& move) {
    std::string text;
    for (const auto* field : {"id", "team", "service", "from", "to", "state"}) {
        text += format_line(field, text_of(move, field));
    }
    text += format_line("share", format_share(move));
    for (const auto* field : {"row_version", "reason", "started", "changed", "deadline", "finished"}) {
        text += format_line(field, text_of(move, field));
    }
    const auto evidence = array_field(move, "evidence");
    return text + "\n" +
           format_table(make_rows(evidence, {"route", "version", "requests", "failures", "slow"}));
}

std::string report_text(const json& report) {
    std::string text;
    for (const auto* field :
         {"version", "convergence_p50_ms", "convergence_p99_ms", "control_bytes_per_second"}) {
        text += format_line(field, text_of(report, field));
    }
    const auto teams = array_field(report, "teams");
    text += "\n" + format_table(make_rows(
                       teams, {"team", "moves_on_time", "moves_late", "moves_taken_back", "moves_open"}));
    return text + "\n" + moves_text(array_field(report, "moves"));
}

} // namespace endive::ctl
