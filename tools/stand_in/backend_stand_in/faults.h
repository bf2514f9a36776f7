#pragma once
/// Faults of the backend stand-in, configurable at run time.

#include "endive/base.h"

#include <random>

namespace stand_in {

/// Effects of the faults on one request.
struct execution_plan {
    double slowdown = 1.0;
    int fail_status = 0; ///< 0: the request succeeds
    bool freeze = false; ///< wait until no freeze rule applies
    bool cut = false;    ///< close the connection in the middle of the response body
    bool drop = false;   ///< execute, then close the connection without a response
};

/// Overrides and delays of the reports of `GET /health` and `GET /load`.
struct report_faults {
    std::string health = "truth"; ///< `truth`, `ok` or `failing`
    endive::milliseconds health_lag{0};
    std::optional<double> load; ///< reported instead of the actual load
    endive::milliseconds load_lag{0};
};

/// Fault rules and report faults. Thread safe.
class backend_faults {
public:
    /// Replaces all rules and report faults by `{"faults": [...], "health": {...}, "load": {...}}`. Throws
    /// `endive::error`.
    void replace(const endive::json& settings, endive::time_point now);
    /// Decides the effects on a request; `concurrency` requests are in execution, including this one.
    [[nodiscard]] execution_plan decide(const std::string& path, std::size_t concurrency,
                                        endive::time_point now);
    /// True while a freeze rule applies to the path.
    [[nodiscard]] bool frozen(const std::string& path, std::size_t concurrency, endive::time_point now) const;
    /// True when at that time a rule let at least half of all requests fail or freeze.
    [[nodiscard]] bool unhealthy_at(endive::time_point time) const;
    [[nodiscard]] report_faults reports() const;

private:
    struct rule {
        std::string kind;
        std::string path_prefix;
        double rate = 1.0;
        double factor = 1.0;
        int status = 500;
        std::size_t above_concurrency = 0;
        std::int64_t remaining = -1; ///< negative: unlimited
        endive::time_point active_from;
        endive::time_point replaced_at = endive::time_point::max();
        std::mt19937_64 random{};
        [[nodiscard]] bool matches(const std::string& path, std::size_t concurrency,
                                   endive::time_point now) const;
    };
    static rule parse_rule(const endive::json& object, std::size_t index, endive::time_point now);
    static report_faults parse_reports(const endive::json& settings);

    mutable std::mutex mutex_;
    std::vector<rule> rules_;
    std::vector<rule> history_; ///< replaced rules, for delayed health reports
    report_faults reports_;
};

} // namespace stand_in
