#pragma once

#include "tarragonlock/common/time.hpp"

namespace tarragonlock
{

/// Learns how much longer runs take while a worker is cold, as it is for a time after its start or
/// after its failure domain was evacuated.
///
/// Load pattern: a whole failure domain of cold workers is used again at once. Its mean run times
/// from before would draw more work to it than it can do in time.
class cold_start
{
public:
    /// Records a run that was started while the worker was cold.
    /// @param ratio  its time, in proportion to the expected time on the warm worker
    void record(double ratio);
    /// @return the factor on run times of a cold worker, at least 1
    double factor() const { return factor_; }

private:
    /// Assumed until runs have been recorded: half as long again.
    static constexpr double initial_factor = 1.5;

    double factor_ = initial_factor;
};

} // namespace tarragonlock
