#include "model/json_input.h"

#include "endive/config.h"

namespace endive::model {
namespace {

/// Length of the valid UTF-8 sequence at `at`; 0 when it is invalid (RFC 3629, section 4).
std::size_t sequence_length(std::string_view bytes, std::size_t at) {
    const auto byte = [&](std::size_t offset) -> unsigned {
        return at + offset < bytes.size() ? static_cast<unsigned char>(bytes[at + offset]) : 0U;
    };
    const auto continues = [&](std::size_t offset) { return (byte(offset) & 0xC0U) == 0x80U; };
    const unsigned first = byte(0);
    if (first < 0x80U) {
        return 1;
    }
    if (first >= 0xC2U && first <= 0xDFU) {
        return continues(1) ? 2 : 0;
    }
    if (first >= 0xE0U && first <= 0xEFU) {
        const bool overlong = first == 0xE0U && byte(1) < 0xA0U;
        const bool surrogate = first == 0xEDU && byte(1) >= 0xA0U;
        return continues(1) && continues(2) && !overlong && !surrogate ? 3 : 0;
    }
    if (first >= 0xF0U && first <= 0xF4U) {
        const bool overlong = first == 0xF0U && byte(1) < 0x90U;
        const bool above_maximum = first == 0xF4U && byte(1) >= 0x90U;
        return continues(1) && continues(2) && continues(3) && !overlong && !above_maximum ? 4 : 0;
    }
    return 0;
}

/// `line L, column C` of a byte offset, both 1-based.
std::string position_text(std::string_view bytes, std::size_t offset) {
    std::size_t line = 1;
    std::size_t line_start = 0;
    for (std::size_t i = 0; i < offset && i < bytes.size(); ++i) {
        if (bytes[i] == '\n') {
            ++line;
            line_start = i + 1;
        }
    }
    return "line " + std::to_string(line) + ", column " + std::to_string(offset - line_start + 1);
}

/// Parser callback that throws at the first duplicate key of an object.
class duplicate_key_check {
public:
    bool operator()(int /*depth*/, json::parse_event_t event, json& parsed) {
        switch (event) {
        case json::parse_event_t::object_start:
            begin(false);
            break;
        case json::parse_event_t::array_start:
            begin(true);
            break;
        case json::parse_event_t::key:
            add_key(parsed.get_ref<const std::string&>());
            break;
        case json::parse_event_t::object_end:
        case json::parse_event_t::array_end:
            open_.pop_back();
            break;
        case json::parse_event_t::value:
            count_element();
            break;
        }
        return true;
    }

private:
    struct container {
        bool is_array = false;
        std::size_t elements = 0;
        std::string key;
        std::set<std::string, std::less<>> keys;
    };

    void count_element() {
        if (!open_.empty() && open_.back().is_array) {
            ++open_.back().elements;
        }
    }

    void begin(bool is_array) {
        count_element();
        open_.push_back({is_array, 0, {}, {}});
    }

    void add_key(const std::string& key) {
        open_.back().key = key;
        if (!open_.back().keys.insert(key).second) {
            throw error{result_code::answers_duplicate_key, "the key \"" + key + "\" appears twice",
                        current_pointer()};
        }
    }

    [[nodiscard]] std::string current_pointer() const {
        std::string pointer;
        for (const auto& level : open_) {
            pointer =
                level.is_array ? pointer_to(pointer, level.elements - 1) : pointer_to(pointer, level.key);
        }
        return pointer;
    }

    std::vector<container> open_;
};

void check_bytes(std::string_view bytes) {
    if (bytes.size() > config::max_questionnaire_bytes) {
        throw error{result_code::answers_too_large, "the questionnaire has " + std::to_string(bytes.size()) +
                                                        " bytes, allowed: at most " +
                                                        std::to_string(config::max_questionnaire_bytes)};
    }
    if (const auto offset = find_invalid_utf8(bytes)) {
        throw error{result_code::answers_not_utf8,
                    "the bytes at " + position_text(bytes, *offset) + " are not valid UTF-8"};
    }
    if (const auto offset = find_excess_depth(bytes, config::max_json_depth)) {
        throw error{result_code::answers_too_deep, "nesting exceeds " +
                                                       std::to_string(config::max_json_depth) +
                                                       " levels at " + position_text(bytes, *offset)};
    }
}

} // namespace

std::optional<std::size_t> find_invalid_utf8(std::string_view bytes) {
    std::size_t at = 0;
    while (at < bytes.size()) {
        const auto length = sequence_length(bytes, at);
        if (length == 0) {
            return at;
        }
        at += length;
    }
    return std::nullopt;
}

std::optional<std::size_t> find_excess_depth(std::string_view bytes, std::size_t limit) {
    std::size_t depth = 0;
    bool in_string = false;
    for (std::size_t at = 0; at < bytes.size(); ++at) {
        const char c = bytes[at];
        if (in_string) {
            if (c == '\\') {
                ++at;
            } else if (c == '"') {
                in_string = false;
            }
        } else if (c == '"') {
            in_string = true;
        } else if (c == '{' || c == '[') {
            if (++depth > limit) {
                return at;
            }
        } else if ((c == '}' || c == ']') && depth > 0) {
            --depth;
        }
    }
    return std::nullopt;
}

std::string pointer_to(const std::string& parent, std::string_view token) {
    std::string pointer = parent + "/";
    for (const char c : token) {
        if (c == '~') {
            pointer += "~0";
        } else if (c == '/') {
            pointer += "~1";
        } else {
            pointer += c;
        }
    }
    return pointer;
}

std::string pointer_to(const std::string& parent, std::size_t index) {
    return parent + "/" + std::to_string(index);
}

json parse_answers(std::string_view bytes) {
    check_bytes(bytes);
    try {
        return json::parse(bytes, duplicate_key_check{});
    } catch (const json::parse_error& failure) {
        const auto offset = failure.byte == 0 ? 0 : failure.byte - 1;
        throw error{result_code::answers_not_json,
                    "the text is not JSON: unexpected input at " + position_text(bytes, offset)};
    } catch (const json::exception&) {
        throw error{result_code::answers_not_json, "the text is not JSON: a number is too large"};
    }
}

} // namespace endive::model
