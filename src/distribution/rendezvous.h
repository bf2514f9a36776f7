#pragma once
/// Rendezvous rows: table rows with a few recent member addresses of each failure domain.

#include "distribution/platform_calls.h"
#include "distribution/random_source.h"
#include "distribution/table_rows.h"

namespace endive::distribution {

/// Key of the row that a member shares in its failure domain, selected by the hash of its id.
[[nodiscard]] std::string rendezvous_row_key(const member_id& id, const std::string& failure_domain);

/// Lists the rows while no link is up, and refreshes the own row. The daemon named in a row writes it every
/// `rendezvous_refresh`; the other daemons read their rows with a fleet-wide rate of 5 reads per second.
class rendezvous {
public:
    rendezvous(random_source& random, member_id self, const std::string& failure_domain)
        : random_{random}, row_key_{rendezvous_row_key(self, failure_domain)}, self_{std::move(self)} {}

    /// `alone`: no link is up. `keep`: this daemon takes part in refreshing rows.
    void step(time_point now, std::size_t members, bool alone, bool keep, platform_calls& calls);
    void on_result(time_point now, wall_time wall, const platform_result& result, platform_calls& calls);
    /// Members found in unexpired rows by the last list or read.
    [[nodiscard]] const std::vector<member_id>& contacts() const { return contacts_; }

private:
    enum class phase : std::uint8_t { idle, listing, reading, writing };
    void on_list(wall_time wall, const platform_result& result);
    void on_row(time_point now, wall_time wall, const platform_result& result, platform_calls& calls);

    random_source& random_;
    std::string row_key_;
    member_id self_;
    phase phase_ = phase::idle;
    bool started_ = false;
    std::size_t members_ = 1;
    time_point next_list_;
    time_point next_refresh_;
    backoff list_backoff_{std::chrono::seconds{2}, std::chrono::seconds{60}};
    std::vector<member_id> contacts_;
};

} // namespace endive::distribution
