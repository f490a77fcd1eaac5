#include "fakes/capacity_bound.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonlock::fakes
{

namespace
{

/// Time resolution of the schedule; a job may use the whole slot in which it is sent or due.
constexpr auto slot_length = std::chrono::milliseconds(5);

/// Schedules only the given jobs, earliest due time first.
/// @param jobs  ordered by the time at which they were sent
/// @return the work that is completed in time
double work_in_time(const std::vector<const offered_job*>& jobs, const fleet_speed& speed)
{
    if (jobs.empty())
        return 0.0;
    const auto last = std::max_element(jobs.begin(), jobs.end(),
                                       [](const auto* left, const auto* right)
                                       { return left->due < right->due; });
    std::multimap<instant, double> pending;
    auto next = jobs.begin();
    double done = 0.0;
    for (auto now = jobs.front()->sent; now <= (*last)->due; now += slot_length)
    {
        for (; next != jobs.end() && (*next)->sent < now + slot_length; ++next)
            pending.emplace((*next)->due, static_cast<double>((*next)->work.count()));
        double capacity = speed(now) * static_cast<double>(duration(slot_length).count());
        while (capacity > 0.0 && !pending.empty())
        {
            const auto first = pending.begin();
            if (first->first < now)
            {
                pending.erase(first);
                continue;
            }
            const auto taken = std::min(capacity, first->second);
            capacity -= taken;
            done += taken;
            first->second -= taken;
            if (first->second <= 0.0)
                pending.erase(first);
        }
    }
    return done;
}

/// @return the class of a job; the work within a class differs by less than a tenth
int work_class(duration work)
{
    constexpr double width = 1.1;
    return static_cast<int>(std::log(static_cast<double>(work.count())) / std::log(width));
}

} // namespace

std::map<std::string, double> max_in_time(const std::vector<offered_job>& jobs,
                                          const fleet_speed& speed)
{
    // Classes of jobs with about the same work, the smallest work first.
    std::map<int, std::vector<const offered_job*>> classes;
    for (const auto& job : jobs)
    {
        if (job.counted)
            classes[work_class(job.work)].push_back(&job);
    }
    std::map<std::string, double> in_time;
    std::vector<const offered_job*> scheduled;
    double done_before = 0.0;
    for (const auto& [index, members] : classes)
    {
        scheduled.insert(scheduled.end(), members.begin(), members.end());
        std::sort(scheduled.begin(), scheduled.end(),
                  [](const auto* left, const auto* right) { return left->sent < right->sent; });
        double work = 0.0;
        for (const auto* job : members)
            work += static_cast<double>(job->work.count());
        const auto done = work_in_time(scheduled, speed);
        for (const auto* job : members)
            in_time[job->queue] += (done - done_before) / work;
        done_before = done;
    }
    return in_time;
}

} // namespace tarragonlock::fakes
