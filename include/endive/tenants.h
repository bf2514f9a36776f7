#pragma once
/// Tenants library: the index of API keys and the age of this daemon's knowledge of them. Pure logic: it
/// reads no clock and opens no socket.

#include "endive/mesh.h"

#include <optional>
#include <string_view>
#include <vector>

namespace endive::tenants {

/// A key of the index.
struct key_match {
    const mesh::tenant* tenant = nullptr; ///< that holds the key
    std::uint64_t digest = 0;             ///< never 0
    friend auto operator<=>(const key_match&, const key_match&) = default;
};

/// API keys of a configuration, indexed by key and by digest. A lookup takes constant work, and the time it
/// takes tells nothing about the keys. Immutable; thread safe.
///
/// A digest identifies a key between daemons. It depends only on the key and on its tenant's name, so it is
/// the same in every configuration that gives the key to that tenant, and daemons that have different
/// versions in force agree on it.
class key_index {
public:
    /// Precondition: `source` outlives the index and does not change. Throws `error` with
    /// `platform_bad_answer` and the tenant as its location when two tenants have the same name or key, a key
    /// is empty, or a name has control characters. No message contains a key.
    explicit key_index(const mesh::configuration& source);

    /// True when the configuration has tenants, so that requests need keys.
    [[nodiscard]] bool has_tenants() const { return !tenants_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// Bytes that the index takes in addition to the configuration.
    [[nodiscard]] std::size_t memory_bytes() const;
    /// Empty when no tenant holds the key.
    [[nodiscard]] std::optional<key_match> find(std::string_view key) const;
    /// Tenant that holds the key with this digest; null when there is none.
    [[nodiscard]] const mesh::tenant* find_digest(std::uint64_t digest) const;

private:
    struct entry {
        std::uint64_t hash = 0; ///< of the key, with a seed of this process
        std::uint64_t digest = 0;
        const char* key = nullptr; ///< in the configuration
        std::uint32_t length = 0;
        std::uint32_t tenant = 0; ///< index into the tenants
    };
    void insert(std::uint32_t tenant, const std::string& key);
    [[nodiscard]] const entry* find_entry(std::string_view key, std::uint64_t hash) const;

    const std::vector<mesh::tenant>& tenants_;
    std::uint64_t seed_;
    std::vector<entry> entries_;
    /// Open addressing: positions in `entries_` plus 1, or 0 for a free place. The size is a power of two.
    std::vector<std::uint32_t> by_hash_;
    std::vector<std::uint32_t> by_digest_;
};

// ---- age of the knowledge ---------------------------------------------------------------------------------

/// Shows that no configuration row newer than `version` existed at `since`.
struct currency_proof {
    std::uint64_t version = 0;
    time_point since{};
    friend auto operator<=>(const currency_proof&, const currency_proof&) = default;
};

/// Tells how old a daemon's knowledge of the API keys is, so that it stops using keys before the time in
/// which a revocation has to bind is over. A revocation that is acknowledged after `since` of the youngest
/// proof binds requests that are sent later than `since` plus that time, and no earlier one exists that the
/// daemon does not know. All time points are of one clock that counts suspension. A new object, as after a
/// restart, has no proof. Not thread safe.
class key_freshness {
public:
    /// `revoke_time` is the time from the acknowledgement of a revocation until it binds.
    explicit key_freshness(duration revoke_time);
    /// This daemon holds this version of the configuration row.
    void on_row(std::uint64_t version);
    /// A read of the store that this daemon sent at `sent` shows that `version` was the newest one then.
    void accept_read(time_point sent, std::uint64_t version) { accept({version, sent}); }
    /// Another daemon, in its answer to what was sent to it at `sent`, reports a proof of this age.
    void accept_answer(time_point sent, duration reported_age, std::uint64_t version);
    /// The youngest proof that counts for the row which this daemon holds; empty without one.
    [[nodiscard]] const std::optional<currency_proof>& proof() const { return proof_; }
    [[nodiscard]] std::optional<duration> age(time_point now) const;
    /// True while a request with a key that this daemon knows may be run.
    [[nodiscard]] bool is_current(time_point now) const;
    /// The age up to which the knowledge is current.
    [[nodiscard]] duration limit() const { return limit_; }

private:
    void accept(const currency_proof& offered);

    duration limit_;
    std::uint64_t held_ = 0;
    std::optional<currency_proof> proof_;
    std::optional<currency_proof> early_; ///< names a newer row than this daemon holds so far
};

} // namespace endive::tenants
