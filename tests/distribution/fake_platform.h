#pragma once
// In-memory table and object store that can lose requests and answers and become unavailable.

#include "support.h"

namespace endive::distribution::test {

/// Writes take effect at `execute`; the caller decides when the answer arrives.
class fake_platform {
public:
    explicit fake_platform(random_source& random) : random_{random} {}

    bool down = false;
    double lost_answers = 0; ///< share of requests whose answer is lost
    double lost_requests = 0;

    /// Empty when `item` is not a platform action.
    std::optional<platform_result> execute(const action& item) {
        if (const auto* get = std::get_if<table_get>(&item)) {
            return run(get->request_id, [&](platform_result& result) {
                if (const auto found = rows.find(get->key); found != rows.end()) {
                    result.row = found->second;
                }
            });
        }
        if (const auto* list = std::get_if<table_list>(&item)) {
            return run(list->request_id, [&](platform_result& result) {
                for (const auto& [key, row] : rows) {
                    if (key.starts_with(list->prefix)) {
                        result.rows.push_back(row);
                    }
                }
            });
        }
        if (const auto* put = std::get_if<table_put>(&item)) {
            return run(put->request_id, [&](platform_result& result) { write(*put, result); });
        }
        if (const auto* get_object = std::get_if<object_get>(&item)) {
            return run(get_object->request_id, [&](platform_result& result) {
                if (const auto found = objects.find(get_object->key); found != objects.end()) {
                    result.object = found->second;
                }
            });
        }
        if (const auto* put_object = std::get_if<object_put>(&item)) {
            return run(put_object->request_id,
                       [&](platform_result&) { objects[put_object->key] = put_object->bytes; });
        }
        return {};
    }

    std::map<std::string, platform::row> rows;
    std::map<std::string, std::string> objects;
    std::vector<std::string> head_history; ///< every value that the head row ever had

private:
    template <typename Effect>
    platform_result run(std::uint64_t id, Effect effect) {
        platform_result result;
        result.request_id = id;
        if (down) {
            result.code = result_code::platform_unavailable;
            return result;
        }
        if (random_.unit() >= lost_requests) {
            effect(result);
        } else {
            result.code = result_code::platform_timeout;
        }
        if (random_.unit() < lost_answers) {
            result = {};
            result.request_id = id;
            result.code =
                random_.below(2) == 0 ? result_code::platform_timeout : result_code::platform_outcome_unknown;
        }
        return result;
    }

    void write(const table_put& put, platform_result& result) {
        const auto found = rows.find(put.key);
        const auto holds = put.condition.etag
                               ? found != rows.end() && found->second.etag == *put.condition.etag
                               : found == rows.end();
        if (!holds) {
            result.code = result_code::platform_precondition_failed;
            return;
        }
        result.etag = "e" + std::to_string(++etags_);
        rows[put.key] = {put.key, put.value, result.etag};
        if (put.key == "head") {
            head_history.push_back(put.value);
        }
    }

    random_source& random_;
    std::uint64_t etags_ = 0;
};

} // namespace endive::distribution::test
