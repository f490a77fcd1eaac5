#pragma once

#include "tarragonlock/common/time.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tarragonlock::fakes
{

/// A job as sent by its caller.
struct offered_job
{
    std::string queue;
    instant sent;
    /// Latest completion time that counts as in time.
    instant due;
    /// Sum of the run times of its tasks, on a worker of speed 1.
    duration work{};
    /// Whether the result of its queue includes it.
    bool counted = false;
};

/// @return run time of tasks that all workers together complete per unit of time, at a given time
using fleet_speed = std::function<double(instant)>;

/// Computes how many jobs of each queue could be in time at most, for a scheduler that has every
/// job in advance, can split jobs arbitrarily and move them between workers, and has no message
/// latency.
///
/// Of all such schedules it uses one that completes the most jobs: jobs with less work go first,
/// and among jobs of about the same work those with the earliest due time (Jackson's rule), which
/// completes the most divisible work of equal weight. A partly completed job counts in part.
/// @return by queue, the number of counted jobs that are in time in such a schedule
std::map<std::string, double> max_in_time(const std::vector<offered_job>& jobs,
                                          const fleet_speed& speed);

} // namespace tarragonlock::fakes
