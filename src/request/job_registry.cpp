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

job_registry::job_registry(duration window, std::size_t max_result_bytes)
    : window_(window), max_result_bytes_(max_result_bytes)
{
}

const registry_entry* job_registry::find(const std::string& id) const
{
    const auto found = entries_.find(id);
    return found == entries_.end() ? nullptr : &found->second;
}

registry_entry& job_registry::touch(instant now, const std::string& id)
{
    auto& entry = entries_[id];
    if (entry.changed != now)
        by_age_.emplace_back(now, id);
    entry.changed = now;
    return entry;
}

void job_registry::start(instant now, const std::string& id, std::uint64_t digest)
{
    auto& entry = touch(now, id);
    entry.where = registry_entry::state::running;
    entry.digest = digest;
}

void job_registry::finish(instant now, const answer& reply)
{
    auto& entry = touch(now, reply.id);
    entry.where = registry_entry::state::finished;
    entry.reply = reply;
    entry.outcomes.clear();
    result_bytes_ += bytes_of(reply);
    with_results_.push_back(reply.id);
}

void job_registry::add_remote(instant now, const std::string& id, std::uint64_t digest,
                              const std::string& runner)
{
    auto& entry = touch(now, id);
    entry.where = registry_entry::state::remote;
    entry.digest = digest;
    entry.runner = runner;
}

void job_registry::add_recovered(instant now, const std::string& worker, const start_record& record)
{
    if (const auto* known = find(record.job); known != nullptr &&
                                              known->where != registry_entry::state::recovered &&
                                              known->where != registry_entry::state::remote)
        return;
    auto& entry = touch(now, record.job);
    entry.where = registry_entry::state::recovered;
    entry.digest = record.digest;
    entry.task_count = std::max(entry.task_count, record.task_count);
    for (const auto& outcome : record.tasks)
        add_outcome(now, worker, outcome);
}

void job_registry::add_outcome(instant now, const std::string& worker, const task_outcome& outcome)
{
    const auto* known = find(outcome.job);
    if (known == nullptr || known->where != registry_entry::state::recovered)
        return;
    auto& outcomes = touch(now, outcome.job).outcomes;
    const auto same =
        std::find_if(outcomes.begin(), outcomes.end(),
                     [&](const auto& item) { return item.second.index == outcome.index; });
    if (same == outcomes.end())
        outcomes.emplace_back(worker, outcome);
    else if (same->second.attempt < outcome.attempt ||
             (same->second.attempt == outcome.attempt &&
              same->second.status == task_status::running))
        *same = {worker, outcome};
}

std::vector<job_record> job_registry::records_of(const std::vector<std::uint32_t>& shards) const
{
    std::vector<job_record> records;
    for (const auto& [id, entry] : entries_)
    {
        if (std::find(shards.begin(), shards.end(), shard_of(id)) == shards.end())
            continue;
        const bool finished = entry.where == registry_entry::state::finished;
        records.push_back({id, entry.digest, finished, entry.reply});
    }
    return records;
}

void job_registry::expire(instant now)
{
    while (!by_age_.empty() && now - by_age_.front().first > window_)
    {
        const auto& [changed, id] = by_age_.front();
        const auto found = entries_.find(id);
        if (found != entries_.end() && found->second.changed == changed &&
            found->second.where != registry_entry::state::running)
        {
            result_bytes_ -= bytes_of(found->second.reply);
            entries_.erase(found);
        }
        by_age_.pop_front();
    }
    while (result_bytes_ > max_result_bytes_ && !with_results_.empty())
    {
        if (const auto found = entries_.find(with_results_.front()); found != entries_.end())
        {
            result_bytes_ -= bytes_of(found->second.reply);
            found->second.results_dropped = !found->second.reply.results.empty();
            found->second.reply.results.clear();
        }
        with_results_.pop_front();
    }
}

} // namespace tarragonlock
