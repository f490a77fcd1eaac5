#pragma once

#include "tarragonlock/common/result.hpp"
#include "tarragonlock/connection/http_message.hpp"

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
    /// Makes all further responses close their connection (Connection: close).
    virtual void close_after_responses() = 0;
    virtual std::size_t connections() const = 0;
};

} // namespace tarragonlock
