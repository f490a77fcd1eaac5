#include "tarragonlock/request/job_registry.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

std::size_t bytes_of(const answer& reply)
{
    std::size_t bytes = 0;
    for (const auto& result : reply.results)
        bytes += result.size() + sizeof(std::string);
    return bytes;
}

} // namespace

job_registry::job_registry(duration record_window, std::size_t max_result_bytes)
    : record_window_(record_window), max_result_bytes_(max_result_bytes)
{
}

const registered_job* job_registry::find(const std::string& id) const
{
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

registered_job& job_registry::touch_or_add(instant now, const std::string& id)
{
    auto& job = jobs_[id];
    if (job.changed_at != now)
        by_age_.emplace_back(now, id);
    job.changed_at = now;
    return job;
}

void job_registry::start(instant now, const std::string& id, std::uint64_t digest)
{
    auto& job = touch_or_add(now, id);
    job.current_state = registered_job::state::running;
    job.digest = digest;
}

void job_registry::finish(instant now, const answer& reply)
{
    auto& job = touch_or_add(now, reply.id);
    job.current_state = registered_job::state::finished;
    job.reply = reply;
    job.outcomes.clear();
    result_bytes_ += bytes_of(reply);
    jobs_with_results_.push_back(reply.id);
}

void job_registry::add_remote(instant now, const std::string& id, std::uint64_t digest,
                              const std::string& running_entry)
{
    auto& job = touch_or_add(now, id);
    job.current_state = registered_job::state::remote;
    job.digest = digest;
    job.running_entry = running_entry;
}

void job_registry::add_recovered(instant now, const std::string& worker, const start_record& record)
{
    if (const auto* existing = find(record.job);
        existing != nullptr && existing->current_state != registered_job::state::recovered &&
        existing->current_state != registered_job::state::remote)
        return;
    auto& job = touch_or_add(now, record.job);
    job.current_state = registered_job::state::recovered;
    job.digest = record.digest;
    job.task_count = std::max(job.task_count, record.task_count);
    for (const auto& outcome : record.tasks)
        add_outcome(now, worker, outcome);
}

void job_registry::add_outcome(instant now, const std::string& worker, const task_outcome& outcome)
{
    const auto* existing = find(outcome.job);
    if (existing == nullptr || existing->current_state != registered_job::state::recovered)
        return;
    auto& outcomes = touch_or_add(now, outcome.job).outcomes;
    const auto recorded =
        std::find_if(outcomes.begin(), outcomes.end(),
                     [&](const auto& item) { return item.second.index == outcome.index; });
    if (recorded == outcomes.end())
        outcomes.emplace_back(worker, outcome);
    else if (recorded->second.attempt < outcome.attempt ||
             (recorded->second.attempt == outcome.attempt &&
              recorded->second.status == task_status::running))
        *recorded = {worker, outcome};
}

std::vector<job_record> job_registry::records_of(const std::vector<std::uint32_t>& shards) const
{
    std::vector<job_record> records;
    for (const auto& [id, job] : jobs_)
    {
        if (std::find(shards.begin(), shards.end(), shard_of(id)) == shards.end())
            continue;
        const bool finished = job.current_state == registered_job::state::finished;
        records.push_back({id, job.digest, finished, job.reply});
    }
    return records;
}

void job_registry::expire(instant now)
{
    while (!by_age_.empty() && now - by_age_.front().first > record_window_)
    {
        const auto& [changed_at, id] = by_age_.front();
        const auto found = jobs_.find(id);
        if (found != jobs_.end() && found->second.changed_at == changed_at &&
            found->second.current_state != registered_job::state::running)
        {
            result_bytes_ -= bytes_of(found->second.reply);
            jobs_.erase(found);
        }
        by_age_.pop_front();
    }
    while (result_bytes_ > max_result_bytes_ && !jobs_with_results_.empty())
    {
        if (const auto found = jobs_.find(jobs_with_results_.front()); found != jobs_.end())
        {
            result_bytes_ -= bytes_of(found->second.reply);
            found->second.results_dropped = !found->second.reply.results.empty();
            found->second.reply.results.clear();
        }
        jobs_with_results_.pop_front();
    }
}

} // namespace tarragonlock
