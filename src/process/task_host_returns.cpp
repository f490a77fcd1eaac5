#include "tarragonlock/process/task_host.hpp"

// How tasks that end without a result leave an agent: withdrawn, returned, or ended by the worker.

namespace tarragonlock
{

namespace
{

/// Minimum time between the latest possible end of a withdrawn job's runs and the caller's resend.
constexpr auto withdrawal_margin = std::chrono::milliseconds(160);

} // namespace

void task_host::handle(instant now, channel_id channel, const withdraw_job& request)
{
    const auto must_end_by = now + options_.caller_resend_delay - withdrawal_margin;
    for (auto task = tasks_.lower_bound({request.job, 0, 0});
         task != tasks_.end() && std::get<0>(task->first) == request.job;)
    {
        const auto next = std::next(task);
        if (task->second.channel == channel)
            withdraw(now, task, must_end_by);
        task = next;
    }
    start_waiting_tasks(now);
}

void task_host::handle(instant now, channel_id channel, const take_back_job& request)
{
    for (auto task = tasks_.lower_bound({request.job, 0, 0});
         task != tasks_.end() && std::get<0>(task->first) == request.job;)
    {
        if (task->second.channel == channel && task->second.state == task_state::waiting)
            task = finish(now, task, task_end_kind::not_started);
        else
            ++task;
    }
    effects_.emplace_back(to_entry{channel, job_taken_back{request.job}});
}

void task_host::withdraw(instant now, task_map::iterator task, instant must_end_by)
{
    auto& hosted = task->second;
    hosted.report_end = false;
    if (hosted.state == task_state::waiting)
    {
        finish(now, task, task_end_kind::not_started);
        return;
    }
    if (!options_.mechanisms.stop_withdrawn_runs)
        return;
    hosted.must_end_by = std::min(hosted.must_end_by, must_end_by);
    if (hosted.state != task_state::stopping)
        send_stop(now, hosted);
}

/// Returns the tasks of a placement that did not start at once, so that the entry can place them
/// elsewhere without delay.
void task_host::return_unstarted_tasks(instant now, channel_id channel, const place_tasks& request)
{
    for (const auto& placed : request.tasks)
    {
        const auto task = tasks_.find({request.job, request.step, placed.index});
        if (task != tasks_.end() && task->second.channel == channel &&
            task->second.state == task_state::waiting)
            finish(now, task, task_end_kind::not_started);
    }
}

void task_host::return_waiting_tasks(instant now)
{
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        if (task->second.state == task_state::waiting)
            task = finish(now, task, task_end_kind::not_started);
        else
            ++task;
    }
}

void task_host::mark_runs_stopped(instant now)
{
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        if (task->second.state != task_state::waiting)
            task = finish(now, task, task_end_kind::stopped);
        else
            ++task;
    }
}

} // namespace tarragonlock
