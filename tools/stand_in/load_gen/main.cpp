#include "../common/program.h"
#include "load.h"

#include <fstream>

#include <absl/flags/flag.h>
#include <curl/curl.h>

ABSL_FLAG(std::vector<std::string>, targets, {}, "addresses IP:port, separated by commas");
ABSL_FLAG(std::string, method, "GET", "request method");
ABSL_FLAG(std::vector<std::string>, paths, {"/"}, "paths, used in turn");
ABSL_FLAG(std::vector<std::string>, headers, {}, "additional headers `Name: value`, separated by commas");
ABSL_FLAG(int, body_size, 0, "bytes of the request body; every method but GET needs at least 1");
ABSL_FLAG(int, response_size, -1, "asks backend_stand_in for a response body of this size; -1: its default");
ABSL_FLAG(double, rate, 100.0, "requests per second over all connections");
ABSL_FLAG(int, connections, 10, "keep-alive connections");
ABSL_FLAG(double, duration_s, 1.0, "duration in seconds");
ABSL_FLAG(int, timeout_ms, 5000, "timeout of a request");
ABSL_FLAG(bool, idempotency_keys, false, "send a unique idempotency-key with each request");
ABSL_FLAG(std::string, id_prefix, "load", "prefix of the unique endive-test-id of each request");
ABSL_FLAG(std::string, output, "", "output file, one JSON line per request");

namespace stand_in {
namespace {

void require(bool holds, const std::string& flag, const std::string& allowed) {
    if (!holds) {
        throw endive::error{endive::result_code::usage, "--" + flag + ": allowed: " + allowed, flag};
    }
}

load_settings read_flags() {
    load_settings settings;
    settings.targets = absl::GetFlag(FLAGS_targets);
    require(!settings.targets.empty(), "targets", "at least one address");
    for (const auto& target : settings.targets) {
        require(endive::parse_address(target).has_value(), "targets", "addresses such as 127.0.0.1:9000");
    }
    settings.method = absl::GetFlag(FLAGS_method);
    settings.paths = absl::GetFlag(FLAGS_paths);
    settings.headers = absl::GetFlag(FLAGS_headers);
    // libcurl repeats a request without a body when a reused connection closes without a response.
    require(settings.method == "GET" || absl::GetFlag(FLAGS_body_size) > 0, "body_size",
            "at least 1 for methods other than GET");
    settings.body_size = static_cast<std::size_t>(absl::GetFlag(FLAGS_body_size));
    if (absl::GetFlag(FLAGS_response_size) >= 0) {
        settings.response_size = static_cast<std::size_t>(absl::GetFlag(FLAGS_response_size));
    }
    settings.rate = absl::GetFlag(FLAGS_rate);
    require(settings.rate > 0, "rate", "above 0");
    require(absl::GetFlag(FLAGS_connections) > 0, "connections", "above 0");
    settings.connections = static_cast<std::size_t>(absl::GetFlag(FLAGS_connections));
    settings.duration_s = absl::GetFlag(FLAGS_duration_s);
    settings.timeout = endive::milliseconds{absl::GetFlag(FLAGS_timeout_ms)};
    settings.idempotency_keys = absl::GetFlag(FLAGS_idempotency_keys);
    settings.id_prefix = absl::GetFlag(FLAGS_id_prefix);
    return settings;
}

void write_records(const load_result& result, const std::string& path) {
    std::ofstream file{path};
    for (const auto& record : result.records) {
        file << to_json(record).dump() << '\n';
    }
    require(file.good(), "output", "a file that can be written");
}

void run() {
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const auto result = run_load(read_flags());
    const auto path = absl::GetFlag(FLAGS_output);
    if (!path.empty()) {
        write_records(result, path);
    }
    print_line(summarize(result));
}

} // namespace
} // namespace stand_in

int main(int argc, char** argv) {
    stand_in::parse_flags(argc, argv, "Open-loop HTTP load at a fixed rate; prints one JSON result.");
    endive::configure_log(endive::log_level::info, "load_gen");
    return stand_in::run_program([] { stand_in::run(); });
}
