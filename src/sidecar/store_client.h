#pragma once
// Calls to the platform's metadata store: one connection that waits for changes, one for everything else.

#include "platform/wire.h"

#include "sidecar/http_message.h"
#include "sidecar/stream.h"

namespace endive::sidecar {

/// Status 0: no response; the call may have been performed.
struct store_answer {
    unsigned status = 0;
    std::string body;
};
using store_done = std::function<void(store_answer)>;

/// One connection to the store; calls wait for each other. Not thread safe.
class store_connection {
public:
    store_connection(boost::asio::io_context& loop, std::string_view address);
    void call(platform_wire::store_call call, duration patience, store_done done);
    /// Ends the current call without an answer.
    void drop();

private:
    struct pending_call {
        platform_wire::store_call call;
        duration patience;
        store_done done;
    };
    void next();
    void send_current();
    void on_data(std::string_view bytes);
    void finish(store_answer answer, bool reusable);

    boost::asio::io_context& loop_;
    std::string host_;
    tcp::endpoint address_;
    boost::asio::steady_timer timer_;
    std::shared_ptr<stream> connection_;
    std::string input_;
    std::unique_ptr<response_reader> reader_;
    std::optional<pending_call> current_;
    std::deque<pending_call> queue_;
    std::uint64_t generation_ = 0; ///< of the current call, to ignore late events
};

/// Follows one table of the store: reads it, then waits for changes. Not thread safe.
class table_follower {
public:
    /// `on_rows` gets rows and changes; `on_health` each time the store starts or stops answering.
    table_follower(boost::asio::io_context& loop, std::string_view store, std::string table,
                   std::function<void(const std::vector<mesh::store_row>&)> on_rows,
                   std::function<void(bool)> on_health);
    void start() { read({}); }
    /// The next watch begins after a pause.
    [[nodiscard]] bool is_pausing() const { return pausing_; }
    /// Drops the connection and watches again: it is known to miss changes.
    void restart() { connection_.drop(); }

private:
    void read(const std::string& from);
    void watch();
    void retry(std::function<void()> step);
    void after(duration pause, std::function<void()> step);
    void set_health(bool healthy);

    store_connection connection_;
    boost::asio::steady_timer pause_;
    std::string table_;
    std::function<void(const std::vector<mesh::store_row>&)> on_rows_;
    std::function<void(bool)> on_health_;
    std::uint64_t version_ = 0;
    std::optional<std::uint64_t> first_page_version_;
    duration retry_pause_{0};
    bool pausing_ = false;
    std::optional<bool> healthy_;
};

} // namespace endive::sidecar
