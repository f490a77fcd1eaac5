#pragma once

#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/lease_message.hpp"
#include "tarragonlock/process/configuration_relay.hpp"
#include "tarragonlock/version/evacuation_state.hpp"

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace tarragonlock
{

/// Keeps the evacuated failure domains and decides which peers to inform of them.
///
/// Entries read them from the key-value service; agents receive them from entries, and inform
/// entries that the service does not answer. A peer is informed only if its domains differ, so
/// processes that never had an evacuated domain exchange nothing.
class evacuation_relay
{
public:
    const evacuation_state& current() const { return tracker_.current(); }
    /// The functions below that return a bool return whether the evacuated domains changed.
    bool on_snapshot(instant now, std::int64_t revision, std::set<std::string> failure_domains);
    bool on_change(instant now, std::int64_t revision, const std::string& failure_domain,
                   bool evacuated);
    bool on_copy(instant now, channel_id channel, const evacuated_domains& copy);
    void on_channel_open(instant now, channel_id channel);
    void on_channel_lost(channel_id channel) { peers_.erase(channel); }
    /// @return the messages to send now, by channel.
    std::vector<std::pair<channel_id, evacuated_domains>> take_messages(instant now);

private:
    struct peer
    {
        /// The newest state that the peer has sent or has been sent.
        evacuation_state known;
        /// When to compare the peer's state with the current one.
        instant check_at = instant::max();
    };

    void check_peers_at(instant when);

    evacuation_tracker tracker_;
    std::map<channel_id, peer> peers_;
    /// Lowest check_at of the peers, or earlier.
    instant next_check_ = instant::max();
};

} // namespace tarragonlock
