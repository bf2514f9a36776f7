#include "endive/mesh.h"

#include <algorithm>
#include <tuple>
#include <unordered_map>

namespace endive::mesh {
namespace {

/// Rows are JSON documents, whose entries end with this character. Values are compared in pieces that end
/// with it.
constexpr char piece_end = '}';
/// Maximum number of changes of one row that are remembered.
constexpr std::size_t max_changes = 64;
/// A delta larger than this share of the value is not kept; the whole value compresses better.
constexpr std::size_t max_delta_divisor = 4;

std::vector<std::string_view> split_pieces(std::string_view text) {
    std::vector<std::string_view> result;
    while (!text.empty()) {
        const auto end = text.find(piece_end);
        const auto length = end == std::string_view::npos ? text.size() : end + 1;
        result.push_back(text.substr(0, length));
        text.remove_prefix(length);
    }
    return result;
}

std::uint64_t checksum_of(std::string_view value) {
    return stable_hash(value);
}

} // namespace

std::size_t row_delta::size() const {
    constexpr std::size_t step_bytes = 16;
    std::size_t result = 0;
    for (const auto& entry : steps) {
        result += step_bytes + entry.text.size();
    }
    return result;
}

row_delta make_delta(const store_row& base, const store_row& row) {
    std::unordered_multimap<std::string_view, std::size_t> positions;
    const std::string_view old_value{base.value};
    for (const auto piece : split_pieces(old_value)) {
        positions.emplace(piece, static_cast<std::size_t>(piece.data() - old_value.data()));
    }
    row_delta result{row.table, row.key, base.version, row.version, checksum_of(row.value), {}};
    auto& steps = result.steps;
    for (const auto piece : split_pieces(row.value)) {
        const auto next = steps.empty() ? 0 : steps.back().offset + steps.back().length;
        const bool continues =
            !steps.empty() && steps.back().text.empty() && old_value.substr(next, piece.size()) == piece;
        if (continues) {
            steps.back().length += static_cast<std::uint32_t>(piece.size());
            continue;
        }
        const auto [first, last] = positions.equal_range(piece);
        if (first == last) {
            if (steps.empty()) {
                steps.emplace_back();
            }
            steps.back().text += piece;
            continue;
        }
        // The piece nearest after the last copied one most probably begins a longer common part.
        const auto nearest = std::min_element(first, last, [&](const auto& a, const auto& b) {
            return std::tuple{a.second < next, a.second} < std::tuple{b.second < next, b.second};
        });
        steps.push_back(
            {static_cast<std::uint32_t>(nearest->second), static_cast<std::uint32_t>(piece.size()), {}});
    }
    return result;
}

std::optional<store_row> apply_delta(const store_row& base, const row_delta& delta) {
    if (base.removed || base.version != delta.base_version || base.table != delta.table ||
        base.key != delta.key) {
        return std::nullopt;
    }
    store_row result{delta.table, delta.key, {}, delta.version};
    for (const auto& step : delta.steps) {
        const bool inside =
            step.offset <= base.value.size() && step.length <= base.value.size() - step.offset;
        if (!inside || result.value.size() + step.length + step.text.size() > max_row_bytes) {
            return std::nullopt;
        }
        result.value.append(base.value, step.offset, step.length);
        result.value += step.text;
    }
    if (checksum_of(result.value) != delta.checksum) {
        return std::nullopt;
    }
    return result;
}

const row_delta* row_changes::record(const store_row& base, const store_row& row) {
    if (base.removed || row.removed || row.version <= base.version) {
        return nullptr;
    }
    return record(make_delta(base, row), row.value.size());
}

const row_delta* row_changes::record(row_delta delta, std::size_t value_size) {
    auto& changes = rows_[{delta.table, delta.key}];
    const bool connected = changes.empty() || changes.back().version == delta.base_version;
    if (!connected || delta.size() > value_size / max_delta_divisor) {
        changes.clear();
    }
    if (delta.size() > value_size / max_delta_divisor) {
        return nullptr;
    }
    changes.push_back(std::move(delta));
    if (changes.size() > max_changes) {
        changes.erase(changes.begin());
    }
    return &changes.back();
}

std::vector<row_delta> row_changes::since(const store_row& head) const {
    const auto found = rows_.find({head.table, head.key});
    if (found == rows_.end()) {
        return {};
    }
    const auto& changes = found->second;
    const auto first = std::find_if(changes.begin(), changes.end(), [&](const row_delta& entry) {
        return entry.base_version == head.version;
    });
    return {first, changes.end()};
}

} // namespace endive::mesh
