#include "endive/operators.h"

#include <array>
#include <cctype>
#include <sstream>

namespace endive::operators {
namespace {

constexpr std::array<double, 4> quantiles = {0.5, 0.9, 0.99, 0.999};

/// A valid metric name: every other character becomes an underscore.
std::string metric_name(std::string_view name) {
    std::string text = "endive_";
    for (const char c : name) {
        text += std::isalnum(static_cast<unsigned char>(c)) != 0 ? c : '_';
    }
    return text;
}

double to_seconds(duration value) {
    return std::chrono::duration<double>(value).count();
}

void write_counter(std::ostream& out, const std::string& name, std::uint64_t value) {
    out << "# TYPE " << name << " counter\n" << name << ' ' << value << '\n';
}

void write_histogram(std::ostream& out, const named_histogram& item) {
    const auto name = metric_name(item.name) + "_seconds";
    out << "# TYPE " << name << " summary\n";
    for (const double quantile : quantiles) {
        out << name << "{quantile=\"" << quantile << "\"} " << to_seconds(item.histogram->quantile(quantile))
            << '\n';
    }
    out << name << "_count " << item.histogram->count() << '\n';
    out << "# TYPE " << name << "_max gauge\n";
    out << name << "_max " << to_seconds(item.histogram->max()) << '\n';
}

} // namespace

std::string metrics_text(const counter_set& counters, const std::vector<named_histogram>& histograms) {
    // Two counter names may differ only in characters that a metric name cannot hold; a metric that appears
    // twice makes the whole page invalid, so such counters are added up.
    std::map<std::string, std::uint64_t> totals;
    for (const auto& [name, value] : counters.values()) {
        totals[metric_name(name) + "_total"] += value;
    }
    std::ostringstream out;
    for (const auto& [name, value] : totals) {
        write_counter(out, name, value);
    }
    for (const auto& item : histograms) {
        write_histogram(out, item);
    }
    return out.str();
}

} // namespace endive::operators
