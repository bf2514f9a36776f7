#include "endive/platform.h"

namespace endive::platform {
namespace {

class memory_table final : public table_store {
public:
    std::optional<row> get(const std::string& key) override {
        const std::lock_guard lock{mutex_};
        const auto found = rows_.find(key);
        return found == rows_.end() ? std::nullopt : std::optional{found->second};
    }

    std::vector<row> list(const std::string& prefix) override {
        const std::lock_guard lock{mutex_};
        std::vector<row> found;
        for (auto at = rows_.lower_bound(prefix); at != rows_.end() && at->first.starts_with(prefix); ++at) {
            found.push_back(at->second);
        }
        return found;
    }

    std::string put(const std::string& key, const std::string& value,
                    const precondition& condition) override {
        const std::lock_guard lock{mutex_};
        check(key, condition.etag);
        auto etag = "\"" + std::to_string(++last_etag_) + "\"";
        rows_[key] = {key, value, etag};
        return etag;
    }

    void remove(const std::string& key, const std::string& etag) override {
        const std::lock_guard lock{mutex_};
        check(key, etag);
        rows_.erase(key);
    }

private:
    void check(const std::string& key, const std::optional<std::string>& expected) const {
        const auto found = rows_.find(key);
        const auto current = found == rows_.end() ? std::nullopt : std::optional{found->second.etag};
        if (current != expected) {
            throw error{result_code::platform_precondition_failed, "row changed", key};
        }
    }

    std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::uint64_t last_etag_ = 0;
};

class memory_objects final : public object_store {
public:
    std::optional<std::string> get(const std::string& key) override {
        const std::lock_guard lock{mutex_};
        const auto found = objects_.find(key);
        return found == objects_.end() ? std::nullopt : std::optional{found->second};
    }

    void put(const std::string& key, const std::string& bytes) override {
        const std::lock_guard lock{mutex_};
        objects_[key] = bytes;
    }

private:
    std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

} // namespace

std::unique_ptr<table_store> make_memory_table() {
    return std::make_unique<memory_table>();
}

std::unique_ptr<object_store> make_memory_objects() {
    return std::make_unique<memory_objects>();
}

} // namespace endive::platform
