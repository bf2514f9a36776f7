#include "sidecar/departure_answers.h"

#include "sidecar/events.h"

namespace endive::sidecar {
namespace {

/// A backend server takes a report for unacknowledged after a second, and repeats it.
constexpr duration answer_timeout = milliseconds{900};

constexpr unsigned status_ok = 200;
constexpr unsigned status_unavailable = 503;

} // namespace

void departure_answers::acknowledge() {
    for (const auto& entry : std::exchange(waiting_, {})) {
        http_message response;
        response.status = status_ok;
        response.headers.push_back({"Content-Type", "application/json"});
        response.body = "{}";
        entry.request->respond(std::move(response));
    }
}

void departure_answers::tick(time_point now) {
    std::erase_if(waiting_, [&](const answer& entry) {
        if (now - entry.since < answer_timeout) {
            return false;
        }
        counters_.add("departure_unacknowledged");
        log(event::departure_unacknowledged,
            {{"waited_ms", std::chrono::duration_cast<milliseconds>(now - entry.since).count()}});
        entry.request->respond(own_response(status_unavailable, "the departure is not stored yet\n"));
        return true;
    });
}

} // namespace endive::sidecar
