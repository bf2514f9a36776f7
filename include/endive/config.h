#pragma once
/// All compile-time limits and default tunables of the project.

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace endive::config {

using namespace std::chrono_literals;

// Questionnaire and snapshot sizes.
inline constexpr std::size_t max_questionnaire_bytes = 4UL * 1024 * 1024;
inline constexpr std::size_t max_json_depth = 32;
inline constexpr std::size_t max_services = 4096;
inline constexpr std::size_t max_routes = 8192;
inline constexpr std::size_t max_endpoints_per_service = 2048;
inline constexpr std::size_t max_name_length = 63;
inline constexpr std::size_t max_text_length = 200;
inline constexpr std::size_t max_path_prefix_length = 512;
inline constexpr std::size_t max_regions = 16;
inline constexpr std::size_t max_failure_domains = 64;
inline constexpr std::size_t max_releases_per_service = 64;
inline constexpr std::size_t max_moves = 4096;
inline constexpr std::uint32_t max_slots = 4096;
inline constexpr std::uint32_t max_connections = 65535;
inline constexpr std::uint32_t max_timeout_ms = 600'000;
inline constexpr std::uint32_t max_priority = 3;

// Peer links.
inline constexpr std::size_t max_frame_bytes = 1024UL * 1024;
inline constexpr std::size_t snapshot_chunk_bytes = 64UL * 1024;
inline constexpr std::size_t max_overlay_links = 12;
inline constexpr std::size_t max_link_queue_messages = 256;
// Bounds the memory that a slow peer occupies, whatever the size of its messages.
inline constexpr std::size_t max_link_queue_bytes = 8UL * 1024 * 1024;
inline constexpr auto heartbeat_interval = 1000ms;
// A silent member becomes suspect after `suspect_timeout`, and dead after a further `dead_timeout`.
inline constexpr auto suspect_timeout = 3000ms;
inline constexpr auto dead_timeout = 3000ms;
// A longer gap between two ticks means that the process was paused and its leases may have expired.
inline constexpr auto pause_threshold = 2000ms;

// Distribution.
inline constexpr std::size_t report_fanout = 8;
inline constexpr std::size_t max_reported_laggards = 16;
inline constexpr std::size_t max_snapshot_transfers = 4;
inline constexpr auto min_head_poll_interval = 2000ms;
inline constexpr double fleet_head_reads_per_second = 5.0;
inline constexpr auto lease_duration = 10s;
inline constexpr auto rendezvous_refresh = 20s;
inline constexpr auto rendezvous_expiry = 60s;
inline constexpr std::size_t rendezvous_rows_per_domain = 4;
inline constexpr auto control_tick_interval = 100ms;
// A platform request without a response times out after this time; the HTTP client's own timeout is shorter.
inline constexpr auto platform_request_timeout = 5000ms;
inline constexpr auto submit_timeout = 20s;
// A holder stops this long before its lease ends and a successor waits this long after the end, which
// tolerates a clock difference of twice this margin.
inline constexpr auto lease_clock_margin = 1000ms;
// Tombstones of dead members outlive every message about them that is still in transit.
inline constexpr auto dead_member_retention = 600s;
inline constexpr std::size_t max_members = 8192;
inline constexpr std::size_t max_endpoints_per_member = 64;
inline constexpr std::size_t digest_buckets = 64;
inline constexpr std::size_t max_records = 8192;
inline constexpr std::size_t max_record_key_bytes = 512;
inline constexpr std::size_t max_record_payload_bytes = 16UL * 1024;
inline constexpr std::size_t max_config_bytes = 32UL * 1024 * 1024;
// Versions retained as bases of deltas; a peer that is further behind receives the whole snapshot.
inline constexpr std::size_t max_delta_versions = 4;
// Write ids kept in the head row; idempotency keys older than this many accepted changes expire.
inline constexpr std::size_t max_head_write_ids = 128;

// Calls.
inline constexpr std::size_t max_body_bytes = 64UL * 1024 * 1024;
inline constexpr std::size_t max_header_bytes = 32UL * 1024;
inline constexpr std::size_t max_call_depth = 32;
inline constexpr auto default_call_timeout = 5000ms;
inline constexpr auto connect_timeout = 250ms;
inline constexpr auto silent_connection_timeout = 2000ms;
inline constexpr auto fresh_connection_age = 1000ms;
inline constexpr double retry_budget_ratio = 0.1;
inline constexpr double max_ejected_ratio = 0.5;
inline constexpr double usable_connection_ratio = 0.9;

// Administration API.
// Each connection may hold a questionnaire of 4 MiB before its token is checked.
inline constexpr std::uint32_t max_admin_connections = 32;
inline constexpr auto admin_idle_timeout = 30s;
// Longest wait for requests in flight when the administration server stops.
inline constexpr auto admin_stop_timeout = 10s;
inline constexpr std::size_t max_admin_body_bytes = 16UL * 1024;
inline constexpr std::size_t max_idempotency_key_length = 128;
inline constexpr std::size_t default_history_entries = 50;
inline constexpr std::size_t max_history_entries = 1000;

// Platform client.
// Handles kept for reuse by each store; a burst above this number opens temporary handles.
inline constexpr std::size_t max_idle_platform_handles = 16;
inline constexpr std::size_t max_platform_response_bytes = 64UL * 1024 * 1024;

// Moves.
// An attempt on a new connection counts as slow only when it exceeds the old version's p90 by both this
// factor and this margin: at a canary share most requests open a connection, and set-up, accept and thread
// start take milliseconds under load.
inline constexpr double new_connection_slow_factor = 3.0;
inline constexpr auto new_connection_slow_margin = 10ms;
inline constexpr double canary_share = 0.01;
inline constexpr double canary_share_non_idempotent = 0.005;
// Time after 100% in which the old version stays warm and a take-back is still possible. Faults that begin
// minutes after the start of a version are detected only during this time.
inline constexpr auto move_watch_duration = 300s;
// During the watch this share of the idempotent requests stays on the old version as a control group, which
// distinguishes load bursts from faults. It ends `watch_control_margin` before the deadline at the latest.
inline constexpr double watch_control_share = 0.02;
inline constexpr auto watch_control_margin = 30s;
// Delay before a hold is reviewed on fleet evidence: reports cross up to four levels of the report tree.
inline constexpr auto hold_review_delay = 3000ms;
// After this time without a result, the row is read back to resolve the write.
inline constexpr auto move_write_timeout = 5000ms;
inline constexpr auto move_write_retry_delay = 2000ms;
// No decision starts within this time before the lease ends, so that a decision in flight completes within
// it.
inline constexpr auto lease_safety_margin = 1000ms;
inline constexpr std::size_t max_move_history = 64;

} // namespace endive::config
