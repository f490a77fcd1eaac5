#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <chrono>
#include <set>
#include <string>

namespace tarragonlock
{

/// Circuit breaker for a worker, driven by the outcomes of its runs.
///
/// A worker that fails every run at once, or on which every run stalls, looks idle and attracts the
/// work of the whole fleet. Failures of several jobs in a row without a successful run distinguish
/// it from a job that fails on every worker. Such a worker is suspended (worker_condition::paused)
/// and then gets one task at a time (worker_condition::probation); each failure on probation
/// doubles the suspension.
class worker_health
{
public:
    /// Reports a successful run.
    void on_success();
    /// Reports a run that failed or stalled, or that the worker refused as unhealthy.
    void on_failure(instant now, const std::string& job);
    /// Clears all failures; to be called when the worker process has restarted.
    void reset() { on_success(); }
    worker_condition condition(instant now) const;

private:
    /// Jobs with a failed run since the last successful run.
    std::set<std::string> failed_jobs_;
    instant suspended_until_;
    duration next_suspension_ = first_suspension;

    /// Initial suspension; kept short because a failure on probation afterwards delays only one
    /// task.
    static constexpr duration first_suspension = std::chrono::milliseconds(500);
};

} // namespace tarragonlock
