#pragma once
// Keeps this daemon's knowledge of the API keys young: by its own reads of the store, or by asking other
// daemons how old theirs is.

#include "sidecar/peer_set.h"

#include "endive/tenants.h"

namespace endive::sidecar {

/// Does nothing unless the settings ask for `fail_closed`. Not thread safe.
class key_proofs {
public:
    key_proofs(const clock_source& clock, counter_set& counters, const sidecar_settings& settings);

    /// This daemon holds this version of the configuration row.
    void on_row(std::uint64_t version);
    /// A read of the store sent at `sent` shows that `version` was the newest configuration row then.
    void on_store_read(time_point sent, std::uint64_t version);
    /// `daemon`, in the same failure domain, reports whether its reads of the store succeed.
    void on_reading(const std::string& daemon, bool reading);
    void on_ping_answer(const std::string& daemon, const ping_message& answer);
    /// What this daemon answers to a ping; empty when it has no proof.
    [[nodiscard]] std::optional<key_proof> own_proof() const;

    /// True while a request with a known key may run.
    [[nodiscard]] bool is_current() const;
    /// Empty without a proof.
    [[nodiscard]] std::optional<duration> age() const;
    /// The age for logs, in milliseconds; null without a proof.
    [[nodiscard]] json age_ms() const;
    /// Asks other daemons when the knowledge grows old; `has_tenants` tells whether the configuration has
    /// keys. Call about every 100 ms.
    void tick(const peer_set& peers, bool has_tenants);

private:
    struct question {
        std::string daemon;
        time_point sent;
    };
    void ask(const peer_set& peers, time_point now);
    void report_change(time_point now);

    const clock_source& clock_;
    counter_set& counters_;
    bool fail_closed_;
    tenants::key_freshness freshness_;
    std::set<std::string> readers_; ///< daemons of the failure domain whose last report was a success
    std::string last_source_;       ///< the daemon whose answer was the last to help
    std::map<std::uint64_t, question> questions_;
    std::uint64_t next_id_ = 1;
    std::size_t rotation_ = 0;
    time_point next_ask_{};
    std::optional<bool> reported_current_;
};

} // namespace endive::sidecar
