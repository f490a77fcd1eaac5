#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/request/leased_job.hpp"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

namespace tarragonlock
{

/// What an entry expects of one worker when it places tasks.
struct worker_forecast
{
    /// Names the worker to the caller.
    std::uint64_t worker = 0;
    resource_amount capacity;
    /// What is free, less what is on its way there; negative when more was sent than fits.
    resource_amount free;
    /// Processor that waiting tasks of the same or a higher priority ask for.
    std::int64_t queued_cpu_millis = 0;
    /// Mean time for which a task holds its resources.
    duration mean_run{};
    /// Run times here over declared ones.
    double slowness = 1.0;
    /// Cost of work that has to leave the failure domain.
    duration domain_crossing_cost{};
    /// How much this entry would rather use other workers that are as good, 0 to 1.
    double tie_break_penalty = 0.0;
    /// Most tasks that may still be placed here.
    std::uint32_t placeable_tasks = 0;
    /// Whether its last runs failed, so that the next one may stand still too.
    bool on_trial = false;

    bool has_free_capacity(const resource_amount& demand) const
    {
        return placeable_tasks > 0 && demand.fits_into(free);
    }
    /// @return processor that waits there before a further task.
    std::int64_t queued_cpu_ahead() const
    {
        return queued_cpu_millis + std::max<std::int64_t>(-free.cpu_millis, 0);
    }
    /// @return whether a task may wait there although nothing is free.
    bool can_queue(const resource_amount& demand) const;
    /// @return the time until a task would start: resources come free evenly, all of them once in
    ///         the mean time that a task holds them.
    duration expected_wait(const resource_amount& demand) const;
    /// Counts a task as placed here.
    void reserve(const resource_amount& demand)
    {
        --placeable_tasks;
        free -= demand;
    }
};

/// What is to be placed, and when it counts as in time.
struct placement_request
{
    resource_amount demand;
    /// Declared run time of a task; it may be far off, and the allowed time with it.
    duration declared{};
    /// Time since the job was accepted.
    duration waited{};
    /// Allowed response time: a multiple of the run time on an average worker, and a constant.
    double stretch = 1.0;
    duration objective{};
    /// Whether workers that are too slow to end in time may be used as well.
    bool accept_late = false;
    /// Worker that is left out, because the last run of the task failed or stalled there.
    std::optional<std::uint64_t> excluded_worker;
};

/// Chooses a worker with room for one task.
///
/// A worker on trial is used only for what would still be in time elsewhere if it stands still
/// there.
///
/// Load pattern: uneven workers, mixed long and short tasks. While much of the fleet is free a task
/// goes where it ends first. The busier the fleet, the more a task leaves the fast workers to those
/// that need them, and takes the slowest one that still ends in time. A worker that ends in time
/// even if the declared run time is far off goes before one that does so only if it is right. Of
/// workers that are about as good each entry takes others, because room that several entries see
/// free at a time is given away more than once.
/// @param workers  candidates; the chosen one is not reserved
/// @param busy     share of the fleet's processors in use, 0 to 1
/// @return the position of the chosen worker, or workers.size() when none will do
std::size_t choose_worker(const std::vector<worker_forecast>& workers,
                          const placement_request& request, double utilization);

/// Chooses a worker without room for one task to wait at.
///
/// Load pattern: more work than the fleet can take, at several entries. A short line at each worker
/// gives room that comes free to the most urgent task of all entries, without a round trip in which
/// the room is idle.
/// @return the position of the worker where it starts first and is in time, or workers.size()
std::size_t choose_worker_to_queue_at(const std::vector<worker_forecast>& workers,
                                      const placement_request& request);

/// @return the share of the workers' processors that is in use, 0 to 1.
double cpu_utilization(const std::vector<worker_forecast>& workers);

} // namespace tarragonlock
