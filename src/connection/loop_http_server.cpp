#include "connection/loop_http_server.hpp"

#include "common/guarded_call.hpp"
#include "connection/http_session.hpp"
#include "connection/loop_socket.hpp"
#include "tarragonlock/common/log.hpp"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <algorithm>
#include <map>
#include <set>

namespace tarragonlock
{

namespace
{

namespace asio = boost::asio;
using asio::ip::tcp;
using error_code = boost::system::error_code;

/// Longest header when the operators set no limit, in bytes.
constexpr std::uint32_t default_header_bytes = 16U << 10U;
/// Upper bounds of the operators' limits, in bytes.
constexpr std::uint32_t header_bytes_ceiling = 64U << 10U;
constexpr std::uint64_t body_bytes_ceiling = 6U << 20U;
constexpr duration default_header_interval = std::chrono::milliseconds(3000);
constexpr duration sweep_interval = std::chrono::milliseconds(500);
/// Time after which connections are accepted again when the system has no descriptor for one.
constexpr duration accept_pause = std::chrono::milliseconds(50);

class server : public loop_http_server, private http_session_owner
{
public:
    server(asio::io_context& loop, options settings, request_handler on_request,
           disconnect_handler on_disconnect)
        : settings_(std::move(settings)), on_request_(std::move(on_request)),
          on_disconnect_(std::move(on_disconnect)), acceptor_(loop), accept_timer_(loop),
          sweep_timer_(loop), configured_body_bytes_(settings_.max_body_bytes)
    {
        if (!settings_.gate)
            settings_.gate = std::make_shared<connection_gate>(connection_limits{});
    }

    ~server() override
    {
        // Removes them from the budget, which may outlive this server.
        const std::vector<std::shared_ptr<http_session>> open(sessions_.begin(), sessions_.end());
        for (const auto& each : open)
            each->close();
    }
    server(const server&) = delete;
    server& operator=(const server&) = delete;

    result<void> listen()
    {
        const auto listening = listen_at(acceptor_, settings_.listen);
        if (listening)
        {
            accept();
            swept_at_ = process_clock::now();
            sweep();
        }
        return listening;
    }

    void respond(http_request_id request, http_response reply) override
    {
        const auto found = pending_requests_.find(request);
        if (found == pending_requests_.end())
            return;
        const auto target = found->second;
        pending_requests_.erase(found);
        target->respond(reply, closing_);
    }

    void abandon(http_request_id request) override
    {
        const auto found = pending_requests_.find(request);
        if (found == pending_requests_.end())
            return;
        const auto target = found->second;
        pending_requests_.erase(found);
        target->abandon();
    }

    void stop_accepting() override
    {
        error_code ignored; // The server stops in any case.
        acceptor_.close(ignored);
        accept_timer_.cancel();
    }

    void close_after_responses() override { closing_ = true; }
    std::size_t connections() const override { return sessions_.size(); }

    std::size_t busy_connections() const override
    {
        return static_cast<std::size_t>(std::count_if(
            sessions_.begin(), sessions_.end(), [](const auto& each) { return each->is_busy(); }));
    }

    bool reserve(http_request_id request, std::uint64_t bytes) override
    {
        const auto found = pending_requests_.find(request);
        return found == pending_requests_.end() || found->second->reserve(bytes);
    }

    void set_limits(const client_limits& limits) override
    {
        settings_.max_body_bytes =
            limits.max_body_bytes > 0
                ? std::min<std::uint64_t>(limits.max_body_bytes, body_bytes_ceiling)
                : configured_body_bytes_;
        header_bytes_ = limits.max_header_bytes > 0
                            ? std::min(limits.max_header_bytes, header_bytes_ceiling)
                            : default_header_bytes;
        header_interval_ = limits.header_timeout_ms > 0
                               ? std::chrono::milliseconds(limits.header_timeout_ms)
                               : default_header_interval;
        idle_timeout_ = std::chrono::milliseconds(limits.idle_timeout_ms);
    }

private:
    http_request_id register_request(const std::shared_ptr<http_session>& from) override
    {
        pending_requests_[++last_request_id_] = from;
        return last_request_id_;
    }

    void handle(http_request_id id, http_request request) override
    {
        if (!guarded_call("request", [&] { on_request_(id, std::move(request)); }))
            respond(id, {500, "", "", 0});
    }

    void session_disconnected(http_request_id request) override
    {
        if (pending_requests_.erase(request) > 0 && on_disconnect_)
            guarded_call("disconnect", [&] { on_disconnect_(request); });
    }

    void session_closed(const std::shared_ptr<http_session>& closed) override
    {
        sessions_.erase(closed);
    }
    const options& settings() const override { return settings_; }
    connection_gate& gate() override { return *settings_.gate; }
    std::uint32_t header_bytes() const override { return header_bytes_; }
    duration header_interval() const override { return header_interval_; }
    duration idle_timeout() const override { return idle_timeout_; }
    instant running_time() const override { return running_time_; }

    void accept()
    {
        acceptor_.async_accept(
            [this](error_code error, tcp::socket socket)
            {
                if (error == asio::error::operation_aborted)
                    return;
                if (!error)
                {
                    set_connection_options(socket);
                    const auto opened = std::make_shared<http_session>(
                        static_cast<http_session_owner&>(*this), std::move(socket));
                    sessions_.insert(opened);
                    opened->start();
                    accept();
                    return;
                }
                log_event(log_level::warn, "accept_failed", {{"error", error.message()}});
                // Without a pause, a lack of descriptors would repeat the failure at once.
                accept_timer_.expires_after(accept_pause);
                accept_timer_.async_wait(
                    [this](error_code stopped)
                    {
                        if (!stopped)
                            accept();
                    });
            });
    }

    void sweep()
    {
        sweep_timer_.expires_after(sweep_interval);
        sweep_timer_.async_wait(
            [this](error_code stopped)
            {
                if (stopped)
                    return;
                const auto now = process_clock::now();
                running_time_ += std::min<duration>(now - swept_at_, 2 * sweep_interval);
                swept_at_ = now;
                const std::vector<std::shared_ptr<http_session>> open(sessions_.begin(),
                                                                      sessions_.end());
                // A transfer that began just before a sweep is not charged for the time before it.
                for (const auto& each : open)
                    each->check_progress(running_time_ - 2 * sweep_interval);
                sweep();
            });
    }

    options settings_;
    request_handler on_request_;
    disconnect_handler on_disconnect_;
    tcp::acceptor acceptor_;
    asio::steady_timer accept_timer_;
    asio::steady_timer sweep_timer_;
    std::uint64_t configured_body_bytes_;
    std::uint32_t header_bytes_ = default_header_bytes;
    duration header_interval_ = default_header_interval;
    duration idle_timeout_{};
    instant swept_at_;
    instant running_time_;
    std::set<std::shared_ptr<http_session>> sessions_;
    std::map<http_request_id, std::shared_ptr<http_session>> pending_requests_;
    http_request_id last_request_id_ = 0;
    bool closing_ = false;
};

} // namespace

result<std::unique_ptr<loop_http_server>> loop_http_server::open(asio::io_context& loop,
                                                                 options settings,
                                                                 request_handler on_request,
                                                                 disconnect_handler on_disconnect)
{
    auto opened = std::make_unique<server>(loop, std::move(settings), std::move(on_request),
                                           std::move(on_disconnect));
    if (const auto listening = opened->listen(); !listening)
        return listening.error();
    return std::unique_ptr<loop_http_server>(std::move(opened));
}

} // namespace tarragonlock
