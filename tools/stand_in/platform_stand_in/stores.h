#pragma once
/// Table and object store of the platform stand-in; operations return HTTP responses.

#include "../common/http_server.h"

namespace stand_in {

/// Rows with ETags and conditional writes. Thread safe.
class row_store {
public:
    [[nodiscard]] reply get(const std::string& key) const;
    [[nodiscard]] reply list(const std::string& prefix) const;
    reply put(const std::string& key, const request& incoming);
    reply remove(const std::string& key, const request& incoming);
    [[nodiscard]] std::size_t size() const;

private:
    struct row {
        std::string value;
        std::string etag;
    };
    [[nodiscard]] bool condition_holds(const std::string& key, const request& incoming) const;
    mutable std::mutex mutex_;
    std::map<std::string, row> rows_;
    std::uint64_t last_etag_ = 0;
};

/// Objects by name. Thread safe.
class blob_store {
public:
    [[nodiscard]] reply get(const std::string& key) const;
    reply put(const std::string& key, const request& incoming);
    [[nodiscard]] std::size_t size() const;

private:
    mutable std::mutex mutex_;
    std::map<std::string, std::string> objects_;
};

} // namespace stand_in
