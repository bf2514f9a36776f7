#pragma once
// The project's own rows in the store.

#include "endive/base.h"

namespace endive::sidecar {

inline constexpr std::string_view own_table = "endiveledge";
/// Of the row of each daemon.
inline constexpr std::string_view member_prefix = "member/";
/// Of the row that tells when a service's move began.
inline constexpr std::string_view start_prefix = "move/";
/// A failed call to the store is tried again after this time.
inline constexpr duration store_retry = milliseconds{500};

} // namespace endive::sidecar
