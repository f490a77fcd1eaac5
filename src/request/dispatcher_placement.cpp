// The part of the dispatcher that places waiting tasks on workers.

#include "tarragonlock/request/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonlock
{

namespace
{

/// Least weight of a new run time in a service's moving mean.
constexpr double estimate_gain = 0.02;
/// Longest time for which later jobs may overtake a job because they are shorter. Declared run
/// times may be far off; without this limit a job could starve.
constexpr double max_overtaking_ms = 5000.0;

} // namespace

double dispatcher::expected_run_ms(const std::string& service, std::uint32_t declared_ms) const
{
    const auto found = estimates_.find(service);
    const double mean =
        found == estimates_.end() ? service_estimate{}.mean_ms : found->second.mean_ms;
    // Declared run times may be several times too long or too short, so they count half.
    return declared_ms == 0 ? mean : std::sqrt(mean * declared_ms);
}

/// Estimates when a job would finish if it had the pool to itself. Jobs are ordered by this time: a
/// short job does not wait for a long one that arrived shortly before, and a long one is overtaken
/// only by jobs that arrive while it could have been running.
/// @return the time in milliseconds of the process clock
double dispatcher::isolated_finish_ms(instant now, const job_state& state) const
{
    using milliseconds = std::chrono::duration<double, std::milli>;
    const double admitted_ms = milliseconds(now.time_since_epoch()).count();
    const auto& speeds = directory_.pool(state.pool).speed_steps;
    if (speeds.empty())
        return admitted_ms;
    const double isolated_run_ms = state.waiting_work_ms / speeds.back().cumulative_rate;
    return admitted_ms + std::min(isolated_run_ms, max_overtaking_ms);
}

void dispatcher::update_run_time_estimate(const std::string& service, double run_ms)
{
    auto& estimate = estimates_[service];
    estimate.samples += 1.0;
    const double gain = std::max(estimate_gain, 1.0 / (estimate.samples + 1.0));
    estimate.mean_ms += gain * (run_ms - estimate.mean_ms);
}

void dispatcher::place_waiting_tasks(instant now)
{
    if (!config_)
        return;
    batch_map batches;
    std::vector<bool> blocked(directory_.pool_count(), false);
    const auto usable = [&](pool_index pool) { return !blocked[pool]; };
    while (const auto next = queue_.next(usable))
    {
        if (!may_start_(jobs_.at(next->job).token))
        {
            suspend(next->job);
            continue;
        }
        if (!place_next(now, *next, batches))
            blocked[next->pool] = true;
    }
    const auto next = next_tasks(now);
    send_batches(batches, next, now);
    send_backlog_notices(next);
}

placement_request dispatcher::request_for(instant now, const job_state& state) const
{
    const std::chrono::duration<double, std::milli> running_remaining = state.sent_tasks_end - now;
    return {state.pool, state.tasks[state.waiting_indices.back()].expected_ms,
            state.waiting_work_ms, running_remaining.count(), state.job.idempotent};
}

/// The task placed last waits for all other waiting tasks of the pool, so it accepts slower workers
/// than the tasks before it. Otherwise many short jobs would all wait for the fastest worker.
placement_request dispatcher::request_for_last(instant now, const job_state& state) const
{
    auto request = request_for(now, state);
    request.job_waiting_work_ms =
        std::max(request.job_waiting_work_ms, request.expected_ms * queue_.waiting(state.pool));
    return request;
}

bool dispatcher::would_choose(const next_task& next, worker_index worker) const
{
    return placement_->would_choose(directory_, next.request, worker) ||
           placement_->would_choose(directory_, next.last, worker);
}

std::vector<std::optional<dispatcher::next_task>> dispatcher::next_tasks(instant now) const
{
    std::vector<std::optional<next_task>> next(directory_.pool_count());
    for (pool_index pool = 0; pool < next.size(); ++pool)
    {
        const auto job = queue_.head(pool);
        if (!job)
            continue;
        const auto& state = jobs_.at(*job);
        const auto* team = config_->find_team(state.job.team);
        const auto& last = jobs_.at(*queue_.last(pool));
        next[pool] = {request_for(now, state),
                      request_for_last(now, last),
                      {queue_.waiting(pool), state.job.team, team ? team->weight : 1.0}};
    }
    return next;
}

bool dispatcher::place_next(instant now, const fair_queue::choice& next, batch_map& batches)
{
    const auto request = request_for(now, jobs_.at(next.job));
    if (const auto worker = placement_->choose(directory_, request))
    {
        queue_.pop(next.pool, request.expected_ms);
        place(now, next.job, *worker, batches);
        return true;
    }
    const auto last_job = *queue_.last(next.pool);
    const auto& last = jobs_.at(last_job);
    if (!may_start_(last.token))
        return false;
    const auto worker = placement_->choose(directory_, request_for_last(now, last));
    if (!worker)
        return false;
    queue_.pop_last(next.pool, last.tasks[last.waiting_indices.back()].expected_ms);
    place(now, last_job, *worker, batches);
    return true;
}

/// Assigns a job's next task to a worker and adds it to the batch for that worker.
void dispatcher::place(instant now, job_handle handle, worker_index worker, batch_map& batches)
{
    auto& state = jobs_.at(handle);
    const auto index = state.waiting_indices.back();
    auto& task = state.tasks[index];
    task.state = task_state::sent;
    task.worker = worker;
    state.waiting_indices.pop_back();
    state.waiting_work_ms -= task.expected_ms;
    state.any_sent = true;
    const double run_ms = task.expected_ms * std::exp(directory_.at(worker).load.log_slowness);
    const auto ends = now + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double, std::milli>(run_ms));
    state.sent_tasks_end = std::max(state.sent_tasks_end, ends);
    directory_.on_tasks_sent(worker, 1);
    batches[{worker, handle}].push_back(index);
    ++counters_.tasks_sent;
}

void dispatcher::send_batches(const batch_map& batches,
                              const std::vector<std::optional<next_task>>& next, instant now)
{
    for (const auto& [key, indices] : batches)
    {
        auto& worker = directory_.at(key.first);
        const auto& state = jobs_.at(key.second);
        start_tasks batch;
        batch.job = state.job.id;
        batch.service = state.job.service;
        batch.team = state.job.team;
        batch.digest = state.digest;
        batch.task_count = static_cast<std::uint32_t>(state.tasks.size());
        batch.shard = state.token.shard;
        batch.epoch = state.token.epoch;
        batch.config_version = config_version_;
        batch.grant_timestamp_ms = worker.load.grant_timestamp_ms;
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(state.deadline - now);
        batch.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
        const auto& waiting = next[state.pool];
        if (waiting && would_choose(*waiting, key.first))
            batch.waiting = waiting->waiting;
        for (const auto index : indices)
            batch.tasks.push_back({index, state.tasks[index].attempt, state.job.tasks[index].body,
                                   static_cast<std::uint32_t>(state.tasks[index].expected_ms)});
        worker.backlog_reported = batch.waiting.tasks > 0;
        worker.reported_team = batch.waiting.team;
        messages_.push_back({worker.id.name, std::move(batch)});
    }
}

/// Notifies some workers without free slots that tasks wait here, so that they offer this entry the
/// slots that tasks of other entries release.
void dispatcher::send_backlog_notices(const std::vector<std::optional<next_task>>& next)
{
    for (pool_index i = 0; i < next.size(); ++i)
    {
        if (!next[i])
            continue;
        const auto& waiting = next[i]->waiting;
        const bool newly_waiting = newly_waiting_pools_.contains(i);
        const auto& members = directory_.pool(i).members;
        std::uint32_t notified = 0;
        for (std::size_t tried = 0;
             tried < members.size() && notified < options_.max_backlog_notices; ++tried)
        {
            const auto index = members[notice_cursor_++ % members.size()];
            auto& worker = directory_.at(index);
            const bool already_notified =
                worker.backlog_reported && (!newly_waiting || worker.reported_team == waiting.team);
            if (already_notified || !worker.connected || worker.leaving || worker.ejected ||
                !would_choose(*next[i], index))
                continue;
            worker.backlog_reported = true;
            worker.reported_team = waiting.team;
            ++notified;
            messages_.push_back(
                {worker.id.name, slot_request{directory_.pool(i).service, waiting}});
        }
    }
    newly_waiting_pools_.clear();
}

/// Removes a job's tasks from the queue until this entry may start them again.
void dispatcher::suspend(job_handle handle)
{
    auto& state = jobs_.at(handle);
    queue_.remove(state.pool, state.job.team, state.rank);
    state.suspended = true;
}

void dispatcher::resume_suspended_jobs()
{
    for (auto& [handle, state] : jobs_)
    {
        if (!state.suspended || !may_start_(state.token))
            continue;
        state.suspended = false;
        enqueue(handle, static_cast<std::uint32_t>(state.waiting_indices.size()));
    }
}

} // namespace tarragonlock
