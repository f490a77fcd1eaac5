#pragma once

#include "tarragonlock/common/time.hpp"

#include <cstdint>
#include <vector>

namespace tarragonlock
{

/// What a step still needs.
struct step_prospect
{
    /// Declared run time of a task.
    duration declared{};
    /// Positions of earlier steps whose tasks must all be done first.
    std::vector<std::uint32_t> after;
    /// Whether a task of the step has to be started yet.
    bool needs_start = false;
    /// Before this, the last of its tasks may not be started; unset when they all may.
    instant blocked_until;

    friend bool operator==(const step_prospect&, const step_prospect&) = default;
};

/// Shortest run time that is reckoned with, as a share of the declared one on the fastest worker.
/// Declared times are up to 40% off, so a task may end after 1/1.4 of its declared time; the rest
/// is for the variation between runs.
inline constexpr double shortest_run_share = 0.5;

/// Computes when a job can end at the earliest, if every worker were free.
///
/// Load pattern: begun jobs that wait behind others, or for the tasks of a lost agent, until nobody
/// needs them any more, while they take room from jobs that could still be in time.
/// @param now      the present time
/// @param steps    every step of the job, in order
/// @param fastest  ratio of run times on the fastest worker to the declared ones
/// @return a time before which the job can't end
instant earliest_end(instant now, const std::vector<step_prospect>& steps, double fastest);

} // namespace tarragonlock
