#pragma once

#include "tarragonlock/common/time.hpp"

#include <optional>

namespace tarragonlock
{

/// Detects that a process did not run for a while, and bounds the age of the input that it reads
/// afterwards.
///
/// Load pattern: the process is stopped, its host is suspended, or it gets no processor time, for
/// seconds. Requests, frames and ends of connections pile up in its sockets meanwhile, and are read
/// in any order afterwards. Until all of them have been read, a request may be as old as the stall,
/// and its caller may have left.
class stall_detector
{
public:
    /// Longest time between two activities of a running process: several ticks of its event loop.
    static constexpr duration max_pause = std::chrono::milliseconds(200);
    /// Time after a stall at whose end its input counts as read in any case, since an overloaded
    /// process always has further input.
    static constexpr duration max_backlog_time = std::chrono::milliseconds(1000);

    /// Records that the process runs. To be called before and after each event is handled.
    /// @return whether a stall has ended since the last call
    bool on_activity(instant now);
    /// Records that no input is left to read.
    void on_input_read() { stall_began_.reset(); }
    /// @return whether input that arrived during a stall may still be unread.
    bool has_backlog() const { return stall_began_.has_value(); }
    /// @return the earliest time at which input that is being handled can have arrived.
    instant earliest_arrival(instant now) const { return stall_began_.value_or(now); }
    /// @return length of the last stall; 0 when there was none
    duration last_stall() const { return last_stall_; }

private:
    std::optional<instant> last_activity_;
    /// Start of the stall whose input may be unread.
    std::optional<instant> stall_began_;
    instant stall_ended_;
    duration last_stall_{};
};

} // namespace tarragonlock
