#pragma once
/// Processes submissions: reads the head row, merges the team's part, validates the result, puts the snapshot
/// object and writes the head row conditionally.

#include "distribution/config_store.h"
#include "distribution/platform_calls.h"
#include "distribution/random_source.h"
#include "distribution/table_rows.h"

#include <deque>

namespace endive::distribution {

/// A version that was accepted through a submission to this daemon.
struct accepted_version {
    model::snapshot snapshot;
    std::uint64_t digest = 0;
};

struct acceptance_output {
    std::vector<submit_finished> finished;
    std::optional<accepted_version> accepted;
    std::optional<head_row> observed_head;
};

/// Handles one submission at a time, in order of arrival. The outcome of a write whose answer was lost is
/// determined by reading the head row back: the row lists the write ids of recent changes, so the outcome is
/// known even when another change followed.
class acceptance {
public:
    acceptance(random_source& random, member_id writer) : random_{random}, writer_{std::move(writer)} {}

    void submit(time_point now, submit_request request);
    /// Starts the next step when it is due.
    void step(time_point now, platform_calls& calls, acceptance_output& output);
    void on_result(time_point now, const platform_result& result, const config_store& store,
                   platform_calls& calls, acceptance_output& output);
    [[nodiscard]] bool idle() const { return queue_.empty(); }

private:
    enum class phase : std::uint8_t { start, reading_head, reading_base, putting_object, writing_head };
    struct submission {
        submit_request request;
        std::string write_id;
        std::uint64_t request_digest = 0;
        time_point deadline;
    };

    void on_head(time_point now, const platform_result& result, const config_store& store,
                 platform_calls& calls, acceptance_output& output);
    void on_base(time_point now, const platform_result& result, platform_calls& calls,
                 acceptance_output& output);
    void on_object(time_point now, const platform_result& result, platform_calls& calls,
                   acceptance_output& output);
    void on_write(time_point now, const platform_result& result, acceptance_output& output);
    [[nodiscard]] bool resolve_from_head(const head_row& head, acceptance_output& output);
    void merge(time_point now, const model::snapshot& base, platform_calls& calls, acceptance_output& output);
    void write_head(time_point now, platform_calls& calls);
    void retry(time_point now, result_code code, const std::string& text, acceptance_output& output);
    void finish(submit_finished outcome, acceptance_output& output);
    void fail(result_code code, std::string text, acceptance_output& output);

    random_source& random_;
    member_id writer_;
    std::deque<submission> queue_;
    phase phase_ = phase::start;
    time_point next_step_;
    backoff backoff_{std::chrono::milliseconds{100}, std::chrono::seconds{2}};
    bool write_outcome_unknown_ = false; ///< a head write of this submission may have taken effect
    head_row head_;
    std::optional<std::string> head_etag_; ///< empty: the row is absent
    model::snapshot merged_;
    std::uint64_t merged_digest_ = 0;
    std::uint64_t writes_ = 0;
};

/// Digest that detects an idempotency key reused with a different request.
[[nodiscard]] std::uint64_t request_digest_of(const submit_request& request);

} // namespace endive::distribution
