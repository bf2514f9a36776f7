#include "sidecar/client_limits.h"

#include <algorithm>
#include <tuple>

namespace endive::sidecar {
namespace {

/// Undelivered responses of callers may take the process's memory divided by this.
constexpr std::size_t undelivered_memory_divisor = 4;
/// All buffers together may take the process's memory divided by this. The rest is for the program itself,
/// its rows, and copies that exist while a message is encoded or decoded.
constexpr std::size_t process_memory_divisor = 2;
/// Share of each bound that one client address cannot take: all ordinary callers of a VM may have one
/// address.
constexpr std::size_t address_reserve_divisor = 8;
/// Descriptors reserved for files, at most.
constexpr std::size_t file_descriptors = 200;
constexpr std::size_t file_descriptor_divisor = 8;
/// Share of the descriptors for peers, the endpoint, the store, readiness and announcements.
constexpr std::size_t peer_descriptor_divisor = 4;

bool is_candidate(const client_facts& client, std::optional<std::uint32_t> address) {
    return !address || client.address == *address;
}

/// Rank of a connection for `choose_idle`; lower ones are closed first. Empty: not closed.
std::optional<int> idle_rank(const client_facts& client) {
    const bool stalled_reader = client.undelivered_bytes > 0 && client.unread_for >= min_idle_for_eviction;
    if (stalled_reader) {
        return 3;
    }
    if (client.has_request || client.undelivered_bytes > 0 || client.silent_for < min_idle_for_eviction) {
        return std::nullopt;
    }
    if (client.incomplete_bytes > 0) {
        return 2;
    }
    return client.used ? 1 : 0;
}

} // namespace

void byte_charge::set(std::size_t bytes) {
    if (account_ && bytes > bytes_) {
        account_->add(bytes - bytes_);
    } else if (account_) {
        account_->remove(bytes_ - bytes);
    }
    bytes_ = bytes;
}

void byte_charge::move_to(std::shared_ptr<byte_account> account) {
    const auto bytes = bytes_;
    set(0);
    account_ = std::move(account);
    set(bytes);
}

std::vector<std::size_t> choose_slow_readers(std::span<const client_facts> clients, std::size_t target,
                                             std::optional<std::uint32_t> address, duration unread_for) {
    std::size_t total = 0;
    std::vector<std::size_t> order;
    for (std::size_t i = 0; i < clients.size(); ++i) {
        if (is_candidate(clients[i], address) && clients[i].undelivered_bytes > 0) {
            total += clients[i].undelivered_bytes;
            if (clients[i].unread_for >= unread_for) {
                order.push_back(i);
            }
        }
    }
    const auto weight = [&](std::size_t i) {
        const auto held = std::chrono::duration<double>(clients[i].undelivered_for).count();
        return std::pair{held * static_cast<double>(clients[i].undelivered_bytes),
                         clients[i].undelivered_bytes};
    };
    std::sort(order.begin(), order.end(),
              [&](std::size_t a, std::size_t b) { return weight(a) > weight(b); });
    std::size_t chosen = 0;
    while (chosen < order.size() && total > target) {
        total -= clients[order[chosen++]].undelivered_bytes;
    }
    order.resize(chosen);
    return order;
}

std::vector<std::size_t> choose_idle(std::span<const client_facts> clients, std::size_t count,
                                     std::optional<std::uint32_t> address) {
    std::vector<std::tuple<int, duration, std::size_t>> order;
    for (std::size_t i = 0; i < clients.size(); ++i) {
        const auto rank = is_candidate(clients[i], address) ? idle_rank(clients[i]) : std::nullopt;
        if (rank) {
            order.emplace_back(*rank, -clients[i].silent_for, i);
        }
    }
    const auto chosen = std::min(count, order.size());
    std::partial_sort(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(chosen), order.end());
    std::vector<std::size_t> result;
    for (std::size_t i = 0; i < chosen; ++i) {
        result.push_back(std::get<2>(order[i]));
    }
    return result;
}

std::size_t process_buffer_bound(std::size_t memory_bytes) {
    return memory_bytes / process_memory_divisor;
}

client_bounds caller_bounds(std::size_t max_descriptors, std::size_t memory_bytes) {
    const auto for_files = std::min(file_descriptors, max_descriptors / file_descriptor_divisor);
    const auto connections = max_descriptors - for_files - max_descriptors / peer_descriptor_divisor;
    const auto undelivered = memory_bytes / undelivered_memory_divisor;
    return {.undelivered = undelivered,
            .undelivered_per_address = undelivered - undelivered / address_reserve_divisor,
            .connections = connections,
            .connections_per_address = connections - connections / address_reserve_divisor};
}

} // namespace endive::sidecar
