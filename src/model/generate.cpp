#include "endive/model.h"

#include "endive/config.h"
#include "model/answers_reader.h"
#include "model/checks.h"

#include <algorithm>

namespace endive::model {
namespace {

constexpr integer_limits weight_limits{0, 100};
constexpr int weights_total = 100;

/// Rejects duplicate names within one kind of item.
class unique_names {
public:
    explicit unique_names(std::string kind) : kind_{std::move(kind)} {}
    void add(const std::string& name, const answers_node& node) {
        if (!names_.insert(name).second) {
            node.fail(result_code::answers_duplicate_name,
                      "the " + kind_ + " " + quote(name) + " is declared twice");
        }
    }

private:
    std::string kind_;
    std::set<std::string, std::less<>> names_;
};

std::uint32_t read_size(const answers_node& node, std::string_view field, std::uint32_t default_value,
                        std::uint32_t maximum) {
    if (!node.has(field)) {
        return default_value;
    }
    return static_cast<std::uint32_t>(node.at(field).integer({1, maximum}));
}

measure_weights read_weights(const answers_node& node) {
    node.expect_object({"convergence", "on_time", "take_back", "control_bytes"});
    const auto weight = [&](std::string_view field) {
        return static_cast<int>(node.at(field).integer(weight_limits));
    };
    const measure_weights weights{weight("convergence"), weight("on_time"), weight("take_back"),
                                  weight("control_bytes")};
    const int sum = weights.convergence + weights.on_time + weights.take_back + weights.control_bytes;
    if (sum != weights_total) {
        node.fail(result_code::answers_weights_sum,
                  "the weights sum to " + std::to_string(sum) + ", allowed: 100");
    }
    return weights;
}

void read_regions(const answers_node& node, team_part& part) {
    unique_names region_names{"region"};
    unique_names domain_names{"failure domain"};
    for (const auto& item : node.items(1, config::max_regions)) {
        item.expect_object({"name", "failure_domains"});
        region next;
        next.name = item.at("name").name();
        region_names.add(next.name, item.at("name"));
        for (const auto& domain : item.at("failure_domains").items(1, config::max_failure_domains)) {
            next.failure_domains.push_back(domain.name());
            domain_names.add(next.failure_domains.back(), domain);
            part.failure_domains.push_back(next.failure_domains.back());
        }
        std::ranges::sort(next.failure_domains);
        part.regions.push_back(std::move(next));
    }
    std::ranges::sort(part.regions, {}, &region::name);
    std::ranges::sort(part.failure_domains);
}

std::vector<std::string> read_service_domains(const answers_node& node, const team_part& part) {
    std::vector<std::string> domains;
    unique_names names{"failure domain"};
    for (const auto& item : node.items(1, config::max_failure_domains)) {
        domains.push_back(item.name());
        names.add(domains.back(), item);
        if (!std::ranges::binary_search(part.failure_domains, domains.back())) {
            item.fail(result_code::answers_absent_failure_domain,
                      "no region declares the failure domain " + quote(domains.back()));
        }
    }
    std::ranges::sort(domains);
    return domains;
}

/// Reads a version, which must be one of the releases of `owner`.
std::string read_release(const answers_node& node, const service& owner) {
    auto version = node.version_name();
    if (std::ranges::find(owner.releases, version, &release::version) == owner.releases.end()) {
        node.fail(result_code::answers_absent_release,
                  "the service " + quote(owner.name) + " has no release " + quote(version));
    }
    return version;
}

service read_service(const answers_node& node, const team_part& part) {
    node.expect_object(
        {"name", "endpoints", "slots", "connections", "failure_domains", "releases", "stable_version"});
    service next;
    next.name = node.at("name").name();
    next.team = part.team;
    next.endpoints = static_cast<std::uint32_t>(
        node.at("endpoints").integer({1, static_cast<std::int64_t>(config::max_endpoints_per_service)}));
    next.slots = read_size(node, "slots", next.slots, config::max_slots);
    next.connections = read_size(node, "connections", next.connections, config::max_connections);
    next.failure_domains = read_service_domains(node.at("failure_domains"), part);
    unique_names versions{"release"};
    for (const auto& item : node.at("releases").items(1, config::max_releases_per_service)) {
        next.releases.push_back({item.version_name()});
        versions.add(next.releases.back().version, item);
    }
    next.stable_version = read_release(node.at("stable_version"), next);
    return next;
}

void read_services(const answers_node& node, team_part& part) {
    unique_names names{"service"};
    for (const auto& item : node.items(0, config::max_services)) {
        part.services.push_back(read_service(item, part));
        names.add(part.services.back().name, item.at("name"));
    }
    std::ranges::sort(part.services, {}, &service::name);
}

/// Reads the name of a declared service. Precondition: `part.services` is sorted by name.
const service& read_service_reference(const answers_node& node, const team_part& part) {
    const auto name = node.name();
    const auto found = std::ranges::lower_bound(part.services, name, {}, &service::name);
    if (found == part.services.end() || found->name != name) {
        node.fail(result_code::answers_absent_service, "no service " + quote(name) + " is declared");
    }
    return *found;
}

/// The field is required for POST, PATCH and `*`: a wrong default could execute a payment twice.
bool read_idempotent(const answers_node& node, const std::string& method) {
    if (!node.has("idempotent") && is_idempotent_method(method)) {
        return true;
    }
    return node.at("idempotent").boolean();
}

route read_route(const answers_node& node, const team_part& part) {
    node.expect_object({"name", "method", "path_prefix", "service", "idempotent", "timeout_ms", "priority"});
    route next;
    next.name = node.at("name").name();
    next.team = part.team;
    next.method = node.at("method").checked_string(is_route_method, result_code::answers_bad_method,
                                                   "GET, HEAD, POST, PUT, PATCH, DELETE, OPTIONS or *");
    next.path_prefix =
        node.at("path_prefix")
            .checked_string(is_path_prefix, result_code::answers_bad_path,
                            "a path such as /gite/orari without a trailing slash, empty or dot "
                            "segments, query or escapes, at most 512 bytes");
    next.service = read_service_reference(node.at("service"), part).name;
    next.idempotent = read_idempotent(node, next.method);
    next.timeout_ms = read_size(node, "timeout_ms", next.timeout_ms, config::max_timeout_ms);
    if (node.has("priority")) {
        next.priority = static_cast<std::uint32_t>(node.at("priority").integer({0, config::max_priority}));
    }
    return next;
}

void read_routes(const answers_node& node, team_part& part) {
    unique_names names{"route"};
    std::map<std::pair<std::string, std::string>, std::string> owners;
    for (const auto& item : node.items(0, config::max_routes)) {
        part.routes.push_back(read_route(item, part));
        const route& last = part.routes.back();
        names.add(last.name, item.at("name"));
        const auto [owner, added] = owners.try_emplace({last.method, last.path_prefix}, last.name);
        if (!added) {
            item.fail(result_code::answers_conflicting_routes,
                      "the routes " + quote(owner->second) + " and " + quote(last.name) + " both match " +
                          last.method + " " + last.path_prefix);
        }
    }
    std::ranges::sort(part.routes, {}, &route::name);
}

std::int64_t read_deadline(const answers_node& node, wall_time now) {
    const auto text = node.string();
    // Times outside these years overflow the system clock, which counts nanoseconds.
    const auto year = std::string_view{text}.substr(0, 4);
    const bool year_fits = year >= "1970" && year <= "2199";
    const auto deadline = year_fits ? parse_rfc3339(text) : std::nullopt;
    if (!deadline) {
        node.fail(result_code::answers_bad_time,
                  "the value is " + quote(text) +
                      ", allowed: an RFC 3339 time from 1970 to 2199 such as 2026-12-05T05:30:00Z");
    }
    if (*deadline <= now) {
        node.fail(result_code::answers_deadline_past, "the deadline " + quote(text) + " is in the past");
    }
    return to_unix_ms(*deadline);
}

version_move read_move(const answers_node& node, const team_part& part, wall_time now) {
    node.expect_object({"service", "from", "to", "deadline"});
    version_move next;
    const service& owner = read_service_reference(node.at("service"), part);
    next.service = owner.name;
    next.team = part.team;
    next.from = read_release(node.at("from"), owner);
    next.to = read_release(node.at("to"), owner);
    next.id = next.service + ":" + next.to;
    if (next.from == next.to) {
        node.at("to").fail(result_code::answers_same_version,
                           "the move goes from " + quote(next.from) + " to itself");
    }
    if (next.from != owner.stable_version) {
        node.at("from").fail(result_code::answers_conflicting_moves,
                             "the move starts at " + quote(next.from) + ", but the stable version of " +
                                 quote(owner.name) + " is " + quote(owner.stable_version));
    }
    next.deadline_unix_ms = read_deadline(node.at("deadline"), now);
    return next;
}

void read_moves(const answers_node& node, team_part& part, wall_time now) {
    std::set<std::string, std::less<>> services;
    for (const auto& item : node.items(0, config::max_moves)) {
        part.moves.push_back(read_move(item, part, now));
        const auto& name = part.moves.back().service;
        if (!services.insert(name).second) {
            item.fail(result_code::answers_conflicting_moves,
                      "the service " + quote(name) + " has two moves");
        }
    }
    std::ranges::sort(part.moves, {}, &version_move::id);
}

} // namespace

team_part generate(std::string_view questionnaire, wall_time now) {
    const json document = parse_answers(questionnaire);
    const answers_node root{document, ""};
    root.expect_object(
        {"format", "organisation", "team", "regions", "services", "routes", "moves", "weights"});
    constexpr std::int64_t supported_format = 1;
    if (root.at("format").integer({INT64_MIN, INT64_MAX}) != supported_format) {
        root.at("format").fail(result_code::answers_unsupported_format, "only format 1 is supported");
    }
    team_part part;
    part.organisation = root.at("organisation")
                            .checked_string(is_plain_text, result_code::answers_out_of_range,
                                            "1 to 200 bytes of text without control characters");
    part.team = root.at("team").name();
    read_regions(root.at("regions"), part);
    read_services(root.at("services"), part);
    read_routes(root.at("routes"), part);
    if (root.has("moves")) {
        read_moves(root.at("moves"), part, now);
    }
    part.weights = read_weights(root.at("weights"));
    return part;
}

} // namespace endive::model
