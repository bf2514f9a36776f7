#pragma once
/// Runs the attempts of one call: the first attempt, its hedge and its retries.

#include "callers/reply.h"
#include "callers/service_runtime.h"

namespace endive::callers {

/// Objects shared by all calls.
struct call_environment {
    const clock_source& clock;
    counter_set& counters;
    observer& observations;
    backends::http_pool& direct;
    backends::transport* relay = nullptr; ///< for endpoints whose connection share is below 2; may be null
    bool hedging = true;
    std::size_t stream_threshold = 64UL * 1024; ///< larger responses are streamed
};

/// One call and the data common to its attempts.
struct call_context {
    const caller_request* request = nullptr;
    std::shared_ptr<service_runtime> service;
    std::string service_name;
    std::string route;
    bool idempotent = true;
    std::uint32_t live_daemons = 1;
    calls::call_headers headers;
    time_point deadline;
};

/// Result of the attempts. `reply` holds a response if and only if `code` is `ok`.
struct call_end {
    result_code code = result_code::ok;
    calls::execution executed = calls::execution::ran;
    caller_reply reply;
    bool streamed = false;
};

/// Used only by the thread that serves the call.
class call_runner {
public:
    call_runner(call_environment& environment, call_context context)
        : environment_{environment}, context_{std::move(context)} {}
    [[nodiscard]] call_end run(reservation first);

private:
    struct attempt {
        reservation slot;
        std::unique_ptr<backends::exchange> exchange;
        time_point began;
        bool hedge = false;
    };
    struct attempt_end {
        calls::attempt_class verdict;
        calls::attempt_result result;
    };
    class response_stream;

    [[nodiscard]] std::unique_ptr<attempt> start(reservation slot, bool fresh, bool hedge);
    [[nodiscard]] backends::backend_request make_request(bool fresh) const;
    [[nodiscard]] std::unique_ptr<attempt> drive(std::unique_ptr<attempt> primary, bool& decided);
    [[nodiscard]] std::unique_ptr<attempt> start_hedge(const attempt& primary);
    [[nodiscard]] std::unique_ptr<attempt> reserve_retry(const attempt& failed, const attempt_end& end);
    [[nodiscard]] bool is_decided(const attempt& candidate) const;
    [[nodiscard]] bool caller_disconnected();
    void cancel_loser(attempt& loser, const attempt& winner);
    attempt_end finish(attempt& ended);
    void observe(const attempt& ended, model::call_outcome outcome, duration latency);
    [[nodiscard]] call_end make_end(std::unique_ptr<attempt> winner);
    [[nodiscard]] duration time_until(time_point when) const;

    call_environment& environment_;
    call_context context_;
    std::vector<std::string> tried_;
    std::uint32_t attempts_ = 0;
    bool hedged_ = false;
    bool watch_caller_ = true;
    bool cancelled_ = false;
};

} // namespace endive::callers
