// The part of the dispatcher that places waiting tasks on workers.

#include "tarragonlock/request/dispatcher.hpp"

#include <algorithm>
#include <cmath>

namespace tarragonlock
{

namespace
{

/// Weight of a new run time in a service's mean.
constexpr double estimate_gain = 0.02;

} // namespace

double dispatcher::expected_ms(const job_state& state, std::uint32_t index) const
{
    const auto found = estimates_.find(state.job.service);
    const double mean =
        found == estimates_.end() ? service_estimate{}.mean_ms : found->second.mean_ms;
    const auto declared = state.job.tasks[index].declared_ms;
    // Declared times may be off by several times either way, so they count half.
    return declared == 0 ? mean : std::sqrt(mean * declared);
}

void dispatcher::learn(const std::string& service, double run_ms)
{
    auto& estimate = estimates_[service];
    estimate.samples += 1.0;
    const double gain = std::max(estimate_gain, 1.0 / (estimate.samples + 1.0));
    estimate.mean_ms += gain * (run_ms - estimate.mean_ms);
}

void dispatcher::pump(instant now)
{
    if (!config_)
        return;
    std::map<batch_key, std::vector<std::uint32_t>> batches;
    std::vector<bool> blocked(directory_.pool_count(), false);
    const auto usable = [&](pool_index pool) { return !blocked[pool]; };
    while (const auto next = queue_.next(usable))
    {
        if (!may_start_(jobs_.at(next->job).right))
        {
            park(next->job);
            continue;
        }
        if (!place_next(now, *next, batches))
            blocked[next->pool] = true;
    }
    send_batches(batches, now);
    tell_backlog();
}

bool dispatcher::place_next(instant now, const fair_queue::choice& next,
                            std::map<batch_key, std::vector<std::uint32_t>>& batches)
{
    auto& state = jobs_.at(next.job);
    const auto index = state.order.back();
    const double expected = expected_ms(state, index);
    const auto runs_for = std::chrono::duration<double, std::milli>(state.runs_until - now);
    const placement_request request{next.pool,
                                    expected,
                                    queue_.waiting(next.pool),
                                    static_cast<std::uint32_t>(state.order.size()),
                                    runs_for.count(),
                                    state.job.idempotent};
    const auto worker = placement_->choose(directory_, request);
    if (!worker)
        return false;
    auto& task = state.tasks[index];
    task.state = task_state::sent;
    task.worker = *worker;
    state.order.pop_back();
    state.any_sent = true;
    const double run_ms = expected * std::exp(directory_.at(*worker).log_slowness);
    const auto ends = now + std::chrono::duration_cast<duration>(
                                std::chrono::duration<double, std::milli>(run_ms));
    state.runs_until = std::max(state.runs_until, ends);
    queue_.pop(next.pool, expected);
    directory_.on_sent(*worker, 1);
    batches[{*worker, next.job}].push_back(index);
    ++counters_.tasks_sent;
    return true;
}

void dispatcher::send_batches(const std::map<batch_key, std::vector<std::uint32_t>>& batches,
                              instant now)
{
    for (const auto& [key, indices] : batches)
    {
        auto& worker = directory_.at(key.first);
        const auto& state = jobs_.at(key.second);
        start_tasks batch;
        batch.job = state.job.id;
        batch.service = state.job.service;
        batch.digest = state.digest;
        batch.task_count = static_cast<std::uint32_t>(state.tasks.size());
        batch.shard = state.right.shard;
        batch.epoch = state.right.epoch;
        batch.config_version = config_version_;
        batch.grant_stamp = worker.load.grant_stamp;
        const auto left =
            std::chrono::duration_cast<std::chrono::milliseconds>(state.deadline - now);
        batch.deadline_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left.count()));
        batch.backlog = queue_.waiting(state.pool);
        for (const auto index : indices)
            batch.tasks.push_back({index, state.tasks[index].attempt, state.job.tasks[index].body});
        worker.told_backlog = batch.backlog > 0;
        messages_.push_back({worker.id.name, std::move(batch)});
    }
}

/// Tells some workers without free slots that tasks wait, so that they offer slots others free.
void dispatcher::tell_backlog()
{
    for (pool_index i = 0; i < directory_.pool_count(); ++i)
    {
        const auto waiting = queue_.waiting(i);
        const auto& members = directory_.pool(i).members;
        if (waiting == 0)
            continue;
        std::uint32_t told = 0;
        for (std::size_t tried = 0; tried < members.size() && told < options_.backlog_notices;
             ++tried)
        {
            auto& worker = directory_.at(members[notice_cursor_++ % members.size()]);
            if (worker.told_backlog || !worker.connected || worker.leaving || worker.ejected)
                continue;
            worker.told_backlog = true;
            ++told;
            messages_.push_back(
                {worker.id.name, slot_request{directory_.pool(i).service, waiting}});
        }
    }
}

/// Sets a job aside while this entry has no right to start its tasks.
void dispatcher::park(job_handle handle)
{
    auto& state = jobs_.at(handle);
    queue_.remove(state.pool, state.job.team, handle);
    state.parked = true;
}

void dispatcher::unpark()
{
    for (auto& [handle, state] : jobs_)
    {
        if (!state.parked || !may_start_(state.right))
            continue;
        state.parked = false;
        enqueue(handle, static_cast<std::uint32_t>(state.order.size()));
    }
}

} // namespace tarragonlock
