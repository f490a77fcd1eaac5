#pragma once

#include "tarragonlock/common/time.hpp"

#include <compare>
#include <cstdint>

namespace tarragonlock
{

/// Order in which waiting jobs are placed; the lowest is first.
///
/// It decides under overload, when there is more work than the fleet can run. Jobs that can no
/// longer finish in time come after all that can, so that one late job does not make another one
/// late. Among the others the priority set by the operators decides. Within a priority, jobs that
/// have begun come before those that have not, because their finished tasks are of no use unless
/// the whole job completes; then the job with the earliest required start is first.
struct leased_job_rank
{
    bool late = false;
    std::uint32_t priority = 0;
    bool not_begun = true;
    /// Latest start with which the job can still finish in time.
    instant start_by;
    std::uint64_t sequence = 0;
    friend auto operator<=>(const leased_job_rank&, const leased_job_rank&) = default;
};

} // namespace tarragonlock
