#pragma once
/// Backend server for tests, which executes requests in a limited number of slots.

#include "../common/http_server.h"
#include "faults.h"
#include "ledger.h"
#include "settings.h"

#include <deque>

namespace stand_in {

/// History of the load, for delayed load reports. Thread safe.
class load_history {
public:
    void record(endive::time_point now, std::size_t in_flight);
    [[nodiscard]] std::size_t at(endive::time_point time) const;

private:
    mutable std::mutex mutex_;
    std::deque<std::pair<endive::time_point, std::size_t>> samples_;
};

class backend {
public:
    explicit backend(const backend_settings& settings)
        : settings_{settings}, started_{std::chrono::steady_clock::now()} {}

    [[nodiscard]] reply handle(const request& incoming);
    /// Sheds all further requests.
    void drain() { draining_since_ = std::chrono::steady_clock::now().time_since_epoch().count(); }

private:
    enum class wait_end { elapsed, client_gone, deadline };

    [[nodiscard]] reply handle_test(const request& incoming, const std::string& path);
    [[nodiscard]] reply health() const;
    [[nodiscard]] reply load() const;
    [[nodiscard]] reply stats() const;
    [[nodiscard]] bool draining_at(endive::time_point time) const;
    [[nodiscard]] reply shed();
    [[nodiscard]] reply execute(const request& incoming, const std::string& path, std::size_t concurrency);
    [[nodiscard]] reply finish(const request& incoming, std::size_t entry, const execution_plan& plan);
    [[nodiscard]] wait_end run(const request& incoming, const std::string& path, std::size_t concurrency,
                               const execution_plan& plan);
    [[nodiscard]] reply response_to(const request& incoming) const;

    backend_settings settings_;
    endive::time_point started_;
    backend_faults faults_;
    ledger ledger_;
    load_history load_history_;
    endive::counter_set counters_;
    std::atomic<std::size_t> in_flight_{0};
    std::atomic<std::size_t> max_in_flight_{0};
    std::atomic<endive::time_point::rep> draining_since_{0};
};

} // namespace stand_in
