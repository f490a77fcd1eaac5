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

/// An entry's estimate of one worker's resources, queue and speed, used to place tasks.
struct worker_forecast
{
    /// Identifies the worker to the code that calls the functions below.
    std::uint64_t worker = 0;
    resource_amount capacity;
    /// Free resources minus those of tasks in flight to the worker; negative when more was sent
    /// than fits.
    resource_amount free;
    /// CPU demand of tasks of the same or a higher priority that wait at the worker.
    std::int64_t queued_cpu_millis = 0;
    /// Mean time for which a task holds its resources.
    duration mean_run{};
    /// Run times on this worker divided by declared ones.
    double slowness = 1.0;
    /// Whether the worker is outside the entry's failure domain.
    bool remote = false;
    /// Penalty, 0 to 1, that makes each entry prefer different workers among those that are equally
    /// good.
    double tie_break_penalty = 0.0;
    /// Most tasks that may still be placed on this worker.
    std::uint32_t placeable_tasks = 0;
    /// Whether its last runs failed, so that the next one may stall as well.
    bool on_probation = false;

    bool has_free_capacity(const resource_amount& demand) const
    {
        return placeable_tasks > 0 && demand.fits_into(free);
    }
    /// @return the CPU demand that is served before a further task, in thousandths of a core.
    std::int64_t queued_cpu_ahead() const
    {
        return queued_cpu_millis + std::max<std::int64_t>(-free.cpu_millis, 0);
    }
    /// @return whether a task may wait at this worker although it has no free capacity.
    bool can_queue(const resource_amount& demand) const;
    /// @return the estimated time until a task would start. Assumes that resources are released at
    /// an even rate, all of them once in the mean time that a task holds them.
    duration expected_wait(const resource_amount& demand) const;
    /// Deducts a task that is placed on this worker.
    void reserve(const resource_amount& demand)
    {
        --placeable_tasks;
        free -= demand;
    }
};

/// Task to be placed, and its allowed response time.
struct leased_placement_request
{
    resource_amount demand;
    /// Declared run time of a task; it may be far off, and the allowed time with it.
    duration declared{};
    /// Time since the job was accepted.
    duration waited{};
    /// Allowed response time: stretch times the run time on an average worker, plus objective.
    double stretch = 1.0;
    duration objective{};
    /// Whether workers that are too slow to end in time may be used as well.
    bool accept_late = false;
    /// Worker that is not considered, because the last run of the task failed or stalled there.
    std::optional<std::uint64_t> excluded_worker;
};

/// Chooses a worker with free capacity for one task.
///
/// A worker on probation is chosen only for a task that would still finish in time on another
/// worker if it stalls on this one.
///
/// Handles workers of uneven speed and a mix of long and short tasks. While much of the fleet is
/// free, a task is placed where it ends first. The higher the utilization, the more the fast
/// workers are reserved for tasks that need them, and a task is placed on the slowest worker on
/// which it still ends in time. A worker on which the task ends in time even if the declared run
/// time is far off is preferred to one on which it does so only if the declaration is right. Among
/// workers that are about equally good, entries choose different ones, because several entries may
/// see the same free capacity at the same time and all assign it. Workers in the entry's failure
/// domain are preferred to remote ones that are not clearly better.
/// @param workers  candidates; the chosen one is not reserved
/// @param utilization  share of the fleet's CPU in use, 0 to 1
/// @return the position of the chosen worker, or workers.size() when none is suitable
std::size_t choose_worker(const std::vector<worker_forecast>& workers,
                          const leased_placement_request& request, double utilization);

/// Chooses a worker without free capacity at which one task waits.
///
/// Handles overload at several entries, when there is more work than the fleet can run. A short
/// queue at each worker assigns capacity that is released to the most urgent task of all entries,
/// without a round trip during which the capacity is idle.
/// @return the position of the worker on which the task starts first and ends in time, or
/// workers.size() when there is none
std::size_t choose_worker_to_queue_at(const std::vector<worker_forecast>& workers,
                                      const leased_placement_request& request);

/// @return the share of the workers' CPU that is in use, 0 to 1; 1 when they have none.
double cpu_utilization(const std::vector<worker_forecast>& workers);

} // namespace tarragonlock
