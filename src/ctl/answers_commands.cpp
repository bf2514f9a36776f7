#include "ctl/answers_commands.h"

#include "endive/config.h"

#include <charconv>
#include <cstdio>
#include <fstream>
#include <ostream>

namespace endive::ctl {
namespace {

std::string part_path(const std::string& team) {
    return "/endive/v1/parts/" + encode_segment(team);
}

/// Returns the configuration version that last changed the team's part.
std::uint64_t current_version(daemon_client& client, const std::string& team) {
    const auto body = client.call({"GET", part_path(team), {}, {}, true});
    return body.value("changed_at_version", 0ULL);
}

/// Derives the same key from the same answers and base version, so that a retry after an unknown outcome is
/// not accepted a second time.
std::string derive_idempotency_key(const std::string& answers, std::uint64_t version) {
    return "ctl-" + to_hex(stable_hash(answers)) + "-" + std::to_string(version);
}

std::string summarize(const model::team_part& part) {
    return "team " + part.team + ": " + std::to_string(part.services.size()) + " services, " +
           std::to_string(part.routes.size()) + " routes, " + std::to_string(part.moves.size()) + " moves";
}

std::string_view kind_name(model::change_kind kind) {
    switch (kind) {
    case model::change_kind::added:
        return "added";
    case model::change_kind::removed:
        return "removed";
    case model::change_kind::changed:
        return "changed";
    }
    return "changed";
}

json parse_or_null(const std::string& text) {
    return text.empty() ? json(nullptr) : json::parse(text);
}

void write_changes(const std::vector<model::resource_change>& changes, bool as_json, std::ostream& out) {
    json list = json::array();
    for (const auto& change : changes) {
        if (as_json) {
            list.push_back({{"kind", kind_name(change.kind)},
                            {"resource", change.resource},
                            {"before", parse_or_null(change.before)},
                            {"after", parse_or_null(change.after)}});
            continue;
        }
        out << kind_name(change.kind) << ' ' << change.resource << '\n';
        if (!change.before.empty()) {
            out << "- " << change.before << '\n';
        }
        if (!change.after.empty()) {
            out << "+ " << change.after << '\n';
        }
    }
    if (as_json) {
        out << json{{"changes", list}}.dump() << '\n';
    }
}

} // namespace

std::string read_answers(const std::string& path) {
    std::ifstream file{path, std::ios::binary};
    std::string bytes(config::max_questionnaire_bytes + 1, '\0');
    if (file) {
        file.read(bytes.data(), static_cast<std::streamsize>(bytes.size()));
    }
    // Opening a directory succeeds; only reading from it fails.
    if (file.bad() || (!file && !file.eof())) {
        throw error{result_code::answers_unreadable, "cannot read " + path};
    }
    bytes.resize(static_cast<std::size_t>(file.gcount()));
    if (bytes.size() > config::max_questionnaire_bytes) {
        throw error{result_code::answers_too_large, path + " is too large, allowed: at most " +
                                                        std::to_string(config::max_questionnaire_bytes) +
                                                        " bytes"};
    }
    return bytes;
}

void write_file(const std::string& path, const std::string& bytes) {
    const auto temporary = path + ".tmp";
    std::ofstream file{temporary, std::ios::binary | std::ios::trunc};
    file << bytes;
    file.close();
    if (!file || std::rename(temporary.c_str(), path.c_str()) != 0) {
        (void)std::remove(temporary.c_str());
        throw error{result_code::usage, "cannot write " + path, path};
    }
}

std::uint64_t parse_version(const std::string& text) {
    std::uint64_t version = 0;
    const auto [end, status] = std::from_chars(text.data(), text.data() + text.size(), version);
    if (status != std::errc{} || end != text.data() + text.size()) {
        throw error{result_code::usage, "--if-match is \"" + text + "\", allowed: a version number"};
    }
    return version;
}

exit_code run_check(const command_options& options, const clock_source& clock, std::ostream& out) {
    const auto part = model::generate(read_answers(options.arguments.at(1)), clock.wall_now());
    if (options.json_output) {
        out << json{{"valid", true},
                    {"team", part.team},
                    {"services", part.services.size()},
                    {"routes", part.routes.size()},
                    {"moves", part.moves.size()}}
                   .dump()
            << '\n';
    } else {
        out << "valid, " << summarize(part) << '\n';
    }
    return exit_code::success;
}

exit_code run_generate(const command_options& options, const clock_source& clock, std::ostream& out) {
    const auto part = model::generate(read_answers(options.arguments.at(1)), clock.wall_now());
    const auto bytes = model::encode(part) + "\n";
    if (options.out.empty()) {
        out << bytes;
    } else {
        write_file(options.out, bytes);
    }
    return exit_code::success;
}

exit_code run_submit(const command_options& options, const clock_source& clock, daemon_client& client,
                     std::ostream& out) {
    const auto answers = read_answers(options.arguments.at(1));
    const auto part = model::generate(answers, clock.wall_now());
    const auto base =
        options.if_match.empty() ? current_version(client, part.team) : parse_version(options.if_match);
    api_request request{"POST", part_path(part.team), {}, answers, true};
    request.headers["if-match"] = "\"" + std::to_string(base) + "\"";
    request.headers["idempotency-key"] =
        options.idempotency_key.empty() ? derive_idempotency_key(answers, base) : options.idempotency_key;
    const auto result = client.call(request);
    if (options.json_output) {
        out << result.dump() << '\n';
        return exit_code::success;
    }
    out << (result.value("changed", true) ? "accepted" : "unchanged") << ", " << summarize(part)
        << ", configuration version " << result.value("version", 0ULL) << '\n';
    return exit_code::success;
}

exit_code run_diff(const command_options& options, const clock_source& clock, daemon_client& client,
                   std::ostream& out) {
    const auto after = model::generate(read_answers(options.arguments.at(1)), clock.wall_now());
    const auto body = client.call({"GET", part_path(after.team), {}, {}, true});
    const auto accepted = body.value("part", json{});
    const bool present = accepted.is_object();
    const auto before = present ? model::decode_part(accepted.dump()) : model::team_part{};
    const auto changes = model::compare_parts(before, after);
    write_changes(changes, options.json_output, out);
    return changes.empty() ? exit_code::success : exit_code::different;
}

} // namespace endive::ctl
