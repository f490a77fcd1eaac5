#include "tarragonlock/connection/connection_budget.hpp"

#include <algorithm>
#include <utility>

namespace tarragonlock
{

namespace
{

/// Descriptors that the platform keeps for files.
constexpr std::size_t file_descriptors = 200;
/// Descriptors for listeners, peers that the process dials, the store and the worker; on hosts with
/// few descriptors a part of them.
constexpr std::size_t own_descriptors = 128;
constexpr std::size_t max_own_percent = 40;
/// Reserved connections, for readiness probes; on hosts with few descriptors a part of them.
constexpr std::size_t max_reserved = 16;
constexpr std::size_t reserved_divisor = 8;
/// Clients may hold this part of the memory. The rest is for jobs, buffers of the kernel and
/// allocations that are larger than what they hold.
constexpr std::uint64_t memory_divisor = 4;
/// Cost of a connection that holds nothing: its objects and its descriptor.
constexpr std::uint64_t base_cost = 4096;
/// Bytes that a channel of an introduced peer may hold without being closed for them.
constexpr std::uint64_t free_channel_bytes = 64U << 10U;
/// Added to the time without progress, so that size counts among connections that just progressed.
constexpr auto base_time = std::chrono::milliseconds(100);

/// Cost of keeping a connection open, in bytes times seconds.
double cost(std::uint64_t bytes, duration without_progress)
{
    return static_cast<double>(bytes + base_cost) *
           std::chrono::duration<double>(without_progress + base_time).count();
}

} // namespace

connection_limits connection_limits::of_host(std::uint64_t memory_mb, std::size_t max_fds)
{
    const auto sockets = std::max(max_fds, file_descriptors + 10) - file_descriptors;
    const auto own = std::min(own_descriptors, sockets * max_own_percent / 100);
    const auto clients = sockets - own;
    return {(memory_mb << 20U) / memory_divisor, clients,
            std::min(max_reserved, clients / reserved_divisor)};
}

connection_phase phase_of(const channel_load& load)
{
    if (!load.introduced || load.unread > free_channel_bytes)
        return connection_phase::receiving;
    if (load.unsent > free_channel_bytes)
        return connection_phase::sending;
    return connection_phase::serving;
}

connection_budget::connection connection_budget::open(instant now, bool is_reserved)
{
    connections_[++last_id_] = {is_reserved, connection_phase::idle, 0, now};
    if (!is_reserved)
        ++unreserved_connections_;
    return last_id_;
}

void connection_budget::close(connection id)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    subtract_bytes(found->second);
    if (!found->second.is_reserved)
        --unreserved_connections_;
    connections_.erase(found);
}

void connection_budget::update(connection id, connection_phase phase, std::uint64_t bytes,
                               instant now)
{
    const auto found = connections_.find(id);
    if (found == connections_.end())
        return;
    auto& changed = found->second;
    subtract_bytes(changed);
    if (changed.phase != phase)
        changed.last_progress = now;
    changed.phase = phase;
    changed.bytes = bytes;
    add_bytes(changed);
}

void connection_budget::on_progress(connection id, instant now)
{
    if (const auto found = connections_.find(id); found != connections_.end())
        found->second.last_progress = now;
}

std::optional<connection_budget::closing> connection_budget::next_to_close(instant now) const
{
    const auto close_one = [&](limit exceeded, bool with_reserved) -> std::optional<closing>
    {
        const auto id = costliest(now, with_reserved);
        return id ? std::optional(closing{*id, exceeded}) : std::nullopt;
    };
    if (bytes_ > limits_.max_bytes)
        return close_one(limit::memory, true);
    if (unreserved_connections_ > limits_.max_connections - limits_.reserved_connections)
        return close_one(limit::connections, false);
    if (connections_.size() > limits_.max_connections)
        return close_one(limit::connections, true);
    return std::nullopt;
}

std::optional<connection_budget::connection> connection_budget::costliest(instant now,
                                                                          bool with_reserved) const
{
    std::optional<connection> chosen;
    // A response that is being sent may be that of a job which has run, so it is the last to go.
    std::pair<bool, double> greatest{false, 0.0};
    for (const auto& [id, each] : connections_)
    {
        if (each.phase == connection_phase::serving || (each.is_reserved && !with_reserved))
            continue;
        const std::pair its_cost{each.phase != connection_phase::sending,
                                 cost(each.bytes, now - each.last_progress)};
        if (!chosen || its_cost > greatest)
        {
            greatest = its_cost;
            chosen = id;
        }
    }
    return chosen;
}

void connection_budget::add_bytes(const state& of)
{
    bytes_ += of.bytes;
    if (of.phase == connection_phase::serving)
        served_bytes_ += of.bytes;
}

void connection_budget::subtract_bytes(const state& of)
{
    bytes_ -= of.bytes;
    if (of.phase == connection_phase::serving)
        served_bytes_ -= of.bytes;
}

void transfer_progress::begin(instant now)
{
    since_ = now;
    bytes_ = 0;
}

void transfer_progress::add(instant now, std::size_t bytes, std::size_t min_bytes)
{
    bytes_ += bytes;
    if (bytes_ >= min_bytes)
        begin(now);
}

} // namespace tarragonlock
