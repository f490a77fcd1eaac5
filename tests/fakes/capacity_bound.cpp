#include "fakes/capacity_bound.hpp"

#include <algorithm>

namespace tarragonlock::fakes
{

namespace
{

/// Time is cut into slots of this length; a job may use the whole slot in which it is sent or due.
constexpr auto slot = std::chrono::milliseconds(5);

/// @return the work that fits in when nothing but these jobs is there, earliest due time first
/// @param jobs  ordered by the time at which they were sent
double work_that_fits(const std::vector<const offered_job*>& jobs, const fleet_speed& speed)
{
    if (jobs.empty())
        return 0.0;
    const auto last = std::max_element(jobs.begin(), jobs.end(),
                                       [](const auto* left, const auto* right)
                                       { return left->due < right->due; });
    std::multimap<instant, double> open;
    auto next = jobs.begin();
    double done = 0.0;
    for (auto now = jobs.front()->sent; now <= (*last)->due; now += slot)
    {
        for (; next != jobs.end() && (*next)->sent < now + slot; ++next)
            open.emplace((*next)->due, static_cast<double>((*next)->work.count()));
        double room = speed(now) * static_cast<double>(duration(slot).count());
        while (room > 0.0 && !open.empty())
        {
            const auto first = open.begin();
            if (first->first < now)
            {
                open.erase(first);
                continue;
            }
            const auto taken = std::min(room, first->second);
            room -= taken;
            done += taken;
            first->second -= taken;
            if (first->second <= 0.0)
                open.erase(first);
        }
    }
    return done;
}

} // namespace

std::map<std::string, double> most_in_time(const std::vector<offered_job>& jobs,
                                           const fleet_speed& speed)
{
    std::map<duration, std::string> queues;
    for (const auto& job : jobs)
        queues.emplace(job.work, job.queue);
    std::map<std::string, double> in_time;
    std::vector<const offered_job*> taken;
    double work_before = 0.0;
    for (const auto& [work, queue] : queues)
    {
        for (const auto& job : jobs)
        {
            if (job.queue == queue && job.counted)
                taken.push_back(&job);
        }
        std::sort(taken.begin(), taken.end(),
                  [](const auto* left, const auto* right) { return left->sent < right->sent; });
        const auto fits = work_that_fits(taken, speed);
        in_time[queue] = (fits - work_before) / static_cast<double>(work.count());
        work_before = fits;
    }
    return in_time;
}

} // namespace tarragonlock::fakes
