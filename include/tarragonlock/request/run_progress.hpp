#pragma once

#include <cstdint>

namespace tarragonlock
{

/// Progress of a run, from a worker's listings.
struct run_progress
{
    /// Share of the work that is completed, in percent.
    std::uint32_t percent = 0;
    /// Worker's clock when the progress last increased.
    std::int64_t changed_ms = 0;

    /// @return whether the run's pace can be told from its progress; earlier it is too coarse
    bool shows_pace() const { return percent >= 2; }
    /// Records the progress in a listing.
    /// @param clock_ms  worker's clock at the time of the listing
    /// @return the time without an increase by the worker's clock, so that a late answer does not
    ///         count as a stall; 0 after an increase
    std::int64_t update(std::uint32_t listed_percent, std::int64_t clock_ms)
    {
        if (listed_percent <= percent)
            return clock_ms - changed_ms;
        percent = listed_percent;
        changed_ms = clock_ms;
        return 0;
    }

    friend bool operator==(const run_progress&, const run_progress&) = default;
};

} // namespace tarragonlock
