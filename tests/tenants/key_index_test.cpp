#include "endive/tenants.h"

#include <catch2/catch.hpp>
#include <set>

using namespace endive;
using namespace endive::tenants;

namespace {

mesh::configuration with_tenants(std::vector<mesh::tenant> list) {
    mesh::configuration result;
    result.tenants = std::move(list);
    return result;
}

mesh::tenant holder(const std::string& name, std::vector<std::string> keys) {
    mesh::tenant result;
    result.name = name;
    result.api_keys = std::move(keys);
    return result;
}

} // namespace

TEST_CASE("an index finds the tenant of each key and nothing else") {
    const auto source = with_tenants({holder("acme", {"k-1", "k-2", "k-1"}), holder("bolt", {"k-3"})});
    const key_index index{source};
    CHECK(index.has_tenants());
    CHECK(index.size() == 3);
    REQUIRE(index.find("k-2"));
    CHECK(index.find("k-2")->tenant->name == "acme");
    CHECK(index.find_digest(index.find("k-3")->digest)->name == "bolt");
    for (const auto* other : {"", "k", "k-4", "K-1", "k-1 ", "acme"}) {
        CHECK_FALSE(index.find(other));
    }
    CHECK(index.find_digest(0) == nullptr);
    const mesh::configuration empty;
    const key_index none{empty};
    CHECK_FALSE(none.has_tenants());
    CHECK_FALSE(none.find("k-1"));
    CHECK(none.find_digest(1) == nullptr);
}

// Guards against refusals while a configuration spreads: daemons that have different versions in force must
// agree on the digest of a key that both versions hold.
TEST_CASE("the digest of a key does not depend on the other keys and tenants") {
    const auto before = with_tenants({holder("acme", {"k-1"})});
    const auto after = with_tenants({holder("bolt", {"k-9"}), holder("acme", {"k-0", "k-1"})});
    CHECK(key_index{before}.find("k-1")->digest == key_index{after}.find("k-1")->digest);
    const auto moved = with_tenants({holder("bolt", {"k-1"})});
    CHECK(key_index{before}.find("k-1")->digest != key_index{moved}.find("k-1")->digest);
}

// Guards against a configuration whose tenants contradict each other, and an error text that tells a key.
TEST_CASE("contradicting tenants are rejected without naming a key") {
    for (const auto& source :
         {with_tenants({holder("acme", {"secret-1"}), holder("bolt", {"secret-2", "secret-1"})}),
          with_tenants({holder("acme", {"secret-1"}), holder("acme", {"secret-2"})}),
          with_tenants({holder("acme", {""})}), with_tenants({holder("", {"secret-1"})}),
          with_tenants({holder("a\r\nX-Admin: 1", {"secret-1"})})}) {
        try {
            const key_index index{source};
            FAIL("accepted");
        } catch (const error& cause) {
            CHECK(cause.code() == result_code::platform_bad_answer);
            CHECK(cause.location().starts_with("Tenants"));
            CHECK((cause.what() + cause.location()).find("secret") == std::string::npos);
        }
    }
}

// Guards against places of the open addressing that are lost or found twice as the index grows.
TEST_CASE("each of many keys is found with a digest of its own") {
    std::vector<mesh::tenant> list;
    for (int i = 0; i < 50; ++i) {
        auto& entry = list.emplace_back(holder("t" + std::to_string(i), {}));
        for (int k = 0; k < 200; ++k) {
            entry.api_keys.push_back("key-" + std::to_string(i) + "-" + std::to_string(k));
        }
    }
    const auto source = with_tenants(std::move(list));
    const key_index index{source};
    std::set<std::uint64_t> digests;
    for (const auto& tenant : source.tenants) {
        for (const auto& key : tenant.api_keys) {
            const auto found = index.find(key);
            REQUIRE(found);
            CHECK(found->tenant == &tenant);
            CHECK(index.find_digest(found->digest) == &tenant);
            digests.insert(found->digest);
        }
    }
    CHECK(digests.size() == 10'000);
    CHECK_FALSE(index.find("key-50-0"));
}
