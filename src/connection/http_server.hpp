#pragma once

#include "connection/socket.hpp"
#include "tarragonlock/common/result.hpp"

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

namespace tarragonlock
{

/// An httplib server on its own thread, with the /healthz route that every process has.
class http_server
{
public:
    explicit http_server(std::size_t threads, std::size_t max_body_bytes)
    {
        server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        server_.set_payload_max_length(max_body_bytes);
        server_.set_tcp_nodelay(true);
        server_.set_keep_alive_max_count(1'000'000);
        server_.set_socket_options([this](int socket) { configure_socket(socket); });
        server_.Get("/healthz", [](const auto&, auto& response)
                    { response.set_content("ok\n", "text/plain"); });
    }
    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    httplib::Server& routes() { return server_; }

    /// Starts to serve requests. @return whether the server listens on the address
    bool start(const std::string& listen)
    {
        const auto colon = listen.rfind(':');
        if (!server_.bind_to_port(listen.substr(0, colon).c_str(),
                                  std::stoi(listen.substr(colon + 1))))
            return false;
        // The default backlog of 5 in httplib drops connections when many callers connect at once;
        // they retry only after a second.
        if (::listen(socket_, listen_backlog) != 0)
            return false;
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        return true;
    }

    /// Accepts no new requests and waits for those in progress.
    void stop()
    {
        if (!thread_.joinable())
            return;
        server_.stop();
        thread_.join();
    }

private:
    static constexpr int listen_backlog = 1024;

    /// Sets SO_REUSEADDR, which allows a restart on the same address, and not SO_REUSEPORT, which
    /// would allow two servers on it at once.
    void configure_socket(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        socket_ = socket;
    }

    httplib::Server server_;
    int socket_ = -1;
    std::thread thread_;
};

} // namespace tarragonlock
