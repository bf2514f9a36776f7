#include "callers/service_runtime.h"

#include <algorithm>

namespace endive::callers {
namespace {

// Interval at which a queued call rechecks its queue, which also expires calls.
constexpr milliseconds queue_check_interval{20};

bool has_share(const std::vector<model::version_share>& shares, const std::string& version) {
    return std::any_of(shares.begin(), shares.end(),
                       [&](const auto& entry) { return entry.version == version && entry.share > 0; });
}

} // namespace

const std::vector<model::version_share>& service_runtime::shares_for(bool idempotent) const {
    return idempotent ? shares_ : non_idempotent_shares_;
}

std::uint64_t service_runtime::next_random() {
    random_ += 0x9e3779b97f4a7c15ULL;
    std::uint64_t z = random_;
    z = (z ^ (z >> 30U)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27U)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31U);
}

calls::admission_load service_runtime::load_of(const version_pool& pool, time_point now) {
    const auto capacity = pool.group.capacity(now);
    return {capacity - pool.group.free_slots(), capacity, pool.group.median_latency()};
}

reservation service_runtime::make_reservation(const std::string& version, const version_pool& pool,
                                              calls::endpoint_handle handle, time_point now) const {
    return {version,
            pool.group.info(handle),
            handle,
            pool.group.is_cold(handle, now),
            pool.group.median_latency(),
            pool.group.tail_latency()};
}

void service_runtime::apply(const service_view& view) {
    const auto now = clock_.now();
    const std::scoped_lock lock{mutex_};
    if (view.sequence <= sequence_) {
        return;
    }
    sequence_ = view.sequence;
    shares_ = view.shares;
    non_idempotent_shares_ = view.non_idempotent_shares.empty() ? view.shares : view.non_idempotent_shares;
    for (const auto& [version, endpoints] : view.endpoints) {
        auto& pool = pools_[version];
        if (!pool) {
            pool = std::make_unique<version_pool>(endpoint_settings_, admission_settings_);
        }
    }
    for (auto& item : pools_) {
        const auto& version = item.first;
        auto& pool = item.second;
        const auto found = view.endpoints.find(version);
        const std::span<const model::endpoint_info> endpoints =
            found == view.endpoints.end() ? std::span<const model::endpoint_info>{} : found->second;
        pool->group.update(endpoints, view.live_daemons, now);
        if (has_share(shares_, version) || has_share(non_idempotent_shares_, version)) {
            start_waiting(version, *pool, now);
            continue;
        }
        for (const auto ticket : pool->queue.take_all()) {
            auto& waiting = *waiters_.at(ticket);
            waiting.decided = true;
            waiting.reselect = true;
            waiting.signal.notify_one();
        }
    }
}

void service_runtime::resolve(const std::string& version, version_pool& pool,
                              const calls::admission_action& action, time_point now) {
    auto& waiting = *waiters_.at(action.ticket);
    if (action.decision == calls::admission_decision::start) {
        const auto handle = pool.group.choose(next_random(), {}, now, false);
        if (handle.valid()) {
            waiting.result.slot = make_reservation(version, pool, handle, now);
        } else {
            waiting.result.code = result_code::call_overloaded;
        }
    } else {
        waiting.result.code = action.code;
    }
    waiting.decided = true;
    waiting.signal.notify_one();
}

void service_runtime::start_waiting(const std::string& version, version_pool& pool, time_point now) {
    if (pool.queue.size() == 0) {
        return;
    }
    for (const auto& action : pool.queue.advance(load_of(pool, now), now)) {
        resolve(version, pool, action, now);
    }
}

reservation_result service_runtime::wait(std::unique_lock<std::mutex>& lock, const std::string& version,
                                         version_pool& pool, std::uint64_t ticket, waiter& waiting) {
    while (!waiting.signal.wait_for(lock, queue_check_interval, [&] { return waiting.decided; })) {
        start_waiting(version, pool, clock_.now());
    }
    waiters_.erase(ticket);
    return waiting.result;
}

reservation_result service_runtime::reserve(const reservation_request& request) {
    std::unique_lock lock{mutex_};
    while (true) {
        const auto now = clock_.now();
        const std::string version{calls::choose_version(shares_for(request.idempotent), next_random())};
        const auto found = pools_.find(version);
        if (version.empty() || found == pools_.end()) {
            return {std::nullopt, result_code::call_no_endpoint};
        }
        auto& pool = *found->second;
        start_waiting(version, pool, now);
        const auto ticket = next_ticket_++;
        const calls::admission_request queue_entry{ticket, request.priority, request.deadline};
        const auto actions = pool.queue.admit(queue_entry, load_of(pool, now), now);
        for (std::size_t i = 1; i < actions.size(); ++i) {
            resolve(version, pool, actions[i], now);
        }
        switch (actions.front().decision) {
        case calls::admission_decision::rejected:
            return {std::nullopt, actions.front().code};
        case calls::admission_decision::start: {
            const auto handle = pool.group.choose(next_random(), {}, now, request.idempotent);
            if (!handle.valid()) {
                return {std::nullopt, result_code::call_overloaded};
            }
            return {make_reservation(version, pool, handle, now), result_code::ok};
        }
        case calls::admission_decision::queued:
            break;
        }
        waiter waiting;
        waiters_[ticket] = &waiting;
        auto result = wait(lock, version, pool, ticket, waiting);
        if (!waiting.reselect) {
            return result;
        }
    }
}

std::optional<reservation> service_runtime::reserve_another(const std::string& version,
                                                            std::span<const std::string> excluded,
                                                            bool idempotent) {
    const auto now = clock_.now();
    const std::scoped_lock lock{mutex_};
    // A version held since the first attempt must not get further attempts either.
    const auto& shares = shares_for(idempotent);
    const auto wanted =
        has_share(shares, version) ? version : std::string{calls::choose_version(shares, next_random())};
    const auto found = pools_.find(wanted);
    if (found == pools_.end()) {
        return std::nullopt;
    }
    const auto handle = found->second->group.choose(next_random(), excluded, now, false);
    if (!handle.valid()) {
        return std::nullopt;
    }
    return make_reservation(wanted, *found->second, handle, now);
}

void service_runtime::finish(const reservation& slot, const calls::attempt_report& report) {
    const auto now = clock_.now();
    const std::scoped_lock lock{mutex_};
    auto& pool = *pools_.at(slot.version);
    pool.group.finish(slot.handle, report, now);
    start_waiting(slot.version, pool, now);
}

void service_runtime::abandon(const reservation& slot) {
    const std::scoped_lock lock{mutex_};
    auto& pool = *pools_.at(slot.version);
    pool.group.abandon(slot.handle);
    start_waiting(slot.version, pool, clock_.now());
}

void service_runtime::count_request() {
    const std::scoped_lock lock{mutex_};
    budget_.on_request();
}

bool service_runtime::take_retry_token() {
    const std::scoped_lock lock{mutex_};
    return budget_.take();
}

bool service_runtime::is_saturated() const {
    const std::scoped_lock lock{mutex_};
    return std::any_of(pools_.begin(), pools_.end(), [&](const auto& item) {
        return item.second->queue.size() >= admission_settings_.max_queued;
    });
}

std::size_t service_runtime::queued() const {
    const std::scoped_lock lock{mutex_};
    return waiters_.size();
}

std::size_t service_runtime::ejected() const {
    const std::scoped_lock lock{mutex_};
    std::size_t total = 0;
    for (const auto& [version, pool] : pools_) {
        total += pool->group.ejected_count();
    }
    return total;
}

std::vector<calls::endpoint_status> service_runtime::status() const {
    const auto now = clock_.now();
    const std::scoped_lock lock{mutex_};
    std::vector<calls::endpoint_status> result;
    for (const auto& [version, pool] : pools_) {
        const auto part = pool->group.status(now);
        result.insert(result.end(), part.begin(), part.end());
    }
    return result;
}

void service_runtime::report_load(const std::string& address, double load) {
    const auto now = clock_.now();
    const std::scoped_lock lock{mutex_};
    for (auto& [version, pool] : pools_) {
        pool->group.report_load(address, load, now);
    }
}

} // namespace endive::callers
