#include "operators/admin_api.h"

#include "operators/admin_json.h"

#include <algorithm>

namespace endive::operators {
namespace {

constexpr std::string_view bearer = "Bearer ";

[[noreturn]] void not_found(const std::string& place) {
    throw error{result_code::admin_not_found, "there is nothing under this path", place};
}

/// Compares in a time that depends on the length of `expected` only, so that response times reveal nothing
/// about a token.
bool equal_in_constant_time(std::string_view given, std::string_view expected) {
    unsigned difference = given.size() == expected.size() ? 0U : 1U;
    for (std::size_t i = 0; i < expected.size(); ++i) {
        const char other = i < given.size() ? given[i] : '\0';
        difference |= static_cast<unsigned char>(other) ^ static_cast<unsigned char>(expected[i]);
    }
    return difference == 0;
}

/// Requires one of the methods in `allowed`; GET also allows HEAD.
void require_method(const http_request& request, std::initializer_list<std::string_view> allowed) {
    const std::string_view method = request.method == "HEAD" ? "GET" : std::string_view{request.method};
    if (std::ranges::find(allowed, method) != allowed.end()) {
        return;
    }
    std::string names;
    for (const auto name : allowed) {
        names += names.empty() ? "" : ", ";
        names += name;
    }
    throw error{result_code::admin_method_not_allowed, "the path does not offer " + request.method, names};
}

/// ETag syntax of a version.
std::string etag_of(std::uint64_t version) {
    return "\"" + std::to_string(version) + "\"";
}

http_response json_response(const json& body, int status = 200) {
    http_response response;
    response.status = status;
    // Text from outside may hold invalid UTF-8, which must not fail the response.
    response.body = body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n";
    return response;
}

template <typename Item>
json list_of(const std::vector<Item>& items) {
    json list = json::array();
    for (const auto& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

void check_tokens(const admin_settings& settings) {
    std::set<std::string> seen;
    const auto check = [&](const std::string& token, const std::string& place) {
        if (token.empty()) {
            throw error{result_code::settings_out_of_range, "a token is empty, allowed: text", place};
        }
        if (!seen.insert(token).second) {
            throw error{result_code::settings_out_of_range,
                        "a token is used twice, allowed: a different token for each team", place};
        }
    };
    if (!settings.operators_token.empty()) {
        check(settings.operators_token, "/operators_token");
    }
    for (const auto& [team, token] : settings.tokens) {
        check(token, "/tokens/" + team);
    }
}

} // namespace

admin_api::admin_api(admin_settings settings, admin_service& service, counter_set& counters,
                     std::vector<named_histogram> histograms)
    : settings_{std::move(settings)}, service_{service}, counters_{counters}, histograms_{
                                                                                  std::move(histograms)} {
    check_tokens(settings_);
}

http_response admin_api::handle(const http_request& request) noexcept {
    counters_.add("admin.requests");
    try {
        return dispatch(request);
    } catch (const error& problem) {
        return failure(problem);
    } catch (const std::exception& problem) {
        log_event(log_level::error, "admin_request_failed",
                  {{"method", request.method}, {"target", request.target}, {"message", problem.what()}});
        return failure(error{result_code::internal, "a fault in the daemon; its log has the cause"});
    }
}

http_response admin_api::failure(const error& problem) {
    counters_.add("admin.errors." + std::string{to_string(problem.code())});
    auto response = json_response(to_json(problem), http_status(problem.code()));
    if (problem.code() == result_code::submit_unauthorized) {
        response.headers["WWW-Authenticate"] = "Bearer";
    }
    if (problem.code() == result_code::admin_method_not_allowed) {
        response.headers["Allow"] = problem.location();
    }
    if (response.status == 503) {
        response.headers["Retry-After"] = "1";
    }
    if (const auto* conflict = dynamic_cast<const conflict_error*>(&problem)) {
        response.headers["ETag"] = etag_of(conflict->current_version());
    }
    return response;
}

admin_api::principal admin_api::authenticate(const http_request& request) const {
    const std::string_view header = request.authorization ? std::string_view{*request.authorization} : "";
    if (!header.starts_with(bearer)) {
        throw error{result_code::submit_unauthorized,
                    "the request needs the header Authorization: Bearer <token>", "authorization"};
    }
    const auto token = header.substr(bearer.size());
    std::optional<principal> found;
    for (const auto& [team, expected] : settings_.tokens) {
        if (equal_in_constant_time(token, expected)) {
            found = principal{team};
        }
    }
    if (!settings_.operators_token.empty() && equal_in_constant_time(token, settings_.operators_token)) {
        found = principal{};
    }
    if (!found) {
        throw error{result_code::submit_unauthorized, "the token is unknown", "authorization"};
    }
    return *found;
}

std::string admin_api::authenticate_team(const http_request& request) const {
    auto team = authenticate(request).team;
    if (team.empty()) {
        throw error{result_code::admin_forbidden, "the operators token is read-only", "authorization"};
    }
    return team;
}

void admin_api::check_body(const http_request& request, std::size_t limit) const {
    if (request.body.size() > limit) {
        throw error{result_code::admin_body_too_large,
                    "the body is over " + std::to_string(limit) + " bytes"};
    }
}

http_response admin_api::dispatch(const http_request& request) {
    const auto path = split_path(request.target);
    if (!path) {
        throw error{result_code::admin_bad_request, "the path is malformed", request.target};
    }
    if (path->size() >= 3 && path->at(0) == "endive" && path->at(1) == "v1") {
        return dispatch_endive(request, *path);
    }
    if (path->size() != 1) {
        not_found(request.target);
    }
    const auto& name = path->front();
    if (name != "healthz" && name != "readyz" && name != "metrics") {
        not_found(request.target);
    }
    require_method(request, {"GET"});
    if (name == "healthz") {
        return json_response({{"healthy", true}});
    }
    if (name == "readyz") {
        return handle_readiness();
    }
    http_response response;
    response.content_type = "text/plain; version=0.0.4; charset=utf-8";
    response.body = metrics_text(counters_, histograms_);
    return response;
}

http_response admin_api::dispatch_endive(const http_request& request, const segments& path) {
    const auto& resource = path[2];
    if (resource == "parts" && path.size() == 4) {
        return handle_part(request, path);
    }
    if (resource == "moves" && path.size() == 5) {
        return handle_move_action(request, path);
    }
    if (resource == "operations" && path.size() == 5) {
        return handle_operation(request, path);
    }
    if (resource == "endpoint" && path.size() == 3) {
        return handle_announcement(request);
    }
    const std::set<std::string_view> lists = {"status", "history", "moves", "report"};
    if (path.size() != 3 || !lists.contains(resource)) {
        not_found(request.target);
    }
    require_method(request, {"GET"});
    (void)authenticate(request);
    if (resource == "status") {
        return json_response(to_json(service_.status()));
    }
    if (resource == "history") {
        return handle_history(request);
    }
    if (resource == "moves") {
        return json_response({{"moves", list_of(service_.moves())}});
    }
    return json_response(to_json(service_.report()));
}

http_response admin_api::handle_part(const http_request& request, const segments& path) {
    require_method(request, {"GET", "POST"});
    const auto& team = path[3];
    if (request.method == "POST") {
        return handle_submit(request, team);
    }
    const auto reader = authenticate(request);
    if (!reader.team.empty() && reader.team != team) {
        throw error{result_code::submit_wrong_team, "the token belongs to the team " + reader.team, team};
    }
    auto result = service_.part(team);
    result.part.team = team;
    auto response = json_response(to_json(result));
    response.headers["ETag"] = etag_of(result.part.changed_at_version);
    return response;
}

http_response admin_api::handle_submit(const http_request& request, const std::string& team) {
    const auto submitter = authenticate_team(request);
    if (submitter != team) {
        throw error{result_code::submit_wrong_team, "the token belongs to the team " + submitter, team};
    }
    check_body(request, settings_.max_body_bytes);
    const auto version = parse_if_match(request.if_match);
    if (!version) {
        throw error{result_code::admin_bad_request,
                    "a submit needs the exact version that it is based on, 0 for a new team", "if-match"};
    }
    const auto key = request.idempotency_key.value_or("");
    const bool printable = std::ranges::all_of(key, [](char c) { return c > ' ' && c < '\x7F'; });
    if (key.empty() || key.size() > config::max_idempotency_key_length || !printable) {
        throw error{result_code::admin_bad_request,
                    "a submit needs an idempotency-key header of 1 to 128 printable characters",
                    "idempotency-key"};
    }
    const auto result = service_.submit({team, request.body, *version, key});
    auto response = json_response(to_json(result));
    response.headers["ETag"] = etag_of(result.changed_at_version);
    return response;
}

http_response admin_api::handle_history(const http_request& request) {
    const auto limit = query_number(request.target, "limit").value_or(config::default_history_entries);
    if (limit < 1 || limit > config::max_history_entries) {
        throw error{result_code::admin_bad_request,
                    "the limit is out of range, allowed: 1 to " + std::to_string(config::max_history_entries),
                    "limit"};
    }
    return json_response({{"history", list_of(service_.history(limit))}});
}

http_response admin_api::handle_move_action(const http_request& request, const segments& path) {
    require_method(request, {"POST"});
    const auto team = authenticate_team(request);
    check_body(request, config::max_admin_body_bytes);
    const auto action = parse_move_action(path[4]);
    if (!action) {
        throw error{result_code::admin_not_found, "the action is not pause, resume, take-back or extend",
                    path[4]};
    }
    const auto& id = path[3];
    const auto moves = service_.moves();
    const auto found = std::ranges::find(moves, id, &move_status::id);
    if (found == moves.end()) {
        throw error{result_code::move_not_found, "there is no move of this id", id};
    }
    if (found->team != team) {
        throw error{result_code::submit_wrong_team, "the move belongs to the team " + found->team, id};
    }
    move_action_request order;
    order.id = id;
    order.team = team;
    order.action = *action;
    order.precondition_version = parse_if_match(request.if_match);
    if (!order.precondition_version && *action != move_action::take_back) {
        throw error{result_code::admin_bad_request, "only take-back allows any version", "if-match"};
    }
    if (*action == move_action::extend) {
        order.deadline_unix_ms = parse_deadline(request.body);
    } else {
        expect_no_fields(request.body);
    }
    const auto result = service_.apply_action(order);
    auto response = json_response(to_json(result));
    response.headers["ETag"] = etag_of(result.row_version);
    return response;
}

http_response admin_api::handle_operation(const http_request& request, const segments& path) {
    require_method(request, {"GET"});
    (void)authenticate(request);
    const auto record = service_.operation(path[3], path[4]);
    if (!record) {
        throw error{result_code::admin_not_found, "there is no operation with this service and key",
                    path[3] + "/" + path[4]};
    }
    return json_response(to_json(*record));
}

http_response admin_api::handle_announcement(const http_request& request) {
    require_method(request, {"PUT"});
    const auto& host = request.client_host;
    const bool own = host.starts_with("127.") || host == settings_.listen.host ||
                     std::ranges::find(settings_.local_hosts, host) != settings_.local_hosts.end();
    if (!own) {
        throw error{result_code::admin_forbidden, "endpoints are announced from their own VM only", host};
    }
    check_body(request, config::max_admin_body_bytes);
    service_.announce(parse_announcement(request.body));
    return json_response({{"accepted", true}});
}

http_response admin_api::handle_readiness() {
    const auto state = service_.ready();
    return json_response({{"ready", state.ready}, {"reason", state.reason}}, state.ready ? 200 : 503);
}

} // namespace endive::operators
