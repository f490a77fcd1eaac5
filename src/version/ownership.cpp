#include "tarragonlock/version/ownership.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Limit of the sent heartbeats whose send times are kept to be matched with acknowledgements.
constexpr std::size_t max_remembered_heartbeats = 64;

} // namespace

ownership::ownership(ownership_options options, instant now)
    : options_(std::move(options)), started_(now),
      last_heartbeat_(now - options_.heartbeat_interval)
{
    for (const auto& name : options_.entries)
    {
        if (name != options_.self.name)
            peers_[name];
    }
}

// Heartbeats and leases.

void ownership::send_heartbeats(instant now)
{
    last_heartbeat_ = now;
    ++heartbeat_sequence_;
    heartbeats_sent_[heartbeat_sequence_] = now;
    while (heartbeats_sent_.size() > max_remembered_heartbeats)
        heartbeats_sent_.erase(heartbeats_sent_.begin());
    const entry_heartbeat heartbeat{heartbeat_sequence_, options_.self.incarnation, table_.version,
                                    config_version_, leaving_};
    for (const auto& [name, peer] : peers_)
        messages_.push_back({name, heartbeat});
}

void ownership::on_heartbeat(instant now, const std::string& from, const entry_heartbeat& heartbeat)
{
    const auto found = peers_.find(from);
    if (found == peers_.end())
        return;
    auto& peer = found->second;
    if (peer.incarnation != heartbeat.incarnation)
        peer = {.incarnation = heartbeat.incarnation};
    peer.last_heartbeat_received = now;
    peer.leaving = heartbeat.leaving;
    entry_heartbeat_ack ack{heartbeat.sequence, heartbeat.incarnation, table_.version, true, false};
    if (heartbeat.table_version < table_.version)
        messages_.push_back({from, table_update{table_}});
    else if (may_acknowledge())
    {
        ack.refused = false;
        ack.older_leases_expired = acknowledged_leases_expired(now, table_.version);
        acknowledged_versions_[heartbeat.table_version] = now;
    }
    messages_.push_back({from, ack});
}

void ownership::on_heartbeat_ack(instant, const std::string& from, const entry_heartbeat_ack& ack)
{
    const auto found = peers_.find(from);
    if (found == peers_.end() || ack.incarnation != options_.self.incarnation)
        return;
    auto& peer = found->second;
    if (ack.table_version < table_.version)
        messages_.push_back({from, table_update{table_}});
    if (ack.refused)
        return;
    if (ack.older_leases_expired)
        peer.expired_before_version = std::max(peer.expired_before_version, ack.table_version);
    if (const auto sent = heartbeats_sent_.find(ack.sequence); sent != heartbeats_sent_.end())
    {
        if (!peer.acknowledged || *peer.acknowledged < sent->second)
            peer.acknowledged = sent->second;
    }
}

/// A restarted entry has lost its record of earlier acknowledgements. It may acknowledge again once
/// it has read the current table from the key-value service, or has received tables from a majority
/// of the entries that does not count itself.
bool ownership::may_acknowledge() const
{
    if (store_read_)
        return true;
    const auto tables = std::count_if(peers_.begin(), peers_.end(),
                                      [](const auto& peer) { return peer.second.sent_table; });
    return static_cast<std::size_t>(tables) >= majority();
}

bool ownership::holds_lease(instant now) const
{
    if (!options_.mechanisms.lease || majority() <= 1)
        return true;
    std::vector<instant> acknowledged;
    for (const auto& [name, peer] : peers_)
    {
        if (peer.acknowledged)
            acknowledged.push_back(*peer.acknowledged);
    }
    const auto needed = majority() - 1;
    if (acknowledged.size() < needed)
        return false;
    std::sort(acknowledged.rbegin(), acknowledged.rend());
    return now < acknowledged[needed - 1] + options_.lease;
}

bool ownership::acknowledged_leases_expired(instant now, std::uint64_t version) const
{
    const auto wait = options_.lease + options_.lease_margin;
    if (table_.version < version || now - started_ < wait)
        return false;
    return std::none_of(acknowledged_versions_.begin(), acknowledged_versions_.end(),
                        [&](const auto& acknowledged) {
                            return acknowledged.first < version && now - acknowledged.second < wait;
                        });
}

bool ownership::older_leases_expired(instant now, std::uint64_t version) const
{
    if (!options_.mechanisms.vote)
        return true;
    std::size_t votes = acknowledged_leases_expired(now, version) ? 1 : 0;
    for (const auto& [name, peer] : peers_)
        votes += peer.expired_before_version >= version ? 1 : 0;
    return votes >= majority();
}

bool ownership::has_recent_heartbeat(instant now, const std::string& name) const
{
    if (name == options_.self.name)
        return true;
    const auto found = peers_.find(name);
    return found != peers_.end() && found->second.last_heartbeat_received &&
           now - *found->second.last_heartbeat_received < options_.lease;
}

bool ownership::is_leaving(const std::string& name) const
{
    if (name == options_.self.name)
        return leaving_;
    const auto found = peers_.find(name);
    return found != peers_.end() && found->second.leaving;
}

// The shard table.

bool ownership::is_self(const shard_owner& owner) const
{
    return owner.name == options_.self.name && owner.incarnation == options_.self.incarnation;
}

void ownership::on_table(instant now, const shard_table& table, const std::string& from)
{
    if (const auto peer = peers_.find(from); peer != peers_.end())
        peer->second.sent_table = true;
    adopt_table(now, table);
}

void ownership::on_store_table(instant now, const shard_table& table, std::int64_t revision)
{
    if (!store_revision_ || revision > *store_revision_)
        store_revision_ = revision;
    adopt_table(now, table);
}

void ownership::adopt_table(instant now, const shard_table& table)
{
    if (table.version <= table_.version || table.owners.size() != shard_count)
        return;
    const auto before = std::exchange(table_, table);
    std::map<std::string, std::vector<std::uint32_t>> transferred;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        auto& state = states_.at(shard);
        const auto& owner = table_.owners[shard];
        const bool unchanged = !before.owners.empty() && before.owners[shard] == owner;
        if (unchanged)
            continue;
        if (is_self(owner))
        {
            state = shard_state::preparing;
            owned_since_.at(shard) = now;
            from_live_owner_.at(shard) = !before.owners.empty() &&
                                         before.owners[shard].name != options_.self.name &&
                                         !is_dead(now, before.owners[shard]);
            continue;
        }
        if (state == shard_state::active || state == shard_state::transferring)
        {
            if (table_ == proposed_table_)
                transferred[owner.name].push_back(shard);
            else
                lost_shards_.push_back(shard);
        }
        state = shard_state::not_owned;
    }
    broadcast_table();
    for (auto& [to, shards] : transferred)
        transferred_shards_.push_back({to, std::move(shards)});
}

void ownership::broadcast_table()
{
    for (const auto& [name, peer] : peers_)
        messages_.push_back({name, table_update{table_}});
}

std::string ownership::owner(std::uint32_t shard) const
{
    return table_.owners.empty() ? std::string() : table_.owners[shard].name;
}

std::uint64_t ownership::epoch(std::uint32_t shard) const
{
    return table_.owners.empty() ? 0 : table_.owners[shard].epoch;
}

void ownership::activate(const std::vector<std::uint32_t>& shards)
{
    for (const auto shard : shards)
    {
        if (states_.at(shard) == shard_state::preparing)
            states_.at(shard) = shard_state::active;
    }
}

std::vector<std::uint32_t> ownership::shards_to_recover(instant now) const
{
    std::vector<std::uint32_t> shards;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
    {
        if (states_.at(shard) != shard_state::preparing)
            continue;
        const bool awaiting_handover =
            from_live_owner_.at(shard) && now - owned_since_.at(shard) < options_.handover_wait;
        if (!awaiting_handover)
            shards.push_back(shard);
    }
    return shards;
}

} // namespace tarragonlock
