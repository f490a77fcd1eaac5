#include "tarragonlock/process/configuration_relay.hpp"

namespace tarragonlock
{

namespace
{

/// A document of 50 KB takes 200 ms on the slowest links of the users' machines (2 Mbit/s).
constexpr auto answer_limit = std::chrono::milliseconds(400);

} // namespace

void configuration_relay::take(const configuration_copy& copy)
{
    if (copy.version <= held_.version)
        return;
    held_ = copy;
    asked_.reset();
    std::erase_if(offers_, [this](const auto& offer) { return offer.second <= held_.version; });
}

void configuration_relay::on_notice(channel_id channel, std::uint64_t version)
{
    if (version > held_.version)
        offers_[channel] = version;
}

void configuration_relay::on_channel_lost(channel_id channel)
{
    offers_.erase(channel);
    if (asked_ == channel)
        asked_.reset();
}

std::optional<channel_id> configuration_relay::next_to_ask(instant now)
{
    if (offers_.empty() || (asked_ && now - asked_at_ < answer_limit))
        return std::nullopt;
    asked_ = offers_.begin()->first;
    asked_at_ = now;
    offers_.erase(offers_.begin());
    return asked_;
}

} // namespace tarragonlock
