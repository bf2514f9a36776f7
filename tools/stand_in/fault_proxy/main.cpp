#include "../common/http_server.h"
#include "../common/program.h"
#include "proxy.h"

#include <absl/flags/flag.h>

ABSL_FLAG(int, control_port, 0, "port of GET and PUT /control on loopback; 0 selects a free port");
ABSL_FLAG(std::vector<std::string>, pairs, {},
          "pairs NAME=PORT:TARGET, such as a=0:127.0.0.1:9000; port 0 selects a free port");

namespace stand_in {
namespace {

using endive::json;
using endive::settings_reader;

constexpr std::int64_t max_ms = 3600000;

direction_change parse_direction(const json& object, const std::string& place) {
    settings_reader reader{object, place};
    direction_change change;
    if (reader.has("delay_ms")) {
        change.delay = endive::milliseconds{reader.required_integer("delay_ms", 0, max_ms)};
    }
    if (reader.has("bytes_per_second")) {
        change.bytes_per_second = reader.required_integer("bytes_per_second", 0, INT64_MAX);
    }
    if (reader.has("hold")) {
        change.hold = reader.optional_boolean("hold", false);
    }
    if (reader.has("cut_after_bytes")) {
        change.cut_after_bytes = reader.required_integer("cut_after_bytes", -1, INT64_MAX);
    }
    change.silence = reader.optional_boolean("silence", false);
    change.cut = reader.optional_boolean("cut", false);
    reader.reject_unknown_keys();
    return change;
}

proxy_change parse_change(const json& object) {
    for (const auto& [key, value] : object.items()) {
        if (key != "pair" && key != "connection" && key != "to_target" && key != "to_client" &&
            key != "refuse_new") {
            throw endive::error{endive::result_code::settings_unknown_key, "unknown key " + key, key};
        }
    }
    proxy_change change;
    change.pair = object.value("pair", "");
    if (object.contains("connection")) {
        change.connection = object.at("connection").get<std::uint64_t>();
    }
    change.to_target = parse_direction(object.value("to_target", json::object()), "/to_target");
    change.to_client = parse_direction(object.value("to_client", json::object()), "/to_client");
    if (object.contains("refuse_new")) {
        change.refuse_new = object.at("refuse_new").get<bool>();
    }
    return change;
}

endive::socket_address parse_target(const std::string& text) {
    const auto target = endive::parse_address(text);
    if (!target) {
        throw endive::error{endive::result_code::settings_bad_address,
                            "target " + text + " is not an address such as 127.0.0.1:9000", "target"};
    }
    return *target;
}

void open_pair(proxy& forwarder, const std::string& text) {
    const auto equals = text.find('=');
    const auto colon = text.find(':', equals);
    if (equals == std::string::npos || colon == std::string::npos) {
        throw endive::error{endive::result_code::usage, "pair " + text + " is not NAME=PORT:TARGET", "pairs"};
    }
    const auto port = std::stoul(text.substr(equals + 1, colon - equals - 1));
    forwarder.set_pair(text.substr(0, equals), static_cast<std::uint16_t>(port),
                       parse_target(text.substr(colon + 1)));
}

reply handle(proxy& forwarder, const request& incoming) {
    const auto path = incoming.path();
    constexpr std::string_view pair_path = "/pairs/";
    if (path.starts_with(pair_path) && incoming.method() == "PUT") {
        const auto body = json::parse(incoming.body());
        const auto port =
            forwarder.set_pair(path.substr(pair_path.size()), body.value("port", std::uint16_t{0}),
                               parse_target(body.at("target")));
        return json_reply(200, {{"port", port}});
    }
    if (path != "/control") {
        return {404};
    }
    if (incoming.method() == "PUT") {
        forwarder.change(parse_change(json::parse(incoming.body())));
    }
    return json_reply(200, forwarder.state());
}

void serve() {
    proxy forwarder;
    for (const auto& text : absl::GetFlag(FLAGS_pairs)) {
        open_pair(forwarder, text);
    }
    const http_server control{static_cast<std::uint16_t>(absl::GetFlag(FLAGS_control_port)),
                              [&](const request& incoming) { return handle(forwarder, incoming); }};
    json line{{"port", control.port()}, {"pairs", json::object()}};
    const auto state = forwarder.state();
    for (const auto& [name, entry] : state.at("pairs").items()) {
        line["pairs"][name] = entry.at("port");
    }
    print_line(line);
    wait_for_stop();
}

} // namespace
} // namespace stand_in

int main(int argc, char** argv) {
    stand_in::parse_flags(argc, argv, "TCP proxy for tests; faults are set at PUT /control.");
    endive::configure_log(endive::log_level::info, "fault_proxy");
    stand_in::block_stop_signals();
    return stand_in::run_program([] { stand_in::serve(); });
}
