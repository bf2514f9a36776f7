// The part of the forwarder that deals with the quotas of tenants.

#include "sidecar/active_request.h"

namespace endive::sidecar {

/// Makes the first attempt when the quota of the tenant allows it.
void forwarder::begin(const std::shared_ptr<active_request>& item) {
    if (!quota_.is_limited(item->tenant)) {
        on_quota(item, {});
        return;
    }
    item->quota_ticket = quota_.decide(item->tenant, [this, item](const tenants::quota_decision& decision) {
        item->quota_ticket = 0;
        on_quota(item, decision);
    });
}

void forwarder::on_quota(const std::shared_ptr<active_request>& item,
                         const tenants::quota_decision& decision) {
    if (decision.verdict == tenants::quota_verdict::refuse) {
        item->retry_after = decision.retry_after;
        refuse(item, mesh::reason::over_quota, decision.retry_after);
        return;
    }
    item->quota_tokens = 1;
    // A request to another service may be a call by this VM's endpoint.
    retry_budget_for(item->service)
        .on_request(item->service == settings_.service ? 0.0 : local_.repeat_share());
    attempt(item);
}

/// Takes a token for each run of a request beyond the first.
void forwarder::charge_attempt(active_request& item) {
    if (item.possible_runs() >= item.quota_tokens) {
        ++item.quota_tokens;
        quota_.charge(item.tenant);
    }
}

/// Returns the tokens of attempts that did not reach an endpoint, or that the endpoint refused to run.
void forwarder::settle_quota(active_request& item) {
    quota_.leave(std::exchange(item.quota_ticket, 0));
    const auto runs = item.possible_runs();
    for (; item.quota_tokens > runs; --item.quota_tokens) {
        if (quota_.is_limited(item.tenant)) {
            quota_.give_back(item.tenant);
        }
    }
}

} // namespace endive::sidecar
