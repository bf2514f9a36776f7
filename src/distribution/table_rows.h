#pragma once
/// JSON form of the table rows that the distribution library writes.

#include "endive/distribution.h"

namespace endive::distribution {

inline constexpr std::string_view head_key = "head";
inline constexpr std::string_view lease_key = "lease/moves";
inline constexpr std::string_view rendezvous_prefix = "rendezvous/";

/// One accepted submission. The head row lists recent ones to resolve lost answers and repeated submissions.
struct accepted_write {
    std::string write_id;
    std::uint64_t version = 0;
    std::uint64_t request_digest = 0;
    std::string team;
    std::string accepted_by;
    std::int64_t submitted_unix_ms = 0;
    friend bool operator==(const accepted_write&, const accepted_write&) = default;
};

struct head_row {
    std::uint64_t version = 0;
    std::string object;
    std::uint64_t digest = 0;
    std::string write_id;
    std::vector<accepted_write> recent; ///< newest last
    friend bool operator==(const head_row&, const head_row&) = default;
};

struct lease_row {
    member_id holder;
    std::uint64_t epoch = 0;
    std::int64_t expires_at_unix_ms = 0;
    std::string write_id;
    friend bool operator==(const lease_row&, const lease_row&) = default;
};

struct rendezvous_row {
    member_id member;
    std::string address;
    std::int64_t time_unix_ms = 0;
    friend bool operator==(const rendezvous_row&, const rendezvous_row&) = default;
};

[[nodiscard]] std::string encode(const head_row& value);
[[nodiscard]] std::string encode(const lease_row& value);
[[nodiscard]] std::string encode(const rendezvous_row& value);
/// Empty when the text is malformed.
[[nodiscard]] std::optional<head_row> decode_head(std::string_view text);
[[nodiscard]] std::optional<lease_row> decode_lease(std::string_view text);
[[nodiscard]] std::optional<rendezvous_row> decode_rendezvous(std::string_view text);

[[nodiscard]] std::string snapshot_key(std::uint64_t version, std::uint64_t digest);

} // namespace endive::distribution
