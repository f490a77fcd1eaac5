#include "tarragonlock/request/task_exposure.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// @return when waiting tasks are taken back: a task started later can't end in time, and agents
///         need time to answer.
instant take_back_time(instant now, const job_times& times)
{
    const auto shortest = std::max<duration>(times.earliest_end_if_unstarted - now, take_back_wait);
    return times.deadline - shortest;
}

} // namespace

job_verdict judge_job(instant now, const job_exposure& exposure, const job_times& times)
{
    const bool cannot_be_in_time = now >= times.deadline || times.earliest_end > times.deadline;
    if (!exposure.may_have_started())
        return cannot_be_in_time || exposure.taking_back() ? job_verdict::refuse
                                                           : job_verdict::wait;
    if (now >= times.deadline)
        return job_verdict::give_up;
    if (exposure.taking_back())
    {
        if (!exposure.answered(now))
            return job_verdict::wait;
        return cannot_be_in_time ? job_verdict::give_up : job_verdict::resume;
    }
    if (!exposure.can_be_cleared())
        return cannot_be_in_time ? job_verdict::give_up : job_verdict::wait;
    return cannot_be_in_time || now >= take_back_time(now, times) ? job_verdict::take_back
                                                                  : job_verdict::wait;
}

instant next_judgement(instant now, const job_exposure& exposure, const job_times& times)
{
    auto next = times.deadline;
    const auto consider = [&](instant when)
    {
        if (when > now)
            next = std::min(next, when);
    };
    // The job can't be in time any more one microsecond after its last chance.
    consider(times.deadline - (times.earliest_end - now) + duration(1));
    if (exposure.taking_back())
        consider(exposure.answers_due());
    else if (exposure.may_have_started() && exposure.can_be_cleared())
        consider(take_back_time(now, times));
    return next;
}

} // namespace tarragonlock
