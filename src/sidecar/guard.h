#pragma once
// Keeps an unexpected exception in the handling of one event from ending the process.

#include "sidecar/events.h"

#include <functional>

namespace endive::sidecar {

/// Runs `action`. An exception ends only the action; it is logged, counted, and reported by a return value of
/// false. `where` names the kind of event. Thread safe.
bool run_guarded(std::string_view where, const std::function<void()>& action) noexcept;

/// Number of exceptions that `run_guarded` has caught in this process. Thread safe.
[[nodiscard]] std::uint64_t caught_exceptions() noexcept;

} // namespace endive::sidecar
