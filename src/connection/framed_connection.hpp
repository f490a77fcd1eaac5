#pragma once

#include "connection/socket.hpp"
#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/connection_budget.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock
{

/// Type of a frame.
enum class frame_kind : std::uint8_t
{
    hello,
    data,
    ack
};

struct frame
{
    frame_kind kind = frame_kind::data;
    std::string payload;
};

/// One TCP connection with acknowledged frames.
///
/// A frame consists of the length of what follows in 4 bytes, the kind in 1 byte, the number of
/// data frames received so far from the peer in 4 bytes, and the payload.
class framed_connection
{
public:
    framed_connection(socket_handle socket, bool dialled, instant now);

    void queue(frame_kind kind, std::string_view payload, instant now);
    /// Writes as much as the socket accepts. @return whether the connection is still usable
    bool write();
    /// Reads what has arrived, at most a few hundred kilobytes at once.
    /// @param frames  receives complete hello and data frames
    /// @return whether the connection is still usable
    bool read(std::vector<frame>& frames, instant now);
    /// Queues an acknowledgement if a received frame has been unacknowledged for the delay.
    void acknowledge(instant now, duration delay);

    /// @return whether the oldest frame that the peer has not acknowledged is older than the limit.
    bool is_silent(instant now, duration limit) const;
    bool wants_write() const { return !output_.empty(); }
    std::size_t queued_bytes() const { return output_.size(); }
    /// @return what the connection holds
    channel_load load() const { return {!peer.empty(), input_.size(), output_.size()}; }
    std::uint64_t allocated_bytes() const { return input_.capacity() + output_.capacity(); }
    int fd() const { return socket_.fd(); }
    bool dialled() const { return dialled_; }
    instant opened() const { return opened_; }
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

    /// Name of the peer; empty until its hello has been received.
    std::string peer;
    /// Identifies an accepted connection in the budget of the process.
    std::optional<std::uint64_t> client;

private:
    bool parse_frames(std::vector<frame>& frames, instant now);

    socket_handle socket_;
    bool dialled_;
    instant opened_;
    std::string input_;
    std::string output_;
    std::uint32_t frames_received_ = 0;
    std::uint32_t acknowledged_to_peer_ = 0;
    std::optional<instant> ack_due_since_;
    std::uint32_t acknowledged_by_peer_ = 0;
    /// When each unacknowledged data frame was queued.
    std::deque<instant> unacknowledged_;
    std::uint64_t bytes_sent_ = 0;
    std::uint64_t bytes_received_ = 0;
};

} // namespace tarragonlock
