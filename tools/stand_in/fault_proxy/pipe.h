#pragma once
/// One direction of a proxied connection.

#include "endive/base.h"

#include <deque>

namespace stand_in {

/// Faults of one direction. Those of the pair and those of a single connection are combined.
struct direction_faults {
    endive::milliseconds delay{0};
    std::int64_t bytes_per_second = 0; ///< 0: unlimited
    bool hold = false;                 ///< hold the bytes back until this is cleared
    std::int64_t cut_after_bytes = -1; ///< reset after this many forwarded bytes of a connection; -1: never
    friend auto operator<=>(const direction_faults&, const direction_faults&) = default;
};

[[nodiscard]] direction_faults combine(const direction_faults& pair, const direction_faults& connection);

/// Forwards bytes from a source socket to a sink socket, both non-blocking. Not thread safe.
class pipe {
public:
    enum class result { ok, reset };

    void connect(int source, int sink);
    /// Silences this direction permanently: reads nothing and forwards neither end nor reset.
    void silence();
    [[nodiscard]] bool silent() const { return silent_; }
    [[nodiscard]] bool wants_read() const;
    [[nodiscard]] bool wants_write() const { return sink_full_; }
    [[nodiscard]] bool source_ended() const { return source_ended_; }
    /// True when nothing more will be forwarded.
    [[nodiscard]] bool finished() const { return finished_ || (silent_ && source_ended_); }
    /// Records that the source closed or failed; used when nothing is read from it.
    void note_source_ended() { source_ended_ = true; }
    void read_some(endive::time_point now, const direction_faults& faults);
    /// Writes the bytes that are due. `reset` means that the caller has to reset both sockets.
    [[nodiscard]] result write_some(endive::time_point now, const direction_faults& faults);
    /// When `write_some` has work to do next; empty when only an event on a socket can change that.
    [[nodiscard]] std::optional<endive::time_point> next_due(const direction_faults& faults) const;
    [[nodiscard]] std::uint64_t forwarded_bytes() const { return forwarded_; }

private:
    enum class chunk_kind { data, end, reset };
    struct chunk {
        endive::time_point due;
        chunk_kind kind = chunk_kind::data;
        std::string bytes;
    };
    void push(endive::time_point due, chunk_kind kind, std::string bytes);
    [[nodiscard]] bool may_write(endive::time_point now, const direction_faults& faults) const;
    [[nodiscard]] std::size_t write_limit(const direction_faults& faults) const;
    [[nodiscard]] result write_front(endive::time_point now, const direction_faults& faults);

    int source_ = -1;
    int sink_ = -1;
    std::deque<chunk> chunks_;
    std::size_t queued_ = 0;
    std::uint64_t forwarded_ = 0;
    endive::time_point next_write_{};
    bool silent_ = false;
    bool source_ended_ = false;
    bool sink_full_ = false;
    bool finished_ = false;
};

} // namespace stand_in
