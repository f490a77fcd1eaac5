#include "tarragonlock/request/start_records.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Estimated memory of a job, and of a task without its body, including container overhead.
constexpr std::size_t job_overhead_bytes = 256;
constexpr std::size_t task_overhead_bytes = 128;

} // namespace

start_records::start_records(duration record_window, std::size_t max_bytes)
    : record_window_(record_window), max_bytes_(max_bytes)
{
}

start_records::recorded_job& start_records::touch_or_add(instant now, const std::string& job)
{
    auto [found, inserted] = jobs_.try_emplace(job);
    if (inserted)
        bytes_ += job_overhead_bytes;
    if (inserted || found->second.changed_at != now)
        by_age_.emplace_back(now, job);
    found->second.changed_at = now;
    return found->second;
}

task_outcome* start_records::find(recorded_job& job, std::uint32_t index)
{
    const auto found = std::find_if(job.tasks.begin(), job.tasks.end(),
                                    [&](const auto& task) { return task.index == index; });
    return found == job.tasks.end() ? nullptr : &*found;
}

start_decision start_records::accept(instant now, const std::string& owner,
                                     const start_tasks& batch, const task_start& task)
{
    auto& job = touch_or_add(now, batch.job);
    if (job.blocked)
        return start_decision::blocked;
    job.owner = owner;
    job.digest = batch.digest;
    job.task_count = batch.task_count;
    job.shard = batch.shard;
    if (auto* existing = find(job, task.index))
    {
        if (existing->attempt > task.attempt)
            return start_decision::duplicate;
        if (existing->attempt == task.attempt)
            return existing->status == task_status::not_started ? start_decision::blocked
                                                                : start_decision::duplicate;
        *existing = {batch.job, task.index, task.attempt, task_status::running, 0, ""};
        return start_decision::accepted;
    }
    job.tasks.push_back({batch.job, task.index, task.attempt, task_status::running, 0, ""});
    bytes_ += task_overhead_bytes;
    return start_decision::accepted;
}

void start_records::finish(instant now, const task_outcome& outcome)
{
    if (!jobs_.contains(outcome.job))
        return;
    auto& job = touch_or_add(now, outcome.job);
    auto* task = find(job, outcome.index);
    if (task == nullptr || task->attempt != outcome.attempt || task->status != task_status::running)
        return;
    *task = outcome;
    bytes_ += outcome.body.size();
}

task_outcome start_records::query(instant now, const task_attempt& attempt)
{
    auto& job = touch_or_add(now, attempt.job);
    if (const auto* existing = find(job, attempt.index);
        existing && existing->attempt >= attempt.attempt)
        return *existing;
    task_outcome blocked{attempt.job, attempt.index, attempt.attempt, task_status::not_started, 0,
                         ""};
    if (auto* existing = find(job, attempt.index))
        *existing = blocked;
    else
    {
        job.tasks.push_back(blocked);
        bytes_ += task_overhead_bytes;
    }
    return blocked;
}

void start_records::block_job(instant now, const std::string& job)
{
    touch_or_add(now, job).blocked = true;
}

void start_records::set_owner(const std::string& job, const std::string& owner)
{
    if (const auto found = jobs_.find(job); found != jobs_.end())
        found->second.owner = owner;
}

const std::string& start_records::owner(const std::string& job) const
{
    static const std::string no_owner;
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? no_owner : found->second.owner;
}

std::vector<start_record> start_records::in_shard(std::uint32_t shard) const
{
    std::vector<start_record> records;
    for (const auto& [id, job] : jobs_)
    {
        if (job.shard == shard)
            records.push_back({id, job.digest, job.task_count, job.tasks});
    }
    return records;
}

void start_records::erase_job(const std::string& job)
{
    const auto found = jobs_.find(job);
    bytes_ -= job_overhead_bytes;
    for (const auto& task : found->second.tasks)
        bytes_ -= std::min(bytes_, task_overhead_bytes + task.body.size());
    jobs_.erase(found);
}

void start_records::expire(instant now)
{
    while (!by_age_.empty())
    {
        const auto& [changed_at, job] = by_age_.front();
        const auto found = jobs_.find(job);
        const bool stale = found == jobs_.end() || found->second.changed_at != changed_at;
        if (!stale && now - changed_at < record_window_ && bytes_ <= max_bytes_)
            return;
        if (!stale)
            erase_job(job);
        by_age_.pop_front();
    }
}

} // namespace tarragonlock
