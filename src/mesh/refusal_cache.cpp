#include "endive/mesh.h"

#include <algorithm>

namespace endive::mesh {
namespace {

/// A refusal is valid for this long. An endpoint that refuses has its slots and its queue full for longer:
/// with two of three endpoints removed, its refusals carried retry delays of a second and more.
constexpr duration refusal_lifetime = milliseconds{150};
/// Requests of one kind whose times differ by no more than this are equally likely to be admitted.
constexpr duration time_tolerance = milliseconds{20};
/// Maximum number of refusals that are remembered, one for each kind of request; the oldest are forgotten.
constexpr std::size_t max_refusals = 256;

} // namespace

void refusal_cache::on_refused(const admission_criteria& request, duration retry_after, time_point now) {
    std::erase_if(refusals_, [&](const refusal& entry) {
        const bool same_kind = entry.request.priority == request.priority &&
                               entry.request.latency_target == request.latency_target &&
                               entry.request.tenant == request.tenant &&
                               entry.request.returned == request.returned;
        return same_kind || now - entry.at > refusal_lifetime;
    });
    if (refusals_.size() >= max_refusals) {
        refusals_.erase(refusals_.begin());
    }
    refusals_.push_back({request, retry_after, now});
}

std::optional<duration> refusal_cache::expected_refusal(const admission_criteria& request,
                                                        time_point now) const {
    for (const auto& [refused, retry_after, at] : refusals_) {
        // Another tenant may use less than its share, and a caller who came back as told goes first.
        if (request.tenant != refused.tenant || (request.returned && !refused.returned)) {
            continue;
        }
        const bool not_more_urgent =
            request.priority >= refused.priority && request.latency_target >= refused.latency_target;
        const bool not_more_time = request.remaining <= refused.remaining + time_tolerance &&
                                   request.waited + time_tolerance >= refused.waited;
        if (now - at <= refusal_lifetime && not_more_urgent && not_more_time) {
            return retry_after;
        }
    }
    return std::nullopt;
}

} // namespace endive::mesh
