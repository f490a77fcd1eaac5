#pragma once

#include "connection/connection_gate.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/lease_message.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace tarragonlock
{

/// Sends and receives frames of messages between an entry and its agents over TCP, on an event
/// loop. Messages sent during one iteration of the loop are combined into one frame. The user of
/// this class detects from the received messages whether a peer is alive.
class frame_channels
{
public:
    using channel = std::uint64_t;
    struct handlers
    {
        std::function<void(channel)> on_open;
        std::function<void(channel)> on_lost;
        std::function<void(channel, lease_frame)> on_frame;
    };

    /// @param gate  budget of the process; counts accepted channels by phase_of(), and closes those
    ///              that count as clients; without one the channels have their own
    static std::unique_ptr<frame_channels> create(boost::asio::io_context& loop, handlers events,
                                                  std::shared_ptr<connection_gate> gate = nullptr);
    virtual ~frame_channels() = default;
    frame_channels() = default;
    frame_channels(const frame_channels&) = delete;
    frame_channels& operator=(const frame_channels&) = delete;

    /// Starts to accept channels.
    /// @return nothing, link_error::bad_address, or the system's error
    virtual result<void> listen(const std::string& address) = 0;
    /// Opens a channel; on_open or on_lost is called later.
    virtual channel dial(const std::string& address) = 0;
    virtual void send(channel id, lease_message body) = 0;
    /// Closes a channel without calling on_lost.
    virtual void close(channel id) = 0;
};

} // namespace tarragonlock
