#pragma once
/// Faults of the platform stand-in, switched at run time.

#include "endive/base.h"

#include <random>

namespace stand_in {

/// One request to the table or the object store.
struct operation {
    bool is_write = false;
    bool is_object = false;
    std::string key;
};

/// What happens to a request. Several rules may act on the same request.
struct treatment {
    endive::milliseconds delay{0};
    bool refuse = false;      ///< answer 503 without effect
    bool hang = false;        ///< never answer, without effect
    bool lose_answer = false; ///< take effect, then cut the connection
    friend auto operator<=>(const treatment&, const treatment&) = default;
};

/// The list of fault rules. Thread safe.
class fault_plan {
public:
    /// Replaces all rules by those of `{"faults": [...]}`. Throws `endive::error` on a malformed rule.
    void replace(const endive::json& control);
    [[nodiscard]] treatment decide(const operation& operation);
    /// Number of requests that each kind of fault acted on since start.
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
    static bool acts_on(rule& candidate, const operation& operation);

    mutable std::mutex mutex_;
    std::vector<rule> rules_;
    std::map<std::string, std::uint64_t> counts_;
};

} // namespace stand_in
