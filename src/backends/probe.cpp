#include "endive/backends.h"

namespace endive::backends {
namespace {

constexpr std::size_t max_probe_bytes = 4096;

[[nodiscard]] std::optional<double> parse_load(const std::string& body) {
    const auto object = json::parse(body, nullptr, false);
    if (!object.is_object() || !object.contains("load") || !object["load"].is_number()) {
        return std::nullopt;
    }
    const auto load = object["load"].get<double>();
    return load >= 0.0 && load <= 1.0 ? std::optional{load} : std::nullopt;
}

} // namespace

probe_result probe(transport& pool, const model::endpoint_info& endpoint, const clock_source& clock,
                   time_point deadline) {
    backend_request request;
    request.method = "GET";
    request.target = "/endive/v1/load";
    request.deadline = deadline;
    const auto attempt = pool.start(endpoint, request);
    while (!attempt->step()) {
        if (attempt->buffered() > max_probe_bytes || clock.now() >= deadline) {
            attempt->cancel();
            break;
        }
        attempt->wait(deadline - clock.now(), nullptr, -1);
    }
    const auto seen = attempt->result();
    if (seen.transport != calls::transport_result::answered || seen.status != 200) {
        return {};
    }
    return {true, parse_load(attempt->take_body())};
}

} // namespace endive::backends
