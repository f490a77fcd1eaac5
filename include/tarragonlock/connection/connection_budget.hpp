#pragma once

#include "tarragonlock/common/time.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace tarragonlock
{

/// What all connections of clients to a process may hold together.
struct connection_limits
{
    /// Bytes of requests and unread responses, as allocated.
    std::uint64_t max_bytes = 40U << 20U;
    std::size_t max_connections = 3772;
    /// Part of max_connections that only the readiness port may use.
    std::size_t reserved_connections = 16;

    /// Limits of a process on a host with this memory and number of descriptors.
    /// @param memory_mb  memory of the host, in MiB
    /// @param max_fds    limit of open descriptors of the process
    static connection_limits of_host(std::uint64_t memory_mb, std::size_t max_fds);
    friend bool operator==(const connection_limits&, const connection_limits&) = default;
};

/// What a connection of a client does.
enum class connection_phase : std::uint8_t
{
    idle,      ///< no byte of the next request has arrived
    receiving, ///< a request is incomplete
    serving,   ///< a whole request waits for its response
    sending    ///< the client has not read the whole response
};

/// What a channel to another process of the system holds at this end.
struct channel_load
{
    /// Whether its peer has sent a valid first frame.
    bool introduced = false;
    /// Bytes of an incomplete frame.
    std::uint64_t unread = 0;
    /// Bytes that the peer has not accepted yet.
    std::uint64_t unsent = 0;
    friend bool operator==(const channel_load&, const channel_load&) = default;
};

/// Decides as what a channel counts. Load pattern: clients that imitate a process of the system,
/// and then stop inside a long frame or read nothing. Processes of the system hold little at a
/// channel, or for a short time, so that others are closed before theirs.
/// @return receiving or sending, which the budget may close, or serving
connection_phase phase_of(const channel_load& load);

/// Decides which connections of clients a process closes when they hold too much memory or too many
/// descriptors. Load pattern: many clients that send large requests and stop short of the end,
/// or open connections and send nothing, beside clients that hand in work.
class connection_budget
{
public:
    using connection = std::uint64_t;
    enum class limit : std::uint8_t
    {
        memory,
        connections
    };
    struct closing
    {
        connection id = 0;
        limit exceeded = limit::memory;
        friend bool operator==(const closing&, const closing&) = default;
    };

    explicit connection_budget(connection_limits limits) : limits_(limits) {}

    /// Adds an idle connection.
    /// @param is_reserved  whether it may use the reserved connections
    connection open(instant now, bool is_reserved = false);
    void close(connection id);
    /// Sets what a connection does and holds; a change of the phase is progress.
    /// @param bytes  everything allocated for the connection
    void update(connection id, connection_phase phase, std::uint64_t bytes, instant now);
    /// The client has sent or read some bytes.
    void on_progress(connection id, instant now);
    /// @return whether a request of this size may be served beside those that are being served
    bool can_serve(std::uint64_t bytes) const { return served_bytes_ + bytes <= limits_.max_bytes; }
    /// @return the connection to be closed while a limit is exceeded: the one with the greatest
    ///         product of bytes held and time without progress. Never one that is being served.
    std::optional<closing> next_to_close(instant now) const;

    std::uint64_t bytes() const { return bytes_; }
    std::size_t connections() const { return connections_.size(); }

private:
    struct state
    {
        bool is_reserved = false;
        connection_phase phase = connection_phase::idle;
        std::uint64_t bytes = 0;
        instant last_progress;
    };

    std::optional<connection> costliest(instant now, bool with_reserved) const;
    void add_bytes(const state& of);
    void subtract_bytes(const state& of);

    connection_limits limits_;
    std::map<connection, state> connections_;
    connection last_id_ = 0;
    std::uint64_t bytes_ = 0;
    /// Part of bytes_ that belongs to requests being served.
    std::uint64_t served_bytes_ = 0;
    std::size_t unreserved_connections_ = 0;
};

/// Detects a client that makes less progress than a minimum within an interval. The whole transfer
/// may take any time. Load pattern: clients that send or read a few bytes at a time, or stop.
class transfer_progress
{
public:
    /// Starts a transfer, or a part of it with another minimum.
    void begin(instant now);
    /// @param bytes      bytes that were transferred
    /// @param min_bytes  minimum of bytes in an interval
    void add(instant now, std::size_t bytes, std::size_t min_bytes);
    bool is_overdue(instant now, duration interval) const { return now - since_ > interval; }

private:
    instant since_;
    std::size_t bytes_ = 0;
};

} // namespace tarragonlock
