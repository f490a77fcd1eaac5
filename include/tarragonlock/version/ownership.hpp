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

/// Mechanisms that a test may switch off to show that a proof depends on them.
struct ownership_mechanisms
{
    /// An owner starts only while a majority of entries acknowledged it recently.
    bool lease = true;
    /// A new owner waits until a majority confirms that older leases are over.
    bool vote = true;
    /// A new owner fences the agents and reads their start records.
    bool fence = true;
};

struct ownership_options
{
    process_id self;
    /// Names of all entries, this one included.
    std::vector<std::string> entries;
    /// Wall clock minus process clock.
    unix_milliseconds wall_offset{0};
    duration lease = std::chrono::seconds(2);
    /// Added to the lease by those who wait for its end; covers clocks of different rates.
    duration lease_margin = std::chrono::milliseconds(500);
    duration heartbeat_interval = std::chrono::milliseconds(500);
    /// Time for which a planned transfer's records are waited for before they are recovered.
    duration handover_wait = std::chrono::seconds(2);
    /// Time for which the other entries are waited for before the first table is made.
    duration first_table_wait = std::chrono::milliseconds(1500);
    ownership_mechanisms mechanisms;
};

/// Where a shard stands from this entry's point of view.
enum class shard_state : std::uint8_t
{
    not_owned,   ///< another entry owns it, or nobody is known to
    preparing,   ///< owned here, records not yet recovered
    active,      ///< owned here and served
    transferring ///< owned here, a transfer is under way
};

/// Asks the shell to replace the table in the key-value service.
struct table_swap
{
    std::int64_t expected_revision = 0;
    shard_table table;
};

/// Shards that this entry has given to another one.
struct transferred_shards
{
    std::string to;
    std::vector<std::uint32_t> shards;
};

/// Decides which entry owns which part of the job identifiers.
///
/// The table in the key-value service names the owners; it changes by compare-and-swap only. Two
/// things keep an old owner and a new one from starting the same job: an owner's lease, which is
/// a majority's acknowledgements of its heartbeats and needs no key-value service, and a new
/// owner's wait for a majority that has acknowledged no heartbeat under an older table for longer
/// than a lease. docs/design/0001-at-most-once.md weighs the alternatives.
class ownership
{
public:
    explicit ownership(ownership_options options, instant now);

    // Events from other entries.
    void on_heartbeat(instant now, const std::string& from, const entry_beat& heartbeat);
    void on_heartbeat_ack(instant now, const std::string& from, const entry_beat_ack& ack);
    void on_table(instant now, const shard_table& table, const std::string& from);

    // Events from the key-value service.
    void on_store_table(instant now, const shard_table& table, std::int64_t revision);
    void on_store_entry(const std::string& name, std::optional<std::uint64_t> incarnation);
    /// The service's contents were read completely since the start.
    void on_store_read(instant now);
    /// @param swapped  whether the table was replaced; if not, on_store_table came first
    void on_swap_done(instant now, bool swapped, const table_swap& request, std::int64_t revision);
    /// The answer to a swap was lost; what it did shows in the table that is read next.
    void on_swap_unknown();

    void on_tick(instant now);
    /// Gives all shards away.
    void leave(instant now);
    void set_config_version(std::uint64_t version) { config_version_ = version; }

    /// @return whether this entry may start tasks of shards it owns.
    bool holds_lease(instant now) const;
    /// @return whether a majority, this entry included, says that leases under tables older than
    ///         this version are over.
    bool older_leases_expired(instant now, std::uint64_t version) const;
    shard_state state(std::uint32_t shard) const { return states_.at(shard); }
    const shard_table& table() const { return table_; }
    /// @return the entry that owns a shard; empty when none is known.
    std::string owner(std::uint32_t shard) const;
    std::uint64_t epoch(std::uint32_t shard) const;
    /// @return whether the entry's present incarnation was heard within a lease's time.
    bool heard_recently(instant now, const std::string& name) const;
    bool is_leaving(const std::string& name) const;
    std::size_t majority() const { return options_.entries.size() / 2 + 1; }

    /// Marks shards as served, after their records were recovered or handed over.
    void activate(const std::vector<std::uint32_t>& shards);
    /// @return shards owned here whose records must be recovered now; marks nothing.
    std::vector<std::uint32_t> shards_to_recover(instant now) const;
    /// @return shards that were served here and that another owner has without a planned transfer.
    std::vector<std::uint32_t> take_lost_shards() { return std::exchange(lost_shards_, {}); }
    std::vector<transferred_shards> take_transferred_shards()
    {
        return std::exchange(transferred_shards_, {});
    }
    std::vector<send_message> take_messages() { return std::exchange(messages_, {}); }
    std::optional<table_swap> take_swap() { return std::exchange(requested_swap_, std::nullopt); }

private:
    struct peer
    {
        std::uint64_t incarnation = 0;
        std::optional<instant> last_heard;
        bool leaving = false;
        /// When the newest acknowledged heartbeat was sent, by this process's clock.
        std::optional<instant> acknowledged;
        /// Newest table under which the peer says that older leases are over.
        std::uint64_t expired_before_version = 0;
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
    /// Whether the shard came from an entry that was heard at that time.
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
    /// The table last proposed; tells a transfer of this entry's own from a takeover.
    shard_table proposed_table_;
    std::vector<std::uint32_t> lost_shards_;
    std::vector<transferred_shards> transferred_shards_;
    std::vector<send_message> messages_;
};

} // namespace tarragonlock
