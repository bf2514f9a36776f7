#include "../common/program.h"
#include "announcer.h"
#include "backend.h"

namespace stand_in {
namespace {

using namespace std::chrono_literals;

/// Waits until the drain time has elapsed and all responses have been sent completely.
void wait_until_drained(const http_server& server, const backend_settings& settings) {
    const auto end = std::chrono::steady_clock::now() + endive::milliseconds{settings.drain_ms};
    while (std::chrono::steady_clock::now() < end || server.active_requests() > 0) {
        std::this_thread::sleep_for(5ms);
    }
}

void serve() {
    const auto settings = read_settings();
    backend handler{settings};
    http_server server{settings.port, [&](const request& incoming) { return handler.handle(incoming); }};
    announcer periodic_announcer{settings, server.port()};
    print_line({{"port", server.port()}});
    wait_for_stop();
    periodic_announcer.change_state("draining");
    handler.drain();
    wait_until_drained(server, settings);
    periodic_announcer.change_state("leaving");
}

} // namespace
} // namespace stand_in

int main(int argc, char** argv) {
    stand_in::parse_flags(argc, argv, "Backend server for tests; faults are set at PUT /test/faults.");
    endive::configure_log(endive::log_level::info, "backend_stand_in");
    stand_in::block_stop_signals();
    return stand_in::run_program([] { stand_in::serve(); });
}
