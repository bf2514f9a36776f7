/// Benchmark of the request path: cost of the single components, added latency, overload, faulty endpoints
/// and a deep chain of calls.

#include "calls_bench_support_impl.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fstream>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of endpoint and version choice");

namespace endive::bench {
namespace {

using namespace std::chrono_literals;

class null_observer final : public callers::observer {
public:
    void on_call(const model::call_observation& /*observation*/) override {}
};

std::shared_ptr<const model::routing_table> make_routes(std::uint32_t slots) {
    model::snapshot snapshot;
    snapshot.version = 1;
    auto& part = snapshot.parts.emplace_back();
    part.team = "team";
    auto& service = part.services.emplace_back();
    service.name = "desk";
    service.team = "team";
    service.slots = slots;
    service.releases = {{"1"}};
    service.stable_version = "1";
    model::route route;
    route.name = "read";
    route.team = "team";
    route.method = "*";
    route.path_prefix = "/read";
    route.service = "desk";
    part.routes.push_back(route);
    return std::make_shared<model::routing_table>(std::move(snapshot));
}

/// A running proxy for the endpoints `addresses`, with its own counters.
class running_proxy {
public:
    running_proxy(const std::vector<std::string>& addresses, std::uint32_t slots, std::uint64_t seed)
        : table_{platform::make_memory_table()}, server_{settings(seed), clock_, counters_, *table_,
                                                         observer_} {
        auto view = std::make_shared<callers::request_view>();
        view->routes = make_routes(slots);
        for (const auto& address : addresses) {
            model::endpoint_info info;
            info.address = address;
            info.service = "desk";
            info.version = "1";
            info.slots = slots;
            info.state = model::endpoint_state::serving;
            view->endpoints.push_back(info);
        }
        server_.set_view(view);
        server_.start();
    }
    [[nodiscard]] std::uint16_t port() const { return server_.port(); }
    [[nodiscard]] callers::proxy_stats stats() const { return server_.stats(); }

private:
    static callers::proxy_settings settings(std::uint64_t seed) {
        callers::proxy_settings result;
        result.seed = seed;
        return result;
    }
    system_clock_source clock_;
    counter_set counters_;
    null_observer observer_;
    std::unique_ptr<platform::table_store> table_;
    callers::proxy_server server_;
};

double to_ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

template <typename function>
void measure_component(const std::string& name, int runs, function run) {
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < runs; ++i) {
        run(i);
    }
    const duration elapsed = std::chrono::steady_clock::now() - begin;
    print_figure("machine_" + name, static_cast<double>(elapsed.count()) / runs, "ns");
}

void bench_components(std::uint64_t seed) {
    constexpr int runs = 1'000'000;
    calls::endpoint_group group{calls::endpoint_settings{}};
    std::vector<model::endpoint_info> infos(6);
    for (std::size_t i = 0; i < infos.size(); ++i) {
        infos[i].address = "10.0.0." + std::to_string(i) + ":80";
        infos[i].state = model::endpoint_state::serving;
    }
    time_point now{1h};
    group.update(infos, 1, now);
    measure_component("endpoint_choice_of_6", runs, [&](int i) {
        now += 1us;
        const auto handle = group.choose(seed + static_cast<std::uint64_t>(i), {}, now);
        group.finish(handle, {model::call_outcome::success, 1ms}, now);
    });
    calls::admission_queue queue{calls::admission_settings{}};
    measure_component("admission_start", runs, [&](int i) {
        (void)queue.admit({static_cast<std::uint64_t>(i), 1, now + 1s}, {0, 8, 1ms}, now);
    });
    measure_component("admission_queue_and_advance", runs, [&](int i) {
        (void)queue.admit({static_cast<std::uint64_t>(i), 1, now + 1s}, {8, 8, 1ms}, now);
        (void)queue.advance({7, 8, 1ms}, now);
    });
    const std::vector<model::version_share> shares{{"1", 0.99}, {"2", 0.01}};
    std::size_t sum = 0;
    measure_component("version_choice", runs, [&](int i) {
        sum += calls::choose_version(shares, seed * static_cast<std::uint64_t>(i)).size();
    });
    measure_component("classify", runs, [&](int i) {
        calls::attempt_result seen;
        seen.status = 200 + static_cast<std::uint32_t>(i % 400);
        sum += static_cast<std::size_t>(calls::classify(seen).code);
    });
    calls::retry_budget budget;
    measure_component("retry_budget", runs, [&](int) {
        budget.on_request();
        sum += budget.take() ? 1 : 0;
    });
    measure_component("headers", runs, [&](int) {
        sum += calls::parse_headers({"1500", "3", "1", "2", "key-1"}).depth;
    });
    if (sum == 0) {
        std::fputs("the measured functions returned no results\n", stderr);
    }
}

void bench_added_latency(std::uint64_t seed) {
    backend_server backend{64, 0ms};
    const running_proxy proxy{{backend.address()}, 64, seed};
    const naive_proxy naive{{backend.address()}};
    const auto backend_port = parse_address(backend.address())->port;
    for (const double rate : {100.0, 1000.0, 4000.0}) {
        const auto length = rate < 500 ? duration{3s} : duration{1s};
        std::map<std::string, double> p99;
        std::map<std::string, double> cpu;
        for (const auto& [name, port] : std::map<std::string, std::uint16_t>{
                 {"direct", backend_port}, {"endive", proxy.port()}, {"naive", naive.port()}}) {
            load_plan plan;
            plan.port = port;
            plan.calls_per_second = rate;
            plan.length = length;
            plan.connections = 16;
            load_result warm_up;
            plan.length = 200ms;
            run_load(plan, warm_up);
            plan.length = length;
            load_result result;
            run_load(plan, result);
            const auto prefix = name + "_" + std::to_string(static_cast<int>(rate)) + "_per_second_";
            print_figure(prefix + "p50", to_ms(result.good.quantile(0.5)), "ms");
            print_figure(prefix + "p99", to_ms(result.good.quantile(0.99)), "ms");
            print_figure(prefix + "p999", to_ms(result.good.quantile(0.999)), "ms");
            print_figure(prefix + "failed", static_cast<double>(result.failed), "calls", 0);
            p99[name] = to_ms(result.good.quantile(0.99));
            cpu[name] = result.cpu_us_per_call;
        }
        const auto suffix = "_" + std::to_string(static_cast<int>(rate)) + "_per_second";
        print_figure("hedges_so_far" + suffix, static_cast<double>(proxy.stats().hedges), "calls");
        print_figure("connections_opened_so_far" + suffix,
                     static_cast<double>(proxy.stats().pool.connections_opened), "connections");
        print_figure("added_p99" + suffix, p99["endive"] - p99["direct"], "ms", 0.34,
                     p99["naive"] - p99["direct"]);
        print_figure("added_cpu" + suffix, cpu["endive"] - cpu["direct"], "us", -1,
                     cpu["naive"] - cpu["direct"]);
    }
}

/// Two endpoints with 4 slots and 20 ms service time: capacity 400 calls per second.
void bench_overload(std::uint64_t seed) {
    backend_server one{4, 20ms};
    backend_server two{4, 20ms};
    const std::vector<std::string> addresses{one.address(), two.address()};
    const running_proxy proxy{addresses, 4, seed};
    const naive_proxy naive{addresses};
    for (const int percent : {50, 100, 150, 300}) {
        std::map<std::string, double> goodput;
        std::map<std::string, double> p99;
        for (const auto& [name, port] :
             std::map<std::string, std::uint16_t>{{"endive", proxy.port()}, {"naive", naive.port()}}) {
            load_plan plan;
            plan.port = port;
            plan.calls_per_second = 4.0 * percent;
            plan.length = 1s;
            plan.timeout_ms = 300;
            plan.connections = 128;
            load_result result;
            run_load(plan, result);
            goodput[name] = result.goodput();
            p99[name] = to_ms(result.good.quantile(0.99));
        }
        const auto suffix = "_at_" + std::to_string(percent) + "_percent";
        print_figure("goodput" + suffix, goodput["endive"], "calls/s", std::min(400, 4 * percent),
                     goodput["naive"]);
        print_figure("p99" + suffix, p99["endive"], "ms", -1, p99["naive"]);
    }
}

void bench_faulty_endpoint(std::uint64_t seed) {
    const std::map<std::string, behaviour> kinds{{"slow", behaviour::slow},
                                                 {"silent", behaviour::silent},
                                                 {"cold", behaviour::cold},
                                                 {"flapping", behaviour::flapping},
                                                 {"lying", behaviour::lying}};
    for (const auto& [kind, fault] : kinds) {
        std::vector<std::unique_ptr<backend_server>> backends;
        std::vector<std::string> addresses;
        for (int i = 0; i < 4; ++i) {
            backends.push_back(std::make_unique<backend_server>(12, 2ms));
            addresses.push_back(backends.back()->address());
        }
        const running_proxy proxy{addresses, 12, seed};
        const naive_proxy naive{addresses};
        std::map<std::string, double> p99;
        std::map<std::string, double> failed;
        for (const auto& [name, port] :
             std::map<std::string, std::uint16_t>{{"endive", proxy.port()}, {"naive", naive.port()}}) {
            load_plan plan;
            plan.port = port;
            plan.calls_per_second = 300;
            plan.length = 200ms;
            plan.connections = 64;
            load_result healthy;
            run_load(plan, healthy);
            backends.front()->set_behaviour(fault);
            plan.length = 1200ms;
            plan.timeout_ms = 1000;
            load_result result;
            run_load(plan, result);
            backends.front()->set_behaviour(behaviour::good);
            p99[name] = to_ms(result.good.quantile(0.99));
            failed[name] = 100.0 * static_cast<double>(result.failed) / static_cast<double>(result.sent);
        }
        print_figure("one_" + kind + "_endpoint_p99", p99["endive"], "ms", -1, p99["naive"]);
        print_figure("one_" + kind + "_endpoint_failed", failed["endive"], "percent", -1, failed["naive"]);
    }
}

/// Chain of proxies and backend servers. Each backend server calls the next proxy; the last one always fails.
void bench_chain(std::uint64_t seed) {
    constexpr int depth = 26;
    constexpr int requests = 60;
    std::atomic<std::uint64_t> leaf_calls{0};
    std::atomic<bool> leaf_sheds{false};
    std::vector<std::unique_ptr<http_server>> servers;
    std::vector<std::unique_ptr<running_proxy>> proxies;
    servers.reserve(depth + 1);
    proxies.reserve(depth);
    const auto leaf = [&](const _u_request* /*request*/, _u_response* response) {
        ++leaf_calls;
        if (leaf_sheds) {
            u_map_put(response->map_header, "endive-outcome", "not-run");
        }
        ulfius_set_string_body_response(response, 503, "bad");
    };
    for (int i = 0; i < 2; ++i) {
        servers.push_back(std::make_unique<http_server>(leaf));
    }
    proxies.push_back(
        std::make_unique<running_proxy>(std::vector{servers[0]->address(), servers[1]->address()}, 12, seed));
    for (int i = 1; i < depth; ++i) {
        const auto next_port = proxies.back()->port();
        servers.push_back(
            std::make_unique<http_server>([next_port](const _u_request* request, _u_response* response) {
                std::string headers;
                for (const auto* name : {"endive-timeout-ms", "endive-depth", "endive-attempt"}) {
                    const auto* value = u_map_get_case(request->map_header, name);
                    headers += value == nullptr ? std::string{} : std::string{name} + ": " + value + "\r\n";
                }
                std::string head;
                simple_client client{next_port};
                const int status = client.get(headers, 3000, &head);
                if (head.find("endive-outcome: not-run") != std::string::npos) {
                    u_map_put(response->map_header, "endive-outcome", "not-run");
                }
                if (head.find("endive-reason: ") != std::string::npos) {
                    u_map_put(response->map_header, "endive-reason", "call_upstream_failed");
                }
                ulfius_set_string_body_response(response,
                                                status == 0 ? 502 : static_cast<unsigned int>(status), "x");
            }));
        proxies.push_back(std::make_unique<running_proxy>(std::vector{servers.back()->address()}, 12, seed));
    }
    // Shedding is measured first: failures eject one of the two endpoints, and shed calls could then not be
    // retried.
    for (const bool sheds : {true, false}) {
        leaf_sheds = sheds;
        leaf_calls = 0;
        simple_client client{proxies.back()->port()};
        const auto begin = std::chrono::steady_clock::now();
        for (int i = 0; i < requests; ++i) {
            (void)client.get("endive-timeout-ms: 3000\r\n", 5000);
        }
        const duration elapsed = std::chrono::steady_clock::now() - begin;
        const std::string kind = sheds ? "shedding" : "failing";
        print_figure("chain_26_" + kind + "_leaf_calls_per_request",
                     static_cast<double>(leaf_calls) / requests, "calls", 1.1);
        print_figure("chain_26_" + kind + "_leaf_time_per_request", to_ms(elapsed) / requests, "ms");
    }
}

void print_memory() {
    std::ifstream status{"/proc/self/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            print_figure("peak_memory_whole_bench", std::stod(line.substr(6)) / 1024.0, "MB");
        }
    }
}

} // namespace
} // namespace endive::bench

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const auto seed = absl::GetFlag(FLAGS_seed);
    endive::bench::bench_components(seed);
    endive::bench::bench_added_latency(seed);
    endive::bench::bench_overload(seed);
    endive::bench::bench_faulty_endpoint(seed);
    endive::bench::bench_chain(seed);
    endive::bench::print_memory();
    return 0;
}
