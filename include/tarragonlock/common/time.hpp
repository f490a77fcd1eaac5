#pragma once

#include <chrono>
#include <cstdint>

namespace tarragonlock
{

/// Resolution of every time that a decision sees.
using duration = std::chrono::microseconds;

/// Monotonic clock of one process. Readings of two processes are never compared.
struct process_clock
{
    using duration = tarragonlock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<process_clock>;
    static constexpr bool is_steady = true;

    /// @return the current reading; decision code takes the time as an argument instead.
    static time_point now();
};

using instant = process_clock::time_point;

/// Milliseconds since the Unix epoch, as carried in UUID version 7 identifiers.
using unix_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

/// @return the wall clock's reading.
unix_milliseconds wall_clock_now();

} // namespace tarragonlock
