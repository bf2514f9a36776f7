#include "backends/http_exchange.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace endive::backends {
namespace {

constexpr std::size_t shard_count = 16;

/// libcurl wants to be initialised before the first handle is made.
void initialise_libcurl() {
    static const CURLcode code = curl_global_init(CURL_GLOBAL_DEFAULT);
    (void)code;
}

} // namespace

struct http_pool::state : std::enable_shared_from_this<http_pool::state> {
    struct endpoint_connections {
        std::vector<std::unique_ptr<connection>> idle; ///< the most recently used at the back
        time_point suspect_before;
    };
    struct shard {
        std::mutex mutex;
        std::unordered_map<std::string, endpoint_connections> endpoints;
    };

    state(const clock_source& source, counter_set& counters, pool_settings wanted)
        : clock{source}, settings{wanted}, opened{counters.at("connections.opened")},
          reused{counters.at("connections.reused")}, replaced{counters.at("connections.replaced")},
          silent{counters.at("connections.silent")} {}

    const clock_source& clock;
    pool_settings settings;
    std::atomic<std::uint64_t>& opened;
    std::atomic<std::uint64_t>& reused;
    std::atomic<std::uint64_t>& replaced;
    std::atomic<std::uint64_t>& silent;
    std::array<shard, shard_count> shards;

    shard& shard_of(const std::string& address) { return shards.at(stable_hash(address) % shard_count); }
    std::unique_ptr<connection> take(const std::string& address, bool idempotent);
    void put_back(const std::string& address, std::unique_ptr<connection> link, bool reusable);
};

std::unique_ptr<connection> http_pool::state::take(const std::string& address, bool idempotent) {
    const auto now = clock.now();
    std::vector<std::unique_ptr<connection>> expired; // closed after the lock is released
    auto& part = shard_of(address);
    const std::scoped_lock lock{part.mutex};
    const auto found = part.endpoints.find(address);
    if (found == part.endpoints.end()) {
        return nullptr;
    }
    auto& idle = found->second.idle;
    while (!idle.empty()) {
        auto& newest = idle.back();
        const auto suspect = found->second.suspect_before;
        if (calls::decide_use(newest->record, idempotent, suspect, now) == calls::connection_use::reuse) {
            auto link = std::move(newest);
            idle.pop_back();
            return link;
        }
        // The newest one is the likeliest to be usable; the others are older. Those that only a request that
        // is not idempotent must avoid stay in the pool.
        if (!idempotent &&
            calls::decide_use(newest->record, true, suspect, now) == calls::connection_use::reuse) {
            return nullptr;
        }
        expired.push_back(std::move(newest));
        idle.pop_back();
        replaced.fetch_add(1, std::memory_order_relaxed);
    }
    return nullptr;
}

void http_pool::state::put_back(const std::string& address, std::unique_ptr<connection> link, bool reusable) {
    const auto now = clock.now();
    if (link->opened_now()) {
        link->record.opened = now;
        opened.fetch_add(1, std::memory_order_relaxed);
    } else {
        reused.fetch_add(1, std::memory_order_relaxed);
    }
    if (!reusable || !link->is_open()) {
        return;
    }
    link->record.last_response = now;
    auto& part = shard_of(address);
    const std::scoped_lock lock{part.mutex};
    auto& idle = part.endpoints[address].idle;
    if (idle.size() < settings.max_idle_per_endpoint) {
        idle.push_back(std::move(link));
    }
}

http_pool::http_pool(const clock_source& clock, counter_set& counters, pool_settings settings) {
    initialise_libcurl();
    state_ = std::make_shared<state>(clock, counters, settings);
}

http_pool::~http_pool() = default;

std::unique_ptr<exchange> http_pool::start(const model::endpoint_info& endpoint,
                                           const backend_request& request) {
    auto& s = *state_;
    auto link = request.fresh_connection ? nullptr : s.take(endpoint.address, request.idempotent);
    if (!link) {
        link = std::make_unique<connection>();
    }
    auto release = [owner = state_, address = endpoint.address](std::unique_ptr<connection> used,
                                                                bool reusable) {
        owner->put_back(address, std::move(used), reusable);
    };
    auto result = std::make_unique<http_exchange>(std::move(link), s.clock, request.deadline, s.settings,
                                                  std::move(release));
    result->begin(endpoint.address, request);
    return result;
}

void http_pool::mark_silent(const std::string& address) {
    state_->silent.fetch_add(1, std::memory_order_relaxed);
    auto& part = state_->shard_of(address);
    const std::scoped_lock lock{part.mutex};
    part.endpoints[address].suspect_before = state_->clock.now();
}

void http_pool::prune(std::span<const std::string> live) {
    const auto now = state_->clock.now();
    std::vector<std::unique_ptr<connection>> closed;
    for (auto& part : state_->shards) {
        const std::scoped_lock lock{part.mutex};
        for (auto item = part.endpoints.begin(); item != part.endpoints.end();) {
            auto& links = item->second;
            const bool keep = std::find(live.begin(), live.end(), item->first) != live.end();
            std::erase_if(links.idle, [&](auto& link) {
                const auto use = calls::decide_use(link->record, true, links.suspect_before, now);
                if (keep && use == calls::connection_use::reuse) {
                    return false;
                }
                closed.push_back(std::move(link));
                return true;
            });
            item = keep ? std::next(item) : part.endpoints.erase(item);
        }
    }
}

pool_stats http_pool::stats() const {
    pool_stats result;
    result.connections_opened = state_->opened;
    result.connections_reused = state_->reused;
    result.connections_replaced = state_->replaced;
    result.silent_connections = state_->silent;
    for (auto& part : state_->shards) {
        const std::scoped_lock lock{part.mutex};
        for (const auto& [address, links] : part.endpoints) {
            result.idle += links.idle.size();
        }
    }
    return result;
}

} // namespace endive::backends
