#include "tarragonlock/process/evacuation_relay.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Time in which the other peers receive a state from the key-value service themselves, before
/// this process passes on the copy that it received.
constexpr auto copy_delay = std::chrono::milliseconds(500);

} // namespace

void evacuation_relay::check_peers_at(instant when)
{
    for (auto& [channel, peer] : peers_)
        peer.check_at = std::min(peer.check_at, when);
    next_check_ = std::min(next_check_, when);
}

bool evacuation_relay::on_snapshot(instant now, std::int64_t revision,
                                   std::set<std::string> failure_domains)
{
    const bool changed = tracker_.apply_snapshot(revision, std::move(failure_domains));
    check_peers_at(now);
    return changed;
}

bool evacuation_relay::on_change(instant now, std::int64_t revision,
                                 const std::string& failure_domain, bool evacuated)
{
    const bool changed = tracker_.apply_change(revision, failure_domain, evacuated);
    check_peers_at(now);
    return changed;
}

bool evacuation_relay::on_copy(instant now, channel_id channel, const evacuated_domains& copy)
{
    const evacuation_state received{copy.revision,
                                    {copy.failure_domains.begin(), copy.failure_domains.end()}};
    const bool changed = tracker_.apply_copy(received);
    if (changed)
        check_peers_at(now + copy_delay);
    if (const auto sender = peers_.find(channel); sender != peers_.end())
    {
        sender->second.known = received;
        sender->second.check_at = now;
        next_check_ = now;
    }
    return changed;
}

void evacuation_relay::on_channel_open(instant now, channel_id channel)
{
    peers_[channel] = {evacuation_state{}, now};
    next_check_ = now;
}

std::vector<std::pair<channel_id, evacuated_domains>> evacuation_relay::take_messages(instant now)
{
    std::vector<std::pair<channel_id, evacuated_domains>> messages;
    if (now < next_check_)
        return messages;
    next_check_ = instant::max();
    const auto& state = current();
    for (auto& [channel, peer] : peers_)
    {
        if (peer.check_at > now)
        {
            next_check_ = std::min(next_check_, peer.check_at);
            continue;
        }
        peer.check_at = instant::max();
        if (peer.known.revision() >= state.revision() ||
            peer.known.failure_domains() == state.failure_domains())
            continue;
        peer.known = state;
        messages.emplace_back(channel, evacuated_domains{state.revision(),
                                                         {state.failure_domains().begin(),
                                                          state.failure_domains().end()}});
    }
    return messages;
}

} // namespace tarragonlock
