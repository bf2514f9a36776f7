#include "endive/mesh.h"

namespace endive::mesh {

std::string_view to_string(reason value) {
    switch (value) {
    case reason::none:
        return "none";
    case reason::no_configuration:
        return "no_configuration";
    case reason::no_route:
        return "no_route";
    case reason::no_endpoint:
        return "no_endpoint";
    case reason::no_room:
        return "no_room";
    case reason::too_late:
        return "too_late";
    case reason::draining:
        return "draining";
    case reason::wrong_endpoint:
        return "wrong_endpoint";
    case reason::endpoint_refused:
        return "endpoint_refused";
    case reason::connect_failed:
        return "connect_failed";
    case reason::connection_lost:
        return "connection_lost";
    case reason::bad_response:
        return "bad_response";
    case reason::timed_out:
        return "timed_out";
    case reason::peer_lost:
        return "peer_lost";
    case reason::caller_left:
        return "caller_left";
    case reason::bad_request:
        return "bad_request";
    case reason::memory:
        return "memory";
    case reason::stopping:
        return "stopping";
    case reason::retired:
        return "retired";
    case reason::peer_silent:
        return "peer_silent";
    case reason::busy:
        return "busy";
    case reason::key_unknown:
        return "key_unknown";
    case reason::keys_stale:
        return "keys_stale";
    case reason::over_quota:
        return "over_quota";
    }
    return "none";
}

} // namespace endive::mesh
