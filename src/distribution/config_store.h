#pragma once
/// Holds the active configuration and decides which offered version replaces it.

#include "endive/distribution.h"

#include <deque>

namespace endive::distribution {

using table_pointer = std::shared_ptr<const model::routing_table>;

enum class offer_outcome : std::uint8_t {
    applied,
    not_newer, ///< ignored
    refused,   ///< invalid; never fetched again
    mismatched ///< the bytes do not match the version or digest; another source may have the right ones
};

struct offer_result {
    offer_outcome outcome = offer_outcome::not_newer;
    result_code code = result_code::ok;
    std::string reason;
};

/// An offered version is validated completely before it atomically replaces the active one. The active
/// version never decreases.
class config_store {
public:
    explicit config_store(fault_injection faults = {}) : faults_{faults} {}

    /// Offers a snapshot that must have the digest `digest`.
    offer_result offer(model::snapshot candidate, std::uint64_t digest);
    offer_result offer_snapshot_bytes(std::uint64_t version, std::uint64_t digest, std::string_view bytes);
    /// Offers the delta from the active version.
    offer_result offer_delta_bytes(std::uint64_t version, std::uint64_t digest, std::string_view bytes);

    [[nodiscard]] const table_pointer& active() const { return active_; }
    [[nodiscard]] std::uint64_t version() const { return active_ ? active_->version() : 0; }
    [[nodiscard]] std::uint64_t digest() const { return digest_; }
    /// Reason of a refusal; empty when the version was not refused.
    [[nodiscard]] std::string refusal(std::uint64_t version, std::uint64_t digest) const;
    [[nodiscard]] bool refused(std::uint64_t version, std::uint64_t digest) const {
        return refusals_.contains({version, digest});
    }
    /// A recent version with this digest, or null.
    [[nodiscard]] table_pointer find(std::uint64_t version, std::uint64_t digest) const;

    /// Encoded active snapshot (`base_version` 0) or delta from `base_version`; null when the base is no
    /// longer in the history. Valid until the next change of the active version.
    [[nodiscard]] std::shared_ptr<const std::string> encoded(std::uint64_t base_version);

    [[nodiscard]] std::uint64_t stale_offers() const { return stale_offers_; }
    [[nodiscard]] std::uint64_t refused_offers() const { return refused_offers_; }

private:
    struct history_entry {
        table_pointer table;
        std::uint64_t digest = 0;
    };
    [[nodiscard]] bool is_newer(std::uint64_t version) const;
    offer_result reject_stale();
    offer_result refuse(std::uint64_t version, std::uint64_t digest, const error& failure);
    void activate(model::snapshot candidate, std::uint64_t digest);

    fault_injection faults_;
    table_pointer active_;
    std::uint64_t digest_ = 0;
    std::deque<history_entry> history_; ///< oldest first, including the active version
    std::map<std::pair<std::uint64_t, std::uint64_t>, std::string> refusals_;
    std::map<std::uint64_t, std::shared_ptr<const std::string>> encoded_; ///< by base version
    std::uint64_t stale_offers_ = 0;
    std::uint64_t refused_offers_ = 0;
};

} // namespace endive::distribution
