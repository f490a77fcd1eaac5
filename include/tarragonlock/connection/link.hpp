#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/common/time.hpp"
#include "tarragonlock/connection/message.hpp"

#include <functional>
#include <memory>
#include <string>
#include <variant>

namespace tarragonlock
{

class connection_gate;

/// Reasons why a link cannot be opened.
enum class link_error
{
    bad_address = 1,
    cannot_listen
};

std::error_code make_error_code(link_error error);

struct peer_connected
{
    process_identity peer;
};

/// Messages sent to this peer since peer_connected may not have arrived.
struct peer_lost
{
    std::string peer;
};

struct message_received
{
    std::string from;
    message body;
};

using link_event = std::variant<peer_connected, peer_lost, message_received>;

struct link_options
{
    process_identity self;
    /// Address to accept connections on, as host:port with an IPv4 address.
    std::string listen;
    /// Age of the oldest unacknowledged frame above which a connection counts as silent and is
    /// replaced.
    duration silence_limit = std::chrono::milliseconds(600);
    /// Longest delay before received frames are acknowledged in a frame without data.
    duration ack_delay = std::chrono::milliseconds(50);
    duration redial_interval = std::chrono::milliseconds(200);
    std::size_t max_queued_bytes = 64U << 20U;
    /// Budget of the process; counts accepted connections by phase_of(). Without one the link has
    /// its own.
    std::shared_ptr<connection_gate> gate;
};

/// Counters that are exported on /metrics.
struct link_counters
{
    std::uint64_t frames_sent = 0;
    std::uint64_t frames_received = 0;
    std::uint64_t bytes_sent = 0;
    std::uint64_t bytes_received = 0;
    std::uint64_t silent_connections = 0;
    std::uint64_t dropped_frames = 0;
};

/// Sends messages to other processes over TCP, in order, on one connection for each peer.
///
/// A dedicated thread owns all sockets. Every frame is acknowledged; a connection whose frames are
/// not acknowledged in time is closed and replaced by a new one, because a network device on the
/// path may have dropped its state of the connection. A message either arrives or peer_lost is
/// reported.
class link
{
public:
    using event_handler = std::function<void(link_event)>;

    /// Opens the listening socket and starts the thread.
    /// @param on_event  called from the link's thread; must not block
    /// @return the link, or a link_error
    static result<std::unique_ptr<link>> open(link_options options, event_handler on_event);

    virtual ~link() = default;
    link() = default;
    link(const link&) = delete;
    link& operator=(const link&) = delete;

    /// Opens a connection from this process to a peer and reopens it whenever it is lost.
    virtual void keep_connected(const std::string& peer, const std::string& address) = 0;
    virtual void send(const std::string& peer, message body) = 0;
    virtual link_counters counters() const = 0;
};

} // namespace tarragonlock

template<>
struct std::is_error_code_enum<tarragonlock::link_error> : std::true_type
{
};
