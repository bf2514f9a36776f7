#pragma once
/// Conversion of the model's value types to JSON.

#include "model/fields.h"

#include <type_traits>

namespace endive::model {

template <typename Value>
json to_json_value(const Value& value);
template <typename Item>
json to_json_value(const std::vector<Item>& items);

/// Adds each visited field to an object.
class field_writer {
public:
    template <typename Value>
    void operator()(const char* field, const Value& value) {
        object_[field] = to_json_value(value);
    }
    [[nodiscard]] json take() { return std::move(object_); }

private:
    json object_ = json::object();
};

template <typename Item>
json to_json_value(const std::vector<Item>& items) {
    json list = json::array();
    list.get_ref<json::array_t&>().reserve(items.size());
    for (const auto& item : items) {
        list.push_back(to_json_value(item));
    }
    return list;
}

template <typename Value>
json to_json_value(const Value& value) {
    if constexpr (std::is_arithmetic_v<Value> || std::is_same_v<Value, std::string>) {
        return json(value);
    } else {
        field_writer writer;
        // visit_fields takes a mutable reference because decoding uses it too; the writer does not modify the
        // value.
        visit_fields(writer, const_cast<Value&>(value)); // NOLINT(cppcoreguidelines-pro-type-const-cast)
        return writer.take();
    }
}

} // namespace endive::model
