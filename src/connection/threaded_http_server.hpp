#pragma once

#include "connection/loop_http_server.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <memory>
#include <thread>

namespace tarragonlock
{

/// A loop_http_server on a thread of its own, for processes whose state belongs to another thread.
class threaded_http_server
{
public:
    using request_handler = std::function<void(http_request_id, const http_request&)>;

    /// Opens the listening socket. Requests are handled after start().
    /// @param on_request  called from the server's thread; must not block
    /// @return the server, or the system's error
    static result<std::unique_ptr<threaded_http_server>> open(loop_http_server::options settings,
                                                              request_handler on_request);
    ~threaded_http_server();
    threaded_http_server(const threaded_http_server&) = delete;
    threaded_http_server& operator=(const threaded_http_server&) = delete;

    /// Starts the thread; separate from open(), so that handlers may use the server.
    void start();
    /// Sends the response to a request; does nothing when its connection is closed. Any thread.
    void respond(http_request_id request, http_response reply);
    /// As loop_http_server::reserve(); only within on_request.
    bool reserve(http_request_id request, std::uint64_t bytes);
    /// Closes the connection of a request without a response; only within on_request.
    void abandon(http_request_id request);
    /// Accepts no new connections and waits for the responses to the requests in progress.
    /// @param max_wait  time after which requests without a response are dropped
    void stop(duration max_wait);

private:
    threaded_http_server() = default;
    void stop_when_idle(instant deadline);

    boost::asio::io_context loop_;
    boost::asio::steady_timer stop_timer_{loop_};
    std::unique_ptr<loop_http_server> server_;
    std::thread thread_;
};

} // namespace tarragonlock
