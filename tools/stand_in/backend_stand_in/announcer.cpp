#include "announcer.h"

#include <curl/curl.h>

namespace stand_in {
namespace {

using namespace std::chrono_literals;

constexpr auto announce_interval = 1000ms;
constexpr long announce_timeout_ms = 500;

size_t ignore_body(char* /*data*/, size_t size, size_t count, void* /*context*/) {
    return size * count;
}

void send(CURL* curl, const std::string& address, const std::string& body) {
    const auto url = "http://" + address + "/endive/v1/endpoint";
    curl_slist* headers = curl_slist_append(nullptr, "Content-Type: application/json");
    curl_easy_setopt(curl, CURLOPT_URL, url.c_str());
    curl_easy_setopt(curl, CURLOPT_PROXY, "");
    curl_easy_setopt(curl, CURLOPT_CUSTOMREQUEST, "PUT");
    curl_easy_setopt(curl, CURLOPT_POSTFIELDS, body.c_str());
    curl_easy_setopt(curl, CURLOPT_HTTPHEADER, headers);
    curl_easy_setopt(curl, CURLOPT_NOSIGNAL, 1L);
    curl_easy_setopt(curl, CURLOPT_TIMEOUT_MS, announce_timeout_ms);
    curl_easy_setopt(curl, CURLOPT_WRITEFUNCTION, ignore_body);
    const auto result = curl_easy_perform(curl);
    if (result != CURLE_OK) {
        endive::log_event(endive::log_level::warning, "announcement failed",
                          {{"reason", curl_easy_strerror(result)}, {"address", address}});
    }
    curl_slist_free_all(headers);
}

} // namespace

announcer::announcer(const backend_settings& settings, std::uint16_t port)
    : settings_{settings}, address_{settings.advertised_address.empty() ? "127.0.0.1:" + std::to_string(port)
                                                                        : settings.advertised_address} {
    if (!settings_.announce.empty()) {
        thread_ = std::thread{[this] { run(); }};
    }
}

announcer::~announcer() {
    {
        const std::lock_guard lock{mutex_};
        stopping_ = true;
    }
    changed_.notify_all();
    if (thread_.joinable()) {
        thread_.join();
    }
}

void announcer::change_state(const std::string& state) {
    const std::lock_guard lock{mutex_};
    state_ = state;
    announce_pending_ = true;
    changed_.notify_all();
}

std::string announcer::message(const std::string& state) const {
    return endive::json{
        {"address", address_},      {"service", settings_.service},         {"version", settings_.version},
        {"slots", settings_.slots}, {"connections", settings_.connections}, {"state", state}}
        .dump();
}

void announcer::run() {
    CURL* curl = curl_easy_init();
    std::unique_lock lock{mutex_};
    // A state change immediately before the stop is still sent, so that the daemon receives `leaving`.
    while (!stopping_ || announce_pending_) {
        announce_pending_ = false;
        const auto body = message(state_);
        lock.unlock();
        send(curl, settings_.announce, body);
        lock.lock();
        changed_.wait_for(lock, announce_interval, [this] { return stopping_ || announce_pending_; });
    }
    curl_easy_cleanup(curl);
}

} // namespace stand_in
