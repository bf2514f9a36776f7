#pragma once
/// Platform library: the transactional table and the object store, as interfaces and as HTTP clients.
///
/// Protocol: RFC 9110 conditional requests. Rows: `GET|PUT|DELETE /rows/<key>` with `ETag`, `If-Match` and
/// `If-None-Match: *`; `GET /rows?prefix=<prefix>` returns a JSON list of `{"key","value","etag"}`, so row
/// values are UTF-8 text. Objects: `GET|PUT /objects/<key>`. Keys are percent-encoded except for `/`. Status
/// 503 means that nothing was written.
///
/// Counters of the HTTP clients: `platform_reads`, `platform_writes`, `platform_connections_opened`, and
/// `platform_error_<kind>` with kind `unavailable`, `timeout`, `precondition_failed`, `bad_answer` and
/// `outcome_unknown`.

#include "endive/base.h"

#include <functional>

namespace endive::platform {

/// One row of the table. `etag` changes on each write.
struct row {
    std::string key;
    std::string value;
    std::string etag;
    friend auto operator<=>(const row&, const row&) = default;
};

/// A write's precondition: the row is absent, or still has this ETag.
struct precondition {
    std::optional<std::string> etag;
    static precondition absent() { return {}; }
    static precondition matches(std::string etag) { return {std::move(etag)}; }
    friend auto operator<=>(const precondition&, const precondition&) = default;
};

/// The transactional table. Implementations are thread safe and block the caller.
/// Errors: `platform_unavailable` (nothing was written), `platform_timeout` or `platform_outcome_unknown` (a
/// write may have taken effect), `platform_precondition_failed`, `platform_bad_answer`.
class table_store {
public:
    table_store() = default;
    table_store(const table_store&) = delete;
    table_store& operator=(const table_store&) = delete;
    virtual ~table_store() = default;
    /// Empty when the row is absent.
    [[nodiscard]] virtual std::optional<row> get(const std::string& key) = 0;
    [[nodiscard]] virtual std::vector<row> list(const std::string& prefix) = 0;
    /// Writes the row if the precondition holds; returns the new ETag.
    virtual std::string put(const std::string& key, const std::string& value,
                            const precondition& condition) = 0;
    /// Deletes the row if its ETag still matches.
    virtual void remove(const std::string& key, const std::string& etag) = 0;
};

/// The object store; objects are written once under names that contain their digest. Thread safe;
/// errors as for `table_store`.
class object_store {
public:
    object_store() = default;
    object_store(const object_store&) = delete;
    object_store& operator=(const object_store&) = delete;
    virtual ~object_store() = default;
    [[nodiscard]] virtual std::optional<std::string> get(const std::string& key) = 0;
    virtual void put(const std::string& key, const std::string& bytes) = 0;
};

/// Settings of the HTTP clients.
struct platform_settings {
    std::string address; ///< `IP:port`
    milliseconds timeout{1000};
    friend auto operator<=>(const platform_settings&, const platform_settings&) = default;
};

[[nodiscard]] std::unique_ptr<table_store> make_http_table(const platform_settings& settings,
                                                           counter_set& counters);
[[nodiscard]] std::unique_ptr<object_store> make_http_objects(const platform_settings& settings,
                                                              counter_set& counters);
/// In-process stores for tests and benchmarks.
[[nodiscard]] std::unique_ptr<table_store> make_memory_table();
[[nodiscard]] std::unique_ptr<object_store> make_memory_objects();

} // namespace endive::platform
