#include "tarragonlock/request/start_records.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Rough memory of a job and of a task without its body, with container overhead.
constexpr std::size_t job_overhead_bytes = 256;
constexpr std::size_t task_overhead_bytes = 128;

} // namespace

start_records::start_records(duration window, std::size_t max_bytes)
    : window_(window), max_bytes_(max_bytes)
{
}

start_records::job_entry& start_records::touch(instant now, const std::string& job)
{
    auto [found, inserted] = jobs_.try_emplace(job);
    if (inserted)
        bytes_ += job_overhead_bytes;
    if (inserted || found->second.changed != now)
        by_age_.emplace_back(now, job);
    found->second.changed = now;
    return found->second;
}

task_outcome* start_records::find(job_entry& job, std::uint32_t index)
{
    const auto found = std::find_if(job.tasks.begin(), job.tasks.end(),
                                    [&](const auto& task) { return task.index == index; });
    return found == job.tasks.end() ? nullptr : &*found;
}

start_verdict start_records::accept(instant now, const std::string& owner, const start_tasks& batch,
                                    const task_start& task)
{
    auto& job = touch(now, batch.job);
    if (job.barred)
        return start_verdict::barred;
    job.owner = owner;
    job.digest = batch.digest;
    job.task_count = batch.task_count;
    job.shard = batch.shard;
    if (auto* known = find(job, task.index))
    {
        if (known->attempt > task.attempt)
            return start_verdict::duplicate;
        if (known->attempt == task.attempt)
            return known->status == task_status::not_started ? start_verdict::barred
                                                             : start_verdict::duplicate;
        *known = {batch.job, task.index, task.attempt, task_status::running, 0, ""};
        return start_verdict::fresh;
    }
    job.tasks.push_back({batch.job, task.index, task.attempt, task_status::running, 0, ""});
    bytes_ += task_overhead_bytes;
    return start_verdict::fresh;
}

void start_records::finish(instant now, const task_outcome& outcome)
{
    if (!jobs_.contains(outcome.job))
        return;
    auto& job = touch(now, outcome.job);
    auto* task = find(job, outcome.index);
    if (task == nullptr || task->attempt != outcome.attempt || task->status != task_status::running)
        return;
    *task = outcome;
    bytes_ += outcome.body.size();
}

task_outcome start_records::query(instant now, const task_attempt& attempt)
{
    auto& job = touch(now, attempt.job);
    if (const auto* known = find(job, attempt.index); known && known->attempt >= attempt.attempt)
        return *known;
    task_outcome barred{attempt.job, attempt.index, attempt.attempt, task_status::not_started, 0,
                        ""};
    if (auto* known = find(job, attempt.index))
        *known = barred;
    else
    {
        job.tasks.push_back(barred);
        bytes_ += task_overhead_bytes;
    }
    return barred;
}

void start_records::bar_job(instant now, const std::string& job)
{
    touch(now, job).barred = true;
}

void start_records::set_owner(const std::string& job, const std::string& owner)
{
    if (const auto found = jobs_.find(job); found != jobs_.end())
        found->second.owner = owner;
}

const std::string& start_records::owner(const std::string& job) const
{
    static const std::string nobody;
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nobody : found->second.owner;
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

void start_records::forget(const std::string& job)
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
        const auto& [changed, job] = by_age_.front();
        const auto found = jobs_.find(job);
        const bool stale = found == jobs_.end() || found->second.changed != changed;
        if (!stale && now - changed < window_ && bytes_ <= max_bytes_)
            return;
        if (!stale)
            forget(job);
        by_age_.pop_front();
    }
}

} // namespace tarragonlock
