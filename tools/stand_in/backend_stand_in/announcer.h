#pragma once
/// Periodic announcement of the backend server to its daemon.

#include "settings.h"

#include <condition_variable>
#include <thread>

namespace stand_in {

class announcer {
public:
    /// Announces state `serving` immediately and then every second. Does nothing without an announce address.
    announcer(const backend_settings& settings, std::uint16_t port);
    announcer(const announcer&) = delete;
    announcer& operator=(const announcer&) = delete;
    ~announcer();
    /// Announces the new state immediately and in all later announcements.
    void change_state(const std::string& state);

private:
    void run();
    [[nodiscard]] std::string message(const std::string& state) const;

    backend_settings settings_;
    std::string address_;
    std::mutex mutex_;
    std::condition_variable changed_;
    std::string state_ = "serving";
    bool stopping_ = false;
    bool announce_pending_ = true;
    std::thread thread_;
};

} // namespace stand_in
