#include "endive/model.h"

#include "endive/config.h"
#include "model/fields.h"
#include "model/json_input.h"
#include "model/to_json.h"

#include <concepts>
#include <utility>

namespace endive::model {
namespace {

[[noreturn]] void fail_malformed(const std::string& location, const std::string& message) {
    throw error{result_code::snapshot_malformed, message, location};
}

void read_value(const json& source, const std::string& location, std::string& target) {
    if (!source.is_string()) {
        fail_malformed(location, "expected a string");
    }
    target = source.get<std::string>();
}

void read_value(const json& source, const std::string& location, bool& target) {
    if (!source.is_boolean()) {
        fail_malformed(location, "expected true or false");
    }
    target = source.get<bool>();
}

template <std::integral Integer>
void read_value(const json& source, const std::string& location, Integer& target) {
    if (!source.is_number_integer()) {
        fail_malformed(location, "expected an integer");
    }
    const bool fits = source.is_number_unsigned() ? std::in_range<Integer>(source.get<std::uint64_t>())
                                                  : std::in_range<Integer>(source.get<std::int64_t>());
    if (!fits) {
        fail_malformed(location, "the integer is out of range");
    }
    target = source.get<Integer>();
}

template <typename Value>
void read_value(const json& source, const std::string& location, Value& target);

template <typename Value>
void read_value(const json& source, const std::string& location, std::vector<Value>& target) {
    if (!source.is_array()) {
        fail_malformed(location, "expected a list");
    }
    target.reserve(source.size());
    for (const auto& item : source) {
        Value value{};
        read_value(item, pointer_to(location, target.size()), value);
        target.push_back(std::move(value));
    }
}

/// Reads each visited field from an object.
class field_reader {
public:
    field_reader(const json& source, const std::string& location) : source_{source}, location_{location} {}
    template <typename Value>
    void operator()(std::string_view field, Value& target) {
        const auto found = source_.find(field);
        if (found == source_.end()) {
            fail_malformed(pointer_to(location_, field), "the field is missing");
        }
        read_value(*found, pointer_to(location_, field), target);
        ++fields_;
    }
    [[nodiscard]] std::size_t fields() const { return fields_; }

private:
    const json& source_;
    const std::string& location_;
    std::size_t fields_ = 0;
};

template <typename Value>
void read_value(const json& source, const std::string& location, Value& target) {
    if (!source.is_object()) {
        fail_malformed(location, "expected an object");
    }
    field_reader reader{source, location};
    visit_fields(reader, target);
    if (reader.fields() != source.size()) {
        fail_malformed(location, "the object has unknown fields");
    }
}

template <typename Value>
Value decode(std::string_view bytes) {
    if (find_excess_depth(bytes, config::max_json_depth)) {
        fail_malformed("", "nesting is too deep");
    }
    const auto document = json::parse(bytes, nullptr, false);
    if (document.is_discarded()) {
        fail_malformed("", "the bytes are not JSON");
    }
    Value value;
    read_value(document, "", value);
    return value;
}

template <typename Value>
std::string encode_value(const Value& value) {
    return to_json_value(value).dump();
}

} // namespace

std::string encode(const snapshot& value) {
    return encode_value(value);
}

std::string encode(const snapshot_delta& value) {
    return encode_value(value);
}

std::string encode(const team_part& value) {
    return encode_value(value);
}

snapshot decode_snapshot(std::string_view bytes) {
    return decode<snapshot>(bytes);
}

snapshot_delta decode_delta(std::string_view bytes) {
    return decode<snapshot_delta>(bytes);
}

team_part decode_part(std::string_view bytes) {
    return decode<team_part>(bytes);
}

std::uint64_t digest(const snapshot& value) {
    return stable_hash(encode(value));
}

} // namespace endive::model
