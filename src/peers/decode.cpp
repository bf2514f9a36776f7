// Verification and decoding of FlatBuffers frames.

#include "endive/peers.h"

#include "peers/generated/peer_generated.h"

namespace endive::peers {
namespace {

// The schema nests four tables (frame, content, member, endpoint); the rest is room for additions.
constexpr std::uint32_t max_table_depth = 8;
// A frame of the maximum size holds fewer tables than this.
constexpr std::uint32_t max_tables = 65536;

std::string text(const flatbuffers::String* value) {
    return value != nullptr ? value->str() : std::string{};
}

std::string bytes(const flatbuffers::Vector<std::uint8_t>* value) {
    return value != nullptr ? std::string{reinterpret_cast<const char*>(value->data()), value->size()}
                            : std::string{};
}

std::vector<std::uint64_t> numbers(const flatbuffers::Vector<std::uint64_t>* value) {
    return value != nullptr ? std::vector<std::uint64_t>{value->begin(), value->end()}
                            : std::vector<std::uint64_t>{};
}

template <typename Enum>
Enum checked_enum(std::uint8_t value, Enum last) {
    if (value > static_cast<std::uint8_t>(last)) {
        throw error{result_code::peer_frame_malformed, "unknown enumeration value in a peer frame"};
    }
    return static_cast<Enum>(value);
}

template <typename Offsets, typename Convert>
auto decode_vector(const Offsets* offsets, Convert convert) {
    std::vector<decltype(convert(*offsets->Get(0)))> result;
    if (offsets != nullptr) {
        result.reserve(offsets->size());
        for (const auto* item : *offsets) {
            result.push_back(convert(*item));
        }
    }
    return result;
}

distribution::version_count decode_count(const wire::VersionCount& value) {
    return {value.version(), value.daemons()};
}

distribution::laggard decode_laggard(const wire::Laggard& value) {
    return {text(value.id()), value.version(), text(value.reason())};
}

distribution::counter_vector decode_counter(const wire::CounterVector& value) {
    return {text(value.name()), numbers(value.values())};
}

model::endpoint_info decode_endpoint(const wire::Endpoint& value) {
    return {text(value.address()),        text(value.relay()),
            text(value.service()),        text(value.version()),
            text(value.failure_domain()), value.slots(),
            value.connections(),          checked_enum(value.state(), model::endpoint_state::leaving)};
}

distribution::member_record decode_member(const wire::Member& value) {
    return {text(value.id()),
            value.incarnation(),
            checked_enum(value.state(), distribution::member_state::dead),
            value.version_floor(),
            value.revision(),
            text(value.failure_domain()),
            text(value.region()),
            decode_vector(value.endpoints(), decode_endpoint)};
}

distribution::replicated_record decode_record(const wire::Record& value) {
    return {checked_enum(value.kind(), distribution::record_kind::move_change),
            text(value.key()),
            value.epoch(),
            value.sequence(),
            value.final(),
            bytes(value.payload())};
}

hello decode(const wire::Hello& value) {
    return {value.protocol(), text(value.member()), value.incarnation()};
}

distribution::heartbeat decode(const wire::Heartbeat& value) {
    return {value.incarnation(),    value.sequence(),       value.version(),    value.config_digest(),
            value.members_digest(), value.records_digest(), value.lease_epoch()};
}

distribution::version_notice decode(const wire::VersionNotice& value) {
    return {value.version(), value.digest()};
}

distribution::config_request decode(const wire::ConfigRequest& value) {
    return {value.version(), value.base_version(), value.chunk()};
}

distribution::config_chunk decode(const wire::ConfigChunk& value) {
    return {value.version(), value.digest(), value.base_version(),
            value.chunk(),   value.chunks(), bytes(value.bytes())};
}

distribution::config_refusal decode(const wire::ConfigRefusal& value) {
    return {value.version(), value.base_version(),
            checked_enum(value.reason(), distribution::config_refusal_reason::base_absent)};
}

distribution::state_request decode(const wire::StateRequest& value) {
    return {value.nonce()};
}

distribution::state_answer decode(const wire::StateAnswer& value) {
    return {value.nonce(), value.ready(), value.version(), value.digest(), value.floor()};
}

distribution::table_digests decode(const wire::TableDigests& value) {
    return {checked_enum(value.table(), distribution::table_kind::records), value.reply(),
            numbers(value.buckets())};
}

distribution::member_update decode(const wire::MemberUpdate& value) {
    return {decode_vector(value.members(), decode_member)};
}

distribution::record_update decode(const wire::RecordUpdate& value) {
    return {decode_vector(value.records(), decode_record)};
}

distribution::subtree_report decode(const wire::SubtreeReport& value) {
    return {value.incarnation(), value.sequence(), decode_vector(value.counts(), decode_count),
            decode_vector(value.laggards(), decode_laggard), decode_vector(value.evidence(), decode_counter)};
}

distribution::fleet_totals decode(const wire::FleetTotals& value) {
    return {text(value.root()), value.sequence(), decode_vector(value.counts(), decode_count),
            decode_vector(value.laggards(), decode_laggard)};
}

relay_request decode(const wire::RelayRequest& value) {
    return {value.stream(), bytes(value.header()), bytes(value.body()), value.end()};
}

relay_response decode(const wire::RelayResponse& value) {
    return {value.stream(), bytes(value.header()), bytes(value.body()), value.end()};
}

relay_cancel decode(const wire::RelayCancel& value) {
    return {value.stream(), value.code()};
}

template <typename Table>
frame_content as_message(const Table* table) {
    return distribution::message{decode(*table)};
}

template <typename Table>
frame_content as_relay(const Table* table) {
    return relay_message{decode(*table)};
}

frame_content decode_content(const wire::Frame& frame) {
    switch (frame.content_type()) {
    case wire::Content::Hello:
        return decode(*frame.content_as_Hello());
    case wire::Content::Heartbeat:
        return as_message(frame.content_as_Heartbeat());
    case wire::Content::VersionNotice:
        return as_message(frame.content_as_VersionNotice());
    case wire::Content::ConfigRequest:
        return as_message(frame.content_as_ConfigRequest());
    case wire::Content::ConfigChunk:
        return as_message(frame.content_as_ConfigChunk());
    case wire::Content::ConfigRefusal:
        return as_message(frame.content_as_ConfigRefusal());
    case wire::Content::StateRequest:
        return as_message(frame.content_as_StateRequest());
    case wire::Content::StateAnswer:
        return as_message(frame.content_as_StateAnswer());
    case wire::Content::TableDigests:
        return as_message(frame.content_as_TableDigests());
    case wire::Content::MemberUpdate:
        return as_message(frame.content_as_MemberUpdate());
    case wire::Content::RecordUpdate:
        return as_message(frame.content_as_RecordUpdate());
    case wire::Content::SubtreeReport:
        return as_message(frame.content_as_SubtreeReport());
    case wire::Content::FleetTotals:
        return as_message(frame.content_as_FleetTotals());
    case wire::Content::RelayRequest:
        return as_relay(frame.content_as_RelayRequest());
    case wire::Content::RelayResponse:
        return as_relay(frame.content_as_RelayResponse());
    case wire::Content::RelayCancel:
        return as_relay(frame.content_as_RelayCancel());
    case wire::Content::NONE:
        break;
    }
    throw error{result_code::peer_frame_malformed, "unknown content type in a peer frame"};
}

} // namespace

frame_content decode_frame(std::string_view payload) {
    // The verifier reads scalars in place, so the buffer must have the alignment of the largest scalar.
    thread_local std::vector<std::uint64_t> aligned;
    aligned.resize(payload.size() / sizeof(std::uint64_t) + 1);
    std::memcpy(aligned.data(), payload.data(), payload.size());
    const auto* data = reinterpret_cast<const std::uint8_t*>(aligned.data());
    flatbuffers::Verifier verifier{data, payload.size(), max_table_depth, max_tables};
    if (!wire::VerifyFrameBuffer(verifier)) {
        throw error{result_code::peer_frame_malformed, "FlatBuffers verification of a peer frame failed"};
    }
    return decode_content(*wire::GetFrame(data));
}

} // namespace endive::peers
