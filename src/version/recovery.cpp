#include "tarragonlock/version/recovery.hpp"

#include <algorithm>

namespace tarragonlock
{

recovery::recovery(recovery_options options, instant now, std::uint64_t request,
                   std::uint64_t table_version, std::vector<shard_epoch> shards)
    : options_(options), started_(now), asked_(now), request_(request),
      table_version_(table_version), shards_(std::move(shards))
{
}

void recovery::begin(instant now, const std::vector<std::string>& entries,
                     const std::vector<process_id>& own_known, duration known_for)
{
    asked_ = now;
    known_for_.push_back(known_for);
    for (const auto& worker : own_known)
        expect(worker);
    for (const auto& entry : entries)
    {
        entries_to_ask_.insert(entry);
        messages_.push_back({entry, worker_list_request{request_}});
    }
}

void recovery::expect(const process_id& worker)
{
    if (expected_.insert(worker).second)
        ask(worker.name);
}

void recovery::ask(const std::string& worker)
{
    messages_.push_back({worker, fence_shards{request_, shards_}});
}

void recovery::on_worker_list(const std::string& from, const worker_list_reply& reply)
{
    if (reply.request != request_ || entries_to_ask_.erase(from) == 0)
        return;
    known_for_.emplace_back(std::chrono::milliseconds(reply.known_for_ms));
    for (const auto& worker : reply.workers)
        expect(worker);
}

void recovery::on_worker_connected(const process_id& worker)
{
    if (answered_.contains(worker))
        return;
    expected_.insert(worker);
    ask(worker.name);
}

void recovery::on_fence_reply(const std::string& worker, const fence_reply& reply)
{
    if (reply.request != request_)
        return;
    for (const auto& record : reply.records)
        records_.emplace_back(worker, record);
    if (reply.last)
        answered_.insert({worker, reply.incarnation});
}

void recovery::on_tick(instant now)
{
    if (now - asked_ < options_.repeat || ready(now))
        return;
    asked_ = now;
    for (const auto& entry : entries_to_ask_)
        messages_.push_back({entry, worker_list_request{request_}});
    for (const auto& worker : expected_)
    {
        if (!answered_.contains(worker))
            ask(worker.name);
    }
}

bool recovery::ready(instant now) const
{
    if (known_for_.size() < options_.majority)
        return false;
    return complete() || now - started_ >= options_.wait;
}

bool recovery::complete() const
{
    return std::includes(answered_.begin(), answered_.end(), expected_.begin(), expected_.end());
}

duration recovery::known_for() const
{
    auto longest = known_for_;
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
