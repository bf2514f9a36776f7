#pragma once
// Collects the log lines that a test's daemons write.

#include "endive/base.h"

#include <cstdio>
#include <memory>
#include <stdexcept>
#include <string>
#include <vector>

#include <unistd.h>

namespace endive::sidecar::test {

/// Collects log lines from its construction to its destruction. At most one exists at a time.
class log_capture {
public:
    log_capture() : file_{std::tmpfile(), &std::fclose} {
        if (!file_) {
            throw std::runtime_error{"no temporary file"};
        }
        configure_log(log_level::info, "test", {::fileno(file_.get()), 0});
    }
    ~log_capture() { configure_log(log_level::info, {}); }
    log_capture(const log_capture&) = delete;
    log_capture& operator=(const log_capture&) = delete;

    /// The lines of the event `name`, in order.
    [[nodiscard]] std::vector<json> lines(std::string_view name) const {
        std::vector<json> result;
        std::string text;
        constexpr std::size_t chunk = 65536;
        while (true) {
            const auto before = text.size();
            text.resize(before + chunk);
            const auto count =
                ::pread(::fileno(file_.get()), text.data() + before, chunk, static_cast<off_t>(before));
            text.resize(before + static_cast<std::size_t>(count > 0 ? count : 0));
            if (count <= 0) {
                break;
            }
        }
        for (std::size_t at = 0; at < text.size();) {
            const auto end = text.find('\n', at);
            auto line = json::parse(text.substr(at, end - at));
            if (line.at("event") == name) {
                result.push_back(std::move(line));
            }
            at = end == std::string::npos ? text.size() : end + 1;
        }
        return result;
    }

private:
    std::unique_ptr<std::FILE, int (*)(std::FILE*)> file_;
};

} // namespace endive::sidecar::test
