#pragma once

#include <cstdint>

namespace tarragonlock
{

/// Slowness of a worker, learned from run times against expected ones.
///
/// Two moving means of the logarithm of their ratio: a slow one that evens out how far off expected
/// times are, and a fast one that notices when the worker itself has changed.
class speed_estimate
{
public:
    /// Takes the run time of a task that succeeded.
    /// @param run_ms       as measured on this worker; 0 counts as 1
    /// @param expected_ms  as expected on a worker of slowness 1; ignored when not positive
    void add(double run_ms, double expected_ms);

    /// @return the logarithm of run time over expected time; 0 without samples.
    double log_slowness() const { return slow_mean_; }

private:
    double slow_mean_ = 0.0;
    double fast_mean_ = 0.0;
    std::uint32_t samples_ = 0;
};

} // namespace tarragonlock
