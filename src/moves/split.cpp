#include "moves/codec.h"

#include <algorithm>

namespace endive::moves {

namespace {

using share_map = std::map<std::string, double>;

bool is_held(const record_set& records, const std::string& service, const std::string& version) {
    return is_hold_active(records.find(hold_kind, hold_key(service, version)));
}

/// Moves the fraction `share` of the traffic of version `from` to version `to`.
struct share_shift {
    std::string from;
    std::string to;
    double share = 0;
};

/// Applies each shift to the share of its source version. In a chain of moves (a to b, then b to c) the shift
/// into b is applied before the shift out of b, independent of their order in the list.
share_map apply_shifts(const std::string& stable, std::vector<share_shift> shifts) {
    share_map shares{{stable, 1.0}};
    while (true) {
        const auto next = std::find_if(shifts.begin(), shifts.end(),
                                       [&](const share_shift& s) { return shares.contains(s.from); });
        if (next == shifts.end()) {
            return shares;
        }
        const double moved = shares[next->from] * next->share;
        shares[next->from] -= moved;
        shares[next->to] += moved;
        shifts.erase(next);
    }
}

std::vector<model::version_share> to_list(const share_map& shares) {
    std::vector<model::version_share> list;
    for (const auto& [version, share] : shares) {
        if (share > 0) {
            list.push_back({version, share});
        }
    }
    return list;
}

} // namespace

void split_table::set_snapshot(const model::snapshot& active) {
    services_.clear();
    moves_.clear();
    for (const auto& part : active.parts) {
        services_.insert(services_.end(), part.services.begin(), part.services.end());
        moves_.insert(moves_.end(), part.moves.begin(), part.moves.end());
    }
}

bool split_table::on_record(const record& received) {
    if (received.kind != hold_kind && received.kind != directive_kind) {
        return false;
    }
    return records_.apply(received);
}

std::vector<model::traffic_split> split_table::splits() const {
    std::vector<model::traffic_split> result;
    result.reserve(services_.size());
    for (const auto& service : services_) {
        result.push_back(split_of(service));
    }
    return result;
}

model::traffic_split split_table::split_of(const model::service& service) const {
    std::vector<share_shift> shifts;
    std::vector<share_shift> non_idempotent_shifts;
    for (const auto& move : moves_) {
        const auto* found = move.service == service.name ? records_.find(directive_kind, move.id) : nullptr;
        const auto decoded = found == nullptr ? std::nullopt : decode_directive(found->payload);
        const bool matches = decoded && decoded->service == move.service && decoded->from == move.from &&
                             decoded->to == move.to && move.from != move.to;
        if (!matches) {
            continue;
        }
        const bool held = is_held(records_, service.name, move.to);
        shifts.push_back({move.from, move.to, held ? 0 : decoded->share});
        non_idempotent_shifts.push_back({move.from, move.to, held ? 0 : decoded->share_non_idempotent});
    }
    const auto shares_of = [&](std::vector<share_shift> list) {
        auto shares = apply_shifts(service.stable_version, std::move(list));
        std::erase_if(shares, [&](const auto& entry) {
            return is_held(records_, service.name, entry.first) || entry.second <= 0;
        });
        double sum = 0;
        for (const auto& [version, share] : shares) {
            sum += share;
        }
        for (auto& [version, share] : shares) {
            share /= sum;
        }
        return to_list(shares);
    };
    return {service.name, shares_of(std::move(shifts)), shares_of(std::move(non_idempotent_shifts))};
}

} // namespace endive::moves
