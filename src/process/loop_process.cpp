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

result<void> loop_process::serve_metrics(const std::string& address,
                                         std::shared_ptr<connection_gate> gate)
{
    auto opened = loop_http_server::open(
        loop_, {address, "", 4096, std::move(gate)},
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
    while (!loop_.stopped())
        guarded_call("event loop", [this] { run_one_event(); });
    log_event(log_level::info, "stopped");
}

void loop_process::run_one_event()
{
    if (!stalls_.has_backlog())
        loop_.run_one();
    else if (loop_.poll_one() == 0)
    {
        stalls_.on_input_read();
        handlers_.on_caught_up(process_clock::now());
    }
    now();
}

instant loop_process::now()
{
    const auto time = process_clock::now();
    const bool had_backlog = stalls_.has_backlog();
    if (stalls_.on_activity(time))
    {
        log_event(
            log_level::warn, "stalled",
            {{"ms", std::chrono::duration_cast<std::chrono::milliseconds>(stalls_.last_stall())
                        .count()}});
        handlers_.on_stall(time);
    }
    else if (had_backlog && !stalls_.has_backlog())
        handlers_.on_caught_up(time);
    return time;
}

void loop_process::schedule_tick()
{
    timer_.expires_after(handlers_.busy() ? handlers_.busy_tick_interval : idle_tick_interval);
    timer_.async_wait(
        [this](boost::system::error_code error)
        {
            if (error)
                return;
            guarded_call("tick", [this] { handlers_.on_tick(now()); });
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
                guarded_call("stop", [this] { handlers_.on_stop(now()); });
            }
            wait_for_signal();
        });
}

} // namespace tarragonlock
