#include "endive/base.h"

#include <cerrno>
#include <fcntl.h>
#include <unistd.h>
#include <utility>

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace endive {
namespace {

std::string process_name;
std::atomic<log_level> minimum_level{log_level::info};

std::string_view level_name(log_level level) {
    switch (level) {
    case log_level::debug:
        return "debug";
    case log_level::info:
        return "info";
    case log_level::warning:
        return "warning";
    case log_level::error:
        return "error";
    }
    return "error";
}

/// Shares of the budget that stay reserved for more important lines: routine lines leave `routine_reserve`,
/// refusals leave `refusal_reserve`, and lifecycle lines may use all of it.
constexpr double routine_reserve = 0.5;
constexpr double refusal_reserve = 0.2;

/// Writes complete lines to a file descriptor. With a rate limit the descriptor is non-blocking, so that a
/// slow reader never blocks the process.
class line_writer {
public:
    void configure(const log_output& output) {
        descriptor_ = output.descriptor;
        rate_limited_ = output.lines_per_second > 0;
        budget_ = log_budget{output.lines_per_second};
        if (rate_limited_) {
            const int flags = ::fcntl(descriptor_, F_GETFL);
            (void)::fcntl(descriptor_, F_SETFL, flags | O_NONBLOCK);
        }
    }

    [[nodiscard]] bool admit(log_importance importance) {
        const std::lock_guard lock{mutex_};
        return !rate_limited_ || budget_.take(importance, std::chrono::steady_clock::now());
    }

    [[nodiscard]] bool is_saturated() {
        const std::lock_guard lock{mutex_};
        return rate_limited_ && !budget_.has_room(log_importance::routine, std::chrono::steady_clock::now());
    }

    /// Returns and resets the number of lines dropped by the budget or because the reader was too slow.
    /// Returns 0 without a reset within one second of the last report.
    [[nodiscard]] std::uint64_t take_dropped() {
        const std::lock_guard lock{mutex_};
        const auto now = std::chrono::steady_clock::now();
        if (now < next_report_) {
            return 0;
        }
        next_report_ = now + std::chrono::seconds{1};
        return budget_.take_dropped() + std::exchange(unwritten_, 0);
    }

    void write(std::string_view line) {
        const std::lock_guard lock{mutex_};
        if (!partial_line_.empty()) {
            partial_line_.erase(0, write_bytes(partial_line_));
            if (!partial_line_.empty()) {
                ++unwritten_;
                return;
            }
        }
        const auto written = write_bytes(line);
        if (written == 0) {
            ++unwritten_;
        } else {
            partial_line_ = line.substr(written); // a partly written line is completed before the next one
        }
    }

private:
    std::size_t write_bytes(std::string_view bytes) const {
        std::size_t done = 0;
        while (done < bytes.size()) {
            const auto count = ::write(descriptor_, bytes.data() + done, bytes.size() - done);
            if (count < 0 && errno == EINTR) {
                continue;
            }
            if (count <= 0) {
                break;
            }
            done += static_cast<std::size_t>(count);
        }
        return done;
    }

    std::mutex mutex_;
    int descriptor_ = STDERR_FILENO;
    bool rate_limited_ = false;
    log_budget budget_{0};
    std::string partial_line_;
    std::uint64_t unwritten_ = 0;
    time_point next_report_{};
};

line_writer& writer() {
    static line_writer instance;
    return instance;
}

/// Passes each line to the writer. Replaces the dispatcher of Easylogging++, which blocks on standard output.
class line_dispatcher final : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) noexcept override {
        writer().write(std::string{data->logMessage()->message()} + "\n");
    }
};

json make_line(log_level level, std::string_view event) {
    return {{"time", format_rfc3339(std::chrono::system_clock::now())},
            {"level", level_name(level)},
            {"process", process_name},
            {"event", event}};
}

void emit(log_level level, const json& line) {
    const auto text = line.dump(-1, ' ', false, json::error_handler_t::replace);
    switch (level) {
    case log_level::debug:
    case log_level::info:
        LOG(INFO) << text;
        break;
    case log_level::warning:
        LOG(WARNING) << text;
        break;
    case log_level::error:
        LOG(ERROR) << text;
        break;
    }
}

} // namespace

bool log_budget::has_room(log_importance importance, time_point now) {
    if (last_ != time_point{}) {
        tokens_ = std::min(rate_, tokens_ + rate_ * std::chrono::duration<double>(now - last_).count());
    }
    last_ = now;
    const double reserve = importance == log_importance::routine   ? routine_reserve
                           : importance == log_importance::refusal ? refusal_reserve
                                                                   : 0.0;
    return tokens_ - 1.0 >= rate_ * reserve;
}

bool log_budget::take(log_importance importance, time_point now) {
    if (!has_room(importance, now)) {
        ++dropped_;
        return false;
    }
    tokens_ -= 1.0;
    return true;
}

std::uint64_t log_budget::take_dropped() {
    return std::exchange(dropped_, 0);
}

void configure_log(log_level minimum, std::string_view process, const log_output& output) {
    process_name = process;
    minimum_level = minimum;
    writer().configure(output);
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(settings);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<line_dispatcher>("lines");
}

bool log_is_saturated() {
    return process_name.empty() || writer().is_saturated();
}

void log_event(log_level level, std::string_view event, const json& fields, log_importance importance) {
    if (level < minimum_level.load(std::memory_order_relaxed) || process_name.empty() ||
        !writer().admit(importance)) {
        return;
    }
    if (const auto dropped = writer().take_dropped(); dropped > 0) {
        auto line = make_line(log_level::warning, "log_dropped");
        line["lines"] = dropped;
        emit(log_level::warning, line);
    }
    auto line = make_line(level, event);
    if (fields.is_object()) {
        line.update(fields);
    }
    emit(level, line);
}

} // namespace endive
