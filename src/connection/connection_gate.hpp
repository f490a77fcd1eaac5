#pragma once

#include "tarragonlock/connection/connection_budget.hpp"

#include <array>
#include <functional>
#include <map>
#include <mutex>
#include <string>

namespace tarragonlock
{

/// Why a request of a client was refused, or its connection closed.
enum class refusal_cause : std::uint8_t
{
    memory,       ///< clients held too much memory
    connections,  ///< clients held too many connections
    slow_request, ///< the client sent too slowly or stopped
    slow_reading, ///< the client did not read its response
    idle,         ///< the connection was idle for longer than allowed
    long_header,  ///< the header had too many bytes or fields
    long_body     ///< the body was too long
};
inline constexpr std::size_t refusal_cause_count = 7;

/// @return the name of the cause in logs and metrics
const char* name_of(refusal_cause cause);

/// The connection budget of a process, shared by all its listening ports and their threads. Closes
/// the connections that the budget names.
class connection_gate
{
public:
    using connection = connection_budget::connection;
    using close_handler = std::function<void(refusal_cause)>;

    explicit connection_gate(connection_limits limits) : budget_(limits) {}

    /// Adds a connection, and closes another one or this one when there are too many.
    /// @param on_refused  called after the gate has removed the connection, from the thread whose
    ///                    call exceeded the limit; has the connection's own thread close its socket
    /// @return the connection; is_open() tells whether it was closed at once
    connection open(close_handler on_refused, bool is_reserved = false);
    void close(connection id);
    bool is_open(connection id) const;
    /// As connection_budget::update(), then closes connections while a limit is exceeded.
    void update(connection id, connection_phase phase, std::uint64_t bytes);
    void on_progress(connection id);
    bool can_serve(std::uint64_t bytes) const;
    /// Counts a refusal, and logs it at most once in a second for each cause.
    void count(refusal_cause cause);
    /// @return number of refusals for a cause
    std::uint64_t count_of(refusal_cause cause) const;
    /// @return bytes that all connections hold
    std::uint64_t bytes() const;
    /// @return number of open connections
    std::size_t connections() const;

private:
    void enforce();

    mutable std::mutex mutex_;
    connection_budget budget_;
    std::map<connection, close_handler> handlers_;
    std::array<std::uint64_t, refusal_cause_count> counts_{};
    std::array<std::uint64_t, refusal_cause_count> logged_counts_{};
    std::array<instant, refusal_cause_count> logged_at_{};
};

} // namespace tarragonlock
