#include "sidecar/messages.h"

#include "sidecar/generated/mesh_generated.h"

#include <algorithm>
#include <cstring>
#include <limits>

namespace endive::sidecar {
namespace {

namespace wire = endive::mesh::wire;
using builder = flatbuffers::FlatBufferBuilder;

/// Maximum total size of the decompressed rows of one announcement.
constexpr std::uint64_t max_announced_bytes = 4 * max_unpacked_bytes;
/// More tokens than any tenant's quota.
constexpr double max_quota_tokens = 1e12;
/// A longer time without a change of the coordinators makes no difference.
constexpr milliseconds max_stable{3'600'000};

struct payload_offset {
    wire::payload type;
    flatbuffers::Offset<void> value;
};

auto encode_headers(builder& out, const header_list& headers) {
    std::vector<flatbuffers::Offset<wire::header>> fields;
    fields.reserve(headers.size());
    for (const auto& entry : headers) {
        fields.push_back(
            wire::Createheader(out, out.CreateString(entry.name), out.CreateString(entry.value)));
    }
    return out.CreateVector(fields);
}

auto encode_body(builder& out, const std::string& body) {
    return out.CreateVector(reinterpret_cast<const std::uint8_t*>(body.data()), body.size());
}

/// Microseconds, bounded by the range of the field.
std::uint32_t encode_us(duration value) {
    const auto count = std::chrono::duration_cast<std::chrono::microseconds>(value).count();
    return static_cast<std::uint32_t>(
        std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

auto encode_load(builder& out, const mesh::endpoint_load& load) {
    constexpr double per_mille = 1000.0;
    return wire::Createload(
        out, load.outstanding, load.slots,
        static_cast<std::uint32_t>(
            std::chrono::duration_cast<std::chrono::microseconds>(load.service_time).count()),
        static_cast<std::uint32_t>(load.slowness * per_mille), load.accepting,
        static_cast<std::uint16_t>(load.link_use * per_mille), encode_us(load.work),
        static_cast<std::uint32_t>(load.pace * per_mille));
}

payload_offset encode(builder& out, const call_message& value) {
    const auto service = out.CreateString(value.service);
    const auto endpoint_id = out.CreateString(value.endpoint_id);
    const auto request_id = out.CreateString(value.request_id);
    const auto method = out.CreateString(value.method);
    const auto target = out.CreateString(value.target);
    const auto headers = encode_headers(out, value.headers);
    const auto body = encode_body(out, value.body);
    const auto route = out.CreateString(value.route);
    // An absent tenant takes no bytes.
    const auto tenant =
        value.tenant.empty() ? flatbuffers::Offset<flatbuffers::String>{} : out.CreateString(value.tenant);
    return {wire::payload::call,
            wire::Createcall(out, value.stream, service, endpoint_id, request_id, method, target, headers,
                             body, route, static_cast<std::uint32_t>(value.remaining.count()),
                             static_cast<std::uint32_t>(value.latency_target.count()),
                             static_cast<std::uint32_t>(value.waited.count()), value.priority,
                             static_cast<std::uint8_t>(value.kind), value.only_if_free, value.repeated,
                             tenant, value.key_digest, encode_us(value.expected_cost),
                             static_cast<std::uint8_t>(std::min(value.refused_before, 255U)))
                .Union()};
}

payload_offset encode(builder& out, const cancel_message& value) {
    return {wire::payload::cancel, wire::Createcancel(out, value.stream).Union()};
}

payload_offset encode(builder& out, const reply_message& value) {
    const auto headers = encode_headers(out, value.headers);
    const auto body = encode_body(out, value.body);
    const auto load = encode_load(out, value.load);
    return {wire::payload::reply,
            wire::Createreply(
                out, value.stream, static_cast<wire::outcome>(value.outcome),
                static_cast<std::uint16_t>(value.status), headers, body, static_cast<std::uint8_t>(value.why),
                static_cast<std::uint32_t>(value.retry_after.count()), load, encode_us(value.service_time))
                .Union()};
}

auto encode_rows(builder& out, const std::vector<mesh::store_row>& rows) {
    std::vector<flatbuffers::Offset<wire::row>> entries;
    entries.reserve(rows.size());
    for (const auto& row : rows) {
        entries.push_back(wire::Createrow(out, out.CreateString(row.table), out.CreateString(row.key),
                                          out.CreateString(row.value), row.version, row.removed));
    }
    return out.CreateVector(entries);
}

auto encode_packed_rows(builder& out, const std::vector<packed_row>& rows) {
    std::vector<flatbuffers::Offset<wire::packed_row>> entries;
    entries.reserve(rows.size());
    for (const auto& row : rows) {
        const auto table = out.CreateString(row.head.table);
        const auto key = out.CreateString(row.head.key);
        entries.push_back(wire::Createpacked_row(out, table, key, row.size, encode_body(out, row.deflated),
                                                 row.head.version, row.head.removed));
    }
    return out.CreateVector(entries);
}

payload_offset encode(builder& out, const fetch_message& value) {
    const auto rows = encode_rows(out, value.rows);
    const auto known = encode_rows(out, value.known);
    return {wire::payload::fetch, wire::Createfetch(out, rows, value.accepts_packed, known).Union()};
}

auto encode_deltas(builder& out, const std::vector<mesh::row_delta>& deltas) {
    std::vector<flatbuffers::Offset<wire::row_delta>> entries;
    entries.reserve(deltas.size());
    for (const auto& delta : deltas) {
        std::vector<flatbuffers::Offset<wire::delta_step>> steps;
        steps.reserve(delta.steps.size());
        for (const auto& step : delta.steps) {
            steps.push_back(
                wire::Createdelta_step(out, step.offset, step.length, out.CreateString(step.text)));
        }
        const auto table = out.CreateString(delta.table);
        const auto key = out.CreateString(delta.key);
        entries.push_back(wire::Createrow_delta(out, table, key, delta.base_version, delta.version,
                                                delta.checksum, out.CreateVector(steps)));
    }
    return out.CreateVector(entries);
}

wire::store_reading encode_reading(const std::optional<bool>& reading) {
    if (!reading) {
        return wire::store_reading::none;
    }
    return *reading ? wire::store_reading::succeeded : wire::store_reading::failed;
}

payload_offset encode(builder& out, const announce_message& value) {
    std::vector<flatbuffers::Offset<flatbuffers::String>> members;
    members.reserve(value.members.size());
    for (const auto& entry : value.members) {
        members.push_back(out.CreateString(mesh::encode(entry)));
    }
    std::vector<flatbuffers::Offset<wire::evidence>> counters;
    counters.reserve(value.counters.size());
    for (const auto& entry : value.counters) {
        counters.push_back(wire::Createevidence(
            out, out.CreateString(entry.service), out.CreateString(entry.version),
            out.CreateString(entry.route), entry.answered, entry.failed, entry.latency_us));
    }
    const auto members_offset = out.CreateVector(members);
    const auto rows = encode_rows(out, value.rows);
    const auto heads = encode_rows(out, value.heads);
    const auto load = value.load ? encode_load(out, *value.load) : flatbuffers::Offset<wire::load>{};
    const auto counters_offset = out.CreateVector(counters);
    std::vector<flatbuffers::Offset<wire::progress>> moves;
    moves.reserve(value.moves.size());
    for (const auto& move : value.moves) {
        moves.push_back(wire::Createprogress(out, out.CreateString(move.service), move.order_version,
                                             move.traffic_share, move.bad));
    }
    const auto moves_offset = out.CreateVector(moves);
    const auto packed_rows = encode_packed_rows(out, value.packed_rows);
    const auto deltas = encode_deltas(out, value.deltas);
    return {wire::payload::announce,
            wire::Createannounce(out, members_offset, rows, heads, load, counters_offset, moves_offset,
                                 packed_rows, deltas, encode_reading(value.reading))
                .Union()};
}

payload_offset encode(builder& out, const ping_message& value) {
    flatbuffers::Offset<wire::key_proof> proof;
    if (value.proof) {
        proof = wire::Createkey_proof(out, value.proof->version,
                                      static_cast<std::uint64_t>(value.proof->age.count()));
    }
    return {wire::payload::ping, wire::Createping(out, value.id, value.answer, proof).Union()};
}

payload_offset encode(builder& out, const quota_message& value) {
    std::vector<flatbuffers::Offset<wire::quota_entry>> entries;
    entries.reserve(value.entries.size());
    for (const auto& entry : value.entries) {
        entries.push_back(
            wire::Createquota_entry(out, out.CreateString(entry.tenant), entry.tokens, entry.returned,
                                    static_cast<std::uint32_t>(entry.wait.count()), entry.spent));
    }
    const auto entries_offset = out.CreateVector(entries);
    flatbuffers::Offset<wire::quota_grant> grant;
    if (value.grant) {
        const auto stable = std::chrono::duration_cast<milliseconds>(value.grant->stable_for).count();
        grant = wire::Createquota_grant(
            out, value.grant->coordinators, value.grant->previous,
            static_cast<std::uint32_t>(std::clamp<std::int64_t>(stable, 0, max_stable.count())),
            value.grant->known);
    }
    return {
        wire::payload::quota,
        wire::Createquota(out, value.id, value.answer, value.configuration, entries_offset, grant).Union()};
}

std::string text_of(const flatbuffers::String* text) {
    return text == nullptr ? std::string{} : text->str();
}

header_list decode_headers(const flatbuffers::Vector<flatbuffers::Offset<wire::header>>* fields) {
    header_list result;
    if (fields != nullptr) {
        result.reserve(fields->size());
        for (const auto* entry : *fields) {
            result.push_back({text_of(entry->name()), text_of(entry->value())});
        }
    }
    return result;
}

std::string decode_body(const flatbuffers::Vector<std::uint8_t>* body) {
    return body == nullptr ? std::string{}
                           : std::string{reinterpret_cast<const char*>(body->data()), body->size()};
}

mesh::endpoint_load decode_load(const wire::load* load) {
    if (load == nullptr) {
        return {};
    }
    constexpr double per_mille = 1000.0;
    return {load->outstanding(),
            load->slots(),
            std::chrono::microseconds{load->service_time_us()},
            load->slowness_permille() / per_mille,
            load->accepting(),
            std::min(1.0, load->link_use_permille() / per_mille),
            std::chrono::microseconds{load->work_us()},
            load->pace_permille() / per_mille};
}

call_message decode(const wire::call& value) {
    if (value.kind() > static_cast<std::uint8_t>(mesh::request_kind::upload)) {
        throw error{result_code::peer_frame_malformed, "unknown request kind in a call message"};
    }
    return {value.stream(),
            text_of(value.service()),
            text_of(value.endpoint_id()),
            text_of(value.request_id()),
            text_of(value.method()),
            text_of(value.target()),
            decode_headers(value.headers()),
            decode_body(value.body()),
            text_of(value.route()),
            milliseconds{value.remaining_ms()},
            milliseconds{value.latency_target_ms()},
            milliseconds{value.waited_ms()},
            value.priority(),
            static_cast<mesh::request_kind>(value.kind()),
            value.only_if_free(),
            value.repeated(),
            text_of(value.tenant()),
            value.key_digest(),
            std::chrono::microseconds{value.expected_cost_us()},
            value.refused_before()};
}

reply_message decode(const wire::reply& value) {
    if (value.reason() > static_cast<std::uint8_t>(mesh::last_reason) ||
        value.result() > wire::outcome::unknown) {
        throw error{result_code::peer_frame_malformed, "unknown outcome or reason in a reply message"};
    }
    return {value.stream(),
            static_cast<mesh::attempt_outcome>(value.result()),
            value.status(),
            decode_headers(value.headers()),
            decode_body(value.body()),
            static_cast<mesh::reason>(value.reason()),
            milliseconds{value.retry_after_ms()},
            decode_load(value.sender_load()),
            std::chrono::microseconds{value.service_time_us()}};
}

std::vector<mesh::store_row> decode_rows(const flatbuffers::Vector<flatbuffers::Offset<wire::row>>* rows) {
    std::vector<mesh::store_row> result;
    if (rows != nullptr) {
        for (const auto* row : *rows) {
            result.push_back({text_of(row->table_name()), text_of(row->key()), text_of(row->value()),
                              row->version(), row->removed()});
        }
    }
    return result;
}

std::vector<mesh::row_delta>
decode_deltas(const flatbuffers::Vector<flatbuffers::Offset<wire::row_delta>>* deltas) {
    std::vector<mesh::row_delta> result;
    if (deltas == nullptr) {
        return result;
    }
    for (const auto* entry : *deltas) {
        mesh::row_delta delta{text_of(entry->table_name()),
                              text_of(entry->key()),
                              entry->base_version(),
                              entry->version(),
                              entry->checksum(),
                              {}};
        if (entry->steps() != nullptr) {
            delta.steps.reserve(entry->steps()->size());
            for (const auto* step : *entry->steps()) {
                delta.steps.push_back({step->offset(), step->length(), text_of(step->text())});
            }
        }
        result.push_back(std::move(delta));
    }
    return result;
}

announce_message decode(const wire::announce& value) {
    announce_message result;
    if (value.members() != nullptr) {
        for (const auto* entry : *value.members()) {
            result.members.push_back(mesh::decode_member(entry->string_view()));
        }
    }
    result.rows = decode_rows(value.rows());
    if (value.packed_rows() != nullptr) {
        std::uint64_t unpacked_bytes = 0;
        for (const auto* row : *value.packed_rows()) {
            unpacked_bytes += row->size();
            if (unpacked_bytes > max_announced_bytes) {
                throw error{result_code::peer_frame_malformed, "compressed rows exceed the limit"};
            }
            result.rows.push_back(
                unpack({{text_of(row->table_name()), text_of(row->key()), {}, row->version(), row->removed()},
                        row->size(),
                        decode_body(row->deflated())}));
        }
    }
    result.heads = decode_rows(value.heads());
    if (value.sender_load() != nullptr) {
        result.load = decode_load(value.sender_load());
    }
    if (value.counters() != nullptr) {
        for (const auto* entry : *value.counters()) {
            result.counters.push_back({text_of(entry->service()), text_of(entry->version()),
                                       text_of(entry->route()), entry->answered(), entry->failed(),
                                       entry->latency_us()});
        }
    }
    if (value.moves() != nullptr) {
        for (const auto* move : *value.moves()) {
            // The comparison is false for NaN.
            if (!(move->share() >= 0.0 && move->share() <= 1.0)) {
                throw error{result_code::peer_frame_malformed, "traffic share outside 0 to 1"};
            }
            result.moves.push_back(
                {text_of(move->service()), move->order_version(), move->share(), move->bad()});
        }
    }
    result.deltas = decode_deltas(value.deltas());
    if (value.reading() != wire::store_reading::none) {
        result.reading = value.reading() == wire::store_reading::succeeded;
    }
    return result;
}

/// An age in microseconds; a longer one than any time-out counts as that long, so that sums of it do not
/// overflow.
std::chrono::microseconds decode_age(std::uint64_t age_us) {
    constexpr std::uint64_t max_age_us = 86'400'000'000;
    return std::chrono::microseconds{std::min(age_us, max_age_us)};
}

bool is_token_count(double value) {
    return value >= 0.0 && value <= max_quota_tokens; // false for NaN
}

quota_message decode(const wire::quota& value) {
    quota_message result{value.id(), value.answer(), value.configuration(), {}};
    if (value.entries() != nullptr) {
        for (const auto* entry : *value.entries()) {
            if (!is_token_count(entry->tokens()) || !is_token_count(entry->returned()) ||
                !is_token_count(entry->spent())) {
                throw error{result_code::peer_frame_malformed, "number of quota tokens out of range"};
            }
            result.entries.push_back({text_of(entry->tenant()), entry->tokens(), entry->returned(),
                                      milliseconds{entry->wait_ms()}, entry->spent()});
        }
    }
    if (const auto* grant = value.grant()) {
        result.grant =
            tenants::quota_grant{grant->coordinators(), grant->previous(),
                                 std::min(milliseconds{grant->stable_ms()}, max_stable), grant->known()};
    }
    return result;
}

/// The payload as the given table. The verifier accepts a message with a payload type and no payload.
template <typename table>
const table& payload_of(const wire::message& message) {
    const auto* value = message.payload_as<table>();
    if (value == nullptr) {
        throw error{result_code::peer_frame_malformed, "peer message has no payload"};
    }
    return *value;
}

} // namespace

std::string encode(const peer_message& message) {
    builder out;
    const auto content = std::visit([&](const auto& value) { return encode(out, value); }, message);
    out.Finish(wire::Createmessage(out, content.type, content.value));
    return make_frame({reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()});
}

peer_message decode_message(std::string_view payload) {
    // FlatBuffers reads scalars in place; frames begin anywhere in the received bytes.
    std::vector<std::uint64_t> aligned;
    if (reinterpret_cast<std::uintptr_t>(payload.data()) % alignof(std::uint64_t) != 0) {
        aligned.resize(payload.size() / sizeof(std::uint64_t) + 1);
        std::memcpy(aligned.data(), payload.data(), payload.size());
        payload = {reinterpret_cast<const char*>(aligned.data()), payload.size()};
    }
    flatbuffers::Verifier verifier{reinterpret_cast<const std::uint8_t*>(payload.data()), payload.size()};
    if (!verifier.VerifyBuffer<wire::message>()) {
        throw error{result_code::peer_frame_malformed, "peer message failed FlatBuffers verification"};
    }
    const auto* message = flatbuffers::GetRoot<wire::message>(payload.data());
    switch (message->payload_type()) {
    case wire::payload::call:
        return decode(payload_of<wire::call>(*message));
    case wire::payload::cancel:
        return cancel_message{payload_of<wire::cancel>(*message).stream()};
    case wire::payload::reply:
        return decode(payload_of<wire::reply>(*message));
    case wire::payload::announce:
        return decode(payload_of<wire::announce>(*message));
    case wire::payload::fetch: {
        const auto& value = payload_of<wire::fetch>(*message);
        return fetch_message{decode_rows(value.rows()), value.accepts_packed(), decode_rows(value.known())};
    }
    case wire::payload::ping: {
        const auto& value = payload_of<wire::ping>(*message);
        ping_message ping{value.id(), value.answer(), std::nullopt};
        if (const auto* proof = value.proof()) {
            ping.proof = key_proof{proof->version(), decode_age(proof->age_us())};
        }
        return ping;
    }
    case wire::payload::quota:
        return decode(payload_of<wire::quota>(*message));
    case wire::payload::NONE:
        break;
    }
    throw error{result_code::peer_frame_malformed, "peer message has no payload"};
}

} // namespace endive::sidecar
