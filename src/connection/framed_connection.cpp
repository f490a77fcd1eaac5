#include "connection/framed_connection.hpp"

#include "tarragonlock/connection/codec.hpp"

#include <sys/socket.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace tarragonlock
{

namespace
{

constexpr std::size_t length_bytes = 4;
constexpr std::size_t header_bytes = length_bytes + 1 + 4;
constexpr std::size_t max_frame_bytes = max_message_bytes + header_bytes;
/// Longest first frame, which names the process that sends it.
constexpr std::size_t max_first_frame_bytes = 4U << 10U;
constexpr std::size_t read_chunk_bytes = 64U << 10U;
/// Reads of a socket in a row, so that a peer that sends on and on doesn't fill the memory before
/// its frames are parsed.
constexpr int max_reads = 4;

std::uint32_t load_uint32(const char* bytes)
{
    std::uint32_t number = 0;
    std::memcpy(&number, bytes, sizeof(number));
    return number;
}

void append_uint32(std::string& target, std::uint32_t number)
{
    std::array<char, sizeof(number)> bytes{};
    std::memcpy(bytes.data(), &number, sizeof(number));
    target.append(bytes.data(), bytes.size());
}

bool would_block()
{
    return errno == EAGAIN || errno == EWOULDBLOCK || errno == ENOTCONN;
}

} // namespace

framed_connection::framed_connection(socket_handle socket, bool dialled, instant now)
    : socket_(std::move(socket)), dialled_(dialled), opened_(now)
{
}

void framed_connection::queue(frame_kind kind, std::string_view payload, instant now)
{
    append_uint32(output_,
                  static_cast<std::uint32_t>(header_bytes - length_bytes + payload.size()));
    output_.push_back(static_cast<char>(kind));
    append_uint32(output_, frames_received_);
    output_.append(payload);
    acknowledged_to_peer_ = frames_received_;
    ack_due_since_.reset();
    if (kind == frame_kind::data)
        unacknowledged_.push_back(now);
}

bool framed_connection::write()
{
    while (!output_.empty())
    {
        const auto sent = send(socket_.fd(), output_.data(), output_.size(), MSG_NOSIGNAL);
        if (sent < 0)
            return would_block();
        bytes_sent_ += static_cast<std::uint64_t>(sent);
        output_.erase(0, static_cast<std::size_t>(sent));
    }
    if (output_.capacity() > read_chunk_bytes)
        output_.shrink_to_fit();
    return true;
}

bool framed_connection::read(std::vector<frame>& frames, instant now)
{
    std::array<char, read_chunk_bytes> chunk{};
    for (int reads = 0; reads < max_reads; ++reads)
    {
        const auto received = recv(socket_.fd(), chunk.data(), chunk.size(), 0);
        if (received == 0)
        {
            // Frames that arrived before the peer closed the connection are still valid.
            parse_frames(frames, now);
            return false;
        }
        if (received < 0)
            return would_block() && parse_frames(frames, now);
        bytes_received_ += static_cast<std::uint64_t>(received);
        input_.append(chunk.data(), static_cast<std::size_t>(received));
    }
    return parse_frames(frames, now);
}

bool framed_connection::parse_frames(std::vector<frame>& frames, instant now)
{
    std::size_t at = 0;
    while (input_.size() - at >= length_bytes)
    {
        const std::size_t length = load_uint32(input_.data() + at);
        if (length < header_bytes - length_bytes ||
            length > (peer.empty() ? max_first_frame_bytes : max_frame_bytes))
            return false;
        if (input_.size() - at - length_bytes < length)
            break;
        const char* body = input_.data() + at + length_bytes;
        const auto kind = static_cast<frame_kind>(body[0]);
        const auto acknowledged = load_uint32(body + 1);
        for (; acknowledged_by_peer_ != acknowledged; ++acknowledged_by_peer_)
        {
            if (unacknowledged_.empty())
                return false;
            unacknowledged_.pop_front();
        }
        if (kind == frame_kind::data)
        {
            ++frames_received_;
            if (!ack_due_since_)
                ack_due_since_ = now;
        }
        const std::size_t prefix_bytes = header_bytes - length_bytes;
        if (kind != frame_kind::ack)
            frames.push_back({kind, std::string(body + prefix_bytes, length - prefix_bytes)});
        at += length_bytes + length;
    }
    input_.erase(0, at);
    if (input_.empty() && input_.capacity() > read_chunk_bytes)
        input_.shrink_to_fit();
    return true;
}

void framed_connection::acknowledge(instant now, duration delay)
{
    if (ack_due_since_ && now - *ack_due_since_ >= delay)
        queue(frame_kind::ack, {}, now);
}

bool framed_connection::is_silent(instant now, duration limit) const
{
    return !unacknowledged_.empty() && now - unacknowledged_.front() > limit;
}

} // namespace tarragonlock
