#include "ctl/daemon_client.h"

#include <cctype>

#include <curl/curl.h>

namespace endive::ctl {
namespace {

constexpr long connect_timeout_ms = 2000;
// A submit request completes only after writes to the platform's table and object store.
constexpr long response_timeout_ms = 15000;
constexpr std::size_t max_response_bytes = 64UL * 1024 * 1024;
constexpr long service_unavailable = 503;

struct http_result {
    bool responded = false; ///< a complete HTTP response was received
    bool sent = false;      ///< the connection was established, so the daemon may have received the request
    long status = 0;
    std::string body;
    std::string cause;
};

std::size_t append_body(char* data, std::size_t size, std::size_t count, void* target) {
    auto& body = *static_cast<std::string*>(target);
    if (body.size() + size * count > max_response_bytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

struct curl_deleter {
    void operator()(CURL* handle) const { curl_easy_cleanup(handle); }
    void operator()(curl_slist* list) const { curl_slist_free_all(list); }
};

using header_list = std::unique_ptr<curl_slist, curl_deleter>;

header_list make_headers(const api_request& request, const std::string& token) {
    header_list headers;
    const auto add = [&](const std::string& line) {
        headers.reset(curl_slist_append(headers.release(), line.c_str()));
    };
    add("Authorization: Bearer " + token);
    add("Expect:");
    add("Content-Type: application/json");
    for (const auto& [name, value] : request.headers) {
        std::string line = name;
        line += ": ";
        line += value;
        add(line);
    }
    return headers;
}

http_result send_request(const std::string& daemon, const api_request& request, const std::string& token) {
    const std::unique_ptr<CURL, curl_deleter> handle{curl_easy_init()};
    CURL* curl = handle.get();
    const auto headers = make_headers(request, token);
    const auto url = "http://" + daemon + request.path;
    http_result result;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, request.method.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());
    curl_easy_setopt(curl, CURLOPT_NOPROXY, "*");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, connect_timeout_ms);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, response_timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, append_body);
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &result.body);
    if (request.method == "POST") {
        curl_easy_setopt(curl, CURLOPT_POSTFIELDS, request.body.data());
        curl_easy_setopt(curl, CURLOPT_POSTFIELDSIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    }
    const auto outcome = curl_easy_perform(curl);
    result.responded = outcome == CURLE_OK;
    result.cause = curl_easy_strerror(outcome);
    curl_off_t connect_us = 0;
    curl_easy_getinfo(curl, CURLINFO_CONNECT_TIME_T, &connect_us);
    result.sent = connect_us > 0;
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &result.status);
    return result;
}

[[noreturn]] void throw_remote_error(const http_result& result, const std::string& daemon) {
    const auto body = json::parse(result.body, nullptr, false);
    const bool complete = body.is_object() && body.contains("code") && body["code"].is_number_unsigned() &&
                          body.contains("message") && body["message"].is_string();
    if (!complete) {
        throw error{result_code::internal,
                    "the daemon responded with HTTP status " + std::to_string(result.status) +
                        " and no valid error body",
                    daemon};
    }
    const auto place = body.value("place", json{});
    throw remote_error{static_cast<result_code>(body["code"].get<std::uint16_t>()),
                       body["message"].get<std::string>(),
                       place.is_string() ? place.get<std::string>() : std::string{}, body};
}

/// Returns true when the daemon reported that it does not know whether the request took effect.
bool is_outcome_unknown(const http_result& result) {
    const auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object() || !body.contains("code") || !body["code"].is_number_unsigned()) {
        return false;
    }
    const auto code = static_cast<result_code>(body["code"].get<std::uint16_t>());
    return code == result_code::platform_outcome_unknown || code == result_code::platform_timeout;
}

json parse_success(const http_result& result, const std::string& daemon) {
    auto body = json::parse(result.body, nullptr, false);
    if (!body.is_object()) {
        throw error{result_code::internal, "the daemon's response is not a JSON object", daemon};
    }
    return body;
}

} // namespace

json daemon_client::call(const api_request& request) {
    std::string causes;
    std::optional<http_result> unavailable;
    for (const auto& daemon : daemons_) {
        auto result = send_request(daemon, request, token_);
        const bool can_try_next = request.idempotent || !is_outcome_unknown(result);
        if (result.responded && result.status == service_unavailable && can_try_next) {
            unavailable = std::move(result);
            continue;
        }
        if (result.responded && result.status >= 200 && result.status < 300) {
            return parse_success(result, daemon);
        }
        if (result.responded) {
            throw_remote_error(result, daemon);
        }
        if (result.sent && !request.idempotent) {
            throw error{result_code::platform_outcome_unknown,
                        "the daemon did not respond (" + result.cause +
                            "); check the current state before retrying",
                        daemon};
        }
        causes += (causes.empty() ? "" : "; ") + daemon + ": " + result.cause;
    }
    if (unavailable) {
        throw_remote_error(*unavailable, "");
    }
    throw error{result_code::admin_unreachable, "no daemon responded: " + causes};
}

std::string encode_segment(std::string_view text) {
    constexpr std::string_view symbols = "0123456789ABCDEF";
    std::string encoded;
    for (const char c : text) {
        const auto byte = static_cast<unsigned char>(c);
        if (std::isalnum(byte) != 0 || c == '-' || c == '.' || c == '_') {
            encoded += c;
        } else {
            encoded += '%';
            encoded += symbols[byte / 16U];
            encoded += symbols[byte % 16U];
        }
    }
    return encoded;
}

} // namespace endive::ctl
