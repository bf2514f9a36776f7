#pragma once
/// One direction of a proxied connection.

#include "endive/base.h"

#include <deque>

namespace stand_in {

/// Faults of one direction. Those of the pair and those of the single connection act together.
struct direction_faults {
    endive::milliseconds delay{0};
    std::int64_t bytes_per_second = 0; ///< 0: unlimited
    bool hold = false;                 ///< keep the bytes back until it is cleared
    std::int64_t cut_after_bytes = -1; ///< reset once this many bytes of a connection passed; -1: never
    friend auto operator<=>(const direction_faults&, const direction_faults&) = default;
};

[[nodiscard]] direction_faults combine(const direction_faults& pair, const direction_faults& connection);

/// Carries bytes from a source socket to a sink socket, both non-blocking. Not thread safe.
class pipe {
public:
    enum class result { ok, reset };

    void connect(int source, int sink);
    /// Makes this direction silent for ever: nothing is read, and neither end nor reset is passed on.
    void silence();
    [[nodiscard]] bool silent() const { return silent_; }
    [[nodiscard]] bool wants_read() const;
    [[nodiscard]] bool wants_write() const { return sink_full_; }
    [[nodiscard]] bool source_ended() const { return source_ended_; }
    /// Nothing more will pass.
    [[nodiscard]] bool finished() const { return finished_ || (silent_ && source_ended_); }
    /// The source closed or failed although nothing is read from it.
    void note_source_ended() { source_ended_ = true; }
    void read_some(endive::time_point now, const direction_faults& faults);
    /// Writes what is due. `reset` means that both ends have to be reset.
    [[nodiscard]] result write_some(endive::time_point now, const direction_faults& faults);
    /// When `write_some` has work to do next; empty when only an event on a socket can change that.
    [[nodiscard]] std::optional<endive::time_point> next_due(const direction_faults& faults) const;
    [[nodiscard]] std::uint64_t passed_bytes() const { return passed_; }

private:
    enum class chunk_kind { data, end, reset };
    struct chunk {
        endive::time_point due;
        chunk_kind kind = chunk_kind::data;
        std::string bytes;
    };
    void push(endive::time_point due, chunk_kind kind, std::string bytes);
    [[nodiscard]] bool may_write(endive::time_point now, const direction_faults& faults) const;
    [[nodiscard]] std::size_t allowance(const direction_faults& faults) const;
    [[nodiscard]] result write_front(endive::time_point now, const direction_faults& faults);

    int source_ = -1;
    int sink_ = -1;
    std::deque<chunk> chunks_;
    std::size_t queued_ = 0;
    std::uint64_t passed_ = 0;
    endive::time_point next_write_{};
    bool silent_ = false;
    bool source_ended_ = false;
    bool sink_full_ = false;
    bool finished_ = false;
};

} // namespace stand_in
