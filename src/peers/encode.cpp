// FlatBuffers encoding of frames.

#include "endive/peers.h"

#include "peers/generated/peer_generated.h"

namespace endive::peers {
namespace {

using builder = flatbuffers::FlatBufferBuilder;
using content_offset = std::pair<wire::Content, flatbuffers::Offset<void>>;

flatbuffers::Offset<flatbuffers::Vector<std::uint8_t>> bytes_of(builder& out, const std::string& bytes) {
    return out.CreateVector(reinterpret_cast<const std::uint8_t*>(bytes.data()), bytes.size());
}

template <typename Items, typename Convert>
auto vector_of(builder& out, const Items& items, Convert convert) {
    std::vector<decltype(convert(out, items.front()))> offsets;
    offsets.reserve(items.size());
    for (const auto& item : items) {
        offsets.push_back(convert(out, item));
    }
    return out.CreateVector(offsets);
}

auto counts_of(builder& out, const std::vector<distribution::version_count>& counts) {
    std::vector<wire::VersionCount> values;
    values.reserve(counts.size());
    for (const auto& count : counts) {
        values.emplace_back(count.version, count.daemons);
    }
    return out.CreateVectorOfStructs(values);
}

auto encode_laggard(builder& out, const distribution::laggard& value) {
    const auto id = out.CreateString(value.id);
    const auto reason = out.CreateString(value.reason);
    return wire::CreateLaggard(out, id, value.version, reason);
}

auto encode_counter(builder& out, const distribution::counter_vector& value) {
    const auto name = out.CreateString(value.name);
    const auto values = out.CreateVector(value.values);
    return wire::CreateCounterVector(out, name, values);
}

auto encode_endpoint(builder& out, const model::endpoint_info& value) {
    const auto address = out.CreateString(value.address);
    const auto relay = out.CreateString(value.relay);
    const auto service = out.CreateString(value.service);
    const auto version = out.CreateString(value.version);
    const auto domain = out.CreateString(value.failure_domain);
    return wire::CreateEndpoint(out, address, relay, service, version, domain, value.slots, value.connections,
                                static_cast<std::uint8_t>(value.state));
}

auto encode_member(builder& out, const distribution::member_record& value) {
    const auto id = out.CreateString(value.id);
    const auto domain = out.CreateString(value.failure_domain);
    const auto region = out.CreateString(value.region);
    const auto endpoints = vector_of(out, value.endpoints, encode_endpoint);
    return wire::CreateMember(out, id, value.incarnation, static_cast<std::uint8_t>(value.state),
                              value.version_floor, value.revision, domain, region, endpoints);
}

auto encode_record(builder& out, const distribution::replicated_record& value) {
    const auto key = out.CreateString(value.key);
    const auto payload = bytes_of(out, value.payload);
    return wire::CreateRecord(out, static_cast<std::uint8_t>(value.kind), key, value.epoch, value.sequence,
                              value.final, payload);
}

content_offset encode(builder& out, const hello& value) {
    const auto member = out.CreateString(value.member);
    return {wire::Content::Hello, wire::CreateHello(out, value.protocol, member, value.incarnation).Union()};
}

content_offset encode(builder& out, const distribution::heartbeat& value) {
    return {wire::Content::Heartbeat,
            wire::CreateHeartbeat(out, value.incarnation, value.sequence, value.version, value.config_digest,
                                  value.members_digest, value.records_digest, value.lease_epoch)
                .Union()};
}

content_offset encode(builder& out, const distribution::version_notice& value) {
    return {wire::Content::VersionNotice,
            wire::CreateVersionNotice(out, value.version, value.digest).Union()};
}

content_offset encode(builder& out, const distribution::config_request& value) {
    return {wire::Content::ConfigRequest,
            wire::CreateConfigRequest(out, value.version, value.base_version, value.chunk).Union()};
}

content_offset encode(builder& out, const distribution::config_chunk& value) {
    const auto bytes = bytes_of(out, value.bytes);
    return {wire::Content::ConfigChunk,
            wire::CreateConfigChunk(out, value.version, value.digest, value.base_version, value.chunk,
                                    value.chunks, bytes)
                .Union()};
}

content_offset encode(builder& out, const distribution::config_refusal& value) {
    return {wire::Content::ConfigRefusal, wire::CreateConfigRefusal(out, value.version, value.base_version,
                                                                    static_cast<std::uint8_t>(value.reason))
                                              .Union()};
}

content_offset encode(builder& out, const distribution::state_request& value) {
    return {wire::Content::StateRequest, wire::CreateStateRequest(out, value.nonce).Union()};
}

content_offset encode(builder& out, const distribution::state_answer& value) {
    return {wire::Content::StateAnswer,
            wire::CreateStateAnswer(out, value.nonce, value.ready, value.version, value.digest, value.floor)
                .Union()};
}

content_offset encode(builder& out, const distribution::table_digests& value) {
    const auto buckets = out.CreateVector(value.buckets);
    return {
        wire::Content::TableDigests,
        wire::CreateTableDigests(out, static_cast<std::uint8_t>(value.table), value.reply, buckets).Union()};
}

content_offset encode(builder& out, const distribution::member_update& value) {
    const auto members = vector_of(out, value.members, encode_member);
    return {wire::Content::MemberUpdate, wire::CreateMemberUpdate(out, members).Union()};
}

content_offset encode(builder& out, const distribution::record_update& value) {
    const auto records = vector_of(out, value.records, encode_record);
    return {wire::Content::RecordUpdate, wire::CreateRecordUpdate(out, records).Union()};
}

content_offset encode(builder& out, const distribution::subtree_report& value) {
    const auto counts = counts_of(out, value.counts);
    const auto laggards = vector_of(out, value.laggards, encode_laggard);
    const auto evidence = vector_of(out, value.evidence, encode_counter);
    return {wire::Content::SubtreeReport,
            wire::CreateSubtreeReport(out, value.incarnation, value.sequence, counts, laggards, evidence)
                .Union()};
}

content_offset encode(builder& out, const distribution::fleet_totals& value) {
    const auto root = out.CreateString(value.root);
    const auto counts = counts_of(out, value.counts);
    const auto laggards = vector_of(out, value.laggards, encode_laggard);
    return {wire::Content::FleetTotals,
            wire::CreateFleetTotals(out, root, value.sequence, counts, laggards).Union()};
}

content_offset encode(builder& out, const relay_request& value) {
    const auto header = bytes_of(out, value.header);
    const auto body = bytes_of(out, value.body);
    return {wire::Content::RelayRequest,
            wire::CreateRelayRequest(out, value.stream, header, body, value.end).Union()};
}

content_offset encode(builder& out, const relay_response& value) {
    const auto header = bytes_of(out, value.header);
    const auto body = bytes_of(out, value.body);
    return {wire::Content::RelayResponse,
            wire::CreateRelayResponse(out, value.stream, header, body, value.end).Union()};
}

content_offset encode(builder& out, const relay_cancel& value) {
    return {wire::Content::RelayCancel, wire::CreateRelayCancel(out, value.stream, value.code).Union()};
}

template <typename... Types>
content_offset encode(builder& out, const std::variant<Types...>& value) {
    return std::visit([&](const auto& alternative) { return encode(out, alternative); }, value);
}

} // namespace

std::string encode_frame(const frame_content& content) {
    builder out;
    const auto [type, offset] = encode(out, content);
    wire::FinishFrameBuffer(out, wire::CreateFrame(out, type, offset));
    if (out.GetSize() > config::max_frame_bytes) {
        throw error{result_code::peer_frame_too_large, "peer frame of " + std::to_string(out.GetSize()) +
                                                           " bytes exceeds the limit of " +
                                                           std::to_string(config::max_frame_bytes)};
    }
    return make_frame({reinterpret_cast<const char*>(out.GetBufferPointer()), out.GetSize()});
}

} // namespace endive::peers
