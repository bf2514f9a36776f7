#pragma once
// Compressed form of rows on peer links.

#include "endive/mesh.h"

namespace endive::sidecar {

/// Values of fewer bytes are sent as they are.
inline constexpr std::size_t min_packed_bytes = 1024;
/// Limit of a decompressed value. Values of rows have at most 1 MB.
inline constexpr std::size_t max_unpacked_bytes = 4UL * 1024 * 1024;

/// A row whose value is compressed with zlib.
struct packed_row {
    mesh::store_row head;   ///< the row without its value
    std::uint32_t size = 0; ///< of the value
    std::string deflated;
    friend bool operator==(const packed_row&, const packed_row&) = default;
};

/// Precondition: the value has at most `max_unpacked_bytes`. Thread safe.
[[nodiscard]] packed_row pack(const mesh::store_row& row);
/// Throws `error` with `peer_frame_malformed` when the value is damaged or exceeds `max_unpacked_bytes`.
/// Thread safe.
[[nodiscard]] mesh::store_row unpack(const packed_row& row);

/// The compressed form of the rows that peers have asked for, in their newest version. Not thread safe.
class row_packer {
public:
    /// The reference is valid until the next call.
    [[nodiscard]] const packed_row& pack(const mesh::store_row& row);

private:
    std::map<std::pair<std::string, std::string>, packed_row> packed_;
};

} // namespace endive::sidecar
