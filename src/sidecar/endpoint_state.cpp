// State of the daemon's own endpoint: health checks, heartbeats and the load that it reports.

#include "sidecar/endpoint_service.h"

#include "sidecar/events.h"

#include "platform/wire.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// Timeout of a health check, which may wait for a slot of the endpoint.
constexpr duration probe_timeout = std::chrono::seconds{3};
/// Maximum body size of the response to a health check, which is not used.
constexpr std::uint64_t max_probe_body_bytes = 64UL * 1024;

} // namespace

void endpoint_service::take_report(const http_message& response) {
    const auto report =
        platform_wire::decode_load_report(find_header(response.headers, platform_wire::load_header));
    if (report) {
        costs_.on_report(*report, gate_.running(), clock_.now());
        refresh_gate();
    }
}

void endpoint_service::refresh_gate() {
    const auto now = clock_.now();
    const auto& current = tracker_.current();
    costs_.set_cold(current.cold_remaining > milliseconds{0});
    gate_.set_slots(costs_.usable_slots(std::max(1U, current.slots), now));
    gate_.set_pace(costs_.pace(now));
}

void endpoint_service::update(const std::function<void(mesh::endpoint_tracker&)>& change) {
    change(tracker_);
    apply_tracker_state();
}

void endpoint_service::apply_tracker_state() {
    if (tracker_.revision() == applied_revision_) {
        return;
    }
    applied_revision_ = tracker_.revision();
    const auto& current = tracker_.current();
    log(event::endpoint_changed, {{"endpoint", current.endpoint_id},
                                  {"version", current.version},
                                  {"state", static_cast<int>(current.state)},
                                  {"born", current.start_unix_ms},
                                  {"sequence", current.sequence}});
    if (current.endpoint_id != current_endpoint_) {
        current_endpoint_ = current.endpoint_id;
        costs_.on_replaced();
        client_.close_idle();
    }
    refresh_gate();
    apply(gate_.set_ready(may_start(), clock_.now()));
    if (on_change_) {
        on_change_();
    }
}

void endpoint_service::set_retired(bool retired) {
    if (retired_ != retired) {
        retired_ = retired;
        apply(gate_.set_ready(may_start(), clock_.now()));
    }
}

void endpoint_service::probe(const std::string& health_path) {
    if (probe_ || tracker_.current().state != mesh::endpoint_state::absent || health_path.empty()) {
        return;
    }
    http_message request;
    request.method = "GET";
    request.target = health_path;
    request.headers.push_back(
        {"Host", to_string(parse_address(tracker_.current().address).value_or(socket_address{}))});
    const auto on_response = [this](const endpoint_result& result) {
        probe_.reset();
        if (result.outcome != mesh::attempt_outcome::answered) {
            return;
        }
        const auto id = find_header(result.response.headers, platform_wire::endpoint_id_header);
        constexpr unsigned status_ok = 200;
        const bool healthy = result.response.status == status_ok;
        log(event::endpoint_probed, {{"endpoint", id}, {"status", result.response.status}});
        if (!platform_wire::is_endpoint_id(id)) {
            return;
        }
        const auto report = platform_wire::decode_load_report(
            find_header(result.response.headers, platform_wire::load_header));
        const auto slots = report ? report->slots : 1;
        update([&](mesh::endpoint_tracker& tracker) { tracker.on_health(id, healthy, slots); });
        take_report(result.response);
    };
    const auto id = client_.send(std::move(request), {}, on_response, max_probe_body_bytes);
    probe_ = health_check{id, clock_.now() + probe_timeout};
}

} // namespace endive::sidecar
