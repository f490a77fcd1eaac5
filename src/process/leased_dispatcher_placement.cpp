#include "tarragonlock/process/leased_dispatcher.hpp"

#include <algorithm>
#include <limits>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Longest wait of a task in a worker's queue, about the time in which the next task there ends;
/// after it the task may be placed on another worker.
constexpr auto max_queue_wait = milliseconds(40);
/// Time for which a worker that has stopped accepting tasks still counts as available to new jobs,
/// because late answers interrupt its availability only briefly. A job that waits for it is refused
/// at its latest start.
constexpr auto worker_return_time = milliseconds(500);
/// A dispatch stops after this many consecutive jobs with tasks that could not be placed.
constexpr std::size_t max_consecutive_unplaced_jobs = 16;
/// Jobs behind the first waiting one start all-or-nothing, unless a step needs more than this share
/// of the fleet's processors.
constexpr double max_all_or_nothing_share = 0.25;

} // namespace

bool leased_dispatcher::step_ready(const active_job& job, const job_step& step) const
{
    return std::all_of(step.after.begin(), step.after.end(),
                       [&](std::uint32_t predecessor)
                       {
                           const auto& tasks = job.steps.at(predecessor);
                           return std::all_of(tasks.begin(), tasks.end(),
                                              [](const task& item)
                                              { return item.state == task_state::done; });
                       });
}

std::vector<std::uint32_t> leased_dispatcher::unplaced_tasks(const active_job& job,
                                                             std::uint32_t step) const
{
    std::vector<std::uint32_t> found;
    if (!step_ready(job, job.request.steps[step]))
        return found;
    const auto& tasks = job.steps.at(step);
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (tasks[index].state == task_state::unplaced)
            found.push_back(index);
    }
    return found;
}

bool leased_dispatcher::has_worker_for(instant now, const leased_job_request& request,
                                       const queue_rule& rule) const
{
    const auto returns_soon = [now, this](const connected_agent& agent)
    { return !evacuated(agent) && now - agent.last_accepting_at < worker_return_time; };
    return std::all_of(request.steps.begin(), request.steps.end(),
                       [&](const job_step& step)
                       {
                           return std::any_of(
                               agents_.begin(), agents_.end(),
                               [&](const auto& item)
                               {
                                   return (usable(item.second) || returns_soon(item.second)) &&
                                          may_run(item.second.worker, step, rule.workers);
                               });
                       });
}

std::uint32_t leased_dispatcher::max_additional_tasks(const connected_agent& agent)
{
    switch (agent.load.condition)
    {
    case worker_condition::healthy:
        return std::numeric_limits<std::uint32_t>::max();
    case worker_condition::probation:
        return agent.task_count == 0 ? 1 : 0;
    case worker_condition::paused:
        break;
    }
    return 0;
}

std::vector<worker_forecast> leased_dispatcher::forecasts() const
{
    std::vector<worker_forecast> found;
    found.reserve(agents_.size());
    for (const auto& [channel, agent] : agents_)
    {
        if (!usable(agent))
            continue;
        worker_forecast forecast;
        forecast.worker = channel;
        forecast.capacity = agent.worker.capacity;
        forecast.free = available_resources(agent);
        forecast.mean_run = milliseconds(agent.load.mean_run_ms);
        forecast.slowness = agent.load.slowness_millis / 1000.0;
        forecast.remote = is_remote(agent);
        forecast.tie_break_penalty = agent.tie_break_penalty;
        forecast.on_probation = agent.load.condition == worker_condition::probation;
        forecast.placeable_tasks = max_additional_tasks(agent);
        found.push_back(forecast);
    }
    return found;
}

std::vector<worker_forecast>
leased_dispatcher::eligible_workers(const std::vector<worker_forecast>& all, const active_job& job,
                                    std::uint32_t step) const
{
    const auto& requirements = job.request.steps[step];
    std::vector<worker_forecast> found;
    for (const auto& each : all)
    {
        const auto& agent = agents_.at(each.worker);
        if (!may_run(agent.worker, requirements, job.rule.workers))
            continue;
        auto candidate = each;
        for (std::size_t level = 0; level < reported_priority_count; ++level)
        {
            if (level <= job.rule.priority)
                candidate.queued_cpu_millis += agent.load.queued_cpu.at(level);
        }
        if (!has_data_of(agent.worker, requirements))
            candidate.slowness *= options_.remote_data_factor;
        if (requirements.max_per_worker > 0)
        {
            const auto tasks_on_worker = static_cast<std::uint32_t>(std::count_if(
                job.steps[step].begin(), job.steps[step].end(),
                [&](const task& item)
                { return item.state == task_state::placed && item.channel == each.worker; }));
            candidate.placeable_tasks =
                std::min(candidate.placeable_tasks,
                         requirements.max_per_worker -
                             std::min(tasks_on_worker, requirements.max_per_worker));
        }
        found.push_back(candidate);
    }
    return found;
}

/// @return the run time of the longest unplaced task on the fastest worker that accepts tasks.
duration leased_dispatcher::longest_unplaced_run_time(const active_job& job) const
{
    duration longest{};
    for (std::uint32_t step = 0; step < job.steps.size(); ++step)
    {
        const duration declared = milliseconds(job.request.steps[step].declared_ms);
        if (declared > longest && !unplaced_tasks(job, step).empty())
            longest = declared;
    }
    return std::chrono::duration_cast<duration>(longest * fastest_slowness());
}

void leased_dispatcher::enqueue(instant now, active_job& job)
{
    dequeue(job);
    if (job.exposure.taking_back())
        return;
    bool waits = false;
    for (std::uint32_t step = 0; step < job.steps.size() && !waits; ++step)
        waits = !unplaced_tasks(job, step).empty();
    if (!waits)
        return;
    job.start_by = job.response_due - longest_unplaced_run_time(job);
    const bool late = now >= job.start_by;
    if (!late)
        schedule_timer(job.start_by, job.request.id);
    job.rank = leased_job_rank{late, job.rule.priority, !job.may_have_started(), job.start_by,
                               job.sequence};
    waiting_.emplace(*job.rank, job.request.id);
}

void leased_dispatcher::dequeue(active_job& job)
{
    if (!job.rank)
        return;
    waiting_.erase({*job.rank, job.request.id});
    job.rank.reset();
}

void leased_dispatcher::dispatch(instant now)
{
    if (waiting_.empty() || placements_held_)
        return;
    last_dispatch_at_ = now;
    const auto all = forecasts();
    auto workers = workers_with_room(all);
    const auto utilization = cpu_utilization(all);
    std::vector<std::string> order;
    order.reserve(waiting_.size());
    for (const auto& [rank, id] : waiting_)
        order.push_back(id);
    std::size_t consecutive_unplaced_jobs = 0;
    bool first = true;
    for (const auto& id : order)
    {
        auto& job = *jobs_.find(id)->second;
        // Its caller may have sent it again; the next tick answers it.
        if (now >= job.deadline)
            continue;
        const auto mode =
            std::exchange(first, false) ? start_mode::partial_allowed : start_mode::all_or_nothing;
        consecutive_unplaced_jobs = place_job(now, job, all, workers, utilization, mode)
                                        ? 0
                                        : consecutive_unplaced_jobs + 1;
        if (consecutive_unplaced_jobs >= max_consecutive_unplaced_jobs)
            return;
    }
}

std::vector<worker_forecast>
leased_dispatcher::workers_with_room(const std::vector<worker_forecast>& all) const
{
    constexpr auto unlimited = std::numeric_limits<std::int64_t>::max();
    resource_amount smallest{unlimited, unlimited, unlimited};
    for (const auto& [rank, id] : waiting_)
    {
        for (const auto& step : jobs_.find(id)->second->request.steps)
        {
            smallest.cpu_millis = std::min(smallest.cpu_millis, step.demand.cpu_millis);
            smallest.memory_mb = std::min(smallest.memory_mb, step.demand.memory_mb);
            smallest.accelerators = std::min(smallest.accelerators, step.demand.accelerators);
        }
    }
    std::vector<worker_forecast> found;
    for (const auto& each : all)
    {
        // The queue ahead of a task depends on its priority; the shortest possible one contains
        // only tasks of the highest priority.
        auto shortest_queue = each;
        shortest_queue.queued_cpu_millis = agents_.at(each.worker).load.queued_cpu.front();
        if (each.has_free_capacity(smallest) || shortest_queue.can_queue(smallest))
            found.push_back(each);
    }
    return found;
}

/// @return whether a step of the job needs so much of the fleet that the job would wait too long
///         until all of its tasks can be placed at once.
bool leased_dispatcher::is_large_for_fleet(const active_job& job,
                                           const std::vector<worker_forecast>& workers)
{
    double capacity = 0.0;
    for (const auto& each : workers)
        capacity += static_cast<double>(each.capacity.cpu_millis);
    return std::any_of(job.request.steps.begin(), job.request.steps.end(),
                       [&](const job_step& step)
                       {
                           return static_cast<double>(step.demand.cpu_millis) * step.task_count >
                                  max_all_or_nothing_share * capacity;
                       });
}

std::optional<channel_id>
leased_dispatcher::avoided_worker(const active_job& job, std::uint32_t step, std::uint32_t index,
                                  const std::vector<worker_forecast>& all) const
{
    const auto& last_failed = job.steps[step][index].last_failed_worker;
    if (!last_failed)
        return std::nullopt;
    const auto candidates = eligible_workers(all, job, step);
    const bool others =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const worker_forecast& each)
                    { return each.worker != *last_failed && each.placeable_tasks > 0; });
    return others ? last_failed : std::nullopt;
}

bool leased_dispatcher::place_job(instant now, active_job& job,
                                  const std::vector<worker_forecast>& all,
                                  std::vector<worker_forecast>& workers, double utilization,
                                  start_mode mode)
{
    const bool all_or_nothing = mode == start_mode::all_or_nothing && !job.may_have_started() &&
                                !is_large_for_fleet(job, all);
    bool placed_all = true;
    bool placed_any = false;
    for (std::uint32_t step = 0; step < job.steps.size(); ++step)
    {
        const auto tasks = unplaced_tasks(job, step);
        if (tasks.empty())
            continue;
        const auto& requirements = job.request.steps[step];
        auto candidates = eligible_workers(workers, job, step);
        leased_placement_request request{
            requirements.demand, milliseconds(requirements.declared_ms), now - job.accepted,
            job.rule.stretch,    milliseconds(job.rule.objective_ms),    job.rank && job.rank->late,
            std::nullopt};
        task_assignments assignments;
        for (const auto index : tasks)
        {
            request.excluded_worker = avoided_worker(job, step, index, all);
            auto best = choose_worker(candidates, request, utilization);
            auto wait = duration(0);
            if (best == candidates.size())
            {
                best = choose_worker_to_queue_at(candidates, request);
                wait = max_queue_wait;
            }
            if (best == candidates.size())
            {
                placed_all = false;
                break;
            }
            candidates[best].reserve(requirements.demand);
            assignments[{candidates[best].worker, wait}].push_back(index);
        }
        if (all_or_nothing && !placed_all)
            break;
        for (const auto& [destination, task_indices] : assignments)
        {
            const auto forecast =
                std::find_if(workers.begin(), workers.end(),
                             [channel = destination.first](const worker_forecast& each)
                             { return each.worker == channel; });
            for (std::size_t i = 0; i < task_indices.size(); ++i)
                forecast->reserve(requirements.demand);
        }
        placed_any = placed_any || !assignments.empty();
        send_placements(now, job, step, assignments);
    }
    if (placed_any)
        enqueue(now, job);
    return placed_all;
}

void leased_dispatcher::send_placements(instant now, active_job& job, std::uint32_t step,
                                        const task_assignments& assignments)
{
    const auto& requirements = job.request.steps[step];
    for (const auto& [destination, tasks] : assignments)
    {
        const auto [channel, wait] = destination;
        auto& agent = agents_[channel];
        const auto count = static_cast<std::uint32_t>(tasks.size());
        counters_.tasks_placed += count;
        agent.task_count += count;
        job.exposure.on_offered(count);
        agent.in_flight.push_back({++agent.placements_sent, requirements.demand, count});
        place_tasks request;
        request.job = job.request.id;
        request.spec = job.request.spec;
        request.step = step;
        request.demand = requirements.demand;
        request.declared_ms = requirements.declared_ms;
        request.priority = job.rule.priority;
        request.start_within_ms = static_cast<std::uint32_t>(wait / milliseconds(1));
        request.caller_waits_ms = job.caller_waits_ms(now);
        for (const auto index : tasks)
        {
            auto& placed = job.steps[step][index];
            placed.state = task_state::placed;
            placed.channel = channel;
            request.tasks.push_back({index, ++placed.attempt});
        }
        effects_.emplace_back(to_agent{channel, std::move(request)});
    }
}

} // namespace tarragonlock
