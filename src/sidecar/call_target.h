#pragma once
// Whatever can run a request: the endpoint beside this daemon, or another daemon.

#include "sidecar/messages.h"

#include <functional>

namespace endive::sidecar {

using reply_handler = std::function<void(reply_message)>;

/// Not thread safe; the event loop owns implementations.
class call_target {
public:
    call_target() = default;
    call_target(const call_target&) = delete;
    call_target& operator=(const call_target&) = delete;
    virtual ~call_target() = default;
    /// `done` is called once unless `cancel` comes first; it may be called before `execute` returns. Returns
    /// an id for `cancel`.
    virtual std::uint64_t execute(call_message call, reply_handler done) = 0;
    /// The caller left. No effect when the call is done.
    virtual void cancel(std::uint64_t id) = 0;
};

} // namespace endive::sidecar
