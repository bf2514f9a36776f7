#pragma once
/// JSON form of the administration API: bodies of responses, and the bodies of requests with a fixed schema.

#include "endive/operators.h"

namespace endive::operators {

[[nodiscard]] json to_json(const version_count& value);
[[nodiscard]] json to_json(const lagging_daemon& value);
[[nodiscard]] json to_json(const endpoint_count& value);
[[nodiscard]] json to_json(const route_evidence& value);
[[nodiscard]] json to_json(const model::measure_weights& value);
[[nodiscard]] json to_json(const team_report& value);
[[nodiscard]] json to_json(const submit_result& value);
[[nodiscard]] json to_json(const part_result& value);
[[nodiscard]] json to_json(const fleet_status& value);
[[nodiscard]] json to_json(const history_entry& value);
[[nodiscard]] json to_json(const move_status& value);
[[nodiscard]] json to_json(const report_result& value);
[[nodiscard]] json to_json(const operation_result& value);
/// `{"code","name","message","place"}`, and `current_version` for a conflict.
[[nodiscard]] json to_json(const error& value);

/// Parse request bodies. Throw `admin_bad_request` with the JSON pointer as place.
[[nodiscard]] endpoint_announcement parse_announcement(std::string_view body);
/// The deadline of `{"deadline": "<RFC 3339>"}` in Unix milliseconds.
[[nodiscard]] std::int64_t parse_deadline(std::string_view body);
/// Accepts an empty body or `{}`.
void expect_no_fields(std::string_view body);

} // namespace endive::operators
