#include "process/loop_process.hpp"

#include "common/guarded_call.hpp"
#include "tarragonlock/common/log.hpp"

#include <csignal>

namespace tarragonlock
{

namespace
{

/// Time between ticks while no jobs or tasks are in progress.
constexpr duration idle_tick_interval = std::chrono::milliseconds(50);

} // namespace

loop_process::loop_process(boost::asio::io_context& loop, handlers callbacks)
    : loop_(loop), handlers_(std::move(callbacks)), timer_(loop), signals_(loop)
{
    signals_.add(SIGTERM);
    signals_.add(SIGINT);
    signals_.add(SIGHUP);
    std::signal(SIGPIPE, SIG_IGN);
}

result<void> loop_process::serve_metrics(const std::string& address)
{
    auto opened = loop_http_server::open(
        loop_, {address, "", 4096},
        [this](http_request_id id, const http_request&) {
            metrics_->respond(id, {200, handlers_.metrics(), "text/plain; version=0.0.4", 0});
        },
        nullptr);
    if (!opened)
        return opened.error();
    metrics_ = std::move(opened).value();
    return boost::outcome_v2::success();
}

void loop_process::run()
{
    log_event(log_level::info, "started");
    wait_for_signal();
    schedule_tick();
    while (!guarded_call("event loop", [this] { loop_.run(); }))
    {
        // The loop continues with the next event.
    }
    log_event(log_level::info, "stopped");
}

void loop_process::schedule_tick()
{
    timer_.expires_after(handlers_.busy() ? handlers_.busy_tick_interval : idle_tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            guarded_call("tick", [this] { handlers_.on_tick(process_clock::now()); });
            schedule_tick();
        });
}

void loop_process::wait_for_signal()
{
    signals_.async_wait(
        [this](boost::system::error_code error, int signal)
        {
            if (error)
                return;
            if (signal == SIGHUP)
            {
                log_event(log_level::info, "reload_requested");
                guarded_call("reload", handlers_.on_reload);
            }
            else if (!std::exchange(stopping_, true))
            {
                log_event(log_level::info, "stop_requested");
                guarded_call("stop", [this] { handlers_.on_stop(process_clock::now()); });
            }
            wait_for_signal();
        });
}

} // namespace tarragonlock
