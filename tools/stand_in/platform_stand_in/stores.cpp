#include "stores.h"

namespace stand_in {

using endive::json;

reply row_store::get(const std::string& key) const {
    const std::lock_guard lock{mutex_};
    const auto found = rows_.find(key);
    if (found == rows_.end()) {
        return {404};
    }
    return {200, found->second.value, {{"ETag", found->second.etag}}};
}

reply row_store::list(const std::string& prefix) const {
    const std::lock_guard lock{mutex_};
    json rows = json::array();
    for (auto at = rows_.lower_bound(prefix); at != rows_.end() && at->first.starts_with(prefix); ++at) {
        rows.push_back({{"key", at->first}, {"value", at->second.value}, {"etag", at->second.etag}});
    }
    return json_reply(200, rows);
}

bool row_store::condition_holds(const std::string& key, const request& incoming) const {
    const auto found = rows_.find(key);
    if (incoming.header("If-None-Match") == "*") {
        return found == rows_.end();
    }
    return found != rows_.end() && found->second.etag == incoming.header("If-Match");
}

reply row_store::put(const std::string& key, const request& incoming) {
    if (incoming.header("If-None-Match").empty() && incoming.header("If-Match").empty()) {
        return json_reply(428, {{"error", "a write needs If-Match or If-None-Match"}});
    }
    auto value = incoming.body();
    // Throws for text that is not UTF-8, which `list` could not return.
    (void)json(value).dump();
    const std::lock_guard lock{mutex_};
    if (!condition_holds(key, incoming)) {
        return {412};
    }
    const int status = rows_.contains(key) ? 200 : 201;
    const auto etag = "\"" + std::to_string(++last_etag_) + "\"";
    rows_[key] = {std::move(value), etag};
    return {status, "", {{"ETag", etag}}};
}

reply row_store::remove(const std::string& key, const request& incoming) {
    const std::lock_guard lock{mutex_};
    if (!condition_holds(key, incoming)) {
        return {412};
    }
    rows_.erase(key);
    return {204};
}

std::size_t row_store::size() const {
    const std::lock_guard lock{mutex_};
    return rows_.size();
}

reply blob_store::get(const std::string& key) const {
    const std::lock_guard lock{mutex_};
    const auto found = objects_.find(key);
    return found == objects_.end() ? reply{404} : reply{200, found->second};
}

reply blob_store::put(const std::string& key, const request& incoming) {
    const std::lock_guard lock{mutex_};
    objects_[key] = incoming.body();
    return {201};
}

std::size_t blob_store::size() const {
    const std::lock_guard lock{mutex_};
    return objects_.size();
}

} // namespace stand_in
