#pragma once
// Counts by the name of a tenant, for the metrics.

#include <cstdint>
#include <map>
#include <ostream>
#include <string>

namespace endive::sidecar {

/// Not thread safe. The number of names is bounded; further ones count as `other`.
class tenant_counts {
public:
    /// Counts once for `tenant`; no effect for an empty name.
    void add(const std::string& tenant);
    /// Writes a line `metric{tenant="name"} count` for each tenant.
    void write(std::ostream& out, const std::string& metric) const;

private:
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace endive::sidecar
