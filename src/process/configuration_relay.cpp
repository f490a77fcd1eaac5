#include "tarragonlock/process/configuration_relay.hpp"

namespace tarragonlock
{

namespace
{

/// A document of 50 KB takes 200 ms on the slowest links in use (2 Mbit/s).
constexpr auto answer_timeout = std::chrono::milliseconds(400);

} // namespace

void configuration_relay::store_if_newer(const configuration_copy& copy)
{
    if (copy.version <= current_.version)
        return;
    current_ = copy;
    asked_peer_.reset();
    std::erase_if(newer_versions_, [this](const auto& peer_version)
                  { return peer_version.second <= current_.version; });
}

void configuration_relay::on_notice(channel_id channel, std::uint64_t version)
{
    if (version > current_.version)
        newer_versions_[channel] = version;
}

void configuration_relay::on_channel_lost(channel_id channel)
{
    newer_versions_.erase(channel);
    if (asked_peer_ == channel)
        asked_peer_.reset();
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

} // namespace tarragonlock
