#include "pipe.h"

#include <cerrno>

#include <sys/socket.h>

namespace stand_in {
namespace {

// Limits the memory of a slowed connection; beyond it TCP flow control stops the sender.
constexpr std::size_t max_queued_bytes = 4UL * 1024 * 1024;
constexpr std::size_t read_size = 64UL * 1024;
// Limits the writes per second of a throttled stream, which keeps the CPU cost of throttling low.
constexpr std::int64_t throttle_writes_per_second = 100;

} // namespace

direction_faults combine(const direction_faults& pair, const direction_faults& connection) {
    direction_faults both = pair;
    both.delay += connection.delay;
    both.hold |= connection.hold;
    if (connection.bytes_per_second > 0) {
        both.bytes_per_second = connection.bytes_per_second;
    }
    if (connection.cut_after_bytes >= 0) {
        both.cut_after_bytes = connection.cut_after_bytes;
    }
    return both;
}

void pipe::connect(int source, int sink) {
    source_ = source;
    sink_ = sink;
}

void pipe::silence() {
    silent_ = true;
    sink_full_ = false;
    chunks_.clear();
    queued_ = 0;
}

bool pipe::wants_read() const {
    return !silent_ && !source_ended_ && queued_ < max_queued_bytes;
}

void pipe::push(endive::time_point due, chunk_kind kind, std::string bytes) {
    // Keeps the byte order when the delay becomes shorter.
    if (!chunks_.empty()) {
        due = std::max(due, chunks_.back().due);
    }
    queued_ += bytes.size();
    chunks_.push_back({due, kind, std::move(bytes)});
}

void pipe::read_some(endive::time_point now, const direction_faults& faults) {
    std::string bytes(read_size, '\0');
    const auto got = ::recv(source_, bytes.data(), bytes.size(), 0);
    if (got > 0) {
        bytes.resize(static_cast<std::size_t>(got));
        push(now + faults.delay, chunk_kind::data, std::move(bytes));
        return;
    }
    if (got < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
    }
    source_ended_ = true;
    push(now + faults.delay, got == 0 ? chunk_kind::end : chunk_kind::reset, {});
}

std::size_t pipe::write_limit(const direction_faults& faults) const {
    auto limit = static_cast<std::int64_t>(max_queued_bytes);
    if (faults.bytes_per_second > 0) {
        limit = std::max<std::int64_t>(1, faults.bytes_per_second / throttle_writes_per_second);
    }
    if (faults.cut_after_bytes >= 0) {
        limit = std::min(limit, faults.cut_after_bytes - static_cast<std::int64_t>(forwarded_));
    }
    return static_cast<std::size_t>(std::max<std::int64_t>(0, limit));
}

bool pipe::may_write(endive::time_point now, const direction_faults& faults) const {
    return !silent_ && !faults.hold && !chunks_.empty() && chunks_.front().due <= now && next_write_ <= now;
}

pipe::result pipe::write_some(endive::time_point now, const direction_faults& faults) {
    while (may_write(now, faults)) {
        if (chunks_.front().kind == chunk_kind::reset) {
            return result::reset;
        }
        if (chunks_.front().kind == chunk_kind::end) {
            ::shutdown(sink_, SHUT_WR);
            chunks_.clear();
            finished_ = true;
            return result::ok;
        }
        if (write_front(now, faults) == result::reset) {
            return result::reset;
        }
        if (sink_full_) {
            return result::ok;
        }
    }
    return result::ok;
}

pipe::result pipe::write_front(endive::time_point now, const direction_faults& faults) {
    auto& bytes = chunks_.front().bytes;
    const auto length = std::min(bytes.size(), write_limit(faults));
    const auto sent = ::send(sink_, bytes.data(), length, MSG_NOSIGNAL);
    sink_full_ = sent < 0 && (errno == EAGAIN || errno == ENOTCONN || errno == EINTR);
    if (sink_full_) {
        return result::ok;
    }
    if (sent < 0) {
        return result::reset;
    }
    forwarded_ += static_cast<std::uint64_t>(sent);
    queued_ -= static_cast<std::size_t>(sent);
    bytes.erase(0, static_cast<std::size_t>(sent));
    if (bytes.empty()) {
        chunks_.pop_front();
    }
    if (faults.bytes_per_second > 0) {
        const std::chrono::duration<double> pause{static_cast<double>(sent) /
                                                  static_cast<double>(faults.bytes_per_second)};
        next_write_ = now + std::chrono::duration_cast<endive::duration>(pause);
    }
    const bool cut =
        faults.cut_after_bytes >= 0 && forwarded_ >= static_cast<std::uint64_t>(faults.cut_after_bytes);
    return cut ? result::reset : result::ok;
}

std::optional<endive::time_point> pipe::next_due(const direction_faults& faults) const {
    if (silent_ || faults.hold || chunks_.empty() || sink_full_) {
        return std::nullopt;
    }
    return std::max(chunks_.front().due, next_write_);
}

} // namespace stand_in
