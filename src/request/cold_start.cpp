#include "tarragonlock/request/cold_start.hpp"

#include <algorithm>

namespace tarragonlock
{

void cold_start::record(double ratio)
{
    // The average covers about the last five runs, because a worker warms up within seconds.
    constexpr double weight = 0.2;
    // A run that stalled for a while says little about the others.
    constexpr double max_ratio = 20.0;
    const auto bounded = std::clamp(ratio, 1.0, max_ratio);
    factor_ += weight * (bounded - factor_);
}

} // namespace tarragonlock
