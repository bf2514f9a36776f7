#include "sidecar/row_codec.h"

#include <zlib.h>

namespace endive::sidecar {

packed_row pack(const mesh::store_row& row) {
    auto length = ::compressBound(static_cast<uLong>(row.value.size()));
    std::string deflated(length, '\0');
    const auto status = ::compress2(reinterpret_cast<Bytef*>(deflated.data()), &length,
                                    reinterpret_cast<const Bytef*>(row.value.data()),
                                    static_cast<uLong>(row.value.size()), Z_BEST_SPEED);
    if (status != Z_OK) {
        throw std::bad_alloc{}; // the only failure with a buffer of this size
    }
    deflated.resize(length);
    return {{row.table, row.key, {}, row.version, row.removed},
            static_cast<std::uint32_t>(row.value.size()),
            std::move(deflated)};
}

mesh::store_row unpack(const packed_row& row) {
    if (row.size > max_unpacked_bytes) {
        throw error{result_code::peer_frame_malformed, "compressed row exceeds the limit", row.head.key};
    }
    auto result = row.head;
    result.value.resize(row.size);
    auto length = static_cast<uLong>(row.size);
    const auto status = ::uncompress(reinterpret_cast<Bytef*>(result.value.data()), &length,
                                     reinterpret_cast<const Bytef*>(row.deflated.data()),
                                     static_cast<uLong>(row.deflated.size()));
    if (status != Z_OK || length != row.size) {
        throw error{result_code::peer_frame_malformed, "compressed row is damaged", row.head.key};
    }
    return result;
}

const packed_row& row_packer::pack(const mesh::store_row& row) {
    auto& entry = packed_[{row.table, row.key}];
    if (entry.deflated.empty() || entry.head.version != row.version) {
        entry = sidecar::pack(row);
    }
    return entry;
}

} // namespace endive::sidecar
