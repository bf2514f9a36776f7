#include "endive/base.h"

#include <cctype>
#include <cstdio>
#include <ctime>

namespace endive {
namespace {

/// Parses exactly `count` decimal digits starting at `at`; returns -1 when `text` is shorter or contains
/// another character.
int parse_digits(std::string_view text, std::size_t at, std::size_t count) {
    if (at + count > text.size()) {
        return -1;
    }
    int value = 0;
    for (std::size_t i = at; i < at + count; ++i) {
        if (std::isdigit(static_cast<unsigned char>(text[i])) == 0) {
            return -1;
        }
        value = value * 10 + (text[i] - '0');
    }
    return value;
}

/// Parses the UTC offset of an RFC 3339 timestamp. Returns minutes, or an empty value when malformed.
std::optional<int> parse_offset(std::string_view text) {
    if (text == "Z" || text == "z") {
        return 0;
    }
    if (text.size() != 6 || (text[0] != '+' && text[0] != '-') || text[3] != ':') {
        return std::nullopt;
    }
    const int hours = parse_digits(text, 1, 2);
    const int minutes = parse_digits(text, 4, 2);
    if (hours < 0 || hours > 23 || minutes < 0 || minutes > 59) {
        return std::nullopt;
    }
    const int offset = hours * 60 + minutes;
    return text[0] == '-' ? -offset : offset;
}

} // namespace

time_point boot_clock_source::now() const {
    timespec elapsed{};
    if (::clock_gettime(CLOCK_BOOTTIME, &elapsed) != 0) {
        return std::chrono::steady_clock::now();
    }
    return time_point{std::chrono::seconds{elapsed.tv_sec} + std::chrono::nanoseconds{elapsed.tv_nsec}};
}

std::int64_t to_unix_ms(wall_time time) {
    return std::chrono::duration_cast<milliseconds>(time.time_since_epoch()).count();
}

wall_time from_unix_ms(std::int64_t ms) {
    return wall_time{milliseconds{ms}};
}

std::optional<wall_time> parse_rfc3339(std::string_view text) {
    namespace chr = std::chrono;
    if (text.size() < 20 || text[4] != '-' || text[7] != '-' || (text[10] != 'T' && text[10] != 't') ||
        text[13] != ':' || text[16] != ':') {
        return std::nullopt;
    }
    // A signed 64-bit count of nanoseconds since 1970 overflows in April 2262.
    constexpr int last_year = 2261;
    const int year = parse_digits(text, 0, 4);
    const int month = parse_digits(text, 5, 2);
    const int day = parse_digits(text, 8, 2);
    const int hour = parse_digits(text, 11, 2);
    const int minute = parse_digits(text, 14, 2);
    const int second = parse_digits(text, 17, 2);
    const chr::year_month_day date{chr::year{year}, chr::month{static_cast<unsigned>(month)},
                                   chr::day{static_cast<unsigned>(day)}};
    if (year < 1970 || year > last_year || month < 0 || day < 0 || !date.ok() || hour < 0 || hour > 23 ||
        minute < 0 || minute > 59 || second < 0 || second > 59) {
        return std::nullopt;
    }
    std::size_t at = 19;
    int fraction_ms = 0;
    if (text[at] == '.') {
        ++at;
        int scale = 100;
        const std::size_t first = at;
        while (at < text.size() && std::isdigit(static_cast<unsigned char>(text[at])) != 0) {
            fraction_ms += (text[at] - '0') * scale;
            scale /= 10;
            ++at;
        }
        if (at == first) {
            return std::nullopt;
        }
    }
    const auto offset = parse_offset(text.substr(at));
    if (!offset) {
        return std::nullopt;
    }
    const auto time = chr::sys_days{date} + chr::hours{hour} + chr::minutes{minute - *offset} +
                      chr::seconds{second} + chr::milliseconds{fraction_ms};
    return chr::time_point_cast<wall_time::duration>(time);
}

std::string format_rfc3339(wall_time time) {
    namespace chr = std::chrono;
    const auto ms = chr::floor<chr::milliseconds>(time);
    const auto days = chr::floor<chr::days>(ms);
    const chr::year_month_day date{days};
    const chr::hh_mm_ss clock{ms - days};
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%04d-%02u-%02uT%02d:%02d:%02d.%03dZ", static_cast<int>(date.year()),
                  static_cast<unsigned>(date.month()), static_cast<unsigned>(date.day()),
                  static_cast<int>(clock.hours().count()), static_cast<int>(clock.minutes().count()),
                  static_cast<int>(clock.seconds().count()), static_cast<int>(clock.subseconds().count()));
    return buffer;
}

} // namespace endive
