#include "load.h"

#include <cstring>
#include <thread>

#include <curl/curl.h>

namespace stand_in {
namespace {

using clock = std::chrono::steady_clock;

/// One request and the checked parts of its response.
struct exchange {
    std::string_view unsent;
    std::string body;
    std::map<std::string, std::string> headers; ///< lower-case names, only `endive-*`
};

size_t on_body(char* data, size_t size, size_t count, void* context) {
    static_cast<exchange*>(context)->body.append(data, size * count);
    return size * count;
}

size_t on_header(char* data, size_t size, size_t count, void* context) {
    const std::string_view line{data, size * count};
    const auto colon = line.find(':');
    constexpr std::string_view prefix = "endive-";
    if (colon == std::string_view::npos || strncasecmp(line.data(), prefix.data(), prefix.size()) != 0) {
        return size * count;
    }
    std::string name{line.substr(0, colon)};
    std::transform(name.begin(), name.end(), name.begin(), [](unsigned char c) { return std::tolower(c); });
    const auto first = line.find_first_not_of(' ', colon + 1);
    const auto last = line.find_last_not_of("\r\n ");
    if (first != std::string_view::npos && last >= first) {
        static_cast<exchange*>(context)->headers[name] = line.substr(first, last - first + 1);
    }
    return size * count;
}

size_t on_read(char* buffer, size_t size, size_t count, void* context) {
    auto& unsent = static_cast<exchange*>(context)->unsent;
    const auto length = std::min(size * count, unsent.size());
    std::memcpy(buffer, unsent.data(), length);
    unsent.remove_prefix(length);
    return length;
}

/// Stops libcurl from repeating a request when a reused connection closes without a response; the backend
/// server's ledger would then contain an additional execution.
int refuse_rewind(void* /*context*/, curl_off_t /*offset*/, int /*origin*/) {
    return CURL_SEEKFUNC_FAIL;
}

std::optional<bool> check_response(const exchange& response, const std::string& id, const std::string& sent) {
    const auto text = [&](const char* name) {
        const auto found = response.headers.find(name);
        return found == response.headers.end() ? std::string{} : found->second;
    };
    const auto checksum = text("endive-test-checksum");
    if (checksum.empty()) {
        return std::nullopt;
    }
    return text("endive-test-id") == id && checksum == endive::to_hex(endive::stable_hash(response.body)) &&
           text("endive-test-request-digest") == endive::to_hex(endive::stable_hash(sent));
}

/// Content that differs between requests, so that the checks detect swapped bodies.
std::string body_for(const std::string& id, std::size_t size) {
    std::string body;
    while (body.size() < size) {
        body += id + ";";
    }
    body.resize(size);
    return body;
}

/// One keep-alive connection.
class sender {
public:
    sender(const load_settings& settings, std::string target)
        : settings_{settings}, target_{std::move(target)}, curl_{curl_easy_init()} {}
    sender(const sender&) = delete;
    sender& operator=(const sender&) = delete;
    ~sender() { curl_easy_cleanup(curl_); }

    request_record send(std::size_t index, endive::time_point intended) {
        request_record record;
        record.id = settings_.id_prefix + "-" + std::to_string(index);
        const auto body = body_for(record.id, settings_.body_size);
        exchange state;
        state.unsent = body;
        curl_slist* headers = headers_for(record.id);
        prepare(index, state, headers);
        const auto result = curl_easy_perform(curl_);
        record.latency = clock::now() - intended;
        curl_slist_free_all(headers);
        long connects = 0;
        curl_easy_getinfo(curl_, CURLINFO_NUM_CONNECTS, &connects);
        opened_ += static_cast<std::uint64_t>(connects);
        if (result != CURLE_OK) {
            record.error = curl_easy_strerror(result);
            return record;
        }
        curl_easy_getinfo(curl_, CURLINFO_RESPONSE_CODE, &record.status);
        record.outcome = state.headers["endive-outcome"];
        record.reason = state.headers["endive-reason"];
        record.valid = check_response(state, record.id, body);
        return record;
    }
    [[nodiscard]] std::uint64_t opened() const { return opened_; }

private:
    [[nodiscard]] curl_slist* headers_for(const std::string& id) const {
        curl_slist* list = curl_slist_append(nullptr, ("endive-test-id: " + id).c_str());
        list = curl_slist_append(list, "Expect:");
        if (settings_.response_size) {
            const auto line = "endive-test-size: " + std::to_string(*settings_.response_size);
            list = curl_slist_append(list, line.c_str());
        }
        if (settings_.idempotency_keys) {
            list = curl_slist_append(list, ("idempotency-key: key-" + id).c_str());
        }
        for (const auto& line : settings_.headers) {
            list = curl_slist_append(list, line.c_str());
        }
        return list;
    }

    void prepare(std::size_t index, exchange& state, curl_slist* headers) {
        curl_easy_reset(curl_);
        const auto url = "http://" + target_ + settings_.paths[index % settings_.paths.size()];
        curl_easy_setopt(curl_, CURLOPT_URL, url.c_str());
        curl_easy_setopt(curl_, CURLOPT_PROXY, "");
        curl_easy_setopt(curl_, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(curl_, CURLOPT_TCP_NODELAY, 1L);
        curl_easy_setopt(curl_, CURLOPT_TIMEOUT_MS, static_cast<long>(settings_.timeout.count()));
        if (settings_.body_size > 0) {
            curl_easy_setopt(curl_, CURLOPT_UPLOAD, 1L);
            curl_easy_setopt(curl_, CURLOPT_INFILESIZE_LARGE, static_cast<curl_off_t>(settings_.body_size));
            curl_easy_setopt(curl_, CURLOPT_READFUNCTION, on_read);
            curl_easy_setopt(curl_, CURLOPT_READDATA, &state);
            curl_easy_setopt(curl_, CURLOPT_SEEKFUNCTION, refuse_rewind);
        }
        curl_easy_setopt(curl_, CURLOPT_CUSTOMREQUEST, settings_.method.c_str());
        curl_easy_setopt(curl_, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(curl_, CURLOPT_WRITEFUNCTION, on_body);
        curl_easy_setopt(curl_, CURLOPT_WRITEDATA, &state);
        curl_easy_setopt(curl_, CURLOPT_HEADERFUNCTION, on_header);
        curl_easy_setopt(curl_, CURLOPT_HEADERDATA, &state);
    }

    const load_settings& settings_;
    std::string target_;
    CURL* curl_;
    std::uint64_t opened_ = 0;
};

double to_ms(endive::duration value) {
    return std::chrono::duration<double, std::milli>(value).count();
}

} // namespace

load_result run_load(const load_settings& settings) {
    const auto total = static_cast<std::size_t>(settings.rate * settings.duration_s);
    load_result result;
    result.records.resize(total);
    std::atomic<std::size_t> next{0};
    std::atomic<std::uint64_t> opened{0};
    const auto start = clock::now();
    const auto work = [&](const std::string& target) {
        sender connection{settings, target};
        for (std::size_t index = next++; index < total; index = next++) {
            const std::chrono::duration<double> offset{static_cast<double>(index) / settings.rate};
            const auto intended = start + std::chrono::duration_cast<endive::duration>(offset);
            std::this_thread::sleep_until(intended);
            result.records[index] = connection.send(index, intended);
        }
        opened += connection.opened();
    };
    std::vector<std::thread> threads;
    for (std::size_t id = 0; id < settings.connections; ++id) {
        threads.emplace_back(work, settings.targets[id % settings.targets.size()]);
    }
    for (auto& thread : threads) {
        thread.join();
    }
    result.elapsed = clock::now() - start;
    result.connections_opened = opened;
    return result;
}

endive::json to_json(const request_record& record) {
    endive::json line{{"id", record.id},           {"status", record.status},
                      {"outcome", record.outcome}, {"reason", record.reason},
                      {"error", record.error},     {"latency_ms", to_ms(record.latency)}};
    line["valid"] = record.valid ? endive::json(*record.valid) : endive::json();
    return line;
}

endive::json summarize(const load_result& result) {
    endive::latency_histogram latency;
    std::map<std::string, std::uint64_t> by_status;
    std::map<std::string, std::uint64_t> by_outcome;
    std::map<std::string, std::uint64_t> errors;
    std::uint64_t valid = 0;
    std::uint64_t invalid = 0;
    for (const auto& record : result.records) {
        latency.record(record.latency);
        ++by_status[std::to_string(record.status)];
        by_outcome[record.outcome] += record.outcome.empty() ? 0 : 1;
        errors[record.error] += record.error.empty() ? 0 : 1;
        valid += record.valid == true ? 1 : 0;
        invalid += record.valid == false ? 1 : 0;
    }
    by_outcome.erase("");
    errors.erase("");
    return {{"requests", result.records.size()},
            {"elapsed_s", to_ms(result.elapsed) / 1000.0},
            {"connections_opened", result.connections_opened},
            {"by_status", by_status},
            {"by_outcome", by_outcome},
            {"errors", errors},
            {"valid", valid},
            {"invalid", invalid},
            {"p50_ms", to_ms(latency.quantile(0.5))},
            {"p90_ms", to_ms(latency.quantile(0.9))},
            {"p99_ms", to_ms(latency.quantile(0.99))},
            {"p99_9_ms", to_ms(latency.quantile(0.999))},
            {"max_ms", to_ms(latency.max())}};
}

} // namespace stand_in
