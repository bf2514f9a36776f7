#pragma once
// Answers to a backend server that reports its departure.

#include "sidecar/http_server.h"

namespace endive::sidecar {

/// Holds the answers to reported departures back until the departure is stored: an acknowledged one binds
/// also after this process has been killed. Not thread safe.
class departure_answers {
public:
    explicit departure_answers(counter_set& counters) : counters_{counters} {}
    void add(std::shared_ptr<exchange> request, time_point now) {
        waiting_.push_back({std::move(request), now});
    }
    /// The departure has been stored.
    void acknowledge();
    /// Refuses those that the backend server no longer waits for. Call about every 100 ms.
    void tick(time_point now);
    [[nodiscard]] bool empty() const { return waiting_.empty(); }

private:
    struct answer {
        std::shared_ptr<exchange> request;
        time_point since;
    };
    counter_set& counters_;
    std::vector<answer> waiting_;
};

} // namespace endive::sidecar
