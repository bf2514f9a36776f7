#pragma once
// The newest era of the store that this daemon has seen.

#include "endive/mesh.h"

namespace endive::sidecar {

/// Not thread safe.
class store_era {
public:
    /// Takes the era of an answer or a row; true when it is newer than all before, except the first one.
    bool observe(std::uint32_t era) {
        const bool is_newer = known_ && era > *known_;
        known_ = std::max(known_.value_or(era), era);
        return is_newer;
    }
    [[nodiscard]] std::uint32_t current() const { return known_.value_or(0); }
    /// True when the store may not have the row: it was last seen in an earlier era.
    [[nodiscard]] bool is_outdated(const mesh::store_row& row) const {
        return mesh::era_of(row.version) < current();
    }
    /// The version that a write may expect of the row. The store's version of a row of an earlier era is
    /// unknown; expecting none is safe, as the answer to a failed condition holds the row.
    [[nodiscard]] std::uint64_t expected_version(std::uint64_t row_version) const {
        return mesh::era_of(row_version) < current() ? 0 : row_version;
    }

private:
    std::optional<std::uint32_t> known_;
};

} // namespace endive::sidecar
