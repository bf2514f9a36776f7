// Throughput and latency of reads and writes through the HTTP clients of the platform, against an in-process
// server with the in-memory stores. The baseline opens a new connection for each request.

#include "../tools/stand_in/common/http_server.h"
#include "bench_report.h"
#include "endive/platform.h"

#include <functional>
#include <iostream>
#include <random>
#include <thread>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the keys and values");

namespace {

using namespace endive;
using namespace endive::platform;
using namespace std::chrono_literals;
using bench_clock = std::chrono::steady_clock;

constexpr std::size_t row_count = 1000;
constexpr std::size_t value_bytes = 300;
constexpr std::size_t object_bytes = 256UL * 1024;
constexpr std::size_t thread_count = 8;
constexpr auto measure_time = 1500ms;
// Throughput of the whole platform (section 1.5 of the design page); a single client must not limit it.
constexpr double target_reads_per_second = 2000;
constexpr double target_writes_per_second = 300;

/// Server with the part of the platform's protocol that the benchmark uses, over the in-memory stores.
class bench_platform {
public:
    bench_platform() : server_{0, [this](const stand_in::request& incoming) { return handle(incoming); }} {}
    [[nodiscard]] std::string address() const { return "127.0.0.1:" + std::to_string(server_.port()); }

private:
    stand_in::reply handle(const stand_in::request& incoming) {
        const auto path = incoming.path();
        const bool is_write = incoming.method() == "PUT";
        if (path.starts_with("/objects/")) {
            const auto key = path.substr(9);
            return is_write ? put_object(key, incoming.body()) : get_object(key);
        }
        const auto key = path.substr(6);
        return is_write ? put_row(key, incoming) : get_row(key);
    }
    stand_in::reply put_object(const std::string& key, const std::string& bytes) {
        objects_->put(key, bytes);
        return {201};
    }
    stand_in::reply get_object(const std::string& key) { return {200, objects_->get(key).value_or("")}; }
    stand_in::reply put_row(const std::string& key, const stand_in::request& incoming) {
        const auto etag = incoming.header("If-Match");
        const auto condition = etag.empty() ? precondition::absent() : precondition::matches(etag);
        return {200, "", {{"ETag", table_->put(key, incoming.body(), condition)}}};
    }
    stand_in::reply get_row(const std::string& key) {
        const auto found = table_->get(key);
        return found ? stand_in::reply{200, found->value, {{"ETag", found->etag}}} : stand_in::reply{404};
    }
    std::unique_ptr<table_store> table_ = make_memory_table();
    std::unique_ptr<object_store> objects_ = make_memory_objects();
    stand_in::http_server server_;
};

struct measurement {
    latency_histogram latency;
    double per_second = 0;
};

/// Repeats `step` on each thread for `measure_time`. `step` receives the thread's index and a random number.
void measure(measurement& result, std::size_t threads,
             const std::function<void(std::size_t, std::uint64_t)>& step) {
    const auto start = bench_clock::now();
    std::vector<std::thread> workers;
    for (std::size_t id = 0; id < threads; ++id) {
        workers.emplace_back([&, id] {
            std::mt19937_64 random{absl::GetFlag(FLAGS_seed) + id};
            while (bench_clock::now() - start < measure_time) {
                const auto before = bench_clock::now();
                step(id, random());
                result.latency.record(bench_clock::now() - before);
            }
        });
    }
    for (auto& worker : workers) {
        worker.join();
    }
    const std::chrono::duration<double> elapsed = bench_clock::now() - start;
    result.per_second = static_cast<double>(result.latency.count()) / elapsed.count();
}

void print(const std::string& metric, double value, const std::string& unit, const json& target,
           const json& baseline) {
    print_figure("platform", metric, value, unit, target, baseline);
}

double ms(duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

/// Prints rate and latency of one kind of request; the baseline uses a new connection for each request.
void print_all(const std::string& name, const measurement& pooled, const measurement& unpooled,
               const json& target) {
    print(name + "_per_second", pooled.per_second, "1/s", target, unpooled.per_second);
    print(name + "_p50", ms(pooled.latency.quantile(0.5)), "ms", nullptr, ms(unpooled.latency.quantile(0.5)));
    print(name + "_p99", ms(pooled.latency.quantile(0.99)), "ms", nullptr,
          ms(unpooled.latency.quantile(0.99)));
}

std::string key_of(std::uint64_t number) {
    return "row/" + std::to_string(number % row_count);
}

void bench_reads(const std::string& address, table_store& table, counter_set& counters, std::size_t threads,
                 const json& target) {
    measurement pooled;
    measure(pooled, threads, [&](std::size_t, std::uint64_t number) { (void)table.get(key_of(number)); });
    measurement unpooled;
    measure(unpooled, threads, [&](std::size_t, std::uint64_t number) {
        (void)make_http_table({address}, counters)->get(key_of(number));
    });
    print_all("reads_" + std::to_string(threads) + "_threads", pooled, unpooled, target);
}

void bench_writes(const std::string& address, table_store& table, counter_set& counters, std::size_t threads,
                  const json& target) {
    const std::string value(value_bytes, 'w');
    std::vector<std::string> etags(threads);
    const auto write = [&](table_store& store, std::size_t id) {
        const auto condition = etags[id].empty() ? precondition::absent() : precondition::matches(etags[id]);
        const auto key = "written/" + std::to_string(threads) + "/" + std::to_string(id);
        etags[id] = store.put(key, value, condition);
    };
    measurement pooled;
    measure(pooled, threads, [&](std::size_t id, std::uint64_t) { write(table, id); });
    measurement unpooled;
    measure(unpooled, threads,
            [&](std::size_t id, std::uint64_t) { write(*make_http_table({address}, counters), id); });
    print_all("writes_" + std::to_string(threads) + "_threads", pooled, unpooled, target);
}

void bench_objects(const std::string& address, counter_set& counters) {
    const auto objects = make_http_objects({address}, counters);
    const std::string bytes(object_bytes, 'o');
    measurement puts;
    measure(puts, 1, [&](std::size_t, std::uint64_t number) { objects->put(key_of(number % 8), bytes); });
    print("object_put_256k_p50", ms(puts.latency.quantile(0.5)), "ms", nullptr, nullptr);
    measurement gets;
    measure(gets, 1, [&](std::size_t, std::uint64_t number) { (void)objects->get(key_of(number % 8)); });
    print("object_get_256k_p50", ms(gets.latency.quantile(0.5)), "ms", nullptr, nullptr);
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    const bench_platform server;
    counter_set counters;
    const auto table = make_http_table({server.address()}, counters);
    for (std::size_t number = 0; number < row_count; ++number) {
        (void)table->put(key_of(number), std::string(value_bytes, 'v'), precondition::absent());
    }
    bench_reads(server.address(), *table, counters, 1, nullptr);
    bench_reads(server.address(), *table, counters, thread_count, target_reads_per_second);
    bench_writes(server.address(), *table, counters, 1, nullptr);
    bench_writes(server.address(), *table, counters, thread_count, target_writes_per_second);
    bench_objects(server.address(), counters);
    for (const auto& [name, count] : counters.values()) {
        if (name.starts_with("platform_error")) {
            std::cerr << name << " " << count << "\n";
            return 1;
        }
    }
    return 0;
}
