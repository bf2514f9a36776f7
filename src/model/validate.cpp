#include "endive/model.h"

#include "endive/config.h"
#include "model/checks.h"
#include "model/json_input.h"

#include <algorithm>

namespace endive::model {
namespace {

constexpr int weights_total = 100;

[[noreturn]] void fail_malformed(const std::string& location, const std::string& message) {
    throw error{result_code::snapshot_malformed, message, location};
}

void require(bool condition, const std::string& location, const char* message) {
    if (!condition) {
        fail_malformed(location, message);
    }
}

/// Requires strictly ascending keys, which makes them unique and the bytes canonical.
template <typename Items, typename Key>
void require_order(const Items& items, Key key, const std::string& location) {
    const auto unordered = std::ranges::adjacent_find(
        items, [](const auto& a, const auto& b) { return !(a < b); }, key);
    require(unordered == items.end(), location, "the items are not in ascending order of unique names");
}

void check_weights(const measure_weights& weights, const std::string& location) {
    const auto in_range = [](int weight) { return weight >= 0 && weight <= weights_total; };
    require(in_range(weights.convergence) && in_range(weights.on_time) && in_range(weights.take_back) &&
                in_range(weights.control_bytes),
            location, "a weight is out of range");
    require(weights.convergence + weights.on_time + weights.take_back + weights.control_bytes ==
                weights_total,
            location, "the weights do not sum to 100");
}

void check_regions(const team_part& part, const std::string& location) {
    require(part.regions.size() <= config::max_regions, location, "too many regions");
    require_order(part.regions, &region::name, location + "/regions");
    require_order(part.failure_domains, std::identity{}, location + "/failure_domains");
    std::vector<std::string> all;
    for (const auto& item : part.regions) {
        require(is_name(item.name), pointer_to(location + "/regions", item.name), "the name is not allowed");
        all.insert(all.end(), item.failure_domains.begin(), item.failure_domains.end());
    }
    std::ranges::sort(all);
    require(all == part.failure_domains, location + "/failure_domains",
            "the failure domains differ from those of the regions");
    require(std::ranges::all_of(all, is_name), location + "/failure_domains", "a name is not allowed");
}

bool has_release(const service& owner, const std::string& version) {
    return std::ranges::find(owner.releases, version, &release::version) != owner.releases.end();
}

[[noreturn]] void fail_dangling(const std::string& location, const std::string& message) {
    throw error{result_code::snapshot_dangling_reference, message, location};
}

bool sizes_fit(const service& item) {
    const auto fits = [](std::uint32_t value, std::size_t maximum) { return value >= 1 && value <= maximum; };
    return fits(item.endpoints, config::max_endpoints_per_service) && fits(item.slots, config::max_slots) &&
           fits(item.connections, config::max_connections);
}

void check_service(const service& item, const team_part& part, const std::string& location) {
    require(is_name(item.name), location, "the name is not allowed");
    require(item.team == part.team, location, "the team differs from the part's team");
    require(sizes_fit(item), location, "a size is out of range");
    require(!item.releases.empty() && item.releases.size() <= config::max_releases_per_service, location,
            "the number of releases is out of range");
    require(std::ranges::all_of(item.releases, is_version_name, &release::version), location,
            "a version name is not allowed");
    require_order(item.failure_domains, std::identity{}, location + "/failure_domains");
    for (const auto& domain : item.failure_domains) {
        if (!std::ranges::binary_search(part.failure_domains, domain)) {
            fail_dangling(location, "the failure domain " + domain + " is not declared");
        }
    }
    if (!has_release(item, item.stable_version)) {
        fail_dangling(location, "the stable version " + item.stable_version + " is not among the releases");
    }
}

void check_route(const route& item, const team_part& part, const std::string& location) {
    require(is_name(item.name), location, "the name is not allowed");
    require(item.team == part.team, location, "the team differs from the part's team");
    require(is_route_method(item.method), location, "the method is not known");
    require(is_path_prefix(item.path_prefix), location, "the path prefix is not normalized");
    require(item.timeout_ms >= 1 && item.timeout_ms <= config::max_timeout_ms, location,
            "the timeout is out of range");
    require(item.priority <= config::max_priority, location, "the priority is out of range");
}

using service_map = std::map<std::string_view, const service*>;

void check_move(const version_move& item, const team_part& part, const service_map& services,
                const std::string& location) {
    require(item.team == part.team, location, "the team differs from the part's team");
    require(item.id == item.service + ":" + item.to, location, "the id is not <service>:<to>");
    require(item.from != item.to, location, "the move goes from a version to itself");
    require(item.deadline_unix_ms > 0, location, "the deadline is out of range");
    const auto found = services.find(item.service);
    if (found == services.end()) {
        fail_dangling(location, "the service " + item.service + " is absent");
    }
    require(found->second->team == item.team, location, "the service belongs to another team");
    if (!has_release(*found->second, item.from) || !has_release(*found->second, item.to)) {
        fail_dangling(location, "a version of the move is not among the releases");
    }
}

/// Names and routes of the whole snapshot, added part by part.
class snapshot_index {
public:
    void add_services(const team_part& part, const std::string& location) {
        for (const auto& item : part.services) {
            const auto item_location = pointer_to(location + "/services", item.name);
            check_service(item, part, item_location);
            if (!services_.try_emplace(item.name, &item).second) {
                fail_duplicate(item_location, "another team has a service of this name");
            }
        }
        require(services_.size() <= config::max_services, location, "too many services");
    }

    void add_routes(const team_part& part, const std::string& location) {
        for (const auto& item : part.routes) {
            const auto item_location = pointer_to(location + "/routes", item.name);
            check_route(item, part, item_location);
            if (!services_.contains(item.service)) {
                fail_dangling(item_location, "the service " + item.service + " is absent");
            }
            if (!route_names_.insert(item.name).second) {
                fail_duplicate(item_location, "another team has a route of this name");
            }
            const auto [owner, added] = matches_.try_emplace({item.path_prefix, item.method}, item.name);
            if (!added) {
                throw error{result_code::snapshot_conflicting_routes,
                            "the route " + std::string{owner->second} +
                                " has the same method and path prefix",
                            item_location};
            }
        }
        require(route_names_.size() <= config::max_routes, location, "too many routes");
    }

    void check_moves(const team_part& part, const std::string& location) const {
        require(part.moves.size() <= config::max_moves, location, "too many moves");
        std::set<std::string_view> moved_services;
        for (const auto& item : part.moves) {
            const auto item_location = pointer_to(location + "/moves", item.id);
            check_move(item, part, services_, item_location);
            require(moved_services.insert(item.service).second, item_location, "the service has two moves");
        }
    }

private:
    [[noreturn]] static void fail_duplicate(const std::string& location, const std::string& message) {
        throw error{result_code::snapshot_duplicate_name, message, location};
    }

    service_map services_;
    std::set<std::string_view> route_names_;
    std::map<std::pair<std::string_view, std::string_view>, std::string_view> matches_;
};

void check_part(const team_part& part, std::uint64_t version, const std::string& location) {
    require(is_name(part.team), location, "the team name is not allowed");
    require(is_plain_text(part.organisation), location, "the organisation is not plain text");
    require(part.changed_at_version <= version, location, "the part is newer than the snapshot");
    check_weights(part.weights, location + "/weights");
    check_regions(part, location);
    require_order(part.services, &service::name, location + "/services");
    require_order(part.routes, &route::name, location + "/routes");
    require_order(part.moves, &version_move::id, location + "/moves");
}

std::string location_of(const team_part& part) {
    return pointer_to("/parts", part.team);
}

} // namespace

void validate(const snapshot& candidate) {
    require_order(candidate.parts, &team_part::team, "/parts");
    snapshot_index index;
    for (const auto& part : candidate.parts) {
        check_part(part, candidate.version, location_of(part));
        index.add_services(part, location_of(part));
    }
    for (const auto& part : candidate.parts) {
        index.add_routes(part, location_of(part));
        index.check_moves(part, location_of(part));
    }
}

} // namespace endive::model
