#include "endive/tenants.h"

#include <algorithm>
#include <bit>
#include <random>
#include <set>

#include <xxhash.h>

namespace endive::tenants {
namespace {

/// Places for each key, so that a lookup probes about one or two.
constexpr std::size_t places_per_key = 2;

/// Seed of the hashes by which keys are found. It differs in each process, so that callers cannot choose keys
/// that collide, nor learn anything about other keys from the time that a lookup takes.
std::uint64_t process_seed() {
    static const std::uint64_t seed = [] {
        std::random_device source;
        constexpr unsigned half = 32;
        return (std::uint64_t{source()} << half) ^ source();
    }();
    return seed;
}

/// The seed depends on the key itself, and the digest keeps half of the bits of the inner hash: a key cannot
/// be computed back from its digest.
std::uint64_t digest_of(std::string_view tenant, std::string_view key) {
    const auto name_seed = XXH3_64bits(tenant.data(), tenant.size());
    const auto key_seed = XXH3_64bits_withSeed(key.data(), key.size(), name_seed);
    const auto inner = XXH3_128bits_withSeed(key.data(), key.size(), key_seed);
    const auto digest = XXH3_64bits_withSeed(&inner, sizeof inner, name_seed);
    return digest == 0 ? 1 : digest; // 0 means that there is no key
}

/// Takes the same time wherever the first difference is.
bool equal_in_constant_time(std::string_view a, std::string_view b) {
    if (a.size() != b.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < a.size(); ++i) {
        difference |= static_cast<unsigned char>(a[i]) ^ static_cast<unsigned char>(b[i]);
    }
    return difference == 0;
}

void place(std::vector<std::uint32_t>& table, std::uint64_t hash, std::uint32_t position) {
    const auto mask = table.size() - 1;
    auto at = hash & mask;
    while (table[at] != 0) {
        at = (at + 1) & mask;
    }
    table[at] = position + 1;
}

[[noreturn]] void fail(const mesh::tenant& tenant, const char* message) {
    throw error{result_code::platform_bad_answer, message, "Tenants/" + tenant.name};
}

void check_names(const std::vector<mesh::tenant>& tenants) {
    std::set<std::string_view> names;
    for (const auto& tenant : tenants) {
        const bool has_control =
            std::any_of(tenant.name.begin(), tenant.name.end(), [](unsigned char character) {
                constexpr unsigned char del = 0x7f;
                return character < ' ' || character == del;
            });
        if (tenant.name.empty() || has_control) {
            // The name is not repeated, as it may not be printable.
            throw error{result_code::platform_bad_answer, "a name is empty or has control characters",
                        "Tenants"};
        }
        if (!names.insert(tenant.name).second) {
            fail(tenant, "two tenants have this name");
        }
    }
}

} // namespace

key_index::key_index(const mesh::configuration& source) : tenants_{source.tenants}, seed_{process_seed()} {
    check_names(tenants_);
    std::size_t count = 0;
    for (const auto& tenant : tenants_) {
        count += tenant.api_keys.size();
    }
    const auto places = std::bit_ceil(std::max<std::size_t>(1, count * places_per_key));
    by_hash_.resize(places);
    by_digest_.resize(places);
    entries_.reserve(count);
    for (std::uint32_t tenant = 0; tenant < tenants_.size(); ++tenant) {
        for (const auto& key : tenants_[tenant].api_keys) {
            insert(tenant, key);
        }
    }
}

void key_index::insert(std::uint32_t tenant, const std::string& key) {
    const auto& holder = tenants_[tenant];
    if (key.empty()) {
        fail(holder, "a key is empty");
    }
    const auto hash = XXH3_64bits_withSeed(key.data(), key.size(), seed_);
    if (const auto* known = find_entry(key, hash)) {
        if (known->tenant != tenant) {
            fail(holder, "another tenant holds one of the keys");
        }
        return;
    }
    const auto position = static_cast<std::uint32_t>(entries_.size());
    entries_.push_back(
        {hash, digest_of(holder.name, key), key.data(), static_cast<std::uint32_t>(key.size()), tenant});
    place(by_hash_, hash, position);
    place(by_digest_, entries_.back().digest, position);
}

const key_index::entry* key_index::find_entry(std::string_view key, std::uint64_t hash) const {
    const auto mask = by_hash_.size() - 1;
    for (auto at = hash & mask; by_hash_[at] != 0; at = (at + 1) & mask) {
        const auto& found = entries_[by_hash_[at] - 1];
        if (found.hash == hash && equal_in_constant_time({found.key, found.length}, key)) {
            return &found;
        }
    }
    return nullptr;
}

std::optional<key_match> key_index::find(std::string_view key) const {
    const auto* found = find_entry(key, XXH3_64bits_withSeed(key.data(), key.size(), seed_));
    if (found == nullptr) {
        return std::nullopt;
    }
    return key_match{&tenants_[found->tenant], found->digest};
}

const mesh::tenant* key_index::find_digest(std::uint64_t digest) const {
    const auto mask = by_digest_.size() - 1;
    for (auto at = digest & mask; by_digest_[at] != 0; at = (at + 1) & mask) {
        const auto& found = entries_[by_digest_[at] - 1];
        if (found.digest == digest) {
            return &tenants_[found.tenant];
        }
    }
    return nullptr;
}

std::size_t key_index::memory_bytes() const {
    return entries_.capacity() * sizeof(entry) +
           (by_hash_.capacity() + by_digest_.capacity()) * sizeof(std::uint32_t);
}

} // namespace endive::tenants
