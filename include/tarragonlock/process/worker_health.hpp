#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <chrono>
#include <set>
#include <string>

namespace tarragonlock
{

/// Judges a worker by what became of its runs.
///
/// Load pattern: a worker that fails everything at once, or on which everything stands still, looks
/// idle and draws the work of the whole fleet. Runs of several jobs that fail in a row, without one
/// that is done, tell it from a job that fails everywhere. Such a worker rests, then gets one task
/// at a time as a trial; each trial that fails doubles the rest.
class worker_health
{
public:
    /// A run has ended as done.
    void on_success();
    /// A run has failed or stood still, or the worker refused it as unhealthy.
    void on_failure(instant now, const std::string& job);
    /// A new life of the worker begins.
    void reset() { on_success(); }
    worker_condition condition(instant now) const;

private:
    /// Jobs with a failed run since the last run that was done.
    std::set<std::string> failed_jobs_;
    instant suspended_until_;
    duration next_suspension_ = first_suspension;

    /// Rest after the first failures. A trial that fails delays one task.
    static constexpr duration first_suspension = std::chrono::milliseconds(500);
};

} // namespace tarragonlock
