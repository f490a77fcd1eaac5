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

/// Names a request that waits for its answer.
using http_request_id = std::uint64_t;

/// Serves HTTP/1.1 on an event loop: one small object a connection instead of a thread, since
/// callers keep connections open and wait on them.
class loop_http_server
{
public:
    struct options
    {
        /// Where to listen, as host:port with an IP number.
        std::string listen;
        /// Header whose value is handed on with each request; empty for none.
        std::string deadline_header;
        /// Longest body; a longer one is answered with 413.
        std::uint64_t max_body_bytes = 1U << 20U;
    };
    using request_handler = std::function<void(http_request_id, http_request)>;
    using disconnect_handler = std::function<void(http_request_id)>;

    /// Opens the listening socket.
    /// @param on_request  called for each request; respond() may be called within or later
    /// @param on_disconnect     called when the connection ends before the answer
    /// @return the server, or the system's error
    static result<std::unique_ptr<loop_http_server>> open(boost::asio::io_context& loop,
                                                          options settings,
                                                          request_handler on_request,
                                                          disconnect_handler on_disconnect);
    virtual ~loop_http_server() = default;
    loop_http_server() = default;
    loop_http_server(const loop_http_server&) = delete;
    loop_http_server& operator=(const loop_http_server&) = delete;

    /// Answers a request; ignored when its connection has ended.
    virtual void respond(http_request_id request, http_response reply) = 0;
    /// From now on each answer asks the client to close its connection.
    virtual void close_after_responses() = 0;
    virtual std::size_t connections() const = 0;
};

} // namespace tarragonlock
