#pragma once

#include "connection/socket.hpp"
#include "tarragonlock/common/result.hpp"

#include <httplib.h>

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <functional>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

namespace tarragonlock
{

/// Threads of an httplib server. When too many accepted connections wait for a thread, no more are
/// accepted; further ones stay in the listen backlog of the system.
class bounded_task_queue : public httplib::TaskQueue
{
public:
    /// @param stopping  set when the server stops, so that it never waits for room
    bounded_task_queue(std::size_t threads, std::size_t max_waiting,
                       const std::atomic<bool>& stopping)
        : max_waiting_(max_waiting), stopping_(stopping), pool_(threads)
    {
    }

    void enqueue(std::function<void()> task) override
    {
        std::unique_lock lock(mutex_);
        while (waiting_ >= max_waiting_ && !stopping_)
            room_.wait_for(lock, std::chrono::milliseconds(100));
        ++waiting_;
        lock.unlock();
        pool_.enqueue(
            [this, run = std::move(task)]
            {
                {
                    const std::lock_guard guard(mutex_);
                    --waiting_;
                }
                room_.notify_one();
                run();
            });
    }
    void shutdown() override { pool_.shutdown(); }

private:
    std::size_t max_waiting_;
    const std::atomic<bool>& stopping_;
    std::mutex mutex_;
    std::condition_variable room_;
    std::size_t waiting_ = 0;
    httplib::ThreadPool pool_;
};

/// An httplib server on its own thread, with the /healthz route that every process has.
class http_server
{
public:
    explicit http_server(std::size_t threads, std::size_t max_body_bytes)
    {
        server_.new_task_queue = [this, threads]
        { return new bounded_task_queue(threads, max_waiting_connections, stopping_); };
        server_.set_read_timeout(transfer_timeout);
        server_.set_write_timeout(transfer_timeout);
        server_.set_keep_alive_timeout(keep_alive_s);
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
        stopping_ = false;
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
        stopping_ = true;
        server_.stop();
        thread_.join();
    }

private:
    static constexpr int listen_backlog = 1024;
    /// Accepted connections that wait for a thread.
    static constexpr std::size_t max_waiting_connections = 1024;
    /// A client must send or read some bytes within this time.
    static constexpr std::chrono::seconds transfer_timeout{5};
    /// Time after which an idle connection is closed, in seconds; it occupies a thread.
    static constexpr std::time_t keep_alive_s = 5;

    /// Sets SO_REUSEADDR, which allows a restart on the same address, and not SO_REUSEPORT, which
    /// would allow two servers on it at once.
    void configure_socket(int socket)
    {
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        socket_ = socket;
    }

    std::atomic<bool> stopping_ = false;
    httplib::Server server_;
    int socket_ = -1;
    std::thread thread_;
};

} // namespace tarragonlock
