#include "sidecar/authentication.h"

#include "platform/wire.h"

#include <algorithm>

namespace endive::sidecar {
namespace {

/// True for `name` in any case and with `_` for `-`: servers that hand headers on as variables make no
/// difference between these spellings.
bool is_spelling_of(std::string_view name, std::string_view spelling) {
    const auto same = [](char a, char b) {
        const auto lower = [](char character) {
            return character >= 'A' && character <= 'Z' ? static_cast<char>(character - 'A' + 'a')
                                                        : character;
        };
        return lower(a) == (b == '_' ? '-' : lower(b));
    };
    return std::equal(name.begin(), name.end(), spelling.begin(), spelling.end(), same);
}

/// The API key of a request; empty without one, and when several differ.
std::string_view api_key_of(const header_list& headers) {
    std::optional<std::string_view> result;
    for (const auto& field : headers) {
        if (!equal_ignoring_case(field.name, platform_wire::api_key_header)) {
            continue;
        }
        if (result && *result != field.value) {
            return {};
        }
        result = field.value;
    }
    return result.value_or(std::string_view{});
}

} // namespace

void authentication::set_configuration(std::shared_ptr<const mesh::route_index> routes) {
    auto keys = std::make_unique<const tenants::key_index>(routes->source());
    keys_ = std::move(keys);
    routes_ = std::move(routes);
}

caller_identity authentication::identify(const header_list& headers, const mesh::route& route) const {
    caller_identity result;
    if (!has_tenants()) {
        return result;
    }
    const auto key = api_key_of(headers);
    const bool usable = !key.empty() && proofs_.is_current();
    const auto found = usable ? keys_->find(key) : std::nullopt;
    if (found) {
        result.tenant = found->tenant;
        // A public route needs no key, so the endpoint's daemon has nothing to check.
        result.key_digest = route.is_public ? 0 : found->digest;
    } else if (!route.is_public) {
        result.refusal = key.empty() || usable ? mesh::reason::key_unknown : mesh::reason::keys_stale;
    }
    return result;
}

void authentication::replace_headers(header_list& headers, const caller_identity& caller) const {
    if (!has_tenants()) {
        return;
    }
    std::erase_if(headers, [](const header_field& field) {
        return is_spelling_of(platform_wire::api_key_header, field.name) ||
               is_spelling_of(platform_wire::tenant_header, field.name);
    });
    if (caller.tenant != nullptr) {
        headers.push_back({std::string{platform_wire::tenant_header}, caller.tenant->name});
    }
}

mesh::reason authentication::check(std::uint64_t key_digest, std::string_view tenant) const {
    if (key_digest == 0) {
        return mesh::reason::none;
    }
    if (!keys_) {
        return mesh::reason::no_configuration;
    }
    if (!proofs_.is_current()) {
        return mesh::reason::keys_stale;
    }
    if (!has_tenants()) {
        return mesh::reason::none;
    }
    return is_held(key_digest, tenant) ? mesh::reason::none : mesh::reason::key_unknown;
}

bool authentication::holds(const caller_identity& caller) const {
    return !has_tenants() || (caller.tenant != nullptr && is_held(caller.key_digest, caller.tenant->name));
}

bool authentication::is_held(std::uint64_t key_digest, std::string_view tenant) const {
    const auto* holder = keys_->find_digest(key_digest);
    return holder != nullptr && holder->name == tenant;
}

} // namespace endive::sidecar
