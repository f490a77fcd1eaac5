#include "tarragonlock/request/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonlock
{

namespace
{

answer refuse(const submission& job, reason cause, double retry_after_ms = 0.0)
{
    return {job.id, outcome::refused, cause, {}, static_cast<std::uint32_t>(retry_after_ms)};
}

constexpr double default_retry_after_ms = 1000.0;
constexpr auto lost_worker_check_interval = std::chrono::milliseconds(200);

} // namespace

dispatcher::dispatcher(dispatcher_options options, worker_directory& directory,
                       std::unique_ptr<placement_strategy> placement, token_check may_start)
    : options_(options), directory_(directory), placement_(std::move(placement)),
      may_start_(std::move(may_start))
{
}

void dispatcher::set_declarations(instant now, std::uint64_t version,
                                  std::shared_ptr<const declarations> config)
{
    config_version_ = version;
    config_ = std::move(config);
    directory_.apply_declarations(config_);
    queue_.clear();
    newly_waiting_pools_.clear();
    std::vector<job_handle> waiting;
    for (const auto& [handle, state] : jobs_)
        waiting.push_back(handle);
    std::sort(waiting.begin(), waiting.end());
    for (const auto handle : waiting)
    {
        auto& state = jobs_.at(handle);
        if (config_->find_service(state.job.service) == nullptr)
        {
            finish(now, handle, state.any_sent ? outcome::failed : outcome::refused,
                   reason::unknown_service);
            continue;
        }
        route(state);
        if (!state.suspended)
            enqueue(handle, static_cast<std::uint32_t>(state.waiting_indices.size()));
    }
}

void dispatcher::route(job_state& state)
{
    const auto rule = config_->route(config_->job_labels(state.job));
    state.urgency = rule.urgency;
    state.pool = directory_.pool_for(state.job.service, rule);
}

std::optional<answer> dispatcher::check_admission(const submission& job)
{
    if (!config_)
        return refuse(job, reason::not_ready, default_retry_after_ms);
    const auto* service = config_->find_service(job.service);
    if (service == nullptr)
        return refuse(job, reason::unknown_service);
    const auto* team = config_->find_team(job.team);
    if (team == nullptr && job.team != default_team)
        return refuse(job, reason::unauthorized);
    const auto rule = config_->route(config_->job_labels(job));
    const auto pool = directory_.pool_for(job.service, rule);
    const auto& members = directory_.pool(pool).members;
    const auto usable = [&](worker_index worker)
    { return directory_.at(worker).connected && !directory_.at(worker).leaving; };
    if (members.empty())
        return refuse(job, reason::no_matching_worker);
    if (std::none_of(members.begin(), members.end(), usable))
        return refuse(job, reason::no_matching_worker, default_retry_after_ms);
    const auto tasks = static_cast<std::uint32_t>(job.tasks.size());
    if (queue_.waiting(pool) + tasks > service->max_queued_tasks)
        return refuse(job, reason::queue_full, default_retry_after_ms);
    const std::uint32_t quota = team ? team->max_queued_tasks : service->max_queued_tasks;
    const auto waiting = queue_.waiting_of_team(job.team);
    if (waiting + tasks > quota)
        return refuse(job, reason::quota_exceeded, default_retry_after_ms);
    // Even if the whole pool runs only this team's tasks, those already queued take this long.
    const auto& speeds = directory_.pool(pool).speed_steps;
    if (speeds.empty() || waiting == 0)
        return std::nullopt;
    const auto estimate = estimates_.find(job.service);
    const double mean_ms = estimate == estimates_.end() ? 0.0 : estimate->second.mean_ms;
    const double wait_ms = waiting * mean_ms / speeds.back().cumulative_rate;
    if (wait_ms > job.deadline_ms)
        return refuse(job, reason::deadline_unreachable, wait_ms - job.deadline_ms);
    return std::nullopt;
}

void dispatcher::admit(instant now, submission job, fencing_token token,
                       const std::vector<std::pair<std::string, task_outcome>>& recovered)
{
    const auto handle = next_handle_++;
    auto& state = jobs_[handle];
    state.digest = digest_of(job);
    state.token = token;
    state.admitted = now;
    state.deadline = now + std::chrono::milliseconds(job.deadline_ms);
    state.tasks.resize(job.tasks.size());
    state.job = std::move(job);
    state.unfinished = static_cast<std::uint32_t>(state.tasks.size());
    state.sent_tasks_end = now;
    by_id_[state.job.id] = handle;
    deadlines_.insert({state.deadline, handle});
    ++counters_.jobs_admitted;
    route(state);
    for (const auto& [worker, outcome] : recovered)
    {
        if (outcome.index >= state.tasks.size())
            continue;
        auto& task = state.tasks[outcome.index];
        task.attempt = outcome.attempt;
        state.any_sent = true;
        if (outcome.status == task_status::not_started)
            continue;
        task.state = task_state::sent;
        task.worker = directory_.find_or_add(now, worker);
    }
    for (std::uint32_t i = 0; i < state.tasks.size(); ++i)
    {
        auto& task = state.tasks[i];
        task.expected_ms = expected_run_ms(state.job.service, state.job.tasks[i].declared_ms);
        if (task.state != task_state::waiting)
            continue;
        state.waiting_indices.push_back(i);
        state.waiting_work_ms += task.expected_ms;
    }
    state.rank = {isolated_finish_ms(now, state), handle};
    // The longest tasks start first, so that no long task starts when the others have ended.
    std::stable_sort(state.waiting_indices.begin(), state.waiting_indices.end(),
                     [&](std::uint32_t a, std::uint32_t b)
                     { return state.job.tasks[a].declared_ms < state.job.tasks[b].declared_ms; });
    enqueue(handle, static_cast<std::uint32_t>(state.waiting_indices.size()));
    for (const auto& [worker, outcome] : recovered)
    {
        const bool ended =
            outcome.status == task_status::succeeded || outcome.status == task_status::failed;
        if (const auto index = directory_.find(worker); index && ended && jobs_.contains(handle))
            apply(now, *index, outcome);
    }
}

void dispatcher::enqueue(job_handle handle, std::uint32_t tasks)
{
    if (tasks == 0)
        return;
    const auto& state = jobs_.at(handle);
    const auto* team = config_->find_team(state.job.team);
    if (queue_.waiting_of_team(state.job.team) == 0)
        newly_waiting_pools_.insert(state.pool);
    queue_.push(state.pool, state.job.team, team ? team->weight : 1.0, state.urgency, state.rank,
                tasks);
}

void dispatcher::on_results(instant now, worker_index worker,
                            const std::vector<task_outcome>& outcomes)
{
    for (const auto& outcome : outcomes)
        apply(now, worker, outcome);
}

void dispatcher::apply(instant now, worker_index worker, const task_outcome& outcome)
{
    const auto found = by_id_.find(outcome.job);
    if (found == by_id_.end())
    {
        directory_.on_task_ended(now, worker, outcome);
        return;
    }
    const auto handle = found->second;
    auto& state = jobs_.at(handle);
    if (outcome.index >= state.tasks.size() || outcome.status == task_status::running)
        return;
    auto& task = state.tasks[outcome.index];
    if (task.state != task_state::sent || task.attempt != outcome.attempt || task.worker != worker)
        return;
    const double expected_ms = task.expected_ms;
    directory_.on_task_ended(now, worker, outcome);
    switch (outcome.status)
    {
    case task_status::succeeded:
        ++counters_.tasks_succeeded;
        retry_budget_.on_success();
        update_run_time_estimate(
            state.job.service, outcome.run_ms / std::exp(directory_.at(worker).load.log_slowness));
        queue_.charge(state.job.team, outcome.run_ms - expected_ms);
        task.state = task_state::succeeded;
        task.result = outcome.body;
        if (--state.unfinished == 0)
            finish(now, handle, outcome::complete, reason::none);
        return;
    case task_status::not_started:
        ++counters_.tasks_not_started;
        directory_.pause(worker, now + options_.refusal_backoff);
        queue_.charge(state.job.team, -expected_ms);
        requeue(handle, outcome.index);
        return;
    case task_status::failed:
        ++counters_.tasks_failed;
        if (!state.job.idempotent || !retry_budget_.try_take())
            return finish(now, handle, outcome::failed, reason::task_failed);
        ++counters_.tasks_retried;
        requeue(handle, outcome.index);
        return;
    case task_status::running:
        return;
    }
}

/// Queues a task again that certainly did not start, or that may be started more than once.
void dispatcher::requeue(job_handle handle, std::uint32_t index)
{
    auto& state = jobs_.at(handle);
    auto& task = state.tasks[index];
    task.state = task_state::waiting;
    ++task.attempt;
    state.waiting_indices.push_back(index);
    state.waiting_work_ms += task.expected_ms;
    if (state.suspended)
        return;
    enqueue(handle, 1);
}

/// Handles a task whose worker can no longer report its outcome.
void dispatcher::handle_lost_task(instant now, job_handle handle, std::uint32_t index)
{
    const auto& state = jobs_.at(handle);
    const bool may_repeat = state.job.idempotent && retry_budget_.try_take();
    if (may_repeat || options_.restart_uncertain)
    {
        ++counters_.tasks_retried;
        return requeue(handle, index);
    }
    finish(now, handle, outcome::failed, reason::worker_lost);
}

template<class Visitor>
void dispatcher::for_each_sent_task(worker_index worker, Visitor visit)
{
    std::vector<std::pair<job_handle, std::uint32_t>> affected;
    for (const auto& [handle, state] : jobs_)
    {
        for (std::uint32_t i = 0; i < state.tasks.size(); ++i)
        {
            if (state.tasks[i].state == task_state::sent && state.tasks[i].worker == worker)
                affected.emplace_back(handle, i);
        }
    }
    std::sort(affected.begin(), affected.end());
    for (const auto& [handle, index] : affected)
    {
        if (jobs_.contains(handle))
            visit(handle, index);
    }
}

void dispatcher::on_worker_reconnected(instant now, worker_index worker, bool restarted)
{
    directory_.at(worker).outstanding = 0;
    query_tasks query;
    for_each_sent_task(worker,
                       [&](job_handle handle, std::uint32_t index)
                       {
                           if (restarted)
                               return handle_lost_task(now, handle, index);
                           const auto& state = jobs_.at(handle);
                           query.tasks.push_back({state.job.id, index, state.tasks[index].attempt});
                       });
    if (query.tasks.empty())
        return;
    directory_.at(worker).outstanding = static_cast<std::uint32_t>(query.tasks.size());
    ++counters_.task_queries;
    messages_.push_back({directory_.at(worker).id.name, std::move(query)});
}

void dispatcher::expire_lost_workers(instant now)
{
    if (now - last_lost_worker_check_ < lost_worker_check_interval)
        return;
    last_lost_worker_check_ = now;
    for (worker_index worker = 0; worker < directory_.size(); ++worker)
    {
        const auto& view = directory_.at(worker);
        if (view.connected || view.outstanding == 0 ||
            now - view.lost_at < options_.worker_lost_after)
            continue;
        directory_.at(worker).outstanding = 0;
        for_each_sent_task(worker, [&](job_handle handle, std::uint32_t index)
                           { handle_lost_task(now, handle, index); });
    }
}

bool dispatcher::cancel(instant now, const std::string& id)
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return false;
    const auto handle = found->second;
    const bool any_sent = jobs_.at(handle).any_sent;
    finish(now, handle, any_sent ? outcome::failed : outcome::refused, reason::cancelled);
    return true;
}

void dispatcher::on_shard_lost(instant now, std::uint32_t shard)
{
    std::vector<job_handle> affected;
    for (const auto& [handle, state] : jobs_)
    {
        if (state.token.shard == shard)
            affected.push_back(handle);
    }
    for (const auto handle : affected)
        finish(now, handle, outcome::unknown, reason::owner_unreachable);
}

void dispatcher::on_tick(instant now)
{
    expire_lost_workers(now);
    while (!deadlines_.empty() && deadlines_.begin()->first <= now)
    {
        const auto handle = deadlines_.begin()->second;
        const bool any_sent = jobs_.at(handle).any_sent;
        finish(now, handle, any_sent ? outcome::failed : outcome::refused, reason::deadline_passed);
    }
    resume_suspended_jobs();
}

void dispatcher::finish(instant, job_handle handle, outcome job_outcome, reason cause)
{
    auto& state = jobs_.at(handle);
    queue_.remove(state.pool, state.job.team, state.rank);
    answer reply{state.job.id, job_outcome, cause, {}, 0};
    if (job_outcome == outcome::complete)
    {
        for (auto& task : state.tasks)
            reply.results.push_back(std::move(task.result));
    }
    else
    {
        std::vector<worker_index> workers_to_cancel;
        for (const auto& task : state.tasks)
        {
            if (task.state == task_state::sent)
                workers_to_cancel.push_back(task.worker);
        }
        std::sort(workers_to_cancel.begin(), workers_to_cancel.end());
        workers_to_cancel.erase(std::unique(workers_to_cancel.begin(), workers_to_cancel.end()),
                                workers_to_cancel.end());
        for (const auto worker : workers_to_cancel)
            pending_cancels_[worker].push_back(state.job.id);
    }
    answers_.push_back(std::move(reply));
    deadlines_.erase({state.deadline, handle});
    by_id_.erase(state.job.id);
    jobs_.erase(handle);
}

std::string dispatcher::describe(const std::string& id) const
{
    const auto found = by_id_.find(id);
    if (found == by_id_.end())
        return {};
    const auto& state = jobs_.at(found->second);
    const auto waiting = state.waiting_indices.size();
    const auto done = state.tasks.size() - state.unfinished;
    return "tasks=" + std::to_string(state.tasks.size()) + " waiting=" + std::to_string(waiting) +
           " sent=" + std::to_string(state.unfinished - waiting) + " done=" + std::to_string(done) +
           (state.suspended ? " suspended: this entry may not start tasks now" : "");
}

std::vector<outgoing_message> dispatcher::take_messages()
{
    // One message per agent, however many jobs were cancelled.
    for (auto& [worker, jobs] : pending_cancels_)
        messages_.push_back({directory_.at(worker).id.name, cancel_jobs{std::move(jobs)}});
    pending_cancels_.clear();
    return std::exchange(messages_, {});
}

} // namespace tarragonlock
