#pragma once

#include "tarragonlock/connection/message.hpp"
#include "tarragonlock/version/shard_table.hpp"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock
{

/// Safety mechanisms. A test may disable one to show that the guarantee depends on it.
struct ownership_mechanisms
{
    /// An owner starts tasks only while a majority of entries has acknowledged one of its recent
    /// heartbeats.
    bool lease = true;
    /// A new owner waits until a majority confirms that leases under older tables have expired.
    bool vote = true;
    /// A new owner fences the agents and reads their start records.
    bool fence = true;
};

struct ownership_options
{
    process_identity self;
    /// Names of all entries, this one included.
    std::vector<std::string> entries;
    /// Wall clock minus process clock.
    unix_milliseconds wall_offset{0};
    /// Validity of an owner's lease, counted from the sending of the acknowledged heartbeats.
    duration lease = std::chrono::seconds(2);
    /// Added to the lease by entries that wait for its expiry; covers clocks of different rates.
    duration lease_margin = std::chrono::milliseconds(500);
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /// How long a new owner waits for the records of a planned transfer before it recovers them
    /// from the agents.
    duration handover_wait = std::chrono::seconds(2);
    /// How long an entry waits for the other entries after its start before it creates the first
    /// table or changes an existing one.
    duration first_table_wait = std::chrono::milliseconds(1500);
    ownership_mechanisms mechanisms;
};

/// State of a shard at this entry.
enum class shard_state : std::uint8_t
{
    not_owned,   ///< another entry owns it, or no owner is known
    preparing,   ///< owned here, records not yet recovered
    active,      ///< owned here and served
    transferring ///< owned here, a transfer to another entry is in progress
};

/// Requests that the process replace the table in the key-value service by compare-and-swap.
struct table_swap
{
    std::int64_t expected_revision = 0;
    shard_table table;
};

/// Shards that this entry has transferred to another one.
struct transferred_shards
{
    std::string to;
    std::vector<std::uint32_t> shards;
};

/// Determines which entry owns which shard of the job identifiers.
///
/// The table in the key-value service lists the owners; it changes by compare-and-swap only. Two
/// mechanisms keep an old owner and a new one from starting the same job: an owner's lease, which
/// consists of a majority's acknowledgements of its heartbeats and does not need the key-value
/// service, and a new owner's wait for a majority that has acknowledged no heartbeat under an older
/// table for longer than a lease. docs/design/0001-at-most-once.md compares the alternatives.
class ownership
{
public:
    explicit ownership(ownership_options options, instant now);

    // Events from other entries.
    void on_heartbeat(instant now, const std::string& from, const entry_heartbeat& heartbeat);
    void on_heartbeat_ack(instant now, const std::string& from, const entry_heartbeat_ack& ack);
    void on_table(instant now, const shard_table& table, const std::string& from);

    // Events from the key-value service.
    void on_store_table(instant now, const shard_table& table, std::int64_t revision);
    void on_store_entry(const std::string& name, std::optional<std::uint64_t> incarnation);
    /// All keys of the service have been read at least once since the start.
    void on_store_read(instant now);
    /// @param swapped  whether the table was replaced; if not, on_store_table was called before
    ///                 with the table that the service holds
    void on_swap_done(instant now, bool swapped, const table_swap& request, std::int64_t revision);
    /// The answer to a swap was lost; the table that is read next shows whether it took effect.
    void on_swap_in_doubt();

    void on_tick(instant now);
    /// Announces that this entry leaves; its shards are transferred to other entries.
    void leave(instant now);
    void set_config_version(std::uint64_t version) { config_version_ = version; }

    /// @return whether this entry may start tasks of shards it owns.
    bool holds_lease(instant now) const;
    /// @return whether a majority, this entry included, reports that leases under tables older
    ///         than this version have expired.
    bool older_leases_expired(instant now, std::uint64_t version) const;
    shard_state state(std::uint32_t shard) const { return states_.at(shard); }
    const shard_table& table() const { return table_; }
    /// @return the entry that owns a shard; empty when none is known.
    std::string owner(std::uint32_t shard) const;
    std::uint64_t epoch(std::uint32_t shard) const;
    /// @return whether a heartbeat of the entry's current incarnation arrived within the last lease
    ///         time; always true for this entry.
    bool has_recent_heartbeat(instant now, const std::string& name) const;
    bool is_leaving(const std::string& name) const;
    std::size_t majority() const { return options_.entries.size() / 2 + 1; }

    /// Marks shards as served, after their records were recovered or received in a planned
    /// transfer.
    void activate(const std::vector<std::uint32_t>& shards);
    /// @return shards owned here whose records must be recovered now; does not change their state.
    std::vector<std::uint32_t> shards_to_recover(instant now) const;
    /// @return shards that were served here and that another owner took over without a planned
    ///         transfer.
    std::vector<std::uint32_t> take_lost_shards() { return std::exchange(lost_shards_, {}); }
    std::vector<transferred_shards> take_transferred_shards()
    {
        return std::exchange(transferred_shards_, {});
    }
    std::vector<outgoing_message> take_messages() { return std::exchange(messages_, {}); }
    std::optional<table_swap> take_swap() { return std::exchange(requested_swap_, std::nullopt); }

private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::optional<instant> last_heartbeat_received;
        bool leaving = false;
        /// When the newest acknowledged heartbeat was sent, by this process's clock.
        std::optional<instant> acknowledged;
        /// Newest table version for which the peer reports that leases under older tables have
        /// expired.
        std::uint64_t expired_before_version = 0;
        /// Whether this incarnation of the peer has sent its table.
        bool sent_table = false;
    };

    void send_heartbeats(instant now);
    void adopt_table(instant now, const shard_table& table);
    bool may_acknowledge() const;
    bool acknowledged_leases_expired(instant now, std::uint64_t version) const;
    bool is_self(const shard_owner& owner) const;
    bool is_dead(instant now, const shard_owner& owner) const;
    std::vector<std::string> live_entries(instant now) const;
    void create_first_table(instant now);
    void reassign_shards_of_dead_entries(instant now);
    void transfer_shards(instant now);
    void propose_table(shard_table table);
    void broadcast_table();

    ownership_options options_;
    instant started_;
    shard_table table_;
    std::optional<std::int64_t> store_revision_;
    bool store_read_ = false;
    std::map<std::string, std::uint64_t> registered_;
    std::map<std::string, peer> peers_;
    std::array<shard_state, shard_count> states_{};
    std::array<instant, shard_count> owned_since_{};
    /// Whether the previous owner was another entry that was live when the shard moved here.
    std::array<bool, shard_count> from_live_owner_{};
    std::map<std::uint64_t, instant> heartbeats_sent_;
    std::uint64_t heartbeat_sequence_ = 0;
    instant last_heartbeat_;
    /// When a heartbeat under each table version was last acknowledged.
    std::map<std::uint64_t, instant> acknowledged_versions_;
    std::uint64_t config_version_ = 0;
    bool leaving_ = false;
    bool swap_pending_ = false;
    std::optional<table_swap> requested_swap_;
    /// The table last proposed by this entry; distinguishes its own transfers from shards
    /// that other entries reassigned.
    shard_table proposed_table_;
    std::vector<std::uint32_t> lost_shards_;
    std::vector<transferred_shards> transferred_shards_;
    std::vector<outgoing_message> messages_;
};

} // namespace tarragonlock
