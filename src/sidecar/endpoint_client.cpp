#include "sidecar/endpoint_client.h"

#include "platform/wire.h"

#include <algorithm>
#include <charconv>

namespace endive::sidecar {
namespace {

/// An endpoint on the same VM normally accepts within a millisecond; the timeout leaves time for a
/// retransmission when a busy one drops the first packet.
constexpr duration connect_timeout = milliseconds{1500};
/// Maximum idle time of a reused connection: the endpoint may be about to close one that was idle for longer.
constexpr duration max_idle_time = std::chrono::seconds{4};
/// Fraction of the idle timeout announced by the endpoint for which a connection is reused.
constexpr double announced_idle_fraction = 0.6;
/// Number of recent requests kept per connection to recognize a late duplicate response. A duplicate of an
/// older one ends the running request with an unknown outcome.
constexpr std::size_t max_earlier_requests = 64;
/// Number of interim responses and duplicates of earlier responses that may precede a response.
constexpr std::size_t max_skipped_responses = 16;

constexpr unsigned status_misdirected = 421;

} // namespace

struct endpoint_client::active_request {
    std::uint64_t id = 0;
    http_message request;
    std::string request_id;
    endpoint_result_handler done;
    std::uint64_t max_body_bytes = 0;
    std::shared_ptr<connection> conn;
    bool cancelled = false;
};

struct endpoint_client::connection {
    std::shared_ptr<stream> transport;
    std::string input;
    std::unique_ptr<response_reader> reader;
    std::shared_ptr<active_request> current;
    std::size_t buffered_bytes = 0; ///< of the response being received
    byte_charge charge;
    struct earlier_request {
        std::string id;
        bool refused = false;
    };
    std::deque<earlier_request> earlier;
    std::size_t skipped_responses = 0; ///< before the current one
    time_point last_used;
    duration idle_timeout = max_idle_time;
    bool tainted = false; ///< received bytes that belong to no request; not reused

    /// True when the endpoint refused a request with this id here: a duplicate of the refusal could not be
    /// told from the answer to another one.
    [[nodiscard]] bool has_refused(std::string_view id) const {
        return std::any_of(earlier.begin(), earlier.end(),
                           [&](const earlier_request& entry) { return entry.refused && entry.id == id; });
    }
};

endpoint_client::endpoint_client(boost::asio::io_context& loop, const clock_source& clock,
                                 std::string_view address, std::size_t max_buffered_bytes)
    : loop_{loop}, clock_{clock}, address_{to_endpoint(address)}, max_buffered_bytes_{max_buffered_bytes} {}

bool is_refusal(const http_message& response) {
    return response.status == status_misdirected ||
           has_header(response.headers, platform_wire::not_executed_header);
}

std::uint64_t endpoint_client::send(http_message request, std::string request_id,
                                    endpoint_result_handler done, std::uint64_t max_body_bytes) {
    auto item = std::make_shared<active_request>();
    item->id = next_id_++;
    item->request = std::move(request);
    item->request_id = std::move(request_id);
    item->done = std::move(done);
    item->max_body_bytes = std::min<std::uint64_t>(max_body_bytes, max_buffered_bytes_);
    requests_[item->id] = item;
    if (const auto conn = take_idle(item->request_id)) {
        dispatch(item, conn);
    } else {
        open(item);
    }
    return item->id;
}

/// Removes a connection for a request with this id from the idle ones; null when there is none.
std::shared_ptr<endpoint_client::connection> endpoint_client::take_idle(std::string_view request_id) {
    sweep(clock_.now());
    std::erase_if(idle_, [](const auto& conn) { return !conn->transport->is_open(); });
    const auto found = std::find_if(idle_.rbegin(), idle_.rend(),
                                    [&](const auto& conn) { return !conn->has_refused(request_id); });
    if (found == idle_.rend()) {
        return nullptr;
    }
    auto conn = *found;
    std::erase(idle_, conn);
    return conn;
}

void endpoint_client::open(const std::shared_ptr<active_request>& item) {
    connect_stream(loop_, address_, connect_timeout, [this, item](std::shared_ptr<stream> transport) {
        if (item->cancelled) {
            if (transport) {
                transport->close();
            }
            return;
        }
        if (!transport) {
            requests_.erase(item->id);
            item->done({mesh::attempt_outcome::not_run, mesh::reason::connect_failed, {}});
            return;
        }
        auto conn = std::make_shared<connection>();
        conn->transport = std::move(transport);
        conn->transport->charge_queue(memory_.account);
        conn->charge.move_to(memory_.account);
        conn->transport->start([this, conn](std::string_view bytes) { on_data(conn, bytes); },
                               [this, conn](stream_end how) { on_end(conn, how); });
        dispatch(item, conn);
    });
}

void endpoint_client::dispatch(const std::shared_ptr<active_request>& item,
                               const std::shared_ptr<connection>& conn) {
    item->conn = conn;
    conn->current = item;
    conn->reader.reset();
    conn->skipped_responses = 0;
    conn->transport->send(serialize_request_head(item->request));
    conn->transport->send(std::move(item->request.body));
}

void endpoint_client::on_data(const std::shared_ptr<connection>& conn, std::string_view bytes) {
    if (conn->current == nullptr) {
        // A duplicate response to an earlier request, or stray bytes: nothing read after them can be trusted.
        std::erase(idle_, conn);
        conn->transport->close();
        return;
    }
    conn->input.append(bytes);
    while (conn->current != nullptr && !conn->input.empty()) {
        if (!conn->reader) {
            const read_limits limits{.body_bytes = conn->current->max_body_bytes};
            conn->reader = std::make_unique<response_reader>(limits, conn->current->request.method == "HEAD");
        }
        const auto status = conn->reader->feed(conn->input);
        if (status == read_status::need_more) {
            set_buffered(*conn, conn->input.size() + conn->reader->message().body.size());
            limit_buffered();
            if (conn->current != nullptr && must_wait(conn)) {
                conn->transport->pause();
                waiting_.insert(conn);
            }
            return;
        }
        if (status != read_status::complete) {
            complete(conn, {mesh::attempt_outcome::unknown, mesh::reason::bad_response, {}});
            return;
        }
        if (!on_response(conn)) {
            return;
        }
    }
}

/// Handles a complete response. False when the connection has finished its request.
bool endpoint_client::on_response(const std::shared_ptr<connection>& conn) {
    auto response = std::move(conn->reader->message());
    conn->reader.reset();
    set_buffered(*conn, 0);
    const bool may_skip = conn->skipped_responses++ < max_skipped_responses;
    const bool is_interim = is_interim_status(response.status);
    if (!is_interim && !is_final_status(response.status)) {
        complete(conn, {mesh::attempt_outcome::unknown, mesh::reason::bad_response, {}});
        return false;
    }
    if (is_interim && may_skip) {
        return true;
    }
    const auto echoed = find_header(response.headers, platform_wire::request_id_header);
    if (is_interim || echoed != conn->current->request_id) {
        const bool is_earlier =
            std::any_of(conn->earlier.begin(), conn->earlier.end(),
                        [&](const connection::earlier_request& entry) { return entry.id == echoed; });
        conn->tainted = true;
        if (is_earlier && response.keep_alive && may_skip) {
            return true; // a duplicate response to an earlier request; the expected one follows
        }
        complete(conn, {mesh::attempt_outcome::unknown, mesh::reason::bad_response, {}});
        return false;
    }
    if (!response.keep_alive || !conn->input.empty()) {
        conn->tainted = true;
    }
    const auto keep_alive = find_header(response.headers, "Keep-Alive");
    const auto at = keep_alive.find("timeout=");
    int seconds = 0;
    if (at != std::string_view::npos &&
        std::from_chars(keep_alive.data() + at + 8, keep_alive.data() + keep_alive.size(), seconds).ec ==
            std::errc{}) {
        const auto announced = std::chrono::duration<double>(seconds * announced_idle_fraction);
        conn->idle_timeout =
            std::min<duration>(max_idle_time, std::chrono::duration_cast<duration>(announced));
    }
    complete(conn, {mesh::attempt_outcome::answered, mesh::reason::none, std::move(response)});
    return false;
}

void endpoint_client::on_end(const std::shared_ptr<connection>& conn, stream_end how) {
    std::erase(idle_, conn);
    if (conn->current == nullptr) {
        return;
    }
    conn->tainted = true;
    if (how == stream_end::clean && conn->reader && conn->reader->feed_end()) {
        on_response(conn);
        if (conn->current == nullptr) {
            return;
        }
    }
    complete(conn, {mesh::attempt_outcome::unknown, mesh::reason::connection_lost, {}});
}

void endpoint_client::complete(const std::shared_ptr<connection>& conn, endpoint_result result) {
    const auto item = std::exchange(conn->current, nullptr);
    item->conn.reset();
    requests_.erase(item->id);
    set_buffered(*conn, 0);
    waiting_.erase(conn);
    const bool reusable = result.outcome == mesh::attempt_outcome::answered && !conn->tainted &&
                          !conn->transport->sending() && conn->transport->is_open();
    if (reusable) {
        conn->earlier.push_back({item->request_id, is_refusal(result.response)});
        if (conn->earlier.size() > max_earlier_requests) {
            conn->earlier.pop_front();
        }
        conn->last_used = clock_.now();
        idle_.push_back(conn);
    } else {
        conn->transport->close();
    }
    item->done(std::move(result));
}

void endpoint_client::set_buffered(connection& conn, std::size_t bytes) {
    buffered_bytes_ += bytes - conn.buffered_bytes;
    conn.buffered_bytes = bytes;
    conn.charge.set(bytes);
}

void endpoint_client::set_memory(const process_memory& memory, std::function<bool()> is_congested) {
    memory_ = memory;
    is_congested_ = std::move(is_congested);
}

std::shared_ptr<endpoint_client::connection> endpoint_client::largest_response() const {
    std::shared_ptr<connection> largest;
    for (const auto& [id, item] : requests_) {
        if (item->conn && (!largest || item->conn->buffered_bytes > largest->buffered_bytes)) {
            largest = item->conn;
        }
    }
    return largest;
}

void endpoint_client::limit_buffered() {
    while (buffered_bytes_ > max_buffered_bytes_) {
        complete(largest_response(), {mesh::attempt_outcome::unknown, mesh::reason::bad_response, {}});
    }
}

/// True when the rest of a response stays at the endpoint for now.
bool endpoint_client::must_wait(const std::shared_ptr<connection>& conn) const {
    if (conn->buffered_bytes <= max_small_message_bytes) {
        return false;
    }
    if (is_congested_ && is_congested_()) {
        return true;
    }
    if (buffered_bytes_ <= max_buffered_bytes_ / 2) {
        return false;
    }
    // Waiting for the largest one makes sense only while it goes on.
    const auto largest = largest_response();
    return conn != largest && largest->transport->has_unread();
}

void endpoint_client::resume_waiting() {
    const auto waiting = waiting_;
    for (const auto& conn : waiting) {
        if (!must_wait(conn)) {
            waiting_.erase(conn);
            conn->transport->resume();
        }
    }
}

bool endpoint_client::is_sent(std::uint64_t id) const {
    const auto found = requests_.find(id);
    return found == requests_.end() || found->second->conn != nullptr;
}

bool endpoint_client::cancel(std::uint64_t id) {
    const auto found = requests_.find(id);
    if (found == requests_.end()) {
        return false;
    }
    const auto item = found->second;
    requests_.erase(found);
    item->cancelled = true;
    if (!item->conn) {
        return true;
    }
    set_buffered(*item->conn, 0);
    waiting_.erase(item->conn);
    item->conn->current.reset();
    item->conn->transport->close();
    item->conn.reset();
    return false;
}

void endpoint_client::close_idle() {
    for (const auto& conn : std::exchange(idle_, {})) {
        conn->transport->close();
    }
}

void endpoint_client::sweep(time_point now) {
    std::erase_if(idle_, [&](const std::shared_ptr<connection>& conn) {
        const bool expired = now - conn->last_used >= conn->idle_timeout;
        if (expired) {
            conn->transport->close();
        }
        return expired;
    });
}

} // namespace endive::sidecar
