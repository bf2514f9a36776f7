// Cost of one control node in a fleet of 1,600 daemons, of its member table and of the overlay. The naive
// baseline is a fleet in which every daemon polls the table.

#include "bench_report.h"
#include "distribution/convergence_report.h"
#include "distribution/member_table.h"
#include "distribution/random_source.h"
#include "distribution/schedules.h"
#include "distribution/table_rows.h"
#include "endive/peers.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <algorithm>
#include <ctime>
#include <iostream>
#include <malloc.h>
#include <queue>
#include <set>

ABSL_FLAG(std::uint64_t, seed, 1, "seed of the random generator");

using namespace endive;
using namespace endive::distribution;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t fleet_size = 1600;
constexpr std::size_t service_count = 290;
constexpr std::size_t team_count = 10;
constexpr auto naive_poll_interval = 2.0; // seconds

void print(const std::string& metric, double value, const std::string& unit, const json& target = nullptr,
           const json& baseline = nullptr) {
    print_figure("distribution", metric, value, unit, target, baseline);
}

double cpu_seconds() {
    timespec time{};
    (void)clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

member_id address_of(std::size_t index) {
    return "10.0." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":7000";
}

member_record record_of(std::size_t index, std::uint64_t incarnation = 1) {
    member_record record;
    record.id = address_of(index);
    record.incarnation = incarnation;
    record.failure_domain = "domain-" + std::to_string(index % 5);
    record.region = "region-" + std::to_string(index % 2);
    model::endpoint_info endpoint;
    endpoint.address =
        "10.1." + std::to_string(index / 250) + "." + std::to_string(index % 250 + 1) + ":8080";
    endpoint.relay = record.id;
    endpoint.service = "service-" + std::to_string(index % service_count);
    endpoint.version = "v1";
    endpoint.failure_domain = record.failure_domain;
    endpoint.state = model::endpoint_state::serving;
    record.endpoints.push_back(endpoint);
    return record;
}

model::team_part part_of(std::size_t team, std::uint32_t slots) {
    model::team_part part;
    part.team = "team-" + std::to_string(team);
    part.organisation = "organisation " + std::to_string(team);
    part.failure_domains = {"domain-0"};
    part.regions = {{"region-0", {"domain-0"}}};
    for (std::size_t index = 100; index < 100 + service_count / team_count; ++index) {
        model::service service;
        service.name = part.team + "-service-" + std::to_string(index);
        service.team = part.team;
        service.failure_domains = {"domain-0"};
        service.releases = {{"v1"}};
        service.stable_version = "v1";
        service.slots = slots;
        part.services.push_back(service);
        model::route route;
        route.name = part.team + "-route-" + std::to_string(index);
        route.team = part.team;
        route.method = "GET";
        route.path_prefix = "/" + part.team + "/" + std::to_string(index);
        route.service = service.name;
        part.routes.push_back(route);
    }
    return part;
}

struct traffic {
    double cpu = 0;
    std::map<std::string, std::uint64_t> messages;
    std::uint64_t bytes_in = 0;
    std::uint64_t bytes_out = 0;
};

const char* type_name(const message& content) {
    static constexpr std::array names{"heartbeat",      "version_notice", "config_request", "config_chunk",
                                      "config_refusal", "state_request",  "state_answer",   "table_digests",
                                      "member_update",  "record_update",  "subtree_report", "fleet_totals"};
    return names.at(content.index());
}

/// One control node with peers, table and object store simulated by the benchmark. Received and sent messages
/// pass through the codec, whose CPU time is included.
class bench_node {
public:
    explicit bench_node(std::uint64_t seed) : node_{{address_of(0), "domain-0", "region-0", {}, 1000, seed}} {
        model::snapshot base;
        for (std::size_t team = 0; team < team_count; ++team) {
            base = model::merge_part(base, part_of(team, 12));
        }
        head = base;
    }

    void process(event input) {
        const auto before = cpu_seconds();
        auto actions = node_.handle(now, std::move(input));
        stats.cpu += cpu_seconds() - before;
        for (auto& item : actions) {
            execute(item);
        }
        while (!answers_.empty()) {
            auto answer = std::move(answers_.front());
            answers_.pop();
            process(std::move(answer));
        }
    }

    void receive(const member_id& from, const message& content) {
        const auto frame = peers::encode_frame(content);
        stats.bytes_in += frame.size();
        ++stats.messages[std::string{"in_"} + type_name(content)];
        const auto before = cpu_seconds();
        auto decoded = peers::decode_frame(std::string_view{frame}.substr(4));
        stats.cpu += cpu_seconds() - before;
        process(message_received{from, std::get<message>(std::move(decoded))});
    }

    /// Simulates one second in steps of 100 ms. All peers send heartbeats with equal digests, and `children`
    /// of them also reports with `vectors` evidence increments.
    void run_second(std::size_t children = 1, std::size_t vectors = 0) {
        for (int step = 0; step < 10; ++step) {
            now += 100ms;
            wall += 100ms;
            process(tick{wall});
        }
        for (const auto& id : node_.linked_members()) {
            auto peer_heartbeat = last_heartbeat_;
            peer_heartbeat.incarnation = 1;
            receive(id, peer_heartbeat);
        }
        subtree_report report{1, ++sequence_, {{head.version, 8}}, {}, {}};
        for (std::size_t route = 0; route < vectors; ++route) {
            report.evidence.push_back({"service/v1/route-" + std::to_string(route), {100, 1, 2, 3}});
        }
        for (std::size_t child = 0; child < std::min(children, node_.linked_members().size()); ++child) {
            receive(node_.linked_members().at(child), report);
        }
    }

    control_node& node() { return node_; }

    time_point now{1h};
    wall_time wall{24h};
    traffic stats;
    model::snapshot head;

private:
    void execute(action& item) {
        if (auto* sent = std::get_if<send_message>(&item)) {
            const auto before = cpu_seconds();
            const auto frame = peers::encode_frame(sent->content);
            stats.cpu += cpu_seconds() - before;
            stats.bytes_out += frame.size();
            ++stats.messages[std::string{"out_"} + type_name(sent->content)];
            if (const auto* sent_heartbeat = std::get_if<heartbeat>(&sent->content)) {
                last_heartbeat_ = *sent_heartbeat;
            }
        } else if (auto* dial = std::get_if<dial_member>(&item)) {
            answers_.push(link_up{dial->member, 1, true});
        } else if (auto* get = std::get_if<table_get>(&item)) {
            platform_result result;
            result.request_id = get->request_id;
            if (get->key == head_key) {
                const auto digest = model::digest(head);
                result.row = platform::row{
                    "head",
                    encode(head_row{head.version, snapshot_key(head.version, digest), digest, "w", {}}),
                    "e1"};
            }
            answers_.push(std::move(result));
        } else if (auto* object = std::get_if<object_get>(&item)) {
            platform_result result;
            result.request_id = object->request_id;
            result.object = model::encode(head);
            answers_.push(std::move(result));
        }
    }

    control_node node_;
    heartbeat last_heartbeat_;
    std::uint64_t sequence_ = 0;
    std::queue<event> answers_;
};

void bench_memory() {
    double first = 0;
    for (const std::size_t count : {100, 400, 800, 1600}) {
        const auto before = mallinfo2().uordblks;
        member_table table{record_of(0)};
        for (std::size_t index = 1; index < count; ++index) {
            (void)table.merge({}, record_of(index));
        }
        const auto bytes = static_cast<double>(mallinfo2().uordblks - before);
        print("member_table_bytes_" + std::to_string(count), bytes, "bytes");
        if (count == 100) {
            first = bytes;
        }
        if (count == fleet_size) {
            print("member_table_bytes_per_member", (bytes - first) / (fleet_size - 100), "bytes");
        }
    }
}

void bench_overlay() {
    std::vector<ring_entry> ring;
    for (std::size_t index = 0; index < fleet_size; ++index) {
        ring.push_back(ring_entry_of(address_of(index)));
    }
    std::sort(ring.begin(), ring.end());
    std::map<member_id, std::size_t> index_of;
    for (std::size_t at = 0; at < ring.size(); ++at) {
        index_of[ring[at].id] = at;
    }
    std::vector<overlay_view> views;
    std::size_t links = 0;
    std::size_t max_degree = 0;
    std::size_t chosen = 0;
    for (const auto& entry : ring) {
        views.push_back(compute_overlay(ring, entry));
        links += views.back().neighbours.size();
        max_degree = std::max(max_degree, views.back().neighbours.size());
        chosen = std::max(chosen, views.back().chosen.size());
    }
    std::vector<int> hops(ring.size(), -1);
    std::queue<std::size_t> frontier;
    hops[0] = 0;
    frontier.push(0);
    while (!frontier.empty()) {
        const auto at = frontier.front();
        frontier.pop();
        for (const auto& id : views[at].neighbours) {
            auto& hop = hops[index_of.at(id)];
            if (hop < 0) {
                hop = hops[at] + 1;
                frontier.push(index_of.at(id));
            }
        }
    }
    print("overlay_depth_1600", *std::ranges::max_element(hops), "hops");
    print("overlay_chosen_links_1600", static_cast<double>(chosen), "links", config::max_overlay_links);
    print("overlay_degree_mean_1600", static_cast<double>(links) / fleet_size, "links");
    print("overlay_degree_max_1600", static_cast<double>(max_degree), "links");
    ring.erase(ring.begin() + 10);
    std::size_t changed_parents = 0;
    for (const auto& entry : ring) {
        changed_parents += compute_overlay(ring, entry).parent != views[index_of.at(entry.id)].parent ? 1 : 0;
    }
    print("tree_parents_changed_by_one_departure", static_cast<double>(changed_parents), "daemons");
}

/// Brings the node to the steady state of a member of a complete fleet.
void reach_steady_state(bench_node& bench) {
    bench.process(tick{bench.wall});
    bench.process(link_up{address_of(1), 1, true});
    member_update all;
    for (std::size_t index = 1; index < fleet_size; ++index) {
        all.members.push_back(record_of(index));
    }
    for (std::size_t first = 0; first < all.members.size(); first += 64) {
        const auto begin = all.members.begin();
        const auto last = std::min(all.members.size(), first + 64);
        bench.receive(address_of(1), member_update{{begin + static_cast<std::ptrdiff_t>(first),
                                                    begin + static_cast<std::ptrdiff_t>(last)}});
    }
    for (int turn = 0; turn < 20; ++turn) {
        bench.run_second();
    }
}

double naive_bytes_per_second(const model::snapshot& head) {
    const head_row row{head.version, snapshot_key(head.version, 1), 1, "w", {}};
    return static_cast<double>(encode(row).size() + sizeof "GET /rows/head HTTP/1.1\r\n\r\n") /
           naive_poll_interval;
}

/// Steady state of a node with `children` in the report tree, each with `vectors` evidence increments per
/// second.
void bench_steady_state(bench_node& bench, const std::string& name, std::size_t children,
                        std::size_t vectors) {
    constexpr int seconds = 60;
    const auto reads_before = bench.node().stats().table_reads;
    bench.stats = {};
    for (int turn = 0; turn < seconds; ++turn) {
        bench.run_second(children, vectors);
    }
    const auto& stats = bench.stats;
    std::uint64_t messages = 0;
    for (const auto& [type, count] : stats.messages) {
        messages += count;
        auto metric = name;
        metric.append("_messages_per_second_").append(type);
        print(metric, static_cast<double>(count) / seconds, "1/s");
    }
    const auto naive = naive_bytes_per_second(bench.head);
    const auto total = static_cast<double>(stats.bytes_out + stats.bytes_in) / seconds;
    print(name + "_bytes_per_second_out", static_cast<double>(stats.bytes_out) / seconds, "bytes/s");
    print(name + "_bytes_per_second_in", static_cast<double>(stats.bytes_in) / seconds, "bytes/s");
    print(name + "_bytes_per_second", total, "bytes/s", 9000, naive);
    print(name + "_cpu_share_of_core", 100 * stats.cpu / seconds, "%", 4.5);
    print(name + "_cpu_per_message", 1e6 * stats.cpu / static_cast<double>(messages), "us");
    const auto reads = static_cast<double>(bench.node().stats().table_reads - reads_before) / seconds;
    print(name + "_table_reads_per_second", reads, "1/s", nullptr, 1 / naive_poll_interval);
}

void bench_change(bench_node& bench) {
    const auto old = bench.head;
    bench.head = model::merge_part(bench.head, part_of(3, 18));
    const auto digest = model::digest(bench.head);
    const auto delta = model::encode(model::make_delta(old, bench.head));
    bench.stats = {};
    for (const auto& id : bench.node().linked_members()) {
        bench.receive(id, version_notice{bench.head.version, digest});
    }
    bench.receive(bench.node().linked_members().front(),
                  config_chunk{bench.head.version, digest, old.version, 0, 1, delta});
    const auto full_size = static_cast<double>(model::encode(bench.head).size());
    print("change_applied", bench.node().config().version == bench.head.version ? 1 : 0, "bool", 1);
    print("change_bytes_in", static_cast<double>(bench.stats.bytes_in), "bytes", nullptr, full_size);
    print("change_bytes_out", static_cast<double>(bench.stats.bytes_out), "bytes");
    print("change_cpu", 1e3 * bench.stats.cpu, "ms");
}

/// 640 members fail and restart. Because of flooding, every change arrives on each link.
void bench_mass_restart(bench_node& bench) {
    constexpr std::size_t restarted = fleet_size * 4 / 10;
    const auto links = bench.node().linked_members();
    bench.stats = {};
    for (const auto state : {member_state::suspect, member_state::dead, member_state::alive}) {
        member_update update;
        for (std::size_t index = 1; index <= restarted; ++index) {
            auto record = record_of(index * 2, state == member_state::alive ? 2 : 1);
            record.state = state;
            update.members.push_back(record);
            if (update.members.size() == 16 || index == restarted) {
                for (const auto& id : links) {
                    bench.receive(id, update);
                }
                update.members.clear();
            }
        }
        for (int turn = 0; turn < 3; ++turn) {
            bench.run_second();
        }
    }
    print("mass_restart_cpu", bench.stats.cpu, "s", 9);
    print("mass_restart_cpu_share_of_core_over_9_s", 100 * bench.stats.cpu / 9, "%");
    print("mass_restart_bytes_in", static_cast<double>(bench.stats.bytes_in), "bytes");
    print("mass_restart_bytes_out", static_cast<double>(bench.stats.bytes_out), "bytes");
    print("mass_restart_live_members", static_cast<double>(bench.node().live_members()), "members",
          fleet_size);
}

} // namespace

int main(int argc, char** argv) {
    absl::ParseCommandLine(argc, argv);
    bench_memory();
    bench_overlay();
    const auto before = mallinfo2().uordblks;
    bench_node bench{absl::GetFlag(FLAGS_seed)};
    reach_steady_state(bench);
    print("control_node_bytes_1600", static_cast<double>(mallinfo2().uordblks - before), "bytes",
          64.0 * 1024 * 1024);
    print("links_of_one_node", static_cast<double>(bench.node().linked_members().size()), "links");
    const auto head_interval = std::chrono::duration<double>(head_poll_interval(fleet_size)).count();
    print("fleet_head_reads_per_second_computed", fleet_size / head_interval, "1/s", 5,
          fleet_size / naive_poll_interval);
    bench_steady_state(bench, "rest_mean_daemon", 1, 0);
    bench_steady_state(bench, "rest_inner_daemon", config::report_fanout, 0);
    bench_steady_state(bench, "evidence_mean_daemon", 1, 20);
    bench_steady_state(bench, "evidence_inner_daemon", config::report_fanout, 20);
    bench_change(bench);
    bench_mass_restart(bench);
    return 0;
}
