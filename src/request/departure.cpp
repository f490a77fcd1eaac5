#include "tarragonlock/request/departure.hpp"

#include <algorithm>
#include <chrono>

namespace tarragonlock
{

namespace
{

/// Time to stop a run, and to place and start its task on another worker.
constexpr duration restart_overhead = std::chrono::milliseconds(70);

} // namespace

duration departing_run::min_remaining() const
{
    constexpr std::uint32_t whole = 100;
    // The actual progress is less than one percent above the reported one.
    const auto at_most = std::min(percent_done + 1, whole);
    return elapsed * (whole - at_most) / at_most;
}

bool restart_elsewhere(const departing_run& run, duration time_left)
{
    time_left = std::max(time_left, duration(0));
    const auto remaining = run.min_remaining();
    const auto restarted = restart_overhead + run.declared;
    if (run.declared <= duration(0) || remaining <= time_left || restarted > run.caller_waits)
        return false;
    return restarted < remaining || time_left + restarted > run.caller_waits;
}

} // namespace tarragonlock
