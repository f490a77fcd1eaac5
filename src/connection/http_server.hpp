#pragma once

#include "connection/socket.hpp"
#include "tarragonlock/common/result.hpp"

#include <httplib.h>

#include <memory>
#include <string>
#include <thread>

namespace tarragonlock
{

/// An httplib server on a thread of its own, with the routes every process has.
class http_server
{
public:
    explicit http_server(std::size_t threads, std::size_t max_body_bytes)
    {
        server_.new_task_queue = [threads] { return new httplib::ThreadPool(threads); };
        server_.set_payload_max_length(max_body_bytes);
        server_.set_tcp_nodelay(true);
        server_.set_keep_alive_max_count(1'000'000);
        server_.Get("/healthz", [](const auto&, auto& response)
                    { response.set_content("ok\n", "text/plain"); });
    }
    ~http_server() { stop(); }
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;

    httplib::Server& routes() { return server_; }

    /// Starts to serve. @return whether the address could be bound
    bool start(const std::string& listen)
    {
        const auto colon = listen.rfind(':');
        if (!server_.bind_to_port(listen.substr(0, colon).c_str(),
                                  std::stoi(listen.substr(colon + 1))))
            return false;
        thread_ = std::thread([this] { server_.listen_after_bind(); });
        return true;
    }

    /// Takes no new requests and waits for those in progress.
    void stop()
    {
        if (!thread_.joinable())
            return;
        server_.stop();
        thread_.join();
    }

private:
    httplib::Server server_;
    std::thread thread_;
};

} // namespace tarragonlock
