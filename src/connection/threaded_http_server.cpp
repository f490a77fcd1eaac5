#include "connection/threaded_http_server.hpp"

#include "common/guarded_call.hpp"

#include <boost/asio/post.hpp>

namespace tarragonlock
{

namespace
{

/// Interval in which a stopping server looks for requests in progress.
constexpr auto stop_poll_interval = std::chrono::milliseconds(10);

} // namespace

result<std::unique_ptr<threaded_http_server>>
threaded_http_server::open(loop_http_server::options settings, request_handler on_request)
{
    std::unique_ptr<threaded_http_server> opened(new threaded_http_server);
    auto server = loop_http_server::open(
        opened->loop_, std::move(settings),
        [handle = std::move(on_request)](http_request_id id, const http_request& request)
        { handle(id, request); },
        nullptr);
    if (!server)
        return server.error();
    opened->server_ = std::move(server).value();
    return opened;
}

void threaded_http_server::start()
{
    thread_ = std::thread(
        [this]
        {
            while (!loop_.stopped())
                guarded_call("http event", [this] { loop_.run(); });
        });
}

threaded_http_server::~threaded_http_server()
{
    loop_.stop();
    if (thread_.joinable())
        thread_.join();
}

void threaded_http_server::respond(http_request_id request, http_response reply)
{
    boost::asio::post(loop_, [this, request, answered = std::move(reply)]() mutable
                      { server_->respond(request, std::move(answered)); });
}

bool threaded_http_server::reserve(http_request_id request, std::uint64_t bytes)
{
    return server_->reserve(request, bytes);
}

void threaded_http_server::abandon(http_request_id request)
{
    server_->abandon(request);
}

void threaded_http_server::stop(duration max_wait)
{
    if (!thread_.joinable())
        return;
    boost::asio::post(loop_,
                      [this, deadline = process_clock::now() + max_wait]
                      {
                          server_->stop_accepting();
                          server_->close_after_responses();
                          stop_when_idle(deadline);
                      });
    thread_.join();
}

void threaded_http_server::stop_when_idle(instant deadline)
{
    if (server_->busy_connections() == 0 || process_clock::now() >= deadline)
    {
        loop_.stop();
        return;
    }
    stop_timer_.expires_after(stop_poll_interval);
    stop_timer_.async_wait(
        [this, deadline](boost::system::error_code error)
        {
            if (!error)
                stop_when_idle(deadline);
        });
}

} // namespace tarragonlock
