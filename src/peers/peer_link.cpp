#include "peers/peer_link.h"

#include <cerrno>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace endive::peers {
namespace {

constexpr std::size_t write_batch_bytes = 64UL * 1024;
constexpr std::size_t read_block_bytes = 64UL * 1024;
// Blocks read from one link before the others get their turn.
constexpr int read_blocks = 4;

bool would_block(int number) {
    return number == EAGAIN || number == EWOULDBLOCK;
}

} // namespace

peer_link::peer_link(int epoll, int fd, bool was_dialed, byte_counters& bytes, time_point now)
    : phase{was_dialed ? link_phase::connecting : link_phase::greeting}, dialed{was_dialed}, opened_at{now},
      epoll_{epoll}, bytes_{bytes}, fd_{fd}, connected_{!was_dialed}, watching_writable_{was_dialed},
      progress_at_{now} {
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
    if (queued_bytes_ == 0 && sent_ == sending_.size()) {
        progress_at_ = now;
    }
    queued_bytes_ += frame.size();
    queue.push_back(std::move(frame));
    if (connected_ && !watching_writable_ && !flush_locked(now)) {
        // The I/O thread sees the shutdown as end of stream and closes the link.
        (void)::shutdown(fd_, SHUT_RDWR);
    }
    return send_outcome::queued;
}

bool peer_link::flush(time_point now) {
    const std::lock_guard guard{mutex_};
    connected_ = true;
    return fd_ >= 0 && flush_locked(now);
}

void peer_link::refill_locked() {
    sending_.clear();
    sent_ = 0;
    for (auto& queue : queues_) {
        while (!queue.empty() && sending_.size() < write_batch_bytes) {
            queued_bytes_ -= queue.front().size();
            sending_ += queue.front();
            queue.pop_front();
        }
    }
}

bool peer_link::flush_locked(time_point now) {
    for (;;) {
        if (sent_ == sending_.size()) {
            refill_locked();
            if (sending_.empty()) {
                watch_writable_locked(false);
                return true;
            }
        }
        const auto count = ::send(fd_, sending_.data() + sent_, sending_.size() - sent_, MSG_NOSIGNAL);
        if (count < 0 && errno == EINTR) {
            continue;
        }
        if (count < 0) {
            const auto full = would_block(errno);
            watch_writable_locked(full);
            return full;
        }
        sent_ += static_cast<std::size_t>(count);
        bytes_.out += static_cast<std::uint64_t>(count);
        progress_at_ = now;
    }
}

void peer_link::watch_writable_locked(bool on) {
    if (watching_writable_ == on) {
        return;
    }
    watching_writable_ = on;
    epoll_event event{};
    event.events = EPOLLIN | (on ? static_cast<std::uint32_t>(EPOLLOUT) : 0U);
    event.data.fd = fd_;
    (void)epoll_ctl(epoll_, EPOLL_CTL_MOD, fd_, &event);
}

bool peer_link::receive() {
    thread_local std::string block(read_block_bytes, '\0');
    for (int round = 0; round < read_blocks; ++round) {
        const auto count = ::recv(fd_, block.data(), block.size(), 0);
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
        decoder.feed({block.data(), static_cast<std::size_t>(count)});
        if (static_cast<std::size_t>(count) < block.size()) {
            return true;
        }
    }
    return true;
}

bool peer_link::stalled(time_point now, duration limit) {
    const std::lock_guard guard{mutex_};
    const auto waiting = queued_bytes_ > 0 || sent_ < sending_.size();
    return connected_ && waiting && now - progress_at_ > limit;
}

} // namespace endive::peers
