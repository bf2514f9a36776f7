#pragma once
/// Sends an attempt through the daemon beside the backend server.

#include "endive/backends.h"

namespace endive::backends {

/// `transport` over peer links. An attempt blocks in its first `step` until the response is complete, so
/// relayed calls are neither hedged nor cancelled early; their deadline ends them. Thread safe.
class relay_sender final : public transport {
public:
    relay_sender(relay_transport& link, const clock_source& clock) : link_{link}, clock_{clock} {}
    [[nodiscard]] std::unique_ptr<exchange> start(const model::endpoint_info& endpoint,
                                                  const backend_request& request) override;

private:
    relay_transport& link_;
    const clock_source& clock_;
};

} // namespace endive::backends
