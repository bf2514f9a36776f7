#include "endive/model.h"

#include "endive/config.h"
#include "model/checks.h"
#include "model/json_input.h"

#include <algorithm>

namespace endive::model {
namespace {

constexpr int weights_total = 100;

[[noreturn]] void malformed(const std::string& place, const std::string& message) {
    throw error{result_code::snapshot_malformed, message, place};
}

void require(bool holds, const std::string& place, const char* message) {
    if (!holds) {
        malformed(place, message);
    }
}

/// Requires strictly ascending keys, which makes them unique and the bytes canonical.
template <typename Items, typename Key>
void require_order(const Items& items, Key key, const std::string& place) {
    const auto broken = std::ranges::adjacent_find(
        items, [](const auto& a, const auto& b) { return !(a < b); }, key);
    require(broken == items.end(), place, "the items are not in ascending order of unique names");
}

void check_weights(const measure_weights& weights, const std::string& place) {
    const auto in_range = [](int weight) { return weight >= 0 && weight <= weights_total; };
    require(in_range(weights.convergence) && in_range(weights.on_time) && in_range(weights.take_back) &&
                in_range(weights.control_bytes),
            place, "a weight is out of range");
    require(weights.convergence + weights.on_time + weights.take_back + weights.control_bytes ==
                weights_total,
            place, "the weights do not sum to 100");
}

void check_regions(const team_part& part, const std::string& place) {
    require(part.regions.size() <= config::max_regions, place, "too many regions");
    require_order(part.regions, &region::name, place + "/regions");
    require_order(part.failure_domains, std::identity{}, place + "/failure_domains");
    std::vector<std::string> all;
    for (const auto& item : part.regions) {
        require(is_name(item.name), pointer_to(place + "/regions", item.name), "the name is not allowed");
        all.insert(all.end(), item.failure_domains.begin(), item.failure_domains.end());
    }
    std::ranges::sort(all);
    require(all == part.failure_domains, place + "/failure_domains",
            "the failure domains differ from those of the regions");
    require(std::ranges::all_of(all, is_name), place + "/failure_domains", "a name is not allowed");
}

bool has_release(const service& owner, const std::string& version) {
    return std::ranges::find(owner.releases, version, &release::version) != owner.releases.end();
}

[[noreturn]] void dangling(const std::string& place, const std::string& message) {
    throw error{result_code::snapshot_dangling_reference, message, place};
}

bool sizes_fit(const service& item) {
    const auto fits = [](std::uint32_t value, std::size_t maximum) { return value >= 1 && value <= maximum; };
    return fits(item.endpoints, config::max_endpoints_per_service) && fits(item.slots, config::max_slots) &&
           fits(item.connections, config::max_connections);
}

void check_service(const service& item, const team_part& part, const std::string& place) {
    require(is_name(item.name), place, "the name is not allowed");
    require(item.team == part.team, place, "the team differs from the part's team");
    require(sizes_fit(item), place, "a size is out of range");
    require(!item.releases.empty() && item.releases.size() <= config::max_releases_per_service, place,
            "the number of releases is out of range");
    require(std::ranges::all_of(item.releases, is_version_name, &release::version), place,
            "a version name is not allowed");
    require_order(item.failure_domains, std::identity{}, place + "/failure_domains");
    for (const auto& domain : item.failure_domains) {
        if (!std::ranges::binary_search(part.failure_domains, domain)) {
            dangling(place, "the failure domain " + domain + " is not declared");
        }
    }
    if (!has_release(item, item.stable_version)) {
        dangling(place, "the stable version " + item.stable_version + " is not among the releases");
    }
}

void check_route(const route& item, const team_part& part, const std::string& place) {
    require(is_name(item.name), place, "the name is not allowed");
    require(item.team == part.team, place, "the team differs from the part's team");
    require(is_route_method(item.method), place, "the method is not known");
    require(is_path_prefix(item.path_prefix), place, "the path prefix is not in normal form");
    require(item.timeout_ms >= 1 && item.timeout_ms <= config::max_timeout_ms, place,
            "the timeout is out of range");
    require(item.priority <= config::max_priority, place, "the priority is out of range");
}

using service_map = std::map<std::string_view, const service*>;

void check_move(const version_move& item, const team_part& part, const service_map& services,
                const std::string& place) {
    require(item.team == part.team, place, "the team differs from the part's team");
    require(item.id == item.service + ":" + item.to, place, "the id is not <service>:<to>");
    require(item.from != item.to, place, "the move goes from a version to itself");
    require(item.deadline_unix_ms > 0, place, "the deadline is out of range");
    const auto found = services.find(item.service);
    if (found == services.end()) {
        dangling(place, "the service " + item.service + " is absent");
    }
    require(found->second->team == item.team, place, "the service belongs to another team");
    if (!has_release(*found->second, item.from) || !has_release(*found->second, item.to)) {
        dangling(place, "a version of the move is not among the releases");
    }
}

/// Names and routes of the whole snapshot, collected part by part.
class snapshot_index {
public:
    void add_services(const team_part& part, const std::string& place) {
        for (const auto& item : part.services) {
            const auto item_place = pointer_to(place + "/services", item.name);
            check_service(item, part, item_place);
            if (!services_.try_emplace(item.name, &item).second) {
                duplicate(item_place, "another team has a service of this name");
            }
        }
        require(services_.size() <= config::max_services, place, "too many services");
    }

    void add_routes(const team_part& part, const std::string& place) {
        for (const auto& item : part.routes) {
            const auto item_place = pointer_to(place + "/routes", item.name);
            check_route(item, part, item_place);
            if (!services_.contains(item.service)) {
                dangling(item_place, "the service " + item.service + " is absent");
            }
            if (!route_names_.insert(item.name).second) {
                duplicate(item_place, "another team has a route of this name");
            }
            const auto [owner, added] = matches_.try_emplace({item.path_prefix, item.method}, item.name);
            if (!added) {
                throw error{result_code::snapshot_conflicting_routes,
                            "the route " + std::string{owner->second} +
                                " has the same method and path prefix",
                            item_place};
            }
        }
        require(route_names_.size() <= config::max_routes, place, "too many routes");
    }

    void check_moves(const team_part& part, const std::string& place) const {
        require(part.moves.size() <= config::max_moves, place, "too many moves");
        std::set<std::string_view> moved;
        for (const auto& item : part.moves) {
            const auto item_place = pointer_to(place + "/moves", item.id);
            check_move(item, part, services_, item_place);
            require(moved.insert(item.service).second, item_place, "the service has two moves");
        }
    }

private:
    [[noreturn]] static void duplicate(const std::string& place, const std::string& message) {
        throw error{result_code::snapshot_duplicate_name, message, place};
    }

    service_map services_;
    std::set<std::string_view> route_names_;
    std::map<std::pair<std::string_view, std::string_view>, std::string_view> matches_;
};

void check_part(const team_part& part, std::uint64_t version, const std::string& place) {
    require(is_name(part.team), place, "the team name is not allowed");
    require(is_plain_text(part.organisation), place, "the organisation is not plain text");
    require(part.changed_at_version <= version, place, "the part is newer than the snapshot");
    check_weights(part.weights, place + "/weights");
    check_regions(part, place);
    require_order(part.services, &service::name, place + "/services");
    require_order(part.routes, &route::name, place + "/routes");
    require_order(part.moves, &version_move::id, place + "/moves");
}

std::string place_of(const team_part& part) {
    return pointer_to("/parts", part.team);
}

} // namespace

void validate(const snapshot& candidate) {
    require_order(candidate.parts, &team_part::team, "/parts");
    snapshot_index index;
    for (const auto& part : candidate.parts) {
        check_part(part, candidate.version, place_of(part));
        index.add_services(part, place_of(part));
    }
    for (const auto& part : candidate.parts) {
        index.add_routes(part, place_of(part));
        index.check_moves(part, place_of(part));
    }
}

} // namespace endive::model
