#pragma once
/// Base library: clock, result codes, errors, logging, counters, latency histogram, frames, stable hash and
/// validated settings.

#include "endive/result_codes.h"

#include <atomic>
#include <chrono>
#include <compare>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <stdexcept>
#include <string>
#include <string_view>
#include <vector>

#include <nlohmann/json.hpp>

namespace endive {

using json = nlohmann::json;
using time_point = std::chrono::steady_clock::time_point;
using wall_time = std::chrono::system_clock::time_point;
using duration = std::chrono::nanoseconds;
using milliseconds = std::chrono::milliseconds;

/// Program version, as printed by `--version`.
std::string_view version_text();

// ---- clock -----------------------------------------------------------------------------------------------

/// Source of the current time. Thread safe. State machines take time points as arguments and hold no clock.
class clock_source {
public:
    clock_source() = default;
    clock_source(const clock_source&) = delete;
    clock_source& operator=(const clock_source&) = delete;
    virtual ~clock_source() = default;

    /// Monotonic time, for intervals and timeouts.
    [[nodiscard]] virtual time_point now() const = 0;
    /// Wall time, for deadlines set by operators and for times stored in the platform's table.
    [[nodiscard]] virtual wall_time wall_now() const = 0;
};

/// The operating system's clock.
class system_clock_source final : public clock_source {
public:
    [[nodiscard]] time_point now() const override { return std::chrono::steady_clock::now(); }
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// The operating system's clock, which also counts the time for which the VM was suspended. What expires
/// after an interval has then expired when the VM resumes. Not for deadlines of functions that wait by the
/// steady clock.
class boot_clock_source final : public clock_source {
public:
    [[nodiscard]] time_point now() const override;
    [[nodiscard]] wall_time wall_now() const override { return std::chrono::system_clock::now(); }
};

/// A clock for tests that changes only through `advance`. Thread safe.
class manual_clock final : public clock_source {
public:
    explicit manual_clock(time_point start = time_point{std::chrono::hours{1}},
                          wall_time wall_start = wall_time{std::chrono::hours{24 * 365 * 56}})
        : start_{start}, wall_start_{wall_start} {}
    [[nodiscard]] time_point now() const override { return start_ + duration{elapsed_.load()}; }
    [[nodiscard]] wall_time wall_now() const override {
        return wall_start_ + std::chrono::duration_cast<wall_time::duration>(duration{elapsed_.load()});
    }
    /// Precondition: `by` is not negative.
    void advance(duration by) { elapsed_ += by.count(); }

private:
    time_point start_;
    wall_time wall_start_;
    std::atomic<duration::rep> elapsed_{0};
};

/// Milliseconds since the Unix epoch.
[[nodiscard]] std::int64_t to_unix_ms(wall_time time);
[[nodiscard]] wall_time from_unix_ms(std::int64_t ms);
/// Parses an RFC 3339 time such as `2026-12-05T05:30:00Z` or with an offset; empty when malformed.
[[nodiscard]] std::optional<wall_time> parse_rfc3339(std::string_view text);
/// Formats as RFC 3339 in UTC with millisecond resolution.
[[nodiscard]] std::string format_rfc3339(wall_time time);

// ---- errors ----------------------------------------------------------------------------------------------

/// An error with a numbered result code. `location` tells where: a JSON pointer, a settings
/// key or a row key; empty when there is none.
class error : public std::runtime_error {
public:
    error(result_code code, const std::string& message, std::string location = {})
        : std::runtime_error{message}, code_{code}, location_{std::move(location)} {}
    [[nodiscard]] result_code code() const noexcept { return code_; }
    [[nodiscard]] const std::string& location() const noexcept { return location_; }

private:
    result_code code_;
    std::string location_;
};

// ---- log -------------------------------------------------------------------------------------------------

enum class log_level { debug, info, warning, error };

/// Importance of a line when the rate limit does not allow all of them.
enum class log_importance : std::uint8_t { routine, refusal, lifecycle };

/// Rate limit for log lines, as a token bucket. Half of the budget is reserved for lines that are not
/// routine, a fifth for lifecycle lines. Not thread safe.
class log_budget {
public:
    explicit log_budget(double lines_per_second) : rate_{lines_per_second}, tokens_{lines_per_second} {}
    /// True when a line of this importance would be written.
    [[nodiscard]] bool has_room(log_importance importance, time_point now);
    /// Takes one line from the budget. When it is exhausted, counts the line as dropped and returns false.
    [[nodiscard]] bool take(log_importance importance, time_point now);
    /// Lines dropped since the last call.
    [[nodiscard]] std::uint64_t take_dropped();

private:
    double rate_;
    double tokens_;
    time_point last_{};
    std::uint64_t dropped_ = 0;
};

/// Destination and rate limit of a program's log.
struct log_output {
    int descriptor = 2;
    /// Lines per second; 0 for no limit. With a limit the descriptor is made non-blocking: lines that the
    /// reader does not accept in time are dropped and counted in a `log_dropped` event.
    double lines_per_second = 0;
};

/// Sets up logging as JSON lines. Call once from `main` before any other thread starts.
/// `process` is the `process` field of each line.
void configure_log(log_level minimum, std::string_view process, const log_output& output = {});

/// Writes one JSON line `{"time","level","process","event",...fields}`. Thread safe.
/// Precondition: `fields` is an object or null.
void log_event(log_level level, std::string_view event, const json& fields = {},
               log_importance importance = log_importance::lifecycle);
/// True when a routine line would be dropped, so that callers can skip formatting it. Thread safe.
[[nodiscard]] bool log_is_saturated();

// ---- counters --------------------------------------------------------------------------------------------

/// Named monotonic counters, sharded by name. Thread safe.
class counter_set {
public:
    /// Returns the counter `name`, created at 0 if absent; the reference is valid for the lifetime of the
    /// set.
    std::atomic<std::uint64_t>& at(std::string_view name);
    void add(std::string_view name, std::uint64_t by = 1) {
        at(name).fetch_add(by, std::memory_order_relaxed);
    }
    [[nodiscard]] std::uint64_t value(std::string_view name) const;
    /// All counters, sorted by name.
    [[nodiscard]] std::map<std::string, std::uint64_t> values() const;

private:
    static constexpr std::size_t shard_count = 16;
    struct shard {
        mutable std::mutex mutex;
        std::map<std::string, std::atomic<std::uint64_t>, std::less<>> counters;
    };
    [[nodiscard]] static std::size_t shard_of(std::string_view name);
    shard shards_[shard_count];
};

// ---- latency histogram -----------------------------------------------------------------------------------

/// Latency histogram with logarithmic bins from 1 microsecond to 1000 seconds (Boost.Histogram), relative
/// resolution about 2%. Thread safe.
class latency_histogram {
public:
    latency_histogram();
    latency_histogram(const latency_histogram&) = delete;
    latency_histogram& operator=(const latency_histogram&) = delete;
    ~latency_histogram();

    void record(duration value);
    /// Adds the samples of `other`.
    void merge(const latency_histogram& other);
    /// Upper bound of the bin that holds quantile `q`; zero when empty. Precondition: 0 <= q <= 1.
    [[nodiscard]] duration quantile(double q) const;
    [[nodiscard]] std::uint64_t count() const;
    [[nodiscard]] duration max() const;

private:
    struct state;
    std::unique_ptr<state> state_;
};

// ---- frames -----------------------------------------------------------------------------------------------

/// Size of the little-endian length prefix of each frame.
inline constexpr std::size_t frame_length_bytes = 4;

/// Returns `payload` with its length prefix. Precondition: its size fits in 32 bits. Thread safe.
[[nodiscard]] std::string make_frame(std::string_view payload);

/// Splits a byte stream into frames. Not thread safe.
class frame_decoder {
public:
    explicit frame_decoder(std::size_t max_frame_bytes) : max_frame_bytes_{max_frame_bytes} {}
    void feed(std::string_view bytes);
    /// Returns the next complete frame without its length prefix; empty when more bytes are needed. The view
    /// is valid until the next call of `feed` or `next`. Throws `error` with `peer_frame_too_large` or
    /// `peer_frame_malformed` (length 0); the decoder must not be used after that.
    [[nodiscard]] std::optional<std::string_view> next();
    [[nodiscard]] std::size_t buffered() const { return buffer_.size() - start_; }
    /// Releases the memory of a large buffer when all its frames have been returned; their views become
    /// invalid.
    void release_consumed();

private:
    std::size_t max_frame_bytes_;
    std::string buffer_;
    std::size_t start_ = 0;
};

// ---- hash ------------------------------------------------------------------------------------------------

/// XXH64; the value is the same on all machines and in all releases.
[[nodiscard]] std::uint64_t stable_hash(std::string_view bytes, std::uint64_t seed = 0);
/// 16 lower-case hexadecimal digits.
[[nodiscard]] std::string to_hex(std::uint64_t value);

// ---- settings --------------------------------------------------------------------------------------------

/// Reads and validates the keys of a JSON settings object. Throws `error` with a `settings_*` code, the key
/// as location, and a message with the value and the allowed values. Not thread safe.
class settings_reader {
public:
    /// Reads and parses `path`. Throws when the file is absent, too large or not a JSON object.
    static settings_reader from_file(const std::string& path);
    explicit settings_reader(json object, std::string prefix = {});

    [[nodiscard]] bool has(const std::string& key) const { return object_.contains(key); }
    [[nodiscard]] std::string required_string(const std::string& key);
    [[nodiscard]] std::string optional_string(const std::string& key, const std::string& fallback);
    /// A string that may be empty; empty when the key is absent.
    [[nodiscard]] std::string optional_text(const std::string& key);
    [[nodiscard]] std::int64_t optional_integer(const std::string& key, std::int64_t fallback,
                                                std::int64_t minimum, std::int64_t maximum);
    [[nodiscard]] std::int64_t required_integer(const std::string& key, std::int64_t minimum,
                                                std::int64_t maximum);
    [[nodiscard]] double optional_number(const std::string& key, double fallback, double minimum,
                                         double maximum);
    [[nodiscard]] bool optional_boolean(const std::string& key, bool fallback);
    [[nodiscard]] std::vector<std::string> optional_strings(const std::string& key);
    /// An object with string values, such as tokens by team; empty when the key is absent.
    [[nodiscard]] std::map<std::string, std::string> optional_string_map(const std::string& key);
    /// An `IP:port` address.
    [[nodiscard]] std::string required_address(const std::string& key);
    [[nodiscard]] std::string optional_address(const std::string& key, const std::string& fallback);
    /// Throws when the object has a key that no earlier call has read.
    void reject_unknown_keys() const;

private:
    [[nodiscard]] const json* find(const std::string& key);
    [[nodiscard]] std::string location_of(const std::string& key) const;
    json object_;
    std::string prefix_;
    std::set<std::string> read_keys_;
};

/// True when `a` and `b` are equal, ignoring the case of ASCII letters. Thread safe.
[[nodiscard]] bool equal_ignoring_case(std::string_view a, std::string_view b);
/// True when the comma-separated `list` contains `item`, ignoring case and surrounding spaces. Thread
/// safe.
[[nodiscard]] bool is_listed(std::string_view list, std::string_view item);

/// An IPv4 address and a port.
struct socket_address {
    std::string host;
    std::uint16_t port = 0;
    friend auto operator<=>(const socket_address&, const socket_address&) = default;
};

/// Parses `a.b.c.d:port`; empty when malformed or when the port is 0.
[[nodiscard]] std::optional<socket_address> parse_address(std::string_view text);
[[nodiscard]] std::string to_string(const socket_address& address);

} // namespace endive
