#include "endive/model.h"

#include "model/to_json.h"

#include <algorithm>

namespace endive::model {
namespace {

void add_part(snapshot& target, team_part part) {
    const auto at = std::ranges::lower_bound(target.parts, part.team, {}, &team_part::team);
    if (at != target.parts.end() && at->team == part.team) {
        *at = std::move(part);
    } else {
        target.parts.insert(at, std::move(part));
    }
}

/// Resources of a part by name, each as a JSON value.
std::map<std::string, json> resources_of(const team_part& part) {
    std::map<std::string, json> all;
    all["organisation"] = part.organisation;
    all["weights"] = to_json_value(part.weights);
    for (const auto& item : part.regions) {
        all["region " + item.name] = to_json_value(item);
    }
    for (const auto& item : part.services) {
        all["service " + item.name] = to_json_value(item);
    }
    for (const auto& item : part.routes) {
        all["route " + item.name] = to_json_value(item);
    }
    for (const auto& item : part.moves) {
        all["move " + item.id] = to_json_value(item);
    }
    return all;
}

} // namespace

snapshot merge_part(const snapshot& base, team_part part) {
    snapshot next = base;
    ++next.version;
    part.changed_at_version = next.version;
    add_part(next, std::move(part));
    return next;
}

const team_part* find_part(const snapshot& value, std::string_view team) {
    const auto at = std::ranges::lower_bound(value.parts, team, {}, &team_part::team);
    return at != value.parts.end() && at->team == team ? &*at : nullptr;
}

bool same_content(const team_part& a, const team_part& b) {
    team_part other = b;
    other.changed_at_version = a.changed_at_version;
    return a == other;
}

snapshot_delta make_delta(const snapshot& from, const snapshot& to) {
    snapshot_delta delta;
    delta.from_version = from.version;
    delta.to_version = to.version;
    delta.to_digest = digest(to);
    for (const auto& part : to.parts) {
        const team_part* before = find_part(from, part.team);
        if (before == nullptr || *before != part) {
            delta.changed.push_back(part);
        }
    }
    for (const auto& part : from.parts) {
        if (find_part(to, part.team) == nullptr) {
            delta.removed_teams.push_back(part.team);
        }
    }
    return delta;
}

snapshot apply_delta(const snapshot& base, const snapshot_delta& delta) {
    if (base.version != delta.from_version) {
        throw error{result_code::snapshot_delta_mismatch,
                    "the delta starts at version " + std::to_string(delta.from_version) +
                        ", the base has version " + std::to_string(base.version)};
    }
    snapshot next = base;
    next.version = delta.to_version;
    std::erase_if(next.parts, [&](const team_part& part) {
        return std::ranges::find(delta.removed_teams, part.team) != delta.removed_teams.end();
    });
    for (const auto& part : delta.changed) {
        add_part(next, part);
    }
    if (digest(next) != delta.to_digest) {
        throw error{result_code::snapshot_delta_mismatch,
                    "the result differs from the digest of version " + std::to_string(delta.to_version)};
    }
    return next;
}

std::vector<resource_change> compare_parts(const team_part& before, const team_part& after) {
    const auto old_resources = resources_of(before);
    const auto new_resources = resources_of(after);
    std::vector<resource_change> changes;
    for (const auto& [name, value] : old_resources) {
        const auto found = new_resources.find(name);
        if (found == new_resources.end()) {
            changes.push_back({change_kind::removed, name, value.dump(), ""});
        } else if (found->second != value) {
            changes.push_back({change_kind::changed, name, value.dump(), found->second.dump()});
        }
    }
    for (const auto& [name, value] : new_resources) {
        if (!old_resources.contains(name)) {
            changes.push_back({change_kind::added, name, "", value.dump()});
        }
    }
    std::ranges::sort(changes, {}, &resource_change::resource);
    return changes;
}

} // namespace endive::model
