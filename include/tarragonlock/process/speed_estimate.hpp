#pragma once

#include <cstdint>

namespace tarragonlock
{

/// Estimate of a worker's slowness from run times relative to expected run times.
///
/// Keeps two moving averages of the logarithm of their ratio: a slow one that averages out the
/// errors of the expected times, and a fast one that detects a change of the worker itself.
class speed_estimate
{
public:
    /// Adds the run time of a task that succeeded.
    /// @param run_ms       run time measured on this worker; values below 1 count as 1
    /// @param expected_ms  run time expected on a worker of slowness 1; a sample whose value is not
    ///                     positive is ignored
    void add(double run_ms, double expected_ms);

    /// @return the estimated natural logarithm of run time over expected time; 0 without samples.
    double log_slowness() const { return slow_mean_; }

private:
    double slow_mean_ = 0.0;
    double fast_mean_ = 0.0;
    std::uint32_t samples_ = 0;
};

} // namespace tarragonlock
