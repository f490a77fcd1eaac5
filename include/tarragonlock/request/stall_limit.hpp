#pragma once

#include "tarragonlock/common/time.hpp"

#include <algorithm>
#include <chrono>

namespace tarragonlock
{

/// @param declared  run time that the caller declared
/// @return the time within which a run has to advance by one percent, or it counts as stalled. A
/// fifth of the declared run time, in which even a worker that is ten times as slow as declared
/// advances by two percent, but at least several times the usual time between two listings of a
/// worker.
inline duration stall_limit(duration declared)
{
    constexpr duration min_limit = std::chrono::milliseconds(100);
    constexpr int declared_divisor = 5;
    return std::max(min_limit, declared / declared_divisor);
}

} // namespace tarragonlock
