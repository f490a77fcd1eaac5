#include "tarragonlock/request/job_prospects.hpp"

#include <algorithm>

namespace tarragonlock
{

instant earliest_end(instant now, const std::vector<step_prospect>& steps, double fastest)
{
    // A worker that is slow at present may be fast again when the task starts.
    const auto ratio = std::min(fastest, 1.0) * shortest_run_share;
    std::vector<instant> ends;
    auto last = now;
    for (const auto& step : steps)
    {
        auto end = now;
        if (step.needs_start)
        {
            auto start = std::max(now, step.blocked_until);
            for (const auto predecessor : step.after)
                start = std::max(start, ends.at(predecessor));
            end = start + std::chrono::duration_cast<duration>(step.declared * ratio);
        }
        ends.push_back(end);
        last = std::max(last, end);
    }
    return last;
}

} // namespace tarragonlock
