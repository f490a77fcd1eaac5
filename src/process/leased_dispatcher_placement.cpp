#include "tarragonlock/process/leased_dispatcher.hpp"

#include <algorithm>
#include <limits>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Cost of leaving the entry's failure domain, for the time and bytes on the way.
constexpr auto domain_distance = milliseconds(4);
/// A task waits in line at a worker for this long, about the time in which the next task there
/// ends; then it may go elsewhere.
constexpr auto longest_wait_in_line = milliseconds(40);
/// After so many jobs in a row that found no room, the rest keep waiting.
constexpr std::size_t fruitless_jobs = 16;
/// Share of the fleet's processors up to which a job is begun only as a whole.
constexpr double widest_whole_start = 0.25;

} // namespace

bool leased_dispatcher::step_ready(const job& work, const job_step& step) const
{
    return std::all_of(step.after.begin(), step.after.end(),
                       [&](std::uint32_t before)
                       {
                           const auto& tasks = work.steps.at(before);
                           return std::all_of(tasks.begin(), tasks.end(),
                                              [](const task& item)
                                              { return item.state == task_state::done; });
                       });
}

std::vector<std::uint32_t> leased_dispatcher::unplaced_tasks(const job& work,
                                                             std::uint32_t step) const
{
    std::vector<std::uint32_t> found;
    if (!step_ready(work, work.request.steps[step]))
        return found;
    const auto& tasks = work.steps.at(step);
    for (std::uint32_t index = 0; index < tasks.size(); ++index)
    {
        if (tasks[index].state == task_state::unplaced)
            found.push_back(index);
    }
    return found;
}

bool leased_dispatcher::has_worker_for(const leased_job_request& request,
                                       const queue_rule& rule) const
{
    return std::all_of(request.steps.begin(), request.steps.end(),
                       [&](const job_step& step)
                       {
                           return std::any_of(
                               agents_.begin(), agents_.end(),
                               [&](const auto& item)
                               {
                                   const auto& worker = item.second.worker;
                                   return worker.accepting && rule.workers.matches(worker.labels) &&
                                          step.demand.fits_into(worker.capacity) &&
                                          (step.required_label.empty() ||
                                           worker.labels.contains(step.required_label));
                               });
                       });
}

std::uint32_t leased_dispatcher::open_tasks(const agent& known)
{
    switch (known.load.condition)
    {
    case worker_condition::sound:
        return std::numeric_limits<std::uint32_t>::max();
    case worker_condition::on_trial:
        return known.tasks == 0 ? 1 : 0;
    case worker_condition::resting:
        break;
    }
    return 0;
}

std::vector<worker_forecast> leased_dispatcher::forecasts() const
{
    std::vector<worker_forecast> found;
    found.reserve(agents_.size());
    for (const auto& [channel, known] : agents_)
    {
        if (!known.worker.accepting)
            continue;
        worker_forecast forecast;
        forecast.worker = channel;
        forecast.capacity = known.worker.capacity;
        forecast.free = free_room(known);
        forecast.mean_run = milliseconds(known.load.mean_run_ms);
        forecast.slowness = known.load.slowness_millis / 1000.0;
        if (known.worker.failure_domain != options_.failure_domain)
            forecast.domain_crossing_cost = domain_distance;
        forecast.tie_break_penalty = known.reluctance;
        forecast.on_trial = known.load.condition == worker_condition::on_trial;
        forecast.placeable_tasks = open_tasks(known);
        found.push_back(forecast);
    }
    return found;
}

std::vector<worker_forecast> leased_dispatcher::eligible(const std::vector<worker_forecast>& all,
                                                         const job& work, std::uint32_t step) const
{
    const auto& wanted = work.request.steps[step];
    std::vector<worker_forecast> found;
    for (const auto& each : all)
    {
        const auto& known = agents_.at(each.worker);
        if (!wanted.demand.fits_into(each.capacity) ||
            !work.rule.workers.matches(known.worker.labels))
            continue;
        if (!wanted.required_label.empty() && !known.worker.labels.contains(wanted.required_label))
            continue;
        auto candidate = each;
        for (std::size_t level = 0; level < reported_priorities; ++level)
        {
            if (level <= work.rule.priority)
                candidate.queued_cpu_millis += known.load.queued_cpu.at(level);
        }
        if (!wanted.data_rack.empty() && !known.worker.labels.contains(wanted.data_rack))
            candidate.slowness *= options_.remote_data_factor;
        if (wanted.max_per_worker > 0)
        {
            const auto here = static_cast<std::uint32_t>(std::count_if(
                work.steps[step].begin(), work.steps[step].end(),
                [&](const task& item)
                { return item.state == task_state::placed && item.channel == each.worker; }));
            candidate.placeable_tasks =
                std::min(candidate.placeable_tasks,
                         wanted.max_per_worker - std::min(here, wanted.max_per_worker));
        }
        found.push_back(candidate);
    }
    return found;
}

/// @return the run time of the longest waiting task on the fastest worker.
duration leased_dispatcher::latest_run_time(const job& work) const
{
    double fastest = std::numeric_limits<double>::max();
    for (const auto& [channel, known] : agents_)
    {
        if (known.worker.accepting)
            fastest = std::min(fastest, known.load.slowness_millis / 1000.0);
    }
    if (fastest == std::numeric_limits<double>::max())
        fastest = 1.0;
    duration longest{};
    for (std::uint32_t step = 0; step < work.steps.size(); ++step)
    {
        const duration declared = milliseconds(work.request.steps[step].estimate_ms);
        if (declared > longest && !unplaced_tasks(work, step).empty())
            longest = declared;
    }
    return std::chrono::duration_cast<duration>(longest * fastest);
}

void leased_dispatcher::enqueue(instant now, job& work)
{
    dequeue(work);
    bool waits = false;
    for (std::uint32_t step = 0; step < work.steps.size() && !waits; ++step)
        waits = !unplaced_tasks(work, step).empty();
    if (!waits)
        return;
    work.start_by = work.goal - latest_run_time(work);
    const bool late = now >= work.start_by;
    if (!late)
        watch_time(work.start_by, work.request.id);
    work.rank =
        job_rank{late, work.rule.priority, !work.may_have_started(), work.start_by, work.sequence};
    waiting_.emplace(*work.rank, work.request.id);
}

void leased_dispatcher::dequeue(job& work)
{
    if (!work.rank)
        return;
    waiting_.erase({*work.rank, work.request.id});
    work.rank.reset();
}

void leased_dispatcher::dispatch(instant now)
{
    if (waiting_.empty())
        return;
    auto workers = forecasts();
    const auto busy = cpu_utilization(workers);
    std::vector<std::string> order;
    order.reserve(waiting_.size());
    for (const auto& [rank, id] : waiting_)
        order.push_back(id);
    std::size_t fruitless = 0;
    bool first = true;
    for (const auto& id : order)
    {
        auto& work = *jobs_.find(id)->second;
        const auto start = std::exchange(first, false) ? job_start::in_part : job_start::whole;
        fruitless = place(now, work, workers, busy, start) ? 0 : fruitless + 1;
        if (fruitless >= fruitless_jobs)
            return;
    }
}

/// @return whether a job takes so much of the fleet that it would wait too long for all of it.
bool leased_dispatcher::is_wide(const job& work, const std::vector<worker_forecast>& workers)
{
    double capacity = 0.0;
    for (const auto& each : workers)
        capacity += static_cast<double>(each.capacity.cpu_millis);
    return std::any_of(work.request.steps.begin(), work.request.steps.end(),
                       [&](const job_step& step)
                       {
                           return static_cast<double>(step.demand.cpu_millis) * step.task_count >
                                  widest_whole_start * capacity;
                       });
}

std::optional<channel_id>
leased_dispatcher::avoided_worker(const task& item, const std::vector<worker_forecast>& candidates)
{
    if (!item.failed_at)
        return std::nullopt;
    const bool others =
        std::any_of(candidates.begin(), candidates.end(),
                    [&](const worker_forecast& each)
                    { return each.worker != *item.failed_at && each.placeable_tasks > 0; });
    return others ? item.failed_at : std::nullopt;
}

bool leased_dispatcher::place(instant now, job& work, std::vector<worker_forecast>& workers,
                              double busy, job_start start)
{
    const bool whole_only =
        start == job_start::whole && !work.may_have_started() && !is_wide(work, workers);
    bool placed_all = true;
    bool placed_any = false;
    for (std::uint32_t step = 0; step < work.steps.size(); ++step)
    {
        const auto tasks = unplaced_tasks(work, step);
        if (tasks.empty())
            continue;
        const auto& wanted = work.request.steps[step];
        auto candidates = eligible(workers, work, step);
        placement_request request{
            wanted.demand,     milliseconds(wanted.estimate_ms),     now - work.accepted,
            work.rule.stretch, milliseconds(work.rule.objective_ms), work.rank && work.rank->late,
            std::nullopt};
        chosen_workers chosen;
        for (const auto index : tasks)
        {
            request.excluded_worker = avoided_worker(work.steps[step][index], candidates);
            auto best = choose_worker(candidates, request, busy);
            auto wait = duration(0);
            if (best == candidates.size())
            {
                best = choose_worker_to_queue_at(candidates, request);
                wait = longest_wait_in_line;
            }
            if (best == candidates.size())
            {
                placed_all = false;
                break;
            }
            candidates[best].reserve(wanted.demand);
            chosen[{candidates[best].worker, wait}].push_back(index);
        }
        if (whole_only && !placed_all)
            break;
        for (const auto& [where, taken] : chosen)
        {
            const auto used = std::find_if(workers.begin(), workers.end(),
                                           [channel = where.first](const worker_forecast& each)
                                           { return each.worker == channel; });
            for (std::size_t i = 0; i < taken.size(); ++i)
                used->reserve(wanted.demand);
        }
        placed_any = placed_any || !chosen.empty();
        send_placements(work, step, chosen);
    }
    if (placed_any)
        enqueue(now, work);
    return placed_all;
}

void leased_dispatcher::send_placements(job& work, std::uint32_t step, const chosen_workers& chosen)
{
    const auto& wanted = work.request.steps[step];
    for (const auto& [where, tasks] : chosen)
    {
        const auto [channel, wait] = where;
        auto& known = agents_[channel];
        const auto count = static_cast<std::uint32_t>(tasks.size());
        counters_.tasks_placed += count;
        known.tasks += count;
        work.exposed_tasks += count;
        known.in_flight.push_back({++known.placements_sent, wanted.demand, count});
        place_tasks request;
        request.job = work.request.id;
        request.spec = work.request.spec;
        request.step = step;
        request.demand = wanted.demand;
        request.estimate_ms = wanted.estimate_ms;
        request.priority = work.rule.priority;
        request.start_within_ms =
            static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(wait).count());
        for (const auto index : tasks)
        {
            auto& placed = work.steps[step][index];
            placed.state = task_state::placed;
            placed.channel = channel;
            request.tasks.push_back({index, ++placed.attempt});
        }
        effects_.emplace_back(to_agent{channel, std::move(request)});
    }
}

} // namespace tarragonlock
