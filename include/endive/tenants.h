#pragma once
/// Tenants library: the decision logic about tenants, as state machines. Callers pass events and time points
/// and receive decisions; no class here reads a clock, opens a socket or starts a thread. Classes are not
/// thread safe unless documented otherwise.

#include "endive/mesh.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace endive::tenants {

// clang-tidy 14 reports the 0 that the compiler inserts into defaulted operator<=>.
// NOLINTBEGIN(modernize-use-nullptr)

// ---- keys -------------------------------------------------------------------------------------------------

/// A key of the index.
struct key_match {
    const mesh::tenant* tenant = nullptr; ///< that holds the key
    std::uint64_t digest = 0;             ///< never 0
    friend auto operator<=>(const key_match&, const key_match&) = default;
};

/// API keys of a configuration, indexed by key and by digest. A lookup takes constant work, and the time it
/// takes tells nothing about the keys. Immutable; thread safe.
///
/// A digest identifies a key between daemons. It depends only on the key and on its tenant's name, so it is
/// the same in every configuration that gives the key to that tenant, and daemons that have different
/// versions in force agree on it.
class key_index {
public:
    /// Precondition: `source` outlives the index and does not change. Throws `error` with
    /// `platform_bad_answer` and the tenant as its location when two tenants have the same name or key, a key
    /// is empty, or a name has control characters. No message contains a key.
    explicit key_index(const mesh::configuration& source);

    /// True when the configuration has tenants, so that requests need keys.
    [[nodiscard]] bool has_tenants() const { return !tenants_.empty(); }
    [[nodiscard]] std::size_t size() const { return entries_.size(); }
    /// Bytes that the index takes in addition to the configuration.
    [[nodiscard]] std::size_t memory_bytes() const;
    /// Empty when no tenant holds the key.
    [[nodiscard]] std::optional<key_match> find(std::string_view key) const;
    /// Tenant that holds the key with this digest; null when there is none.
    [[nodiscard]] const mesh::tenant* find_digest(std::uint64_t digest) const;

private:
    struct entry {
        std::uint64_t hash = 0; ///< of the key, with a seed of this process
        std::uint64_t digest = 0;
        const char* key = nullptr; ///< in the configuration
        std::uint32_t length = 0;
        std::uint32_t tenant = 0; ///< index into the tenants
    };
    void insert(std::uint32_t tenant, const std::string& key);
    [[nodiscard]] const entry* find_entry(std::string_view key, std::uint64_t hash) const;

    const std::vector<mesh::tenant>& tenants_;
    std::uint64_t seed_;
    std::vector<entry> entries_;
    /// Open addressing: positions in `entries_` plus 1, or 0 for a free place. The size is a power of two.
    std::vector<std::uint32_t> by_hash_;
    std::vector<std::uint32_t> by_digest_;
};

// ---- age of the knowledge ---------------------------------------------------------------------------------

/// Shows that no configuration row newer than `version` existed at `since`.
struct currency_proof {
    std::uint64_t version = 0;
    time_point since{};
    friend auto operator<=>(const currency_proof&, const currency_proof&) = default;
};

/// Tells how old a daemon's knowledge of the API keys is, so that it stops using keys before the time in
/// which a revocation has to bind is over. A revocation that is acknowledged after `since` of the youngest
/// proof binds requests that are sent later than `since` plus that time, and no earlier one exists that the
/// daemon does not know. All time points are of one clock that counts suspension. A new object, as after a
/// restart, has no proof. Not thread safe.
class key_freshness {
public:
    /// `revoke_time` is the time from the acknowledgement of a revocation until it binds.
    explicit key_freshness(duration revoke_time);
    /// This daemon holds this version of the configuration row.
    void on_row(std::uint64_t version);
    /// A read of the store that this daemon sent at `sent` shows that `version` was the newest one then.
    void accept_read(time_point sent, std::uint64_t version) { accept({version, sent}); }
    /// Another daemon, in its answer to what was sent to it at `sent`, reports a proof of this age.
    void accept_answer(time_point sent, duration reported_age, std::uint64_t version);
    /// The youngest proof that counts for the row which this daemon holds; empty without one.
    [[nodiscard]] const std::optional<currency_proof>& proof() const { return proof_; }
    [[nodiscard]] std::optional<duration> age(time_point now) const;
    /// True while a request with a key that this daemon knows may be run.
    [[nodiscard]] bool is_current(time_point now) const;
    /// The age up to which the knowledge is current.
    [[nodiscard]] duration limit() const { return limit_; }

private:
    void accept(const currency_proof& offered);

    duration limit_;
    std::uint64_t held_ = 0;
    std::optional<currency_proof> proof_;
    std::optional<currency_proof> early_; ///< names a newer row than this daemon holds so far
};

// ---- quotas -----------------------------------------------------------------------------------------------

/// How far the requests of a tenant that all daemons together admit may exceed its quota.
struct quota_settings {
    duration window = std::chrono::seconds{5};
    double overage = 0.1; ///< share of the quota of a window
    double slack = 20;    ///< requests in a window besides
    friend auto operator<=>(const quota_settings&, const quota_settings&) = default;
};

/// Time from the sending of an ask for which the leased tokens may be used.
inline constexpr duration quota_lease_time = milliseconds{500};
/// Time from the sending of a probe for which the answering daemon's part of the quotas is delegated to the
/// coordinators that its answer names.
inline constexpr duration quota_grant_time = milliseconds{800};
/// Time between two probes of a coordinator.
inline constexpr duration quota_probe_interval = milliseconds{250};

/// Delegates the part of all quotas that belongs to one daemon to a set of coordinators.
struct quota_grant {
    std::uint64_t coordinators = 0; ///< hash of the set that the daemon uses
    std::uint64_t previous = 0;     ///< hash of the set that it used before
    duration stable_for{0};         ///< time since it last changed its set
    std::uint32_t known = 0;        ///< number of daemons that it knows, itself included; 0 when unknown
    friend auto operator<=>(const quota_grant&, const quota_grant&) = default;
};

/// The daemons that coordinate quotas, as one daemon sees them. A few daemons with the fastest links are
/// coordinators; each tenant belongs to one of them by rendezvous hashing. One that stays silent is replaced.
class quota_view {
public:
    struct candidate {
        std::string daemon;
        std::int64_t link_mbps = 0;
        friend auto operator<=>(const candidate&, const candidate&) = default;
    };
    quota_view(std::string self, std::int64_t link_mbps);
    /// Selects the coordinators among this daemon and `linked`, the daemons that it has a link to and that do
    /// not stop; `known` is the number of all daemons, linked or not, itself included, or 0 as long as this
    /// daemon cannot tell, such as right after its start. Without `may_lead` this
    /// daemon is not selected as long as there is another. True when the set has changed. Call every 100 ms,
    /// and when a link ends.
    bool update(std::span<const candidate> linked, std::size_t known, bool may_lead, time_point now);
    /// A coordinator has sent a probe or an answer.
    void on_heard(const std::string& daemon, time_point now) { heard_[daemon] = now; }
    /// The coordinator of a tenant by the current set.
    [[nodiscard]] const std::string& coordinator_of(std::string_view tenant) const;
    /// The coordinator of a tenant by the set before the last change; empty without one.
    [[nodiscard]] std::string previous_coordinator_of(std::string_view tenant) const;
    /// What this daemon answers to a probe.
    [[nodiscard]] quota_grant grant(time_point now) const;
    [[nodiscard]] const std::string& self() const { return self_; }
    [[nodiscard]] bool leads() const;
    [[nodiscard]] const std::vector<std::string>& coordinators() const { return current_; }

private:
    /// True for a coordinator that was replaced and has not been heard from since.
    [[nodiscard]] bool is_silent(const std::string& daemon, time_point now);
    std::string self_;
    std::int64_t link_mbps_;
    std::vector<std::string> current_;
    std::vector<std::string> previous_;
    std::size_t known_ = 0;
    time_point since_{};
    std::map<std::string, time_point> joined_;   ///< when a coordinator of the current set entered it
    std::map<std::string, time_point> excluded_; ///< silent daemons
    std::map<std::string, time_point> heard_;
};

/// What a daemon asks the coordinator of a tenant for.
struct quota_ask {
    std::string tenant;
    double tokens = 0;   ///< wanted; may be 0
    double spent = 0;    ///< leased tokens that are no longer in hand, since the last ask
    double returned = 0; ///< tokens of requests that did not run, and leased ones that are not needed
    friend auto operator<=>(const quota_ask&, const quota_ask&) = default;
};

struct quota_lease {
    std::string tenant;
    double tokens = 0;
    duration wait{0}; ///< until there is credit, when fewer were leased than wanted
    friend auto operator<=>(const quota_lease&, const quota_lease&) = default;
};

/// Holds the token buckets of the tenants that this daemon coordinates. The rate of a bucket corresponds to
/// the daemons that currently delegate their part to this one. A bucket and the leased tokens that may still
/// be unused never exceed the burst by more than a part of the allowed excess, so that leased tokens add
/// nothing to what a window may hold.
class quota_coordinator {
public:
    quota_coordinator(quota_settings settings, std::string self);
    /// Applies the limits of a configuration. Tokens beyond a lower burst are dropped.
    void set_tenants(std::span<const mesh::tenant> tenants, const quota_view& view, time_point now);
    /// The set of coordinators has changed: begins with an empty bucket for each tenant that is new to this
    /// daemon and drops those that belong to another one.
    void on_view(const quota_view& view, time_point now);
    /// A daemon has answered the probe sent at `probe_sent`; the answer was received at `now`.
    void on_grant(const std::string& daemon, const quota_grant& grant, time_point probe_sent, time_point now);
    /// Leases at most the tokens wanted, in whole numbers. A tenant that this daemon does not coordinate gets
    /// none and a short wait.
    [[nodiscard]] quota_lease on_ask(const quota_ask& ask, const quota_view& view, time_point now);
    [[nodiscard]] std::size_t tenant_count() const { return buckets_.size(); }
    /// Part of the fleet that delegates the tenant's quota to this daemon, from 0 to 1.
    [[nodiscard]] double share(const std::string& tenant, const quota_view& view, time_point now);

private:
    struct limit {
        double rate = 0;
        double burst = 0;
    };
    struct issue {
        time_point until;
        double tokens = 0;
    };
    struct bucket {
        limit allowed;
        double level = 0;
        time_point refilled; ///< in the future while leases of the earlier coordinator may be in use
        bool kept = false;   ///< it belonged to this daemon in the previous set too
        std::deque<issue> outstanding;
        double outstanding_tokens = 0;
        double share = 0;
        time_point share_time{};
        time_point promised_until{}; ///< when the credit that waiting daemons were told of has accrued
    };
    struct delegation {
        quota_grant grant;
        time_point until;
        time_point received;
    };
    [[nodiscard]] double excess(const limit& allowed) const;
    [[nodiscard]] double share_of(const bucket& entry, const quota_view& view, time_point now) const;
    void refill(bucket& entry, const quota_view& view, time_point now);
    void take_over(bucket& entry, const quota_view& view, const std::string& tenant, time_point now);
    static void settle(bucket& entry, double tokens);

    quota_settings settings_;
    std::string self_;
    std::map<std::string, limit, std::less<>> limits_;
    std::unordered_map<std::string, bucket> buckets_;
    std::map<std::string, delegation> delegations_;
};

enum class quota_verdict : std::uint8_t {
    admit,
    wait,  ///< an answer of the coordinator is outstanding
    refuse ///< the quota is used up
};

struct quota_decision {
    quota_verdict verdict = quota_verdict::admit;
    duration retry_after{0}; ///< with `refuse`: time until there is credit
    friend auto operator<=>(const quota_decision&, const quota_decision&) = default;
};

/// Decides at one daemon whether requests of tenants with a limit may run, with tokens leased from the
/// coordinators. Asks ahead of need for tenants that this daemon sees often.
class quota_client {
public:
    /// Applies the limits of a configuration. Leased tokens of tenants that stay are kept until they expire.
    void set_tenants(std::span<const mesh::tenant> tenants);
    [[nodiscard]] bool is_limited(const std::string& tenant) const { return states_.contains(tenant); }
    /// True when no tenant has a limit.
    [[nodiscard]] bool empty() const { return states_.empty(); }
    /// Decides about a new request. After `wait` call `resume` at each answer and about every 20 ms.
    [[nodiscard]] quota_decision on_request(const std::string& tenant, time_point now);
    /// Decides about a request that waits since `since`. It waits no longer than a bounded time.
    [[nodiscard]] quota_decision resume(const std::string& tenant, time_point since, time_point now);
    /// A waiting request has ended.
    void on_left(const std::string& tenant);
    /// A request that was admitted has not run and never will.
    void give_back(const std::string& tenant);
    /// An admitted request runs once more. The token is taken from the next ones that are leased.
    void charge(const std::string& tenant);
    /// The asks to send now, after which these tenants have an ask in flight.
    [[nodiscard]] std::vector<quota_ask> take_asks(time_point now);
    /// The answer to an ask that was sent at `asked`.
    void on_lease(const quota_lease& lease, time_point asked, time_point now);
    /// The ask was not sent, or its answer will not come, such as after the loss of a link.
    void on_unanswered(const std::string& tenant);
    /// Gives up on asks that have not been answered for long and returns leased tokens that are not needed.
    /// Call about every 100 ms.
    void tick(time_point now);
    /// Tokens in hand, for tests and metrics.
    [[nodiscard]] double in_hand(const std::string& tenant, time_point now) const;
    /// Asks that were not answered in time, since the start.
    [[nodiscard]] std::uint64_t unanswered() const { return unanswered_; }

private:
    struct lot {
        time_point until;
        double tokens = 0;
    };
    struct state {
        std::deque<lot> lots; ///< the first expires first
        double demand = 0;    ///< requests per second, smoothed
        time_point demand_time{};
        std::size_t waiting = 0;
        double spent = 0; ///< leased tokens that are no longer in hand and were not reported
        double returned = 0;
        double debt = 0; ///< further runs that no token was taken for
        std::optional<time_point> asked;
        std::optional<time_point> dry_until; ///< the coordinator has no tokens before
        time_point credit_at{};
    };
    static void record_demand(state& entry, time_point now);
    static double demand_at(const state& entry, time_point now);
    static void expire(state& entry, time_point now);
    static double held(const state& entry);
    static bool take(state& entry, time_point now);
    [[nodiscard]] static double wanted(const state& entry, time_point now);
    void mark(const std::string& tenant) { pending_.insert(tenant); }

    std::unordered_map<std::string, state> states_;
    std::set<std::string> pending_; ///< tenants that may need an ask
    std::set<std::string> active_;  ///< tenants with tokens, asks or demand
    std::uint64_t unanswered_ = 0;
};

// NOLINTEND(modernize-use-nullptr)

} // namespace endive::tenants
