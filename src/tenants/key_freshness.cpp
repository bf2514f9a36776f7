#include "endive/tenants.h"

namespace endive::tenants {
namespace {

/// Part of the time that is not used, since the clocks of the VMs do not run equally fast. Clocks that are
/// kept in step by adjusting their rate differ by up to 0.1 %.
constexpr int clock_margin_divisor = 100;
/// No daemon reports an age near this one; a larger one comes from a malformed message.
constexpr duration max_reported_age = std::chrono::hours{24};

} // namespace

key_freshness::key_freshness(duration revoke_time)
    : limit_{revoke_time - revoke_time / clock_margin_divisor} {}

void key_freshness::on_row(std::uint64_t version) {
    held_ = version;
    if (early_ && early_->version <= held_) {
        const auto offered = *early_;
        early_.reset();
        accept(offered);
    }
}

void key_freshness::accept_answer(time_point sent, duration reported_age, std::uint64_t version) {
    if (reported_age >= duration{0} && reported_age <= max_reported_age) {
        accept({version, sent - reported_age});
    }
}

void key_freshness::accept(const currency_proof& offered) {
    if (offered.version == 0 || held_ == 0) {
        return;
    }
    auto& kept = offered.version <= held_ ? proof_ : early_;
    if (!kept || kept->since < offered.since) {
        kept = offered;
    }
}

std::optional<duration> key_freshness::age(time_point now) const {
    return proof_ ? std::optional{now - proof_->since} : std::nullopt;
}

bool key_freshness::is_current(time_point now) const {
    return proof_ && now - proof_->since <= limit_;
}

} // namespace endive::tenants
