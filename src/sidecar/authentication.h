#pragma once
// Tells the tenant of a request by its API key, on the caller side and again on the endpoint side.

#include "sidecar/key_proofs.h"

#include "endive/tenants.h"

namespace endive::sidecar {

/// Whose request it is, or why it is refused.
struct caller_identity {
    /// Null without a tenant. Valid while the configuration is in force or its route index is held.
    const mesh::tenant* tenant = nullptr;
    std::uint64_t key_digest = 0; ///< that the endpoint's daemon checks; 0 when it has nothing to check
    mesh::reason refusal = mesh::reason::none;
    friend auto operator<=>(const caller_identity&, const caller_identity&) = default;
};

/// Not thread safe.
class authentication {
public:
    explicit authentication(const key_proofs& proofs) : proofs_{proofs} {}
    /// Throws `error` with `platform_bad_answer` when the tenants of the configuration contradict each other;
    /// the earlier configuration then stays in force. Precondition: `routes` is not null.
    void set_configuration(std::shared_ptr<const mesh::route_index> routes);
    /// True when the configuration has tenants, so that requests need keys.
    [[nodiscard]] bool has_tenants() const { return keys_ && keys_->has_tenants(); }
    /// Identifies the caller of a request on `route` of the configuration in force. On a public route no
    /// request is refused. With outdated knowledge nothing is said about a key: neither that it is unknown
    /// nor whose it is.
    [[nodiscard]] caller_identity identify(const header_list& headers, const mesh::route& route) const;
    /// Replaces the headers that name the tenant or hold a key, in any spelling that an endpoint may take for
    /// them. Changes nothing when the configuration has no tenants.
    void replace_headers(header_list& headers, const caller_identity& caller) const;
    /// True when the configuration in force still gives the key to that tenant.
    [[nodiscard]] bool holds(const caller_identity& caller) const;
    /// Whether a call with this key may run, according to this daemon's own knowledge: `none`, or why not.
    [[nodiscard]] mesh::reason check(std::uint64_t key_digest, std::string_view tenant) const;

private:
    [[nodiscard]] bool is_held(std::uint64_t key_digest, std::string_view tenant) const;

    const key_proofs& proofs_;
    std::shared_ptr<const mesh::route_index> routes_; ///< that `keys_` refers to
    std::unique_ptr<const tenants::key_index> keys_;
};

} // namespace endive::sidecar
