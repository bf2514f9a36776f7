#include "platform/http_client.h"

#include "endive/config.h"
#include "platform/outcome.h"

#include <cctype>
#include <cstring>

namespace endive::platform {
namespace {

/// Response and request body of one transfer, as seen by the callbacks of libcurl.
struct transfer {
    http_response response;
    std::string_view unsent_body;
};

size_t on_body(char* data, size_t size, size_t count, void* context) {
    auto& body = static_cast<transfer*>(context)->response.body;
    if (body.size() + size * count > config::max_platform_response_bytes) {
        return 0;
    }
    body.append(data, size * count);
    return size * count;
}

size_t on_header(char* data, size_t size, size_t count, void* context) {
    constexpr std::string_view name = "etag:";
    std::string_view line{data, size * count};
    if (line.size() <= name.size() || strncasecmp(line.data(), name.data(), name.size()) != 0) {
        return size * count;
    }
    line.remove_prefix(name.size());
    const auto first = line.find_first_not_of(" \t");
    const auto last = line.find_last_not_of(" \t\r\n");
    if (first != std::string_view::npos) {
        static_cast<transfer*>(context)->response.etag = line.substr(first, last - first + 1);
    }
    return size * count;
}

size_t on_read(char* buffer, size_t size, size_t count, void* context) {
    auto& unsent_body = static_cast<transfer*>(context)->unsent_body;
    const auto length = std::min(size * count, unsent_body.size());
    std::memcpy(buffer, unsent_body.data(), length);
    unsent_body.remove_prefix(length);
    return length;
}

/// libcurl automatically repeats a request when a reused connection closes without a response. The first
/// attempt may have taken effect, so a write must not be repeated; refusing to rewind the body prevents that.
int refuse_rewind(void* /*context*/, curl_off_t /*offset*/, int /*origin*/) {
    return CURL_SEEKFUNC_FAIL;
}

class header_list {
public:
    void add(const std::string& line) { list_ = curl_slist_append(list_, line.c_str()); }
    header_list() = default;
    header_list(const header_list&) = delete;
    header_list& operator=(const header_list&) = delete;
    ~header_list() { curl_slist_free_all(list_); }
    [[nodiscard]] curl_slist* get() const { return list_; }

private:
    curl_slist* list_ = nullptr;
};

void set_method(CURL* curl, const http_request& request) {
    if (request.method == http_method::put) {
        curl_easy_setopt(curl, CURLOPT_UPLOAD, 1L);
        curl_easy_setopt(curl, CURLOPT_READFUNCTION, on_read);
        curl_easy_setopt(curl, CURLOPT_SEEKFUNCTION, refuse_rewind);
        curl_easy_setopt(curl, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(request.body.size()));
    } else if (request.method == http_method::remove) {
        curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "DELETE");
    } else {
        curl_easy_setopt(curl, CURLOPT_HTTPGET, 1L);
    }
}

transfer_result get_transfer_result(CURL* curl, CURLcode result, bool is_write) {
    transfer_result end{.curl_result = result, .is_write = is_write};
    long request_bytes = 0;
    curl_easy_getinfo(curl, CURLINFO_REQUEST_SIZE, &request_bytes);
    curl_easy_getinfo(curl, CURLINFO_RESPONSE_CODE, &end.status);
    end.request_sent = request_bytes > 0;
    return end;
}

} // namespace

std::string encode_key(std::string_view key) {
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    std::string text;
    for (const char character : key) {
        const auto byte = static_cast<unsigned char>(character);
        if (std::isalnum(byte) != 0 || std::strchr("-._~/", character) != nullptr) {
            text += character;
            continue;
        }
        text += '%';
        text += hex_digits[byte >> 4];
        text += hex_digits[byte & 0xF];
    }
    return text;
}

http_client::http_client(const platform_settings& settings, counter_set& counters)
    : settings_{settings}, counters_{counters} {
    static std::once_flag initialized;
    std::call_once(initialized, [] { curl_global_init(CURL_GLOBAL_DEFAULT); });
}

http_client::pooled_handle http_client::acquire() {
    const std::lock_guard lock{mutex_};
    if (!idle_.empty()) {
        auto handle = std::move(idle_.back());
        idle_.pop_back();
        return handle;
    }
    return {.curl = std::unique_ptr<CURL, curl_deleter>{curl_easy_init()}, .generation = generation_.load()};
}

void http_client::release(pooled_handle handle) {
    const std::lock_guard lock{mutex_};
    if (idle_.size() < config::max_idle_platform_handles) {
        idle_.push_back(std::move(handle));
    }
}

bool http_client::needs_fresh_connection(const pooled_handle& handle, const http_request& request) const {
    const auto idle = std::chrono::steady_clock::now() - handle.last_response;
    if (handle.generation != generation_.load() || idle > config::silent_connection_timeout) {
        return true;
    }
    if (request.method == http_method::get) {
        return false;
    }
    // Without a body, libcurl has nothing to rewind and would repeat the write on a new connection.
    return request.body.empty() || idle > config::fresh_connection_age;
}

void http_client::prepare(const pooled_handle& handle, const http_request& request) {
    CURL* curl = handle.curl.get();
    curl_easy_reset(curl);
    set_method(curl, request);
    const auto url = "http://" + settings_.address + request.path;
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TCP_NODELAY, 1L);
    curl_easy_setopt(curl, CURLOPT_MAXCONNECTS, 1L);
    const auto connect_timeout = std::min<milliseconds>(config::connect_timeout, settings_.timeout);
    curl_easy_setopt(curl, CURLOPT_CONNECTTIMEOUT_MS, static_cast<long>(connect_timeout.count()));
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, static_cast<long>(settings_.timeout.count()));
    curl_easy_setopt(curl, CURLOPT_FRESH_CONNECT, needs_fresh_connection(handle, request) ? 1L : 0L);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, on_body);
    curl_easy_setopt(curl, CURLOPT_HEADERFUNCTION, on_header);
}

void http_client::fail(result_code code, const std::string& reason, const std::string& key) {
    counters_.add(error_counter(code));
    throw error{code, "platform at " + settings_.address + ": " + reason, key};
}

http_response http_client::send(const http_request& request, const std::string& key) {
    const bool is_write = request.method != http_method::get;
    counters_.add(is_write ? "platform_writes" : "platform_reads");
    auto handle = acquire();
    CURL* curl = handle.curl.get();
    prepare(handle, request);
    transfer state{.response = {}, .unsent_body = request.body};
    curl_easy_setopt(curl, CURLOPT_WRITEDATA, &state);
    curl_easy_setopt(curl, CURLOPT_HEADERDATA, &state);
    curl_easy_setopt(curl, CURLOPT_READDATA, &state);
    header_list headers;
    headers.add("Expect:");
    for (const auto& line : request.headers) {
        headers.add(line);
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers.get());

    const auto generation = generation_.load();
    const CURLcode result = curl_easy_perform(curl);
    const auto end = get_transfer_result(curl, result, is_write);
    long connects = 0;
    curl_easy_getinfo(curl, CURLINFO_NUM_CONNECTS, &connects);
    counters_.add("platform_connections_opened", static_cast<std::uint64_t>(connects));
    if (result == CURLE_OK) {
        handle.last_response = std::chrono::steady_clock::now();
        handle.generation = generation;
    } else if (result == CURLE_OPERATION_TIMEDOUT) {
        ++generation_;
    }
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, nullptr);
    release(std::move(handle));

    if (const auto code = classify(end)) {
        const std::string reason =
            result == CURLE_OK ? "status " + std::to_string(end.status) : curl_easy_strerror(result);
        fail(*code, reason, key);
    }
    state.response.status = end.status;
    return std::move(state.response);
}

} // namespace endive::platform
