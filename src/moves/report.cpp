#include "moves/codec.h"

#include <algorithm>
#include <cmath>
#include <iomanip>
#include <sstream>

namespace endive::moves {

namespace {

constexpr double plot_width = 720;
constexpr double plot_height = 240;
constexpr double plot_margin = 48;

std::string escape_xml(std::string_view text) {
    std::string result;
    for (const char c : text) {
        switch (c) {
        case '&':
            result += "&amp;";
            break;
        case '<':
            result += "&lt;";
            break;
        case '>':
            result += "&gt;";
            break;
        case '"':
            result += "&quot;";
            break;
        default:
            result += c;
        }
    }
    return result;
}

std::string percent(double share) {
    std::ostringstream out;
    out << std::setprecision(3) << share * 100 << '%';
    return out.str();
}

std::string format_time(std::int64_t unix_ms) {
    return unix_ms == 0 ? "-" : format_rfc3339(from_unix_ms(unix_ms));
}

/// Maps times and traffic shares to SVG coordinates.
struct plot_scale {
    std::int64_t begin_ms = 0;
    std::int64_t end_ms = 1;
    [[nodiscard]] double x(std::int64_t ms) const {
        const double fraction = static_cast<double>(ms - begin_ms) / static_cast<double>(end_ms - begin_ms);
        return plot_margin + std::clamp(fraction, 0.0, 1.0) * plot_width;
    }
    [[nodiscard]] static double y(double share) { return plot_margin + (1 - share) * plot_height; }
};

plot_scale plot_scale_of(const move_report& report) {
    plot_scale scale{report.created_unix_ms, std::max(report.deadline_unix_ms, report.completed_unix_ms)};
    if (!report.history.empty()) {
        scale.begin_ms = std::min(scale.begin_ms, report.history.front().unix_ms);
        scale.end_ms = std::max(scale.end_ms, report.history.back().unix_ms);
    }
    scale.end_ms = std::max(scale.end_ms, scale.begin_ms + 1);
    return scale;
}

/// SVG path data of the traffic share over time, drawn as a step function.
std::string share_path(const move_report& report, const plot_scale& scale) {
    std::ostringstream path;
    path << std::fixed << std::setprecision(1) << "M " << scale.x(scale.begin_ms) << ' ' << plot_scale::y(0);
    double last = 0;
    for (const auto& point : report.history) {
        path << " L " << scale.x(point.unix_ms) << ' ' << plot_scale::y(last);
        path << " L " << scale.x(point.unix_ms) << ' ' << plot_scale::y(point.share);
        last = point.share;
    }
    return path.str();
}

void add_axes(std::ostringstream& out) {
    for (const double share : {0.0, 0.25, 0.5, 0.75, 1.0}) {
        const double y = plot_scale::y(share);
        out << "<line x1=\"" << plot_margin << "\" x2=\"" << plot_margin + plot_width << "\" y1=\"" << y
            << "\" y2=\"" << y << "\" stroke=\"#ddd\"/><text x=\"4\" y=\"" << y + 4 << "\">" << percent(share)
            << "</text>\n";
    }
}

void add_marker(std::ostringstream& out, double x, std::string_view label, std::string_view colour) {
    out << "<line x1=\"" << x << "\" x2=\"" << x << "\" y1=\"" << plot_margin << "\" y2=\""
        << plot_margin + plot_height << "\" stroke=\"" << colour << "\" stroke-dasharray=\"4\"/><text x=\""
        << x << "\" y=\"" << plot_margin - 6 << "\" text-anchor=\"middle\" fill=\"" << colour << "\">"
        << label << "</text>\n";
}

} // namespace

move_report make_report(const move_row& row) {
    move_report report;
    report.id = row.id;
    report.service = row.service;
    report.from = row.from;
    report.to = row.to;
    report.state = to_string(row.state);
    report.reason = row.reason;
    report.deadline_risk = row.deadline_risk;
    report.share = row.share;
    report.revision = row.revision;
    report.created_unix_ms = row.created_unix_ms;
    report.deadline_unix_ms = row.deadline_unix_ms;
    report.completed_unix_ms = row.completed_unix_ms;
    report.on_time = row.completed_unix_ms != 0 && row.completed_unix_ms <= row.deadline_unix_ms;
    report.new_requests = row.new_requests;
    if (row.taken_back_unix_ms != 0 && row.first_fault_unix_ms != 0) {
        report.fault_to_no_traffic_ms = row.taken_back_unix_ms - row.first_fault_unix_ms;
    }
    report.evidence = row.evidence;
    report.history = row.history;
    return report;
}

json to_json(const move_report& report) {
    auto evidence = json::array();
    for (const auto& item : report.evidence) {
        evidence.push_back(signal_to_json(item));
    }
    auto history = json::array();
    for (const auto& point : report.history) {
        history.push_back(
            {{"unix_ms", point.unix_ms}, {"share", point.share}, {"state", to_string(point.state)}});
    }
    json result{{"id", report.id},
                {"service", report.service},
                {"from", report.from},
                {"to", report.to},
                {"state", report.state},
                {"reason", report.reason},
                {"deadline_risk", report.deadline_risk},
                {"share", report.share},
                {"revision", report.revision},
                {"created_unix_ms", report.created_unix_ms},
                {"deadline_unix_ms", report.deadline_unix_ms},
                {"completed_unix_ms", report.completed_unix_ms},
                {"on_time", report.on_time},
                {"new_requests", report.new_requests},
                {"evidence", evidence},
                {"history", history}};
    result["fault_to_no_traffic_ms"] = nullptr;
    if (report.fault_to_no_traffic_ms) {
        result["fault_to_no_traffic_ms"] = *report.fault_to_no_traffic_ms;
    }
    return result;
}

std::string to_table(std::span<const move_report> reports) {
    std::ostringstream out;
    out << std::left << std::setw(28) << "MOVE" << std::setw(12) << "STATE" << std::setw(8) << "SHARE"
        << std::setw(10) << "REVISION" << std::setw(26) << "DEADLINE" << std::setw(12) << "NEW REQS"
        << "REASON\n";
    for (const auto& report : reports) {
        out << std::setw(28) << report.id << std::setw(12) << report.state << std::setw(8)
            << percent(report.share) << std::setw(10) << report.revision << std::setw(26)
            << format_time(report.deadline_unix_ms) << std::setw(12) << report.new_requests << report.reason;
        if (!report.deadline_risk.empty()) {
            out << "; deadline at risk: " << report.deadline_risk;
        }
        if (report.fault_to_no_traffic_ms) {
            out << "; first fault to no traffic: " << *report.fault_to_no_traffic_ms << " ms";
        }
        out << '\n';
    }
    return out.str();
}

std::string to_svg(const move_report& report) {
    const auto scale = plot_scale_of(report);
    std::ostringstream out;
    out << "<svg xmlns=\"http://www.w3.org/2000/svg\" width=\"" << plot_width + 2 * plot_margin
        << "\" height=\"" << plot_height + 2 * plot_margin
        << "\" font-family=\"sans-serif\" font-size=\"12\">\n<title>" << escape_xml(report.id) << ": "
        << escape_xml(report.state) << "</title>\n";
    add_axes(out);
    add_marker(out, scale.x(report.deadline_unix_ms), "deadline", "#555");
    if (report.state == to_string(move_state::taken_back) && !report.history.empty()) {
        add_marker(out, scale.x(report.history.back().unix_ms), "taken back", "#b00");
    }
    out << "<path d=\"" << share_path(report, scale)
        << "\" fill=\"none\" stroke=\"#06c\" stroke-width=\"2\"/>\n"
        << "<text x=\"" << plot_margin << "\" y=\"" << plot_margin + plot_height + 20 << "\">"
        << format_time(scale.begin_ms) << "</text><text x=\"" << plot_margin + plot_width << "\" y=\""
        << plot_margin + plot_height + 20 << "\" text-anchor=\"end\">" << format_time(scale.end_ms)
        << "</text>\n<text x=\"" << plot_margin << "\" y=\"" << plot_margin + plot_height + 38 << "\">"
        << escape_xml(report.id) << " " << escape_xml(report.state) << " " << escape_xml(report.reason)
        << "</text>\n</svg>\n";
    return out.str();
}

} // namespace endive::moves
