#include "peers/peer_link.h"

#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endive::peers {
namespace {

constexpr std::size_t write_batch_bytes = 64UL * 1024;
constexpr std::size_t read_buffer_bytes = 64UL * 1024;
// Limits the reads from one link for each event, so that other links are served in between.
constexpr int max_reads_per_event = 4;

bool would_block(int error_number) {
    return error_number == EAGAIN || error_number == EWOULDBLOCK;
}

} // namespace

peer_link::peer_link(int epoll, int fd, bool was_dialed, byte_counters& bytes, time_point now)
    : phase{was_dialed ? link_phase::connecting : link_phase::handshake}, dialed{was_dialed}, opened_at{now},
      epoll_{epoll}, bytes_{bytes}, fd_{fd}, connected_{!was_dialed}, watching_writable_{was_dialed},
      last_progress_{now} {
    epoll_event event{};
    event.events = EPOLLIN | (was_dialed ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.fd = fd;
    (void)epoll_ctl(epoll_, EPOLL_CTL_ADD, fd, &event);
}

peer_link::~peer_link() {
    close();
}

void peer_link::close() {
    const std::lock_guard guard{mutex_};
    if (fd_ >= 0) {
        (void)::close(fd_);
        fd_ = -1;
    }
    phase = link_phase::closed;
}

send_outcome peer_link::send(distribution::message_priority priority, std::string frame, time_point now) {
    const std::lock_guard guard{mutex_};
    if (fd_ < 0) {
        return send_outcome::closed;
    }
    auto& queue = queues_.at(static_cast<std::size_t>(priority));
    if (queue.size() >= config::max_link_queue_messages ||
        queued_bytes_ + frame.size() > config::max_link_queue_bytes) {
        return send_outcome::queue_full;
    }
    if (queued_bytes_ == 0 && sent_bytes_ == send_buffer_.size()) {
        last_progress_ = now;
    }
    queued_bytes_ += frame.size();
    queue.push_back(std::move(frame));
    if (connected_ && !watching_writable_ && !flush_locked(now)) {
        // The I/O thread reads the shutdown as the end of the stream and closes the link.
        (void)::shutdown(fd_, SHUT_RDWR);
    }
    return send_outcome::queued;
}

bool peer_link::flush(time_point now) {
    const std::lock_guard guard{mutex_};
    connected_ = true;
    return fd_ >= 0 && flush_locked(now);
}

void peer_link::refill_send_buffer_locked() {
    send_buffer_.clear();
    sent_bytes_ = 0;
    for (auto& queue : queues_) {
        while (!queue.empty() && send_buffer_.size() < write_batch_bytes) {
            queued_bytes_ -= queue.front().size();
            send_buffer_ += queue.front();
            queue.pop_front();
        }
    }
}

bool peer_link::flush_locked(time_point now) {
    for (;;) {
        if (sent_bytes_ == send_buffer_.size()) {
            refill_send_buffer_locked();
            if (send_buffer_.empty()) {
                watch_writable_locked(false);
                return true;
            }
        }
        const auto count =
            ::send(fd_, send_buffer_.data() + sent_bytes_, send_buffer_.size() - sent_bytes_, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            const auto blocked = would_block(errno);
            watch_writable_locked(blocked);
            return blocked;
        }
        sent_bytes_ += static_cast<std::size_t>(count);
        bytes_.out += static_cast<std::uint64_t>(count);
        last_progress_ = now;
    }
}

void peer_link::watch_writable_locked(bool enabled) {
    if (watching_writable_ == enabled) {
        return;
    }
    watching_writable_ = enabled;
    epoll_event event{};
    event.events = EPOLLIN | (enabled ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.fd = fd_;
    (void)epoll_ctl(epoll_, EPOLL_CTL_MOD, fd_, &event);
}

bool peer_link::receive() {
    thread_local std::string buffer(read_buffer_bytes, '\0');
    for (int reads = 0; reads < max_reads_per_event; ++reads) {
        const auto count = ::recv(fd_, buffer.data(), buffer.size(), 0);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            return would_block(errno);
        }
        if (count == 0) {
            return false;
        }
        bytes_.in += static_cast<std::uint64_t>(count);
        decoder.feed({buffer.data(), static_cast<std::size_t>(count)});
        if (static_cast<std::size_t>(count) < buffer.size()) {
            return true;
        }
    }
    return true;
}

bool peer_link::stalled(time_point now, duration timeout) {
    const std::lock_guard guard{mutex_};
    const auto pending = queued_bytes_ > 0 || sent_bytes_ < send_buffer_.size();
    return connected_ && pending && now - last_progress_ > timeout;
}

} // namespace endive::peers
