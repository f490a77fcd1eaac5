#pragma once

#include "connection/connection_gate.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/http_message.hpp"
#include "tarragonlock/version/client_limits.hpp"

#include <boost/asio/io_context.hpp>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace tarragonlock
{

/// Identifies a request that waits for its response.
using http_request_id = std::uint64_t;

/// HTTP/1.1 server on an event loop. A connection needs one small object instead of a thread, since
/// callers keep many connections open while they wait for responses.
class loop_http_server
{
public:
    struct options
    {
        /// Address to listen on, as host:port with an IPv4 address.
        std::string listen;
        /// Name of the header whose value is passed on with each request; empty for none.
        std::string deadline_header;
        /// Longest request body; a longer one is rejected with status 413.
        std::uint64_t max_body_bytes = 1U << 20U;
        /// Budget shared by the listening ports of a process; without one the server has its own.
        std::shared_ptr<connection_gate> gate;
        /// Whether clients may use the reserved connections of the budget.
        bool is_reserved = false;
    };
    using request_handler = std::function<void(http_request_id, http_request)>;
    using disconnect_handler = std::function<void(http_request_id)>;

    /// Opens the listening socket.
    /// @param on_request     called for each request; respond() may be called within it or later
    /// @param on_disconnect  called when the connection is closed before the response
    /// @return the server, or the system's error
    static result<std::unique_ptr<loop_http_server>> open(boost::asio::io_context& loop,
                                                          options settings,
                                                          request_handler on_request,
                                                          disconnect_handler on_disconnect);
    virtual ~loop_http_server() = default;
    loop_http_server() = default;
    loop_http_server(const loop_http_server&) = delete;
    loop_http_server& operator=(const loop_http_server&) = delete;

    /// Sends the response to a request; does nothing when its connection is closed.
    virtual void respond(http_request_id request, http_response reply) = 0;
    /// Closes the connection of a request without a response.
    virtual void abandon(http_request_id request) = 0;
    /// Accepts no more connections.
    virtual void stop_accepting() = 0;
    /// Makes all further responses close their connection (Connection: close).
    virtual void close_after_responses() = 0;
    virtual std::size_t connections() const = 0;
    /// @return number of connections whose request or response is in progress
    virtual std::size_t busy_connections() const = 0;
    /// Counts memory that a request occupies until its response.
    /// @return whether the budget of the process has room for it; if not, refuse the request
    virtual bool reserve(http_request_id request, std::uint64_t bytes) = 0;
    /// Applies the operators' limits where they set any, from the next request on.
    virtual void set_limits(const client_limits& limits) = 0;
};

} // namespace tarragonlock
