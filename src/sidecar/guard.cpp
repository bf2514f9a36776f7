#include "sidecar/guard.h"

#include <atomic>

namespace endive::sidecar {
namespace {

std::atomic<std::uint64_t>& counter() noexcept {
    static std::atomic<std::uint64_t> count{0};
    return count;
}

void report(std::string_view where, std::string_view what) noexcept {
    ++counter();
    try {
        log(event::unexpected_exception, {{"where", where}, {"reason", what}});
    } catch (...) { // NOLINT(bugprone-empty-catch): without memory for a log line, the counter still tells
    }
}

} // namespace

bool run_guarded(std::string_view where, const std::function<void()>& action) noexcept {
    try {
        action();
        return true;
    } catch (const std::exception& cause) {
        report(where, cause.what());
    } catch (...) {
        report(where, "not a std::exception");
    }
    return false;
}

std::uint64_t caught_exceptions() noexcept {
    return counter();
}

} // namespace endive::sidecar
