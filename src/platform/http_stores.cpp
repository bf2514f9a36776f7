#include "platform/http_client.h"
#include "platform/outcome.h"

namespace endive::platform {
namespace {

constexpr long status_not_found = 404;

[[noreturn]] void fail(counter_set& counters, result_code code, const std::string& reason,
                       const std::string& key) {
    counters.add(error_counter(code));
    throw error{code, "platform: " + reason, key};
}

std::vector<row> parse_rows(const std::string& body) {
    std::vector<row> rows;
    for (const auto& item : json::parse(body)) {
        rows.push_back({item.at("key"), item.at("value"), item.at("etag")});
    }
    return rows;
}

class http_table final : public table_store {
public:
    http_table(const platform_settings& settings, counter_set& counters)
        : client_{settings, counters}, counters_{counters} {}

    std::optional<row> get(const std::string& key) override {
        auto response = client_.send({.path = path_of(key)}, key);
        if (response.status == status_not_found) {
            return std::nullopt;
        }
        if (response.etag.empty()) {
            fail(counters_, result_code::platform_bad_answer, "row response without ETag", key);
        }
        return row{key, std::move(response.body), std::move(response.etag)};
    }

    std::vector<row> list(const std::string& prefix) override {
        const auto response = client_.send({.path = "/rows?prefix=" + encode_key(prefix)}, prefix);
        try {
            return parse_rows(response.body);
        } catch (const json::exception& malformed) {
            fail(counters_, result_code::platform_bad_answer, malformed.what(), prefix);
        }
    }

    std::string put(const std::string& key, const std::string& value,
                    const precondition& condition) override {
        const auto header = condition.etag ? "If-Match: " + *condition.etag : "If-None-Match: *";
        auto response = client_.send({http_method::put, path_of(key), {header}, value}, key);
        if (response.status == status_not_found) {
            fail(counters_, result_code::platform_bad_answer, "write answered with status 404", key);
        }
        // The write took effect, but its ETag is unknown, so the caller has to read the row back.
        if (response.etag.empty()) {
            fail(counters_, result_code::platform_outcome_unknown, "write response without ETag", key);
        }
        return std::move(response.etag);
    }

    void remove(const std::string& key, const std::string& etag) override {
        const auto response =
            client_.send({http_method::remove, path_of(key), {"If-Match: " + etag}, {}}, key);
        if (response.status == status_not_found) {
            fail(counters_, result_code::platform_precondition_failed, "row is absent", key);
        }
    }

private:
    static std::string path_of(const std::string& key) { return "/rows/" + encode_key(key); }
    http_client client_;
    counter_set& counters_;
};

class http_objects final : public object_store {
public:
    http_objects(const platform_settings& settings, counter_set& counters)
        : client_{settings, counters}, counters_{counters} {}

    std::optional<std::string> get(const std::string& key) override {
        auto response = client_.send({.path = path_of(key)}, key);
        if (response.status == status_not_found) {
            return std::nullopt;
        }
        return std::move(response.body);
    }

    void put(const std::string& key, const std::string& bytes) override {
        const auto response = client_.send({http_method::put, path_of(key), {}, bytes}, key);
        if (response.status == status_not_found) {
            fail(counters_, result_code::platform_bad_answer, "write answered with status 404", key);
        }
    }

private:
    static std::string path_of(const std::string& key) { return "/objects/" + encode_key(key); }
    http_client client_;
    counter_set& counters_;
};

} // namespace

std::unique_ptr<table_store> make_http_table(const platform_settings& settings, counter_set& counters) {
    return std::make_unique<http_table>(settings, counters);
}

std::unique_ptr<object_store> make_http_objects(const platform_settings& settings, counter_set& counters) {
    return std::make_unique<http_objects>(settings, counters);
}

} // namespace endive::platform
