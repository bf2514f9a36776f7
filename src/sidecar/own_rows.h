#pragma once
// Table and keys of the rows that the daemons keep in the store for themselves.

#include "endive/base.h"

namespace endive::sidecar {

inline constexpr std::string_view own_table = "endiveledge";
/// Key prefix of the member row of each daemon.
inline constexpr std::string_view member_prefix = "member/";
/// Key prefix of the row that records when a service's rollout began.
inline constexpr std::string_view start_prefix = "move/";
/// Timeout of the store's calls other than watches.
inline constexpr duration store_timeout = milliseconds{3000};
/// Interval of re-reading the member rows, to find daemons that no peer has announced.
inline constexpr duration member_read_interval = std::chrono::seconds{30};
/// Delay before a failed call to the store is retried.
inline constexpr duration store_retry_delay = milliseconds{500};

} // namespace endive::sidecar
