#pragma once
// Value types of the messages between daemons, and their FlatBuffers encoding (schema/mesh.fbs).

#include "sidecar/http_message.h"
#include "sidecar/row_codec.h"

#include "endive/mesh.h"
#include "endive/tenants.h"

#include <optional>
#include <variant>

namespace endive::sidecar {

/// Requests that the receiver runs a request at its endpoint.
struct call_message {
    std::uint64_t stream = 0; ///< chosen by the sender; unique per link
    std::string service;
    std::string endpoint_id;
    std::string request_id;
    std::string method;
    std::string target;
    header_list headers; ///< end-to-end headers only
    std::string body;
    std::string route;
    milliseconds remaining{0}; ///< until the deadline; a later response is useless
    milliseconds latency_target{0};
    milliseconds waited{0}; ///< time since the caller's request arrived
    std::uint32_t priority = 0;
    mesh::request_kind kind = mesh::request_kind::unsafe;
    bool only_if_free = false;                  ///< answered `busy` when the endpoint has no free slot
    bool repeated = false;                      ///< another endpoint has been sent this request before
    std::string tenant{};                       ///< empty without an API key
    std::uint64_t key_digest = 0;               ///< keyed digest of the API key; 0 without one
    std::chrono::microseconds expected_cost{0}; ///< at an endpoint of usual speed; zero when unknown
    /// Earlier attempts of the caller that were refused, at most 255; 0 when the caller did not come back at
    /// the time that it was told.
    std::uint32_t refused_before = 0;
};

/// The caller of an earlier call message has disconnected.
struct cancel_message {
    std::uint64_t stream = 0;
};

struct reply_message {
    std::uint64_t stream = 0;
    mesh::attempt_outcome outcome = mesh::attempt_outcome::unknown;
    unsigned status = 0; ///< HTTP status of the endpoint when it answered or refused
    header_list headers;
    std::string body;
    mesh::reason why = mesh::reason::none;
    milliseconds retry_after{0};
    mesh::endpoint_load load;
    /// Time that the endpoint took; zero when it did not run the request to its end.
    std::chrono::microseconds service_time{0};
};

/// State that the sender publishes; empty parts are omitted.
struct announce_message {
    std::vector<mesh::member> members;
    std::vector<mesh::store_row> rows;
    std::vector<mesh::store_row> heads; ///< rows that the sender holds, without their values
    std::optional<mesh::endpoint_load> load;
    std::vector<mesh::version_evidence> counters;
    std::vector<mesh::rollout_progress> moves;
    std::vector<packed_row> packed_rows; ///< rows to send compressed; the receiver finds them in `rows`
    std::vector<mesh::row_delta> deltas;
    std::optional<bool> reading; ///< whether the sender's reads of the store succeed
};

/// Requests the values of rows.
struct fetch_message {
    std::vector<mesh::store_row> rows;
    bool accepts_packed = false;        ///< the answer may hold packed rows
    std::vector<mesh::store_row> known; ///< heads that the sender has; the answer may hold deltas from them
};

/// Proof of how current the sender's configuration row is: no newer one than `version` existed `age` before
/// the message was sent.
struct key_proof {
    std::uint64_t version = 0;
    std::chrono::microseconds age{0};
    friend auto operator<=>(const key_proof&, const key_proof&) = default;
};

struct ping_message {
    std::uint64_t id = 0;
    bool answer = false;
    std::optional<key_proof> proof{}; ///< only in answers
};

struct quota_entry {
    std::string tenant;
    double tokens = 0;    ///< wanted, in an answer leased
    double returned = 0;  ///< tokens that the sender gives back
    milliseconds wait{0}; ///< in an answer: time until there are more when there are too few
    double spent = 0;     ///< leased tokens that the sender no longer holds, since its last ask
    friend auto operator<=>(const quota_entry&, const quota_entry&) = default;
};

/// Asks the daemon that coordinates the quotas of some tenants for tokens, or answers that. Without entries
/// it is a probe of a coordinator, or the answer to one.
struct quota_message {
    std::uint64_t id = 0; ///< time of the request by the clock of its sender, in nanoseconds
    bool answer = false;
    std::uint64_t configuration = 0; ///< version of the configuration that the sender has in force
    std::vector<quota_entry> entries;
    std::optional<tenants::quota_grant> grant{}; ///< only in the answer to a probe
};

using peer_message = std::variant<call_message, cancel_message, reply_message, announce_message,
                                  fetch_message, ping_message, quota_message>;

/// Maximum frame size: a body of the maximum size accepted from callers, plus its headers.
inline constexpr std::size_t max_message_bytes = 72UL * 1024 * 1024;

/// Returns a frame with its length prefix. Thread safe.
[[nodiscard]] std::string encode(const peer_message& message);
/// Verifies and decodes a frame without its length prefix. Throws `error` with `peer_frame_malformed`. Thread
/// safe.
[[nodiscard]] peer_message decode_message(std::string_view payload);

} // namespace endive::sidecar
