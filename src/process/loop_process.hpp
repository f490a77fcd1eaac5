#pragma once

#include "connection/loop_http_server.hpp"
#include "process/stall_detector.hpp"
#include "tarragonlock/common/result.hpp"
#include "tarragonlock/common/time.hpp"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>

#include <functional>
#include <memory>
#include <string>

namespace tarragonlock
{

/// Common part of the leased-job daemons: an event loop with ticks, signals and a metrics server.
class loop_process
{
public:
    struct handlers
    {
        std::function<void(instant)> on_tick;
        /// Called on the first SIGTERM or SIGINT.
        std::function<void(instant)> on_stop;
        /// Called on SIGHUP.
        std::function<void()> on_reload;
        std::function<std::string()> metrics;
        /// @return whether jobs or tasks are in progress, which shortens the time between ticks.
        std::function<bool()> busy;
        /// Time between ticks while busy; limits the precision of timeouts.
        duration busy_tick_interval = std::chrono::milliseconds(20);
        /// Called when the process runs again after a stall, before it handles further input.
        std::function<void(instant)> on_stall = [](instant) {};
        /// Called once the input that arrived during the stall has been read.
        std::function<void(instant)> on_caught_up = [](instant) {};
    };

    loop_process(boost::asio::io_context& loop, handlers callbacks);

    /// Serves metrics over HTTP.
    /// @param address  host:port with an IP address
    /// @param gate     budget of the connections of clients
    result<void> serve_metrics(const std::string& address, std::shared_ptr<connection_gate> gate);
    /// Runs until stop().
    void run();
    void stop() { loop_.stop(); }
    /// To be used for the time of every event, since it also detects stalls of the process.
    /// @return the current time
    instant now();
    /// @return time for which the input that is being handled may have waited to be read.
    duration input_age(instant now) const { return now - stalls_.earliest_arrival(now); }

private:
    void run_one_event();
    void schedule_tick();
    void wait_for_signal();

    boost::asio::io_context& loop_;
    handlers handlers_;
    stall_detector stalls_;
    boost::asio::steady_timer timer_;
    boost::asio::signal_set signals_;
    std::unique_ptr<loop_http_server> metrics_;
    bool stopping_ = false;
};

} // namespace tarragonlock
