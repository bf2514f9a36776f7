#include "distribution/table_rows.h"

namespace endive::distribution {
namespace {

/// Throws `json::exception` or `std::exception` on anything that is not 16 hexadecimal digits.
std::uint64_t digest_of(const json& value) {
    const auto text = value.get<std::string>();
    std::size_t used = 0;
    const auto digest = std::stoull(text, &used, 16);
    if (used != text.size()) {
        throw std::invalid_argument{"digest"};
    }
    return digest;
}

template <typename Row, typename Read>
std::optional<Row> decode(std::string_view text, Read read) {
    try {
        return read(json::parse(text));
    } catch (const std::exception&) {
        return {};
    }
}

} // namespace

std::string encode(const head_row& value) {
    auto recent = json::array();
    for (const auto& write : value.recent) {
        recent.push_back({{"write_id", write.write_id},
                          {"version", write.version},
                          {"request_digest", to_hex(write.request_digest)},
                          {"team", write.team},
                          {"accepted_by", write.accepted_by},
                          {"submitted", write.submitted_unix_ms}});
    }
    return json{{"version", value.version},
                {"object", value.object},
                {"digest", to_hex(value.digest)},
                {"write_id", value.write_id},
                {"recent", std::move(recent)}}
        .dump();
}

std::string encode(const lease_row& value) {
    return json{{"holder", value.holder},
                {"epoch", value.epoch},
                {"expires_at", value.expires_at_unix_ms},
                {"write_id", value.write_id}}
        .dump();
}

std::string encode(const rendezvous_row& value) {
    return json{{"member", value.member}, {"address", value.address}, {"time", value.time_unix_ms}}.dump();
}

std::optional<head_row> decode_head(std::string_view text) {
    return decode<head_row>(text, [](const json& value) {
        head_row row;
        row.version = value.at("version").get<std::uint64_t>();
        row.object = value.at("object").get<std::string>();
        row.digest = digest_of(value.at("digest"));
        row.write_id = value.at("write_id").get<std::string>();
        for (const auto& write : value.value("recent", json::array())) {
            row.recent.push_back(
                {write.at("write_id").get<std::string>(), write.at("version").get<std::uint64_t>(),
                 digest_of(write.at("request_digest")), write.value("team", std::string{}),
                 write.value("accepted_by", std::string{}), write.value("submitted", std::int64_t{0})});
        }
        return row;
    });
}

std::vector<history_item> decode_history(std::string_view head_row_value) {
    std::vector<history_item> items;
    const auto head = decode_head(head_row_value);
    if (!head) {
        return items;
    }
    for (auto write = head->recent.rbegin(); write != head->recent.rend(); ++write) {
        items.push_back({write->version, write->team, write->accepted_by, write->submitted_unix_ms});
    }
    return items;
}

std::optional<lease_row> decode_lease(std::string_view text) {
    return decode<lease_row>(text, [](const json& value) {
        return lease_row{value.at("holder").get<std::string>(), value.at("epoch").get<std::uint64_t>(),
                         value.at("expires_at").get<std::int64_t>(), value.value("write_id", std::string{})};
    });
}

std::optional<rendezvous_row> decode_rendezvous(std::string_view text) {
    return decode<rendezvous_row>(text, [](const json& value) {
        return rendezvous_row{value.at("member").get<std::string>(), value.at("address").get<std::string>(),
                              value.at("time").get<std::int64_t>()};
    });
}

std::string snapshot_key(std::uint64_t version, std::uint64_t digest) {
    return "snapshots/" + std::to_string(version) + "-" + to_hex(digest);
}

} // namespace endive::distribution
