#pragma once

#include "tarragonlock/common/time.hpp"

#include <functional>
#include <map>
#include <string>
#include <vector>

namespace tarragonlock::fakes
{

/// A job as its caller sent it.
struct offered_job
{
    std::string queue;
    instant sent;
    /// When it has to be complete to count as in time.
    instant due;
    /// Run times of its tasks together, on a worker of speed 1.
    duration work{};
    /// Whether its queue's result includes it.
    bool counted = false;
};

/// @return run time that all workers together work off per unit of time, at a moment
using fleet_speed = std::function<double(instant)>;

/// Finds how many jobs of each queue could be in time at most, for a scheduler that knows every job
/// in advance, splits jobs at will, moves them between workers and loses no time on messages.
///
/// Of all such schedules it takes one that completes the most jobs: those with less work go first,
/// and among jobs of about the same work the earliest due time (Jackson's rule), which for
/// divisible work of equal weight fits in as much as possible. A job that is done in part counts in
/// part.
/// @return the number of counted jobs that are in time in such a schedule, by queue
std::map<std::string, double> max_in_time(const std::vector<offered_job>& jobs,
                                          const fleet_speed& speed);

} // namespace tarragonlock::fakes
