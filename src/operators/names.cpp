#include "endive/operators.h"

#include <algorithm>
#include <array>

namespace endive::operators {
namespace {

constexpr std::array<std::string_view, 9> move_states = {
    "pending", "canary", "ramping", "complete", "watching", "done", "paused", "taken_back", "expired"};
constexpr std::array<std::string_view, 4> move_actions = {"pause", "resume", "take-back", "extend"};
constexpr std::array<std::string_view, 3> operation_states = {"started", "finished", "not_run"};

template <typename Enum, std::size_t Count>
std::string_view name_at(const std::array<std::string_view, Count>& names, Enum value) {
    const auto index = static_cast<std::size_t>(value);
    return index < Count ? names.at(index) : "unknown";
}

} // namespace

std::string_view to_string(move_state state) {
    return name_at(move_states, state);
}

std::string_view to_string(move_action action) {
    return name_at(move_actions, action);
}

std::string_view to_string(operation_state state) {
    return name_at(operation_states, state);
}

std::optional<move_action> parse_move_action(std::string_view name) {
    const auto found = std::ranges::find(move_actions, name);
    if (found == move_actions.end()) {
        return std::nullopt;
    }
    return static_cast<move_action>(found - move_actions.begin());
}

} // namespace endive::operators
