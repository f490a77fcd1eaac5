#include "tarragonlock/process/configuration_relay.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// A document of 50 KB takes 200 ms on the slowest links in use (2 Mbit/s).
constexpr auto answer_timeout = std::chrono::milliseconds(400);

/// Time in which peers receive a new version from the store and announce it.
constexpr auto notice_delay = std::chrono::milliseconds(500);

} // namespace

void configuration_relay::store_if_newer(instant now, const configuration_copy& copy)
{
    if (copy.version <= current_.version)
        return;
    current_ = copy;
    stored_at_ = now;
    peers_notified_ = false;
    asked_peer_.reset();
    std::erase_if(newer_versions_, [this](const auto& peer_version)
                  { return peer_version.second <= current_.version; });
}

void configuration_relay::on_channel_open(channel_id channel)
{
    peer_versions_[channel] = current_.version;
}

void configuration_relay::on_notice(channel_id channel, std::uint64_t version)
{
    auto& known = peer_versions_[channel];
    known = std::max(known, version);
    if (version > current_.version)
        newer_versions_[channel] = version;
}

void configuration_relay::on_channel_lost(channel_id channel)
{
    newer_versions_.erase(channel);
    peer_versions_.erase(channel);
    sent_versions_.erase(channel);
    if (asked_peer_ == channel)
        asked_peer_.reset();
}

std::optional<configuration_copy> configuration_relay::copy_for(channel_id channel)
{
    auto& sent = sent_versions_[channel];
    if (current_.version == 0 || sent == current_.version)
        return std::nullopt;
    sent = current_.version;
    return current_;
}

std::optional<channel_id> configuration_relay::next_peer_to_ask(instant now)
{
    if (newer_versions_.empty() || (asked_peer_ && now - asked_at_ < answer_timeout))
        return std::nullopt;
    asked_peer_ = newer_versions_.begin()->first;
    asked_at_ = now;
    newer_versions_.erase(newer_versions_.begin());
    return asked_peer_;
}

std::vector<channel_id> configuration_relay::take_peers_to_notify(instant now)
{
    std::vector<channel_id> outdated;
    if (peers_notified_ || now - stored_at_ < notice_delay)
        return outdated;
    peers_notified_ = true;
    for (auto& [channel, version] : peer_versions_)
    {
        if (std::exchange(version, std::max(version, current_.version)) < current_.version)
            outdated.push_back(channel);
    }
    return outdated;
}

} // namespace tarragonlock
