// Changes of the shard table: creation, takeovers from dead entries and planned transfers.

#include "tarragonlock/version/ownership.hpp"

namespace tarragonlock
{

void ownership::on_store_entry(const std::string& name, std::optional<std::uint64_t> incarnation)
{
    if (incarnation)
        registered_[name] = *incarnation;
    else
        registered_.erase(name);
}

void ownership::on_store_read(instant)
{
    store_read_ = true;
    if (!store_revision_)
        store_revision_ = 0;
}

/// An owner is dead when its incarnation is no longer registered in the key-value service and this
/// entry has received no heartbeat from it for longer than a lease and its margin.
bool ownership::is_dead(instant now, const shard_owner& owner) const
{
    if (is_self(owner))
        return false;
    const auto registered = registered_.find(owner.name);
    if (registered != registered_.end() && registered->second == owner.incarnation)
        return false;
    const auto found = peers_.find(owner.name);
    if (found == peers_.end() || !found->second.last_heartbeat_received ||
        found->second.incarnation != owner.incarnation)
        return true;
    return now - *found->second.last_heartbeat_received > options_.lease + options_.lease_margin;
}

std::vector<std::string> ownership::live_entries(instant now) const
{
    std::vector<std::string> live;
    for (const auto& name : options_.entries)
    {
        if (name == options_.self.name ? !leaving_
                                       : has_recent_heartbeat(now, name) && !is_leaving(name))
            live.push_back(name);
    }
    return live;
}

void ownership::on_tick(instant now)
{
    if (now - last_heartbeat_ >= options_.heartbeat_interval)
        send_heartbeats(now);
    const bool startup_wait_over = now - started_ >= options_.first_table_wait;
    if (!store_read_ || swap_pending_ || !startup_wait_over)
        return;
    if (table_.owners.empty())
        return create_first_table(now);
    reassign_shards_of_dead_entries(now);
    if (!swap_pending_)
        transfer_shards(now);
}

void ownership::propose_table(shard_table table)
{
    table.version = table_.version + 1;
    proposed_table_ = table;
    requested_swap_ = table_swap{store_revision_.value_or(0), std::move(table)};
    swap_pending_ = true;
}

void ownership::on_swap_done(instant now, bool swapped, const table_swap& request,
                             std::int64_t revision)
{
    if (swapped)
    {
        store_revision_ = std::max(store_revision_.value_or(0), revision);
        adopt_table(now, request.table);
    }
    on_swap_in_doubt();
}

/// The shards stay served here. If the swap takes effect later, the new owner waits until the
/// leases under the older table have expired, or for this entry's records.
void ownership::on_swap_in_doubt()
{
    swap_pending_ = false;
    for (auto& state : states_)
    {
        if (state == shard_state::transferring)
            state = shard_state::active;
    }
}

void ownership::create_first_table(instant now)
{
    const auto live = live_entries(now);
    if (live.empty() || live.front() != options_.self.name)
        return;
    shard_table table;
    const auto wall = std::chrono::duration_cast<unix_milliseconds>(now.time_since_epoch()) +
                      options_.wall_offset;
    table.created_ms = wall.count();
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        const auto& name = live[rendezvous_owner(shard, live)];
        const auto incarnation =
            name == options_.self.name ? options_.self.incarnation : peers_.at(name).incarnation;
        table.owners.push_back({name, incarnation, 1});
    }
    propose_table(std::move(table));
}

void ownership::reassign_shards_of_dead_entries(instant now)
{
    const auto live = live_entries(now);
    // Only the first live entry acts, so that entries don't race; when it is no longer live, the
    // next one becomes the first.
    if (live.empty() || live.front() != options_.self.name)
        return;
    auto table = table_;
    bool changed = false;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        auto& owner = table.owners[shard];
        if (!is_dead(now, owner))
            continue;
        const auto& name = live[rendezvous_owner(shard, live)];
        owner = {name,
                 name == options_.self.name ? options_.self.incarnation
                                            : peers_.at(name).incarnation,
                 owner.epoch + 1};
        changed = true;
    }
    if (changed)
        propose_table(std::move(table));
}

/// Transfers shards to the entries that rendezvous hashing selects. A leaving entry is not among
/// the candidates, so it transfers all its shards.
void ownership::transfer_shards(instant now)
{
    const auto live = live_entries(now);
    if (live.empty() || !holds_lease(now))
        return;
    auto table = table_;
    bool changed = false;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        auto& owner = table.owners[shard];
        if (states_.at(shard) != shard_state::active)
            continue;
        const auto& name = live[rendezvous_owner(shard, live)];
        const auto registered = registered_.find(name);
        const bool transfer_possible = registered != registered_.end() &&
                                       name != options_.self.name &&
                                       registered->second == peers_.at(name).incarnation;
        if (!transfer_possible)
            continue;
        owner = {name, registered->second, owner.epoch + 1};
        states_.at(shard) = shard_state::transferring;
        changed = true;
    }
    if (changed)
        propose_table(std::move(table));
}

void ownership::leave(instant now)
{
    leaving_ = true;
    send_heartbeats(now);
}

} // namespace tarragonlock
