#pragma once
/// Store of replicated records; keeps the greatest record of each (kind, key).

#include "distribution/member_table.h"

namespace endive::distribution {

/// True when `left` replaces `right`.
[[nodiscard]] bool supersedes(const replicated_record& left, const replicated_record& right);

class record_store {
public:
    /// Stores the record if it is new or supersedes the stored one. Returns whether the store changed.
    bool merge(const replicated_record& incoming);
    [[nodiscard]] const replicated_record* find(record_kind kind, const std::string& key) const;
    [[nodiscard]] std::vector<replicated_record> all() const;
    [[nodiscard]] std::size_t size() const { return records_.size(); }
    /// Highest epoch of any record.
    [[nodiscard]] std::uint64_t highest_epoch() const { return highest_epoch_; }

    [[nodiscard]] std::uint64_t digest() const;
    [[nodiscard]] const bucket_digests& digests() const { return digests_; }
    [[nodiscard]] std::vector<replicated_record> differing(const std::vector<std::uint64_t>& theirs) const;

private:
    std::map<std::pair<record_kind, std::string>, replicated_record> records_;
    bucket_digests digests_{};
    std::uint64_t highest_epoch_ = 0;
};

} // namespace endive::distribution
