#pragma once

#include "connection/socket.hpp"
#include "tarragonlock/common/time.hpp"

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace tarragonlock
{

/// What a frame holds.
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

/// One TCP connection that carries acknowledged frames.
///
/// A frame is a 4-byte length, a kind, the number of data frames received so far from the other
/// end, and the payload.
class framed_connection
{
public:
    framed_connection(socket_handle socket, bool dialled, instant now);

    void queue(frame_kind kind, std::string_view payload, instant now);
    /// Writes what the socket takes. @return whether the connection is still good
    bool write();
    /// Reads what has arrived. @param frames  receives whole hello and data frames
    /// @return whether the connection is still good
    bool read(std::vector<frame>& frames, instant now);
    /// Queues an acknowledgement when one is due.
    void acknowledge(instant now, duration delay);

    /// @return whether the oldest unacknowledged frame is older than the limit.
    bool is_silent(instant now, duration limit) const;
    bool wants_write() const { return !output_.empty(); }
    std::size_t queued_bytes() const { return output_.size(); }
    int fd() const { return socket_.fd(); }
    bool dialled() const { return dialled_; }
    instant opened() const { return opened_; }
    std::uint64_t bytes_sent() const { return bytes_sent_; }
    std::uint64_t bytes_received() const { return bytes_received_; }

    /// The peer's name, once its hello has come.
    std::string peer;

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
