#pragma once

#include <chrono>
#include <cstdint>

namespace tarragonlock
{

/// Resolution of all times and time spans in the dispatcher's logic.
using duration = std::chrono::microseconds;

/// Monotonic clock that includes the time for which the host is suspended. Readings from different
/// processes must not be compared.
struct process_clock
{
    using duration = tarragonlock::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<process_clock>;
    static constexpr bool is_steady = true;

    /// @return the current time. Code that makes scheduling decisions takes the time as an argument
    ///         instead, so that tests can simulate it.
    static time_point now();
};

using instant = process_clock::time_point;

/// Milliseconds since the Unix epoch, as carried in UUID version 7 identifiers.
using unix_milliseconds = std::chrono::duration<std::int64_t, std::milli>;

/// @return the current wall-clock time.
unix_milliseconds wall_clock_now();

} // namespace tarragonlock
