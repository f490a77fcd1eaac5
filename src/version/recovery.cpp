#include "tarragonlock/version/recovery.hpp"

#include <algorithm>

namespace tarragonlock
{

recovery::recovery(recovery_options options, instant now, std::uint64_t request,
                   std::uint64_t table_version, std::vector<shard_epoch> shards)
    : options_(options), started_(now), last_request_(now), request_(request),
      table_version_(table_version), shards_(std::move(shards))
{
}

void recovery::begin(instant now, const std::vector<std::string>& entries,
                     const std::vector<process_identity>& own_workers, duration worker_list_age)
{
    last_request_ = now;
    worker_list_ages_.push_back(worker_list_age);
    for (const auto& worker : own_workers)
        add_worker(worker);
    for (const auto& entry : entries)
    {
        pending_entries_.insert(entry);
        messages_.push_back({entry, worker_list_request{request_}});
    }
}

void recovery::add_worker(const process_identity& worker)
{
    if (expected_workers_.insert(worker).second)
        send_fence_request(worker.name);
}

void recovery::send_fence_request(const std::string& worker)
{
    messages_.push_back({worker, fence_shards{request_, shards_}});
}

void recovery::on_worker_list(const std::string& from, const worker_list_reply& reply)
{
    if (reply.request != request_ || pending_entries_.erase(from) == 0)
        return;
    worker_list_ages_.emplace_back(std::chrono::milliseconds(reply.collecting_for_ms));
    for (const auto& worker : reply.workers)
        add_worker(worker);
}

void recovery::on_worker_connected(const process_identity& worker)
{
    if (answered_workers_.contains(worker))
        return;
    expected_workers_.insert(worker);
    send_fence_request(worker.name);
}

void recovery::on_fence_reply(const std::string& worker, const fence_reply& reply)
{
    if (reply.request != request_)
        return;
    for (const auto& record : reply.records)
        records_.emplace_back(worker, record);
    if (reply.last)
        answered_workers_.insert({worker, reply.incarnation});
}

void recovery::on_tick(instant now)
{
    if (now - last_request_ < options_.retry_interval || ready(now))
        return;
    last_request_ = now;
    for (const auto& entry : pending_entries_)
        messages_.push_back({entry, worker_list_request{request_}});
    for (const auto& worker : expected_workers_)
    {
        if (!answered_workers_.contains(worker))
            send_fence_request(worker.name);
    }
}

bool recovery::ready(instant now) const
{
    if (worker_list_ages_.size() < options_.majority)
        return false;
    return complete() || now - started_ >= options_.max_wait;
}

bool recovery::complete() const
{
    return std::includes(answered_workers_.begin(), answered_workers_.end(),
                         expected_workers_.begin(), expected_workers_.end());
}

duration recovery::worker_list_age() const
{
    auto longest = worker_list_ages_;
    std::sort(longest.rbegin(), longest.rend());
    return longest.size() < options_.majority ? duration(0) : longest[options_.majority - 1];
}

std::optional<std::uint64_t> recovery::epoch_of(std::uint32_t shard) const
{
    const auto found = std::find_if(shards_.begin(), shards_.end(),
                                    [&](const auto& item) { return item.shard == shard; });
    if (found == shards_.end())
        return std::nullopt;
    return found->epoch;
}

} // namespace tarragonlock
