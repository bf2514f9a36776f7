#pragma once
/// Blocking HTTP client of the platform over a pool of libcurl handles.

#include "endive/platform.h"

#include <curl/curl.h>

namespace endive::platform {

enum class http_method { get, put, remove };

struct http_request {
    http_method method = http_method::get;
    std::string path; ///< encoded, starts with `/`
    std::vector<std::string> headers{};
    std::string body{};
};

struct http_response {
    long status = 0;
    std::string etag; ///< as received, with its quotes
    std::string body{};
};

/// Thread safe: each request uses a pooled handle exclusively.
class http_client {
public:
    http_client(const platform_settings& settings, counter_set& counters);

    /// Sends one request and returns a 2xx or 404 response. Throws `error` with a `platform_*` code; `key` is
    /// the location of the error.
    [[nodiscard]] http_response send(const http_request& request, const std::string& key);

private:
    struct curl_deleter {
        void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    };
    struct pooled_handle {
        std::unique_ptr<CURL, curl_deleter> curl;
        time_point last_response{};
        std::uint64_t generation = 0;
    };

    [[nodiscard]] pooled_handle acquire();
    void release(pooled_handle handle);
    [[nodiscard]] bool needs_fresh_connection(const pooled_handle& handle, const http_request& request) const;
    void prepare(const pooled_handle& handle, const http_request& request);
    [[noreturn]] void fail(result_code code, const std::string& reason, const std::string& key);

    platform_settings settings_;
    counter_set& counters_;
    std::mutex mutex_;
    std::vector<pooled_handle> idle_;
    // Incremented by each timeout. A handle with an older generation opens a new connection, because the
    // cause of one silent connection usually affects those opened before it as well.
    std::atomic<std::uint64_t> generation_{0};
};

/// Percent-encodes everything but unreserved characters and `/`.
[[nodiscard]] std::string encode_key(std::string_view key);

} // namespace endive::platform
