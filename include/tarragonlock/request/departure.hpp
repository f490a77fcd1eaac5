#pragma once

#include "tarragonlock/common/time.hpp"

#include <cstdint>

namespace tarragonlock
{

/// A run on a worker that has announced its departure.
struct departing_run
{
    /// Time since the run was started.
    duration elapsed{};
    /// Share of the work that is completed, in percent, rounded down.
    std::uint32_t percent_done = 0;
    /// Declared run time of the task; 0 when unknown.
    duration declared{};
    /// Time for which the caller still waits for the job.
    duration caller_waits{};

    /// @return a lower bound of the time until the run ends, from its progress so far
    duration min_remaining() const;

    friend bool operator==(const departing_run&, const departing_run&) = default;
};

/// Decides whether a run is stopped because its worker leaves, so that its task can be started
/// elsewhere at once.
///
/// Load pattern: workers are replaced one after the other or taken away at short notice while they
/// run tasks, some of which last several times as long as declared. Everything that still runs on
/// them ends with them, and the entry would place these tasks again only after that.
///
/// A run that ends before its worker leaves goes on. So does one that ends before a new run of its
/// task would, because the announced time is a minimum; it is stopped only when waiting for the
/// worker's end would leave too little time for a new run. A run whose task can't end elsewhere in
/// time goes on as well, since stopping it would only waste its work.
/// @param time_left  minimum time until the worker leaves
bool restart_elsewhere(const departing_run& run, duration time_left);

} // namespace tarragonlock
