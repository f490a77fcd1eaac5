#include "tarragonlock/process/agent_core.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

std::string task_key(const std::string& job, std::uint32_t index)
{
    return job + '/' + std::to_string(index);
}

task_outcome not_started_outcome(const task_attempt& attempt)
{
    return {attempt.job, attempt.index, attempt.attempt, task_status::not_started, 0, ""};
}

} // namespace

agent_core::agent_core(agent_options options)
    : options_(std::move(options)), records_(options_.record_window, options_.max_record_bytes)
{
}

void agent_core::on_entry_connected(instant now, const std::string& entry)
{
    auto& state = entries_[entry];
    state.connected = true;
    announce_to(now, entry);
    // Results that may have been lost with the previous connection are sent again; the entry
    // discards those it has received.
    for (const auto& results : state.unacknowledged_results)
        send(now, entry, results);
}

void agent_core::on_entry_lost(instant, const std::string& entry)
{
    auto& state = entries_[entry];
    state.connected = false;
    state.worker_registered = false;
    state.reported_backlog = {};
    state.offered_slots = 0;
}

void agent_core::on_message(instant now, const std::string& entry, const message& received)
{
    std::visit([&](const auto& body) { handle(now, entry, body); }, received);
}

void agent_core::on_backend_announced(instant now, const backend_announcement& announcement)
{
    last_announcement_ = now;
    if (backend_present_ && backend_ == announcement)
        return;
    backend_ = announcement;
    backend_present_ = true;
    consecutive_failures_ = 0;
    announce_to_all(now);
    start_queued(now);
}

void agent_core::on_backend_leaving(instant now)
{
    if (!backend_present_)
        return;
    backend_present_ = false;
    announce_to_all(now);
}

void agent_core::drain(instant now)
{
    draining_ = true;
    announce_to_all(now);
}

void agent_core::handle(instant now, const std::string& entry, const start_tasks& batch)
{
    auto& state = entries_[entry];
    state.tasks_received += batch.tasks.size();
    state.reported_backlog = batch.waiting;
    state.backlog_reported_at = now;
    state.offered_slots -= std::min<std::uint32_t>(state.offered_slots,
                                                   static_cast<std::uint32_t>(batch.tasks.size()));
    const bool allowed = may_start(now, batch);
    for (const auto& task : batch.tasks)
    {
        if (!allowed)
        {
            // The query records the attempt as not started, so that a later copy of this start is
            // refused. If this is a copy of an accepted start, the recorded state is reported.
            const auto recorded_outcome =
                records_.query(now, {batch.job, task.index, task.attempt});
            if (recorded_outcome.status != task_status::running)
                queue_outcome(now, entry, recorded_outcome);
            continue;
        }
        switch (records_.accept(now, entry, batch, task))
        {
        case start_decision::accepted:
            break;
        case start_decision::blocked:
            queue_outcome(now, entry, not_started_outcome({batch.job, task.index, task.attempt}));
            continue;
        case start_decision::duplicate:
            ++counters_.starts_refused_known;
            if (options_.mechanisms.refuse_known_attempts)
                continue;
        }
        state.queue.push_back({{batch.job, task.index, task.attempt},
                               task.body,
                               now + std::chrono::milliseconds(batch.deadline_ms),
                               batch.shard,
                               batch.epoch,
                               task.expected_ms,
                               batch.team});
        ++queued_;
    }
    start_queued(now);
    send_outcomes(now, entry, !allowed);
}

bool agent_core::may_start(instant now, const start_tasks& batch)
{
    if (!accepting() || batch.service != backend_.service)
    {
        ++counters_.starts_refused_leaving;
        return false;
    }
    if (options_.mechanisms.refuse_fenced_epochs && fenced(batch.shard, batch.epoch))
    {
        ++counters_.starts_refused_fenced;
        return false;
    }
    if (options_.mechanisms.require_majority && batch.shard != no_shard &&
        !registered_with_majority())
    {
        ++counters_.starts_refused_majority;
        return false;
    }
    const auto current_ms = agent_clock_ms(now);
    const auto lifetime = static_cast<std::uint64_t>(options_.grant_lifetime.count() / 1000);
    const bool stale =
        batch.grant_timestamp_ms > current_ms || current_ms - batch.grant_timestamp_ms > lifetime;
    if (options_.mechanisms.refuse_stale_grants && stale)
    {
        ++counters_.starts_refused_grant;
        return false;
    }
    if (options_.mechanisms.refuse_older_config && batch.config_version < config_version_)
    {
        ++counters_.starts_refused_config;
        return false;
    }
    update_config_version(batch.config_version);
    return true;
}

/// A new owner of a shard asks a majority of entries for their workers. A worker that starts tasks
/// of a shard must therefore be registered with a majority, or the new owner could miss it.
bool agent_core::registered_with_majority() const
{
    const auto registered =
        std::count_if(entries_.begin(), entries_.end(),
                      [](const auto& entry) { return entry.second.worker_registered; });
    return static_cast<std::uint32_t>(registered) >= options_.entry_count / 2 + 1;
}

bool agent_core::fenced(std::uint32_t shard, std::uint64_t epoch) const
{
    return shard < shard_count && epoch < fence_epochs_.at(shard);
}

void agent_core::handle(instant now, const std::string& entry, const slot_request& request)
{
    entries_[entry].reported_backlog = request.waiting;
    entries_[entry].backlog_reported_at = now;
    offer_slots(now);
}

void agent_core::handle(instant now, const std::string& entry, const cancel_jobs& request)
{
    for (const auto& job : request.jobs)
        records_.block_job(now, job);
    auto& queue = entries_[entry].queue;
    const auto is_cancelled = [&](const queued_task& task)
    {
        return std::find(request.jobs.begin(), request.jobs.end(), task.attempt.job) !=
               request.jobs.end();
    };
    const auto cancelled_begin =
        std::stable_partition(queue.begin(), queue.end(), std::not_fn(is_cancelled));
    for (auto task = cancelled_begin; task != queue.end(); ++task)
    {
        const auto outcome = not_started_outcome(task->attempt);
        records_.finish(now, outcome);
        queue_outcome(now, entry, outcome);
        --queued_;
    }
    queue.erase(cancelled_begin, queue.end());
    send_outcomes(now, entry, true);
}

void agent_core::handle(instant now, const std::string& entry, const query_tasks& request)
{
    query_reply reply;
    for (const auto& attempt : request.tasks)
        reply.outcomes.push_back(records_.query(now, attempt));
    reply.load = load_for(now, entries_[entry]);
    send(now, entry, std::move(reply));
}

void agent_core::handle(instant now, const std::string& entry, const fence_shards& request)
{
    std::vector<start_record> records;
    for (const auto& [shard, epoch] : request.shards)
    {
        if (shard >= shard_count)
            continue;
        fence_epochs_.at(shard) = std::max(fence_epochs_.at(shard), epoch);
        for (auto& record : records_.in_shard(shard))
        {
            records_.set_owner(record.job, entry);
            records.push_back(std::move(record));
        }
    }
    // Tasks queued under an older epoch have been accepted, so their records report that they may
    // run.
    constexpr std::size_t max_part_bytes = 1U << 20U;
    fence_reply part{request.request, options_.incarnation, false, {}};
    std::size_t part_bytes = 0;
    for (auto& record : records)
    {
        for (const auto& task : record.tasks)
            part_bytes += task.body.size() + task.job.size();
        part.records.push_back(std::move(record));
        if (part_bytes < max_part_bytes)
            continue;
        send(now, entry, part);
        part.records.clear();
        part_bytes = 0;
    }
    part.last = true;
    send(now, entry, std::move(part));
}

void agent_core::handle(instant, const std::string& entry, const entry_status& status)
{
    update_config_version(status.config_version);
    entries_[entry].worker_registered = true;
    auto& unacknowledged_results = entries_[entry].unacknowledged_results;
    while (!unacknowledged_results.empty() &&
           unacknowledged_results.front().sequence <= status.last_result_sequence)
        unacknowledged_results.pop_front();
}

void agent_core::start_queued(instant now)
{
    while (backend_present_ && running_.size() < backend_.slots)
    {
        auto* state = next_entry();
        if (state == nullptr)
            return;
        auto task = std::move(state->queue.front());
        state->queue.pop_front();
        --queued_;
        const auto& owner = std::find_if(entries_.begin(), entries_.end(),
                                         [&](const auto& entry) { return &entry.second == state; })
                                ->first;
        launch(now, owner, std::move(task));
    }
}

/// Selects the entry with queued tasks that uses the fewest slots of this worker, so that entries
/// share it evenly.
agent_core::entry_state* agent_core::next_entry()
{
    entry_state* best = nullptr;
    for (auto& [name, state] : entries_)
    {
        if (!state.queue.empty() && (best == nullptr || state.running < best->running))
            best = &state;
    }
    return best;
}

void agent_core::launch(instant now, const std::string& owner, queued_task task)
{
    const bool expired = task.deadline <= now;
    const bool now_fenced =
        options_.mechanisms.refuse_fenced_epochs && fenced(task.shard, task.epoch);
    if (expired || now_fenced)
    {
        const auto outcome = not_started_outcome(task.attempt);
        records_.finish(now, outcome);
        const auto recorded_owner = records_.owner(task.attempt.job);
        queue_outcome(now, recorded_owner.empty() ? owner : recorded_owner, outcome);
        return;
    }
    ++counters_.tasks_started;
    ++entries_[owner].running;
    ++running_by_team_[task.team];
    running_[task_key(task.attempt.job, task.attempt.index)] = {owner, task.team, now,
                                                                task.expected_ms};
    const auto remaining =
        std::chrono::duration_cast<std::chrono::milliseconds>(task.deadline - now);
    effects_.emplace_back(run_task{std::move(task.attempt), backend_.address, std::move(task.body),
                                   static_cast<std::uint32_t>(remaining.count())});
}

void agent_core::on_task_finished(instant now, const task_outcome& finished)
{
    const auto found = running_.find(task_key(finished.job, finished.index));
    if (found == running_.end())
        return;
    const auto task = std::move(found->second);
    running_.erase(found);
    auto outcome = finished;
    const auto run_time = std::chrono::duration_cast<std::chrono::milliseconds>(now - task.started);
    outcome.run_ms = static_cast<std::uint32_t>(run_time.count());
    --entries_[task.owner].running;
    if (const auto team = running_by_team_.find(task.team); --team->second == 0)
        running_by_team_.erase(team);
    records_.finish(now, outcome);
    const bool succeeded = outcome.status == task_status::succeeded;
    if (succeeded)
    {
        speed_.add(outcome.run_ms, task.expected_ms);
        // The success of a task that started before the last failure does not show that the backend
        // server has recovered.
        if (task.started >= last_failure_)
            consecutive_failures_ = 0;
    }
    else
    {
        ++consecutive_failures_;
        last_failure_ = now;
    }
    ++(succeeded ? counters_.tasks_succeeded : counters_.tasks_failed);
    const auto recorded_owner = records_.owner(outcome.job);
    const auto& owner = recorded_owner.empty() ? task.owner : recorded_owner;
    start_queued(now);
    queue_outcome(now, owner, std::move(outcome));
    offer_slots(now);
    send_outcomes(now, owner, false);
    if (!succeeded && consecutive_failures_ == options_.failure_broadcast_threshold)
        broadcast_load(now);
}

} // namespace tarragonlock
