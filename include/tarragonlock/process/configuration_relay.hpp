#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <map>
#include <optional>

namespace tarragonlock
{

/// Names a channel of this process.
using channel_id = std::uint64_t;

/// Keeps the newest configuration and decides which peer to ask for a newer one.
///
/// Every process tells its version on each new channel, so a process that starts hears of the same
/// version from all its peers at a time. It asks one of them, and the next one when no answer
/// comes.
class configuration_relay
{
public:
    const configuration_copy& current() const { return current_; }
    /// Takes a document if it is newer.
    void store_if_newer(const configuration_copy& copy);
    /// Notes that a peer has a version.
    void on_notice(channel_id channel, std::uint64_t version);
    void on_channel_lost(channel_id channel);
    /// @return the peer to ask now, if any; it counts as asked
    std::optional<channel_id> next_peer_to_ask(instant now);

private:
    configuration_copy current_;
    /// Newer versions that peers have and were not asked for.
    std::map<channel_id, std::uint64_t> newer_versions_;
    /// The peer that was asked last, until its answer comes.
    std::optional<channel_id> asked_peer_;
    instant asked_at_;
};

} // namespace tarragonlock
