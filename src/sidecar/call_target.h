#pragma once
// Interface of everything that can run a request: the daemon's own endpoint or another daemon.

#include "sidecar/messages.h"

#include <functional>

namespace endive::sidecar {

using reply_handler = std::function<void(reply_message)>;

/// Not thread safe; implementations are owned by the event loop.
class call_target {
public:
    call_target() = default;
    call_target(const call_target&) = delete;
    call_target& operator=(const call_target&) = delete;
    virtual ~call_target() = default;
    /// Calls `done` exactly once unless `cancel` is called first, possibly before `execute` returns. Returns
    /// an id for `cancel`.
    virtual std::uint64_t execute(call_message call, reply_handler done) = 0;
    /// Cancels a call. No effect once the call is done. Returns true when the call is known not to have
    /// reached an endpoint; it never will.
    virtual bool cancel(std::uint64_t id) = 0;
};

} // namespace endive::sidecar
