#include "../common/program.h"
#include "faults.h"
#include "stores.h"

#include <thread>

#include <absl/flags/flag.h>

ABSL_FLAG(int, port, 0, "TCP port on loopback; 0 selects a free port; the first line of output contains it");

namespace stand_in {
namespace {

using endive::json;

class platform_server {
public:
    explicit platform_server(std::uint16_t port)
        : server_{port, [this](const request& incoming) { return handle(incoming); }} {}
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    /// Ends delayed and hanging requests, so that the server can stop.
    void stop() { stopping_ = true; }

private:
    reply handle(const request& incoming) {
        const auto path = incoming.path();
        if (path == "/control") {
            return control(incoming);
        }
        const bool is_object = path.starts_with("/objects/");
        const bool is_list = path == "/rows";
        if (!is_object && !is_list && !path.starts_with("/rows/")) {
            return {404};
        }
        const auto prefix_length = is_object ? std::string_view{"/objects/"}.size() : 6;
        operation op;
        op.is_write = incoming.method() != "GET";
        op.is_object = is_object;
        op.key = is_list ? incoming.query("prefix") : path.substr(prefix_length);
        return perform(incoming, op, is_list);
    }

    reply perform(const request& incoming, const operation& op, bool is_list) {
        counters_.add(op.is_write ? "writes" : "reads");
        counters_.add(std::string{op.is_object ? "object_" : "row_"} + (op.is_write ? "writes" : "reads"));
        const auto fault = faults_.decide(op);
        wait(fault.delay);
        if (fault.refuse) {
            return {503};
        }
        if (fault.hang) {
            hold_until_disconnect(incoming);
            return {503};
        }
        auto answer = execute(incoming, op, is_list);
        if (fault.lose_answer) {
            incoming.cut();
        }
        return answer;
    }

    reply execute(const request& incoming, const operation& op, bool is_list) {
        const auto method = incoming.method();
        if (is_list) {
            return method == "GET" ? rows_.list(op.key) : reply{405};
        }
        if (method == "GET") {
            return op.is_object ? objects_.get(op.key) : rows_.get(op.key);
        }
        if (method == "PUT") {
            return op.is_object ? objects_.put(op.key, incoming) : rows_.put(op.key, incoming);
        }
        if (method == "DELETE" && !op.is_object) {
            return rows_.remove(op.key, incoming);
        }
        return {405};
    }

    /// Ignores client disconnects: a received request is executed even if its client gives up, as on a real
    /// platform.
    void wait(endive::milliseconds delay) const {
        const auto end = std::chrono::steady_clock::now() + delay;
        while (!stopping_ && std::chrono::steady_clock::now() < end) {
            const auto left = std::chrono::duration_cast<endive::milliseconds>(
                end - std::chrono::steady_clock::now() + endive::milliseconds{1});
            std::this_thread::sleep_for(std::min(left, endive::milliseconds{50}));
        }
    }

    void hold_until_disconnect(const request& incoming) const {
        while (!stopping_ && !incoming.wait_for_disconnect(50)) {
        }
        incoming.cut();
    }

    reply control(const request& incoming) {
        if (incoming.method() == "PUT") {
            faults_.replace(json::parse(incoming.body()));
        }
        json state{{"reads", 0}, {"writes", 0}, {"rows", rows_.size()}, {"objects", objects_.size()}};
        state["faults"] = faults_.counts();
        for (const auto& [name, count] : counters_.values()) {
            state[name] = count;
        }
        return json_reply(200, state);
    }

    fault_plan faults_;
    row_store rows_;
    blob_store objects_;
    endive::counter_set counters_;
    std::atomic<bool> stopping_{false};
    http_server server_;
};

} // namespace
} // namespace stand_in

int main(int argc, char** argv) {
    stand_in::parse_flags(argc, argv, "Table and object store for tests; faults are set at PUT /control.");
    endive::configure_log(endive::log_level::info, "platform_stand_in");
    stand_in::block_stop_signals();
    return stand_in::run_program([] {
        stand_in::platform_server server{static_cast<std::uint16_t>(absl::GetFlag(FLAGS_port))};
        stand_in::print_line({{"port", server.port()}});
        stand_in::wait_for_stop();
        server.stop();
    });
}
