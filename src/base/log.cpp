#include "endive/base.h"

#include <iostream>

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

/// Writes each line to standard error; the library's own dispatcher writes to standard output.
class stderr_dispatch final : public el::LogDispatchCallback {
protected:
    void handle(const el::LogDispatchData* data) noexcept override {
        const std::string line = std::string{data->logMessage()->message()} + "\n";
        std::fwrite(line.data(), 1, line.size(), stderr);
    }
};

} // namespace

void configure_log(log_level minimum, std::string_view process) {
    process_name = process;
    minimum_level = minimum;
    el::Configurations settings;
    settings.setToDefault();
    settings.setGlobally(el::ConfigurationType::ToFile, "false");
    settings.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    settings.setGlobally(el::ConfigurationType::Format, "%msg");
    el::Loggers::reconfigureAllLoggers(settings);
    el::Helpers::uninstallLogDispatchCallback<el::base::DefaultLogDispatchCallback>(
        "DefaultLogDispatchCallback");
    el::Helpers::installLogDispatchCallback<stderr_dispatch>("stderr");
}

void log_event(log_level level, std::string_view event, const json& fields) {
    if (level < minimum_level.load(std::memory_order_relaxed) || process_name.empty()) {
        return;
    }
    json line = {{"time", format_rfc3339(std::chrono::system_clock::now())},
                 {"level", level_name(level)},
                 {"process", process_name},
                 {"event", event}};
    if (fields.is_object()) {
        line.update(fields);
    }
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

} // namespace endive
