#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/worker_directory.hpp"

#include <cstdint>
#include <memory>
#include <optional>
#include <string_view>

namespace tarragonlock
{

/// Input of the placement decision for one task.
struct placement_request
{
    pool_index pool = 0;
    /// Run time expected on a worker of slowness 1.
    double expected_ms = 0.0;
    /// Sum of that time over the job's waiting tasks, this one included.
    double job_waiting_work_ms = 0.0;
    /// Time until the job's tasks that already run are expected to end.
    double job_running_remaining_ms = 0.0;
    /// Whether the task may serve as a probe of an ejected worker.
    bool may_probe = false;
};

/// Chooses the worker for a task.
class placement_strategy
{
public:
    virtual ~placement_strategy() = default;

    /// @return a worker, or nothing when the task should wait.
    virtual std::optional<worker_index> choose(const worker_directory& directory,
                                               const placement_request& request) = 0;

    /// @return whether the task would be placed on this worker if it had a free slot and no faster
    /// worker had one; only then is its agent asked for slots.
    virtual bool would_choose(const worker_directory&, const placement_request&, worker_index) const
    {
        return true;
    }
};

/// Creates a strategy by its name in the settings: "earliest_finish", or one of the baselines
/// "random", "round_robin" and "least_outstanding", which place every task immediately.
/// @return the strategy, or std::errc::invalid_argument for an unknown name
result<std::unique_ptr<placement_strategy>> make_placement(std::string_view name);

} // namespace tarragonlock
