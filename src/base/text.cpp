#include "endive/base.h"

#include <strings.h>

namespace endive {

bool equal_ignoring_case(std::string_view a, std::string_view b) {
    return a.size() == b.size() && strncasecmp(a.data(), b.data(), a.size()) == 0;
}

bool is_listed(std::string_view list, std::string_view item) {
    while (!list.empty()) {
        const auto comma = list.find(',');
        auto entry = list.substr(0, comma);
        while (!entry.empty() && entry.front() == ' ') {
            entry.remove_prefix(1);
        }
        while (!entry.empty() && entry.back() == ' ') {
            entry.remove_suffix(1);
        }
        if (equal_ignoring_case(entry, item)) {
            return true;
        }
        list = comma == std::string_view::npos ? std::string_view{} : list.substr(comma + 1);
    }
    return false;
}

} // namespace endive
