#include "sidecar/tenant_counts.h"

namespace endive::sidecar {
namespace {

constexpr std::size_t max_names = 1024;

/// Escapes a label value for the text format of the metrics.
std::string escaped(const std::string& text) {
    std::string result;
    for (const char letter : text) {
        if (letter == '\n') {
            result += "\\n";
            continue;
        }
        if (letter == '"' || letter == '\\') {
            result += '\\';
        }
        result += letter;
    }
    return result;
}

} // namespace

void tenant_counts::add(const std::string& tenant) {
    if (tenant.empty()) {
        return;
    }
    const bool fits = counts_.size() < max_names || counts_.contains(tenant);
    ++counts_[fits ? tenant : "other"];
}

void tenant_counts::write(std::ostream& out, const std::string& metric) const {
    for (const auto& [tenant, count] : counts_) {
        out << metric << "{tenant=\"" << escaped(tenant) << "\"} " << count << "\n";
    }
}

} // namespace endive::sidecar
