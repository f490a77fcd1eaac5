#include "tarragonlock/process/leased_dispatcher.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// An agent counts as lost after caller_resend_delay divided by this without a message.
constexpr int agent_timeout_divisor = 2;
/// Factor on the timeout of agents without tasks of this entry, which report less often.
constexpr int idle_agent_timeout_factor = 3;

} // namespace

void leased_dispatcher::schedule_timer(instant when, const std::string& id)
{
    timers_.emplace(when, id);
}

void leased_dispatcher::on_tick(instant now)
{
    const auto agent_timeout = options_.caller_resend_delay / agent_timeout_divisor;
    std::vector<channel_id> silent;
    for (const auto& [channel, agent] : agents_)
    {
        // While placements are held, the agent's messages may be unread.
        if (!placements_held_ &&
            now - agent.last_message_at >
                (agent.task_count > 0 ? agent_timeout : agent_timeout * idle_agent_timeout_factor))
            silent.push_back(channel);
    }
    for (const auto channel : silent)
    {
        on_channel_lost(now, channel);
        effects_.emplace_back(close_channel{channel});
    }
    // Reports of agents that decide how jobs are answered may be unread as well.
    if (!placements_held_)
        run_due_timers(now);
    dispatch(now);
}

void leased_dispatcher::resume_placements(instant now)
{
    if (!std::exchange(placements_held_, false))
        return;
    run_due_timers(now);
    dispatch(now);
    std::vector<std::string> waiting;
    for (const auto& [rank, id] : waiting_)
        waiting.push_back(id);
    for (const auto& id : waiting)
    {
        if (const auto found = jobs_.find(id); found != jobs_.end())
            review(now, found);
    }
}

void leased_dispatcher::run_due_timers(instant now)
{
    while (!timers_.empty() && timers_.begin()->first <= now)
    {
        const auto id = timers_.begin()->second;
        timers_.erase(timers_.begin());
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
            continue;
        on_timer(now, found);
    }
}

void leased_dispatcher::on_timer(instant now, job_map::iterator found)
{
    auto& job = *found->second;
    for (auto& step : job.steps)
    {
        for (auto& task : step)
        {
            if (task.state != task_state::lost || task.retry_at > now)
                continue;
            task.state = task_state::unplaced;
            job.exposure.on_ended();
        }
    }
    enqueue(now, job);
    review(now, found);
}

/// Places a job that can no longer end in time on any worker that has free resources, even a slow
/// one. Refuses it if that places no task and none may have started before.
void leased_dispatcher::place_or_refuse_late_job(instant now, job_map::iterator found)
{
    auto& job = *found->second;
    if (placements_held_ || !job.rank || !job.rank->late || job.may_have_started())
        return;
    if (now >= job.deadline)
        return;
    // A late start on a worker that is too slow for the job is better than none.
    const auto all = forecasts();
    auto workers = all;
    place_job(now, job, all, workers, cpu_utilization(all), start_mode::partial_allowed);
    if (!job.may_have_started())
        answer(now, found, final_answer(job, leased_reason::overloaded));
}

} // namespace tarragonlock
