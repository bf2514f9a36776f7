#include "sidecar/endpoint_client.h"

#include "platform/wire.h"

#include <algorithm>
#include <charconv>

namespace endive::sidecar {
namespace {

/// An endpoint on the same VM accepts within a millisecond; the rest is for a busy one that drops the first
/// packet.
constexpr duration connect_patience = milliseconds{1500};
/// Connections idle for longer than this are not reused: the endpoint may be about to close them.
constexpr duration max_idle = std::chrono::seconds{4};
/// Part of the idle time that the endpoint announces which is used.
constexpr double announced_idle_share = 0.6;
constexpr std::uint64_t max_response_bytes = 64UL * 1024 * 1024;
/// Requests remembered on a connection to recognize a late second response.
constexpr std::size_t max_earlier_ids = 4;

} // namespace

struct endpoint_client::work {
    std::uint64_t id = 0;
    http_message request;
    std::string request_id;
    endpoint_done done;
    std::shared_ptr<connection> via;
    bool cancelled = false;
};

struct endpoint_client::connection {
    std::shared_ptr<stream> transport;
    std::string input;
    std::unique_ptr<response_reader> reader;
    std::shared_ptr<work> current;
    std::deque<std::string> earlier_ids;
    time_point last_used;
    duration idle_limit = max_idle;
    bool tainted = false; ///< bytes arrived that belong to no request: not reused
};

endpoint_client::endpoint_client(boost::asio::io_context& loop, const clock_source& clock,
                                 std::string_view address)
    : loop_{loop}, clock_{clock}, address_{to_endpoint(address)} {}

std::uint64_t endpoint_client::send(http_message request, std::string request_id, endpoint_done done) {
    auto item = std::make_shared<work>();
    item->id = next_id_++;
    item->request = std::move(request);
    item->request_id = std::move(request_id);
    item->done = std::move(done);
    active_[item->id] = item;
    const auto now = clock_.now();
    while (!idle_.empty()) {
        const auto via = idle_.back();
        idle_.pop_back();
        if (via->transport->is_open() && now - via->last_used < via->idle_limit) {
            dispatch(item, via);
            return item->id;
        }
        via->transport->close();
    }
    open(item);
    return item->id;
}

void endpoint_client::open(const std::shared_ptr<work>& item) {
    connect_stream(loop_, address_, connect_patience, [this, item](std::shared_ptr<stream> transport) {
        if (item->cancelled) {
            if (transport) {
                transport->close();
            }
            return;
        }
        if (!transport) {
            active_.erase(item->id);
            item->done({mesh::attempt_outcome::not_run, mesh::reason::connect_failed, {}});
            return;
        }
        auto via = std::make_shared<connection>();
        via->transport = std::move(transport);
        via->transport->start([this, via](std::string_view bytes) { on_data(via, bytes); },
                              [this, via](stream_end how) { on_end(via, how); });
        dispatch(item, via);
    });
}

void endpoint_client::dispatch(const std::shared_ptr<work>& item, const std::shared_ptr<connection>& via) {
    item->via = via;
    via->current = item;
    via->reader.reset();
    via->transport->send(serialize_request_head(item->request));
    via->transport->send(std::move(item->request.body));
}

void endpoint_client::on_data(const std::shared_ptr<connection>& via, std::string_view bytes) {
    if (via->current == nullptr) {
        // A second response to an earlier request, or bytes that are none: nothing may be read after them.
        std::erase(idle_, via);
        via->transport->close();
        return;
    }
    via->input.append(bytes);
    while (via->current != nullptr && !via->input.empty()) {
        if (!via->reader) {
            via->reader = std::make_unique<response_reader>(read_limits{.body_bytes = max_response_bytes},
                                                            via->current->request.method == "HEAD");
        }
        const auto status = via->reader->feed(via->input);
        if (status == read_status::need_more) {
            return;
        }
        if (status != read_status::complete) {
            complete(via, {mesh::attempt_outcome::unknown, mesh::reason::bad_response, {}});
            return;
        }
        if (!on_response(via)) {
            return;
        }
    }
}

/// A whole response was read. False when the connection is done with its request.
bool endpoint_client::on_response(const std::shared_ptr<connection>& via) {
    auto response = std::move(via->reader->message());
    via->reader.reset();
    if (response.status < 200) {
        return true; // an interim response
    }
    const auto echoed = find_header(response.headers, platform_wire::request_id_header);
    if (echoed != via->current->request_id) {
        const bool is_earlier =
            std::find(via->earlier_ids.begin(), via->earlier_ids.end(), echoed) != via->earlier_ids.end();
        via->tainted = true;
        if (is_earlier && response.keep_alive) {
            return true; // a second response to an earlier request; ours follows
        }
        complete(via, {mesh::attempt_outcome::unknown, mesh::reason::bad_response, {}});
        return false;
    }
    if (!response.keep_alive || !via->input.empty()) {
        via->tainted = true;
    }
    const auto keep_alive = find_header(response.headers, "Keep-Alive");
    const auto at = keep_alive.find("timeout=");
    int seconds = 0;
    if (at != std::string_view::npos &&
        std::from_chars(keep_alive.data() + at + 8, keep_alive.data() + keep_alive.size(), seconds).ec ==
            std::errc{}) {
        const auto announced = std::chrono::duration<double>(seconds * announced_idle_share);
        via->idle_limit = std::min<duration>(max_idle, std::chrono::duration_cast<duration>(announced));
    }
    complete(via, {mesh::attempt_outcome::answered, mesh::reason::none, std::move(response)});
    return false;
}

void endpoint_client::on_end(const std::shared_ptr<connection>& via, stream_end how) {
    std::erase(idle_, via);
    if (via->current == nullptr) {
        return;
    }
    via->tainted = true;
    if (how == stream_end::clean && via->reader && via->reader->feed_end()) {
        on_response(via);
        if (via->current == nullptr) {
            return;
        }
    }
    complete(via, {mesh::attempt_outcome::unknown, mesh::reason::connection_lost, {}});
}

void endpoint_client::complete(const std::shared_ptr<connection>& via, endpoint_result result) {
    const auto item = std::exchange(via->current, nullptr);
    item->via.reset();
    active_.erase(item->id);
    const bool reusable = result.outcome == mesh::attempt_outcome::answered && !via->tainted &&
                          !via->transport->sending() && via->transport->is_open();
    if (reusable) {
        via->earlier_ids.push_back(item->request_id);
        if (via->earlier_ids.size() > max_earlier_ids) {
            via->earlier_ids.pop_front();
        }
        via->last_used = clock_.now();
        idle_.push_back(via);
    } else {
        via->transport->close();
    }
    item->done(std::move(result));
}

void endpoint_client::cancel(std::uint64_t id) {
    const auto found = active_.find(id);
    if (found == active_.end()) {
        return;
    }
    const auto item = found->second;
    active_.erase(found);
    item->cancelled = true;
    if (item->via) {
        item->via->current.reset();
        item->via->transport->close();
        item->via.reset();
    }
}

void endpoint_client::drop_idle() {
    for (const auto& via : std::exchange(idle_, {})) {
        via->transport->close();
    }
}

void endpoint_client::sweep(time_point now) {
    std::erase_if(idle_, [&](const std::shared_ptr<connection>& via) {
        const bool old = now - via->last_used >= via->idle_limit;
        if (old) {
            via->transport->close();
        }
        return old;
    });
}

} // namespace endive::sidecar
