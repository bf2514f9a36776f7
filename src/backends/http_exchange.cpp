#include "backends/http_exchange.h"

#include <strings.h>

namespace endive::backends {
namespace {

using calls::transport_result;

// Another attempt without a socket to wait for is looked at this often.
constexpr milliseconds other_poll_interval{1};

[[nodiscard]] std::string_view find_header(const response_head& head, const char* name) {
    for (const auto& field : head.headers) {
        if (strcasecmp(field.name.c_str(), name) == 0) {
            return field.value;
        }
    }
    return {};
}

} // namespace

http_exchange::http_exchange(std::unique_ptr<connection> link, const clock_source& clock, time_point deadline,
                             const pool_settings& settings, release_function release)
    : link_{std::move(link)}, clock_{clock}, deadline_{deadline},
      connect_timeout_{settings.connect_timeout}, release_{std::move(release)} {
    buffer_.max_header_bytes = settings.max_header_bytes;
    buffer_.max_buffered = settings.buffer_bytes;
}

http_exchange::~http_exchange() {
    if (!done_) {
        http_exchange::cancel();
    }
}

void http_exchange::begin(const std::string& address, const backend_request& request) {
    const auto remaining = std::chrono::ceil<milliseconds>(deadline_ - clock_.now());
    request_body_bytes_ = request.body.size();
    link_->begin(address, request, buffer_, remaining, connect_timeout_);
}

bool http_exchange::step() {
    if (done_) {
        return true;
    }
    int running = 0;
    curl_multi_perform(link_->multi(), &running);
    int queued = 0;
    while (const auto* message = curl_multi_info_read(link_->multi(), &queued)) {
        if (message->msg == CURLMSG_DONE) {
            complete(message->data.result);
            return true;
        }
    }
    return false;
}

void http_exchange::wait(duration timeout, exchange* other, int watched_socket) {
    if (done_) {
        return;
    }
    curl_waitfd sockets[2] = {};
    unsigned int count = 0;
    if (watched_socket >= 0) {
        sockets[count++] = {watched_socket, CURL_WAIT_POLLIN, 0};
    }
    const auto* second = dynamic_cast<http_exchange*>(other);
    if (second != nullptr && second->link_ != nullptr && second->link_->is_open()) {
        const bool sending = second->link_->bytes_sent() == 0 || second->request_body_bytes_ > 0;
        const short events = static_cast<short>(CURL_WAIT_POLLIN | (sending ? CURL_WAIT_POLLOUT : 0));
        sockets[count++] = {second->link_->socket(), events, 0};
    } else if (other != nullptr) {
        timeout = std::min<duration>(timeout, other_poll_interval);
    }
    const auto timeout_ms = std::chrono::ceil<milliseconds>(std::max(timeout, duration{0}));
    curl_multi_poll(link_->multi(), sockets, count, static_cast<int>(timeout_ms.count()), nullptr);
}

std::string http_exchange::take_body() {
    std::string taken;
    taken.swap(buffer_.body);
    if (buffer_.paused && !done_) {
        buffer_.paused = false;
        curl_easy_pause(link_->easy(), CURLPAUSE_CONT);
    }
    return taken;
}

transport_result http_exchange::closed_result() const {
    if (buffer_.head_complete) {
        return transport_result::truncated;
    }
    return link_->bytes_sent() == 0 ? transport_result::closed_unsent : transport_result::closed_unanswered;
}

transport_result http_exchange::transport_of(CURLcode code) const {
    switch (code) {
    case CURLE_OK:
        if (!buffer_.head_complete) {
            return closed_result(); // libcurl takes a head that the end of the connection cuts for a whole
                                    // one
        }
        return calls::is_complete(buffer_.head.framing, buffer_.received, true) ? transport_result::answered
                                                                                : transport_result::truncated;
    case CURLE_COULDNT_CONNECT:
    case CURLE_COULDNT_RESOLVE_HOST:
        return link_->resend_denied() ? closed_result() : transport_result::connect_failed;
    case CURLE_OPERATION_TIMEDOUT:
        if (link_->bytes_sent() == 0 && clock_.now() < deadline_) {
            return transport_result::connect_failed;
        }
        return transport_result::timed_out;
    case CURLE_PARTIAL_FILE:
        return transport_result::truncated;
    case CURLE_WRITE_ERROR:
        return buffer_.unverifiable ? transport_result::truncated : transport_result::malformed;
    case CURLE_RECV_ERROR:
    case CURLE_SEND_ERROR:
    case CURLE_GOT_NOTHING:
        return closed_result();
    default:
        return transport_result::malformed;
    }
}

void http_exchange::complete(CURLcode code) {
    done_ = true;
    result_.transport = transport_of(code);
    result_.bytes_sent = link_->bytes_sent();
    result_.opened_connection = link_->opened_now();
    result_.status = buffer_.head_complete ? buffer_.head.status : 0;
    result_.reports_not_run = find_header(buffer_.head, "endive-outcome") == "not-run";
    result_.reports_unknown = find_header(buffer_.head, "endive-outcome") == "unknown";
    result_.from_deeper_layer = !find_header(buffer_.head, "endive-reason").empty();
    // A duplicate of the refusal could not be told from the answer to the next request.
    release(result_.transport == transport_result::answered && !result_.reports_not_run);
}

void http_exchange::cancel() {
    if (done_) {
        return;
    }
    done_ = true;
    result_.transport = transport_result::cancelled;
    result_.bytes_sent = link_->bytes_sent();
    release(false);
}

void http_exchange::release(bool reusable) {
    link_->end();
    release_(std::move(link_), reusable);
}

} // namespace endive::backends
