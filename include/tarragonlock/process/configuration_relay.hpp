#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <map>
#include <optional>
#include <vector>

namespace tarragonlock
{

/// Identifies a channel of this process.
using channel_id = std::uint64_t;

/// Keeps the newest configuration and decides which peer to ask for a newer one.
///
/// Every process sends its version on each new channel, so a process that starts receives the same
/// version number from all its peers at about the same time. It requests the document from one of
/// them, and from the next one when no answer arrives in time. Later, a process whose store does
/// not answer it learns of a new version from the peers that have it.
class configuration_relay
{
public:
    const configuration_copy& current() const { return current_; }
    /// Stores a document if it is newer than the current one.
    void store_if_newer(instant now, const configuration_copy& copy);
    /// Records a peer that is sent the current version now.
    void on_channel_open(channel_id channel);
    /// Records the version that a peer has.
    void on_notice(channel_id channel, std::uint64_t version);
    void on_channel_lost(channel_id channel);
    /// Answers a peer's request for the document. A channel loses nothing, so a peer that has been
    /// sent the current version on it needs no other copy.
    /// @return the copy to send, or nothing if the channel has been sent this version
    std::optional<configuration_copy> copy_for(channel_id channel);
    /// Chooses a peer to request the document from, and marks it as asked.
    /// @return the peer, or nothing when none has a newer version or an answer is still awaited
    std::optional<channel_id> next_peer_to_ask(instant now);
    /// Chooses the peers to notify of the current version, each once a version: those that
    /// have not announced it some time after this process received it.
    std::vector<channel_id> take_peers_to_notify(instant now);

private:
    configuration_copy current_;
    /// Newer versions that peers have and that have not been requested from them.
    std::map<channel_id, std::uint64_t> newer_versions_;
    /// The peer that was asked last, until its answer arrives or its channel is lost.
    std::optional<channel_id> asked_peer_;
    instant asked_at_;
    instant stored_at_;
    /// Highest version that each peer has announced or has been notified of.
    std::map<channel_id, std::uint64_t> peer_versions_;
    /// Version of the last copy sent on each channel.
    std::map<channel_id, std::uint64_t> sent_versions_;
    /// Whether take_peers_to_notify() has been called in time for the current version.
    bool peers_notified_ = true;
};

} // namespace tarragonlock
