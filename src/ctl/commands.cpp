#include "ctl/commands.h"

#include "ctl/answers_commands.h"
#include "ctl/explain.h"
#include "ctl/text_output.h"

#include <algorithm>
#include <fstream>
#include <ostream>
#include <sstream>

namespace endive::ctl {
namespace {

[[noreturn]] void throw_usage_error(const std::string& message) {
    throw error{result_code::usage, message + "; see endivectl --help"};
}

void expect_arguments(const command_options& options, std::size_t count) {
    if (options.arguments.size() != count) {
        throw_usage_error("the command " + options.arguments.front() + " takes " + std::to_string(count - 1) +
                          " arguments");
    }
}

std::string read_token(const std::string& path) {
    if (path.empty()) {
        throw_usage_error("--token-file is required");
    }
    std::ifstream file{path};
    std::string token;
    std::getline(file, token);
    while (!token.empty() && std::isspace(static_cast<unsigned char>(token.back())) != 0) {
        token.pop_back();
    }
    const bool printable = std::ranges::all_of(token, [](char c) { return c > ' ' && c < '\x7F'; });
    if (token.empty() || !printable) {
        throw_usage_error("the first line of " + path + " contains no token");
    }
    return token;
}

daemon_client make_client(const command_options& options) {
    if (options.daemons.empty()) {
        throw_usage_error("--daemon is required");
    }
    for (const auto& daemon : options.daemons) {
        if (!parse_address(daemon)) {
            throw_usage_error("--daemon is \"" + daemon +
                              "\", allowed: an IPv4 address and port such as 10.0.0.1:7001");
        }
    }
    return {options.daemons, read_token(options.token_file)};
}

/// Fetches a JSON document from a daemon and prints it as JSON or as formatted text.
exit_code show_document(const command_options& options, std::ostream& out, const std::string& path,
                        std::string (*format)(const json&)) {
    const auto body = make_client(options).call({"GET", path, {}, {}, true});
    out << (options.json_output ? body.dump() + "\n" : format(body));
    return exit_code::success;
}

json find_move(daemon_client& client, const std::string& id) {
    const auto body = client.call({"GET", "/endive/v1/moves", {}, {}, true});
    for (const auto& move : body.value("moves", json::array())) {
        if (move.value("id", "") == id) {
            return move;
        }
    }
    throw error{result_code::move_not_found, "no move has this id", id};
}

void write_move(const command_options& options, const json& move, std::ostream& out) {
    out << (options.json_output ? move.dump() + "\n" : move_text(move));
}

std::string action_body(const command_options& options, const std::string& action) {
    if (action != "extend") {
        return "{}";
    }
    if (!parse_rfc3339(options.deadline)) {
        throw_usage_error(
            "move extend requires --deadline with an RFC 3339 time such as 2026-12-05T05:30:00Z");
    }
    return json{{"deadline", options.deadline}}.dump();
}

/// Returns the If-Match value. Without --if-match, a take-back applies to any version of the move, and other
/// actions apply to its current version.
std::string action_precondition(const command_options& options, daemon_client& client, const std::string& id,
                                const std::string& action) {
    if (!options.if_match.empty()) {
        return "\"" + std::to_string(parse_version(options.if_match)) + "\"";
    }
    if (action == "take-back") {
        return "*";
    }
    return "\"" + std::to_string(find_move(client, id).value("row_version", 0ULL)) + "\"";
}

exit_code run_action(const command_options& options, const std::string& id, const std::string& action,
                     std::ostream& out) {
    const auto body = action_body(options, action);
    auto client = make_client(options);
    api_request request{"POST", "/endive/v1/moves/" + encode_segment(id) + "/" + action, {}, body, false};
    request.headers["if-match"] = action_precondition(options, client, id, action);
    // Repeating a take-back has no further effect.
    request.idempotent = action == "take-back";
    write_move(options, client.call(request), out);
    return exit_code::success;
}

std::string moves_body_text(const json& body) {
    return moves_text(body.value("moves", json::array()));
}

exit_code run_move(const command_options& options, std::ostream& out) {
    if (options.arguments.size() < 2) {
        throw_usage_error("the command move requires list, show, pause, resume or extend");
    }
    const auto& action = options.arguments[1];
    if (action == "list") {
        expect_arguments(options, 2);
        return show_document(options, out, "/endive/v1/moves", moves_body_text);
    }
    const bool known = action == "show" || action == "pause" || action == "resume" || action == "extend";
    if (!known) {
        throw_usage_error("unknown action of the command move: " + action);
    }
    expect_arguments(options, 3);
    if (action != "show") {
        return run_action(options, options.arguments[2], action, out);
    }
    auto client = make_client(options);
    write_move(options, find_move(client, options.arguments[2]), out);
    return exit_code::success;
}

exit_code run_history(const command_options& options, std::ostream& out) {
    expect_arguments(options, 1);
    const auto query = options.limit == 0 ? "" : "?limit=" + std::to_string(options.limit);
    return show_document(options, out, "/endive/v1/history" + query, history_text);
}

exit_code run_answers_command(const command_options& options, const clock_source& clock, std::ostream& out) {
    expect_arguments(options, 2);
    const auto& name = options.arguments.front();
    if (name == "check") {
        return run_check(options, clock, out);
    }
    if (name == "generate") {
        return run_generate(options, clock, out);
    }
    auto client = make_client(options);
    return name == "submit" ? run_submit(options, clock, client, out) : run_diff(options, clock, client, out);
}

/// Reads the lines of all log files and merges them in order of time.
std::vector<log_line> read_logs(const command_options& options, std::size_t first_file) {
    if (options.arguments.size() <= first_file) {
        throw_usage_error("the command " + options.arguments.front() +
                          " requires the log files of the daemons");
    }
    std::stringstream all;
    for (auto i = first_file; i < options.arguments.size(); ++i) {
        std::ifstream file{options.arguments[i]};
        if (!file) {
            throw_usage_error("cannot read " + options.arguments[i]);
        }
        all << file.rdbuf() << '\n';
    }
    return read_log(all);
}

exit_code run_explain(const command_options& options, std::ostream& out) {
    const auto lines = read_logs(options, 2);
    out << explain_request(lines, options.arguments[1]);
    return exit_code::success;
}

exit_code run_beliefs(const command_options& options, std::ostream& out) {
    const auto lines = read_logs(options, 3);
    const auto time = parse_rfc3339(options.arguments[2]);
    if (!time) {
        throw_usage_error("beliefs requires an RFC 3339 time such as 2026-12-05T05:30:00Z");
    }
    out << describe_beliefs(lines, options.arguments[1], format_rfc3339(*time));
    return exit_code::success;
}

exit_code dispatch(const command_options& options, const clock_source& clock, std::ostream& out) {
    if (options.arguments.empty()) {
        throw_usage_error("a command is required");
    }
    const auto& name = options.arguments.front();
    if (name == "check" || name == "generate" || name == "submit" || name == "diff") {
        return run_answers_command(options, clock, out);
    }
    if (name == "status") {
        expect_arguments(options, 1);
        return show_document(options, out, "/endive/v1/status", status_text);
    }
    if (name == "report") {
        expect_arguments(options, 1);
        return show_document(options, out, "/endive/v1/report", report_text);
    }
    if (name == "history") {
        return run_history(options, out);
    }
    if (name == "move") {
        return run_move(options, out);
    }
    if (name == "take-back") {
        expect_arguments(options, 2);
        return run_action(options, options.arguments[1], name, out);
    }
    if (name == "explain") {
        return run_explain(options, out);
    }
    if (name == "beliefs") {
        return run_beliefs(options, out);
    }
    throw_usage_error("unknown command " + name);
}

json error_json(const error& problem) {
    if (const auto* remote = dynamic_cast<const remote_error*>(&problem)) {
        return remote->body();
    }
    return {{"code", number(problem.code())},
            {"name", to_string(problem.code())},
            {"message", problem.what()},
            {"place", problem.location()}};
}

void write_error(const command_options& options, const error& problem, std::ostream& out, std::ostream& err) {
    const auto body = error_json(problem);
    if (options.json_output) {
        out << body.dump(-1, ' ', false, json::error_handler_t::replace) << '\n';
        return;
    }
    err << "endivectl: " << to_string(problem.code()) << " (" << number(problem.code())
        << "): " << problem.what();
    if (!problem.location().empty()) {
        err << ", at " << problem.location();
    }
    if (body.contains("current_version")) {
        err << ", current version: " << body["current_version"].dump();
    }
    err << '\n';
}

} // namespace

exit_code run_command(const command_options& options, const clock_source& clock, std::ostream& out,
                      std::ostream& err) {
    try {
        return dispatch(options, clock, out);
    } catch (const error& problem) {
        write_error(options, problem, out, err);
        return exit_code_of(problem.code());
    } catch (const std::exception& problem) {
        write_error(options, error{result_code::internal, problem.what()}, out, err);
        return exit_code::internal;
    }
}

std::string command_help() {
    return "commands:\n"
           "  check FILE               check a questionnaire (offline)\n"
           "  generate FILE            print the generated part (offline; --out)\n"
           "  submit FILE              submit a questionnaire (--if-match, --idempotency-key)\n"
           "  diff FILE                compare a questionnaire with the accepted part\n"
           "  status                   state of the daemons\n"
           "  history                  accepted configuration versions (--limit)\n"
           "  move list                all version moves\n"
           "  move show ID             one version move with its evidence\n"
           "  move pause|resume ID     pause or resume (--if-match)\n"
           "  move extend ID           set a later --deadline (--if-match)\n"
           "  take-back ID             permanently stop traffic to the new version\n"
           "  report                   metrics and version moves of all teams\n"
           "  explain ID FILE...       what happened to a request, from the daemons' logs (offline)\n"
           "  beliefs DAEMON TIME FILE...  what a daemon believed at a time (offline)\n";
}

} // namespace endive::ctl
