#pragma once
/// Serialized fields of each value type, shared by encoding and decoding.

#include "endive/model.h"

namespace endive::model {

template <typename Visitor>
void visit_fields(Visitor& visit, measure_weights& value) {
    visit("convergence", value.convergence);
    visit("on_time", value.on_time);
    visit("take_back", value.take_back);
    visit("control_bytes", value.control_bytes);
}

template <typename Visitor>
void visit_fields(Visitor& visit, release& value) {
    visit("version", value.version);
}

template <typename Visitor>
void visit_fields(Visitor& visit, region& value) {
    visit("name", value.name);
    visit("failure_domains", value.failure_domains);
}

template <typename Visitor>
void visit_fields(Visitor& visit, service& value) {
    visit("name", value.name);
    visit("team", value.team);
    visit("endpoints", value.endpoints);
    visit("slots", value.slots);
    visit("connections", value.connections);
    visit("failure_domains", value.failure_domains);
    visit("releases", value.releases);
    visit("stable_version", value.stable_version);
}

template <typename Visitor>
void visit_fields(Visitor& visit, route& value) {
    visit("name", value.name);
    visit("team", value.team);
    visit("method", value.method);
    visit("path_prefix", value.path_prefix);
    visit("service", value.service);
    visit("idempotent", value.idempotent);
    visit("timeout_ms", value.timeout_ms);
    visit("priority", value.priority);
}

template <typename Visitor>
void visit_fields(Visitor& visit, version_move& value) {
    visit("id", value.id);
    visit("team", value.team);
    visit("service", value.service);
    visit("from", value.from);
    visit("to", value.to);
    visit("deadline_unix_ms", value.deadline_unix_ms);
}

template <typename Visitor>
void visit_fields(Visitor& visit, team_part& value) {
    visit("team", value.team);
    visit("organisation", value.organisation);
    visit("changed_at_version", value.changed_at_version);
    visit("weights", value.weights);
    visit("failure_domains", value.failure_domains);
    visit("regions", value.regions);
    visit("services", value.services);
    visit("routes", value.routes);
    visit("moves", value.moves);
}

template <typename Visitor>
void visit_fields(Visitor& visit, snapshot& value) {
    visit("version", value.version);
    visit("parts", value.parts);
}

template <typename Visitor>
void visit_fields(Visitor& visit, snapshot_delta& value) {
    visit("from_version", value.from_version);
    visit("to_version", value.to_version);
    visit("to_digest", value.to_digest);
    visit("changed", value.changed);
    visit("removed_teams", value.removed_teams);
}

} // namespace endive::model
