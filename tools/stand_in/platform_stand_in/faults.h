#pragma once
/// Faults of the platform stand-in, configurable at run time.

#include "endive/base.h"

#include <random>

namespace stand_in {

/// One request to the table or the object store.
struct operation {
    bool is_write = false;
    bool is_object = false;
    std::string key;
};

/// Effects of the faults on one request. Several rules can apply to the same request.
struct fault_effects {
    endive::milliseconds delay{0};
    bool refuse = false;      ///< respond 503 without executing the request
    bool hang = false;        ///< never respond and do not execute the request
    bool lose_answer = false; ///< execute the request, then cut the connection
    friend auto operator<=>(const fault_effects&, const fault_effects&) = default;
};

/// Fault rules. Thread safe.
class fault_plan {
public:
    /// Replaces all rules by those of `{"faults": [...]}`. Throws `endive::error` on a malformed rule.
    void replace(const endive::json& control);
    [[nodiscard]] fault_effects decide(const operation& operation);
    /// Number of requests affected by each kind of fault since the start.
    [[nodiscard]] endive::json counts() const;

private:
    struct rule {
        std::string kind;
        std::string on;
        std::string store;
        std::string prefix;
        endive::milliseconds delay{0};
        std::int64_t remaining = 0; ///< negative: unlimited
        double probability = 1.0;
        std::mt19937_64 random{};
    };
    static rule parse_rule(const endive::json& object, std::size_t index);
    static bool should_fire(rule& candidate, const operation& operation);

    mutable std::mutex mutex_;
    std::vector<rule> rules_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace stand_in
