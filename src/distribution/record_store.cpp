#include "distribution/record_store.h"

#include <algorithm>

namespace endive::distribution {
namespace {

std::size_t record_bucket(const replicated_record& record) {
    return bucket_of(record.key);
}

std::uint64_t digest_of(const replicated_record& record) {
    auto text = record.key;
    for (const auto value : {static_cast<std::uint64_t>(record.kind),
                             static_cast<std::uint64_t>(record.final), record.epoch, record.sequence}) {
        text += '\0' + std::to_string(value);
    }
    return stable_hash(record.payload, stable_hash(text));
}

bool is_well_formed(const replicated_record& record) {
    return !record.key.empty() && record.key.size() <= config::max_record_key_bytes &&
           record.payload.size() <= config::max_record_payload_bytes;
}

} // namespace

bool supersedes(const replicated_record& left, const replicated_record& right) {
    return std::tie(left.final, left.epoch, left.sequence, left.payload) >
           std::tie(right.final, right.epoch, right.sequence, right.payload);
}

bool record_store::merge(const replicated_record& incoming) {
    if (!is_well_formed(incoming)) {
        return false;
    }
    const auto key = std::pair{incoming.kind, incoming.key};
    const auto found = records_.find(key);
    if (found != records_.end()) {
        if (!supersedes(incoming, found->second)) {
            return false;
        }
        digests_[record_bucket(incoming)] -= digest_of(found->second);
        found->second = incoming;
    } else {
        if (records_.size() >= config::max_records) {
            return false;
        }
        records_.emplace(key, incoming);
    }
    digests_[record_bucket(incoming)] += digest_of(incoming);
    highest_epoch_ = std::max(highest_epoch_, incoming.epoch);
    return true;
}

const replicated_record* record_store::find(record_kind kind, const std::string& key) const {
    const auto found = records_.find({kind, key});
    return found == records_.end() ? nullptr : &found->second;
}

std::vector<replicated_record> record_store::all() const {
    std::vector<replicated_record> result;
    result.reserve(records_.size());
    for (const auto& [key, record] : records_) {
        result.push_back(record);
    }
    return result;
}

std::uint64_t record_store::digest() const {
    std::uint64_t sum = 0;
    for (const auto bucket : digests_) {
        sum = sum * 0x9e3779b97f4a7c15ULL + bucket;
    }
    return sum;
}

std::vector<replicated_record> record_store::differing(const std::vector<std::uint64_t>& theirs) const {
    const auto comparable = theirs.size() == digests_.size();
    std::vector<replicated_record> result;
    for (const auto& [key, record] : records_) {
        const auto bucket = record_bucket(record);
        if (!comparable || theirs[bucket] != digests_[bucket]) {
            result.push_back(record);
        }
    }
    return result;
}

} // namespace endive::distribution
