#include "endive/mesh.h"

#include <algorithm>

namespace endive::mesh {
namespace {

std::string normalize_host(std::string_view host) {
    const auto colon = host.rfind(':');
    if (colon != std::string_view::npos) {
        host = host.substr(0, colon);
    }
    std::string result{host};
    std::transform(result.begin(), result.end(), result.begin(),
                   [](char c) { return c >= 'A' && c <= 'Z' ? static_cast<char>(c - 'A' + 'a') : c; });
    return result;
}

} // namespace

route_index::route_index(configuration source) : source_{std::move(source)} {
    for (const auto& entry : source_.routes) {
        by_host_[normalize_host(entry.host)].push_back(&entry);
    }
    for (auto& [host, routes] : by_host_) {
        std::stable_sort(routes.begin(), routes.end(),
                         [](const route* a, const route* b) { return a->prefix.size() > b->prefix.size(); });
    }
}

const route* route_index::find(std::string_view host, std::string_view target) const {
    const auto found = by_host_.find(normalize_host(host));
    if (found == by_host_.end()) {
        return nullptr;
    }
    const auto path = target.substr(0, target.find('?'));
    for (const auto* entry : found->second) {
        if (path.starts_with(entry->prefix)) {
            return entry;
        }
    }
    return nullptr;
}

const service* route_index::find_service(std::string_view name) const {
    const auto found = std::find_if(source_.services.begin(), source_.services.end(),
                                    [&](const service& entry) { return entry.name == name; });
    return found == source_.services.end() ? nullptr : &*found;
}

std::size_t split_chooser::choose(const route& choice) {
    if (choice.parts.size() == 1) {
        return 0;
    }
    auto& state = routes_[choice.name];
    if (state.parts != choice.parts) {
        state.parts = choice.parts;
        state.credit.assign(choice.parts.size(), 0);
    }
    std::int64_t total = 0;
    std::size_t best = choice.parts.size();
    for (std::size_t i = 0; i < choice.parts.size(); ++i) {
        state.credit[i] += choice.parts[i].weight;
        total += choice.parts[i].weight;
        const bool has_weight = choice.parts[i].weight > 0;
        if (has_weight && (best == choice.parts.size() || state.credit[i] > state.credit[best])) {
            best = i;
        }
    }
    if (best == choice.parts.size()) {
        return 0;
    }
    state.credit[best] -= total;
    return best;
}

} // namespace endive::mesh
