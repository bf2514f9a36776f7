#include "distribution/config_store.h"

#include <algorithm>

namespace endive::distribution {
namespace {

// Refusals of versions that were superseded long ago are no longer needed.
constexpr std::size_t max_refusals = 16;

offer_result mismatch(result_code code, std::string reason) {
    return {offer_outcome::mismatched, code, std::move(reason)};
}

} // namespace

bool config_store::is_newer(std::uint64_t version) const {
    return version > this->version() || (faults_.accept_older_versions && version != this->version());
}

offer_result config_store::reject_stale() {
    ++stale_offers_;
    return {offer_outcome::not_newer, result_code::snapshot_older_version,
            "not newer than the active version"};
}

offer_result config_store::refuse(std::uint64_t version, std::uint64_t digest, const error& failure) {
    ++refused_offers_;
    refusals_[{version, digest}] = failure.what();
    if (refusals_.size() > max_refusals) {
        refusals_.erase(refusals_.begin());
    }
    return {offer_outcome::refused, failure.code(), failure.what()};
}

offer_result config_store::offer(model::snapshot candidate, std::uint64_t digest) {
    if (!is_newer(candidate.version)) {
        return reject_stale();
    }
    if (refused(candidate.version, digest)) {
        return {offer_outcome::refused, result_code::snapshot_malformed, refusal(candidate.version, digest)};
    }
    if (model::digest(candidate) != digest) {
        return mismatch(result_code::snapshot_digest_mismatch,
                        "the snapshot does not match the announced digest");
    }
    try {
        if (!faults_.skip_validation) {
            model::validate(candidate);
        }
    } catch (const error& failure) {
        return refuse(candidate.version, digest, failure);
    }
    activate(std::move(candidate), digest);
    return {offer_outcome::applied, result_code::ok, {}};
}

offer_result config_store::offer_snapshot_bytes(std::uint64_t version, std::uint64_t digest,
                                                std::string_view bytes) {
    if (!is_newer(version)) {
        return reject_stale();
    }
    try {
        auto candidate = model::decode_snapshot(bytes);
        if (candidate.version != version) {
            return mismatch(result_code::snapshot_malformed,
                            "the snapshot has a different version than announced");
        }
        return offer(std::move(candidate), digest);
    } catch (const error& failure) {
        return mismatch(failure.code(), failure.what());
    }
}

offer_result config_store::offer_delta_bytes(std::uint64_t version, std::uint64_t digest,
                                             std::string_view bytes) {
    if (!is_newer(version)) {
        return reject_stale();
    }
    if (!active_) {
        return mismatch(result_code::snapshot_delta_mismatch, "there is no active version");
    }
    try {
        auto candidate = model::apply_delta(active_->source(), model::decode_delta(bytes));
        if (candidate.version != version) {
            return mismatch(result_code::snapshot_delta_mismatch,
                            "the delta produces a different version than announced");
        }
        return offer(std::move(candidate), digest);
    } catch (const error& failure) {
        return mismatch(failure.code(), failure.what());
    }
}

void config_store::activate(model::snapshot candidate, std::uint64_t digest) {
    active_ = std::make_shared<const model::routing_table>(std::move(candidate));
    digest_ = digest;
    encoded_.clear();
    history_.push_back({active_, digest});
    if (history_.size() > config::max_delta_versions) {
        history_.pop_front();
    }
}

std::string config_store::refusal(std::uint64_t version, std::uint64_t digest) const {
    const auto found = refusals_.find({version, digest});
    return found == refusals_.end() ? std::string{} : found->second;
}

table_pointer config_store::find(std::uint64_t version, std::uint64_t digest) const {
    const auto found = std::ranges::find_if(history_, [&](const history_entry& kept) {
        return kept.table->version() == version && kept.digest == digest;
    });
    return found == history_.end() ? nullptr : found->table;
}

std::shared_ptr<const std::string> config_store::encoded(std::uint64_t base_version) {
    if (!active_) {
        return nullptr;
    }
    if (const auto cached = encoded_.find(base_version); cached != encoded_.end()) {
        return cached->second;
    }
    std::shared_ptr<const std::string> bytes;
    if (base_version == 0) {
        bytes = std::make_shared<const std::string>(model::encode(active_->source()));
    } else {
        const auto base = std::ranges::find_if(
            history_, [&](const history_entry& kept) { return kept.table->version() == base_version; });
        if (base == history_.end()) {
            return nullptr;
        }
        bytes = std::make_shared<const std::string>(
            model::encode(model::make_delta(base->table->source(), active_->source())));
    }
    encoded_[base_version] = bytes;
    return bytes;
}

} // namespace endive::distribution
