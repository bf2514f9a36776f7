#include "endive/model.h"

#include "model/checks.h"

#include <algorithm>
#include <tuple>

namespace endive::model {
namespace {

auto by_prefix_and_method(const route& item) {
    return std::tie(item.path_prefix, item.method);
}

/// The path without query and fragment.
std::string_view path_only(std::string_view target) {
    return target.substr(0, target.find_first_of("?#"));
}

} // namespace

routing_table::routing_table(snapshot source) : source_{std::move(source)} {
    for (const auto& part : source_.parts) {
        services_.insert(services_.end(), part.services.begin(), part.services.end());
        routes_.insert(routes_.end(), part.routes.begin(), part.routes.end());
    }
    std::ranges::sort(services_, {}, &service::name);
    std::ranges::sort(routes_, {}, by_prefix_and_method);
    by_prefix_.reserve(routes_.size());
    for (std::uint32_t index = 0; index < routes_.size(); ++index) {
        const route& item = routes_[index];
        route_services_.push_back(find_service(item.service));
        ++by_prefix_.try_emplace(item.path_prefix, prefix_range{index, 0}).first->second.count;
        longest_prefix_ = std::max(longest_prefix_, item.path_prefix.size());
    }
}

route_handle routing_table::find_in_prefix(std::string_view prefix, std::string_view method) const {
    const auto found = by_prefix_.find(prefix);
    if (found == by_prefix_.end()) {
        return {};
    }
    route_handle wildcard;
    const auto [first, count] = found->second;
    for (std::uint32_t index = first; index < first + count; ++index) {
        if (routes_[index].method == method) {
            return {index};
        }
        if (routes_[index].method == any_method) {
            wildcard = {index};
        }
    }
    return wildcard;
}

route_handle routing_table::find_route(std::string_view method, std::string_view path) const {
    std::string_view prefix = path_only(path);
    if (prefix.empty() || prefix.front() != '/') {
        return {};
    }
    // Each iteration removes the last segment, so that only segment boundaries are tried, longest first.
    // Starting at the longest known prefix bounds the time for paths with many segments.
    if (prefix.size() > longest_prefix_ + 1) {
        const auto boundary = prefix.rfind('/', longest_prefix_);
        prefix = prefix.substr(0, boundary);
    }
    while (!prefix.empty()) {
        const auto found = find_in_prefix(prefix, method);
        if (found.valid()) {
            return found;
        }
        prefix = prefix.substr(0, prefix.rfind('/'));
    }
    return find_in_prefix("/", method);
}

service_handle routing_table::find_service(std::string_view name) const {
    const auto at = std::ranges::lower_bound(services_, name, {}, &service::name);
    if (at == services_.end() || at->name != name) {
        return {};
    }
    return {static_cast<std::uint32_t>(at - services_.begin())};
}

} // namespace endive::model
