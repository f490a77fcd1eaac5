#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock
{

/// Number of shards of the job identifiers. Must not change: identifiers would move to other
/// shards.
inline constexpr std::uint32_t shard_count = 64;
/// Shard value of identifiers that an entry generated: they stay with it and have no shard.
inline constexpr std::uint32_t no_shard = shard_count;

/// A shard and the epoch of its current ownership.
struct shard_epoch
{
    std::uint32_t shard = 0;
    std::uint64_t epoch = 0;
    friend auto operator<=>(const shard_epoch&, const shard_epoch&) = default;
};

/// Owner of a shard: one incarnation of an entry.
struct shard_owner
{
    std::string name;
    std::uint64_t incarnation = 0;
    /// Incremented with each change of the shard's owner.
    std::uint64_t epoch = 0;
    friend auto operator<=>(const shard_owner&, const shard_owner&) = default;
};

/// Ownership of all shards; one versioned value in the key-value service.
struct shard_table
{
    std::uint64_t version = 0;
    /// Wall clock of the entry that made the first table, in milliseconds since the Unix epoch.
    std::int64_t created_ms = 0;
    std::vector<shard_owner> owners;
    friend bool operator==(const shard_table&, const shard_table&) = default;
};

/// @return the shard of a job identifier, the same on every process.
std::uint32_t shard_of(std::string_view job_id);

/// Chooses the new owner of a shard by rendezvous hashing.
/// @param candidates  names of live entries; not empty
/// @return the index of the chosen candidate
std::size_t rendezvous_owner(std::uint32_t shard, const std::vector<std::string>& candidates);

} // namespace tarragonlock
