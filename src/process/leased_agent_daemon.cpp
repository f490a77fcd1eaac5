#include "process/leased_agent_daemon.hpp"

#include "common/guarded_call.hpp"
#include "process/leased_entry_daemon.hpp"
#include "process/metrics_text.hpp"
#include "process/settings_reload.hpp"
#include "tarragonlock/common/log.hpp"
#include "tarragonlock/connection/entry_dialling.hpp"

#include <absl/cleanup/cleanup.h>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Connect timeout; a host without power does not refuse the connection.
constexpr auto dial_timeout = milliseconds(200);
/// The process exits this long before the grace period of a shutdown ends.
constexpr auto shutdown_margin = milliseconds(300);
/// Time between ticks while tasks run. Short, because a start request without an answer delays its
/// job by its timeout and the time until the next tick.
constexpr auto busy_tick_interval = milliseconds(5);
/// Longest time for which a watch of the entries is held open; a lost one delays the connection to
/// a new entry by as much.
constexpr auto entry_watch_wait = std::chrono::seconds(4);
/// Longest announcement; workers send less than a kilobyte.
constexpr std::uint64_t max_announcement_bytes = 64U << 10U;

loop_store_options agent_store_options()
{
    loop_store_options options{entry_key_prefix};
    options.watch_wait = entry_watch_wait;
    return options;
}

} // namespace

leased_agent_daemon::leased_agent_daemon(boost::asio::io_context& loop,
                                         const leased_agent_settings& settings,
                                         leased_agent_protocols protocols)
    : loop_(loop), settings_(settings), protocols_(std::move(protocols)),
      gate_(std::make_shared<connection_gate>(
          connection_limits::of_host(settings.memory_mb, settings.max_fds))),
      host_({settings.name, static_cast<std::uint64_t>(wall_clock_now().count()),
             milliseconds(settings.execution_lease_ms), milliseconds(settings.caller_resend_ms),
             milliseconds(settings.announcement_lifetime_ms)}),
      store_(*protocols_.store, agent_store_options(),
             [this](const store_event& event) { on_store_event(event); }),
      process_(loop, {[this](instant now) { on_tick(now); }, [this](instant now) { on_stop(now); },
                      [this] { reload_settings(settings_); }, [this] { return metrics(); },
                      [this] { return !host_.idle(); }, busy_tick_interval})
{
    channels_ = frame_channels::create(loop,
                                       {[this](channel_id channel)
                                        {
                                            for (auto& [address, entry] : entries_)
                                                entry.open = entry.open || entry.channel == channel;
                                            host_.on_channel_open(process_clock::now(), channel);
                                            execute_effects();
                                        },
                                        [this](channel_id channel) { on_channel_lost(channel); },
                                        [this](channel_id channel, const lease_frame& frame)
                                        {
                                            const auto now = process_clock::now();
                                            for (const auto& body : frame)
                                                host_.on_message(now, channel, body);
                                            execute_effects();
                                        }},
                                       gate_);
    for (const auto& hint : settings_.entry_hints)
    {
        const auto host = hint.substr(0, hint.find(':'));
        entries_[host + ":" + std::to_string(settings_.peer_port)].hinted = true;
    }
}

result<std::unique_ptr<leased_agent_daemon>>
leased_agent_daemon::create(boost::asio::io_context& loop, const leased_agent_settings& settings,
                            leased_agent_protocols protocols)
{
    std::unique_ptr<leased_agent_daemon> daemon(
        new leased_agent_daemon(loop, settings, std::move(protocols)));
    if (const auto opened = daemon->open(); !opened)
        return opened.error();
    return daemon;
}

result<void> leased_agent_daemon::open()
{
    auto opened = loop_http_server::open(
        loop_, {settings_.listen_worker, "", max_announcement_bytes, gate_},
        [this](http_request_id id, const http_request& request)
        { on_announcement_request(id, request); },
        nullptr);
    if (!opened)
        return opened.error();
    announcements_ = std::move(opened).value();
    if (settings_.metrics_port > 0)
    {
        const auto served = process_.serve_metrics(
            settings_.host + ":" + std::to_string(settings_.metrics_port), gate_);
        if (!served)
            return served.error();
    }
    store_.on_tick(process_clock::now());
    return boost::outcome_v2::success();
}

void leased_agent_daemon::on_announcement_request(http_request_id id, const http_request& request)
{
    const auto now = process_clock::now();
    const auto& protocol = *protocols_.announcements;
    if (const auto leaving = protocol.leaving_worker(request))
    {
        host_.on_worker_left(now, *leaving);
        announcements_->respond(id, protocol.acknowledged());
        execute_effects();
        return;
    }
    const auto announced = protocol.decode(request);
    if (!announced)
    {
        ++malformed_announcements_;
        log_event(log_level::warn, "bad_announcement", {{"target", request.target}});
        announcements_->respond(id, {400, "", "", 0});
        return;
    }
    // A delayed announcement of an earlier worker process must not redirect the calls to its
    // address.
    if (host_.on_announcement(now, announced.value()))
        protocols_.worker->connect(announced.value().address);
    announcements_->respond(id, protocol.acknowledged());
    execute_effects();
}

void leased_agent_daemon::on_store_event(const store_event& event)
{
    if (const auto* snapshot = std::get_if<store_snapshot>(&event))
        registrations_.replace(snapshot->items);
    else if (const auto* change = std::get_if<store_change>(&event))
        registrations_.apply(*change);
    for (const auto& address : registrations_.addresses())
        entries_.try_emplace(address);
    dial_entries(process_clock::now());
}

void leased_agent_daemon::dial_entries(instant now)
{
    if (stopping_)
        return;
    for (auto item = entries_.begin(); item != entries_.end();)
    {
        auto& [address, entry] = *item;
        if (entry.open)
            entry.last_open = now;
        else if (entry.channel != 0 && now - entry.dialled_at > dial_timeout)
            channels_->close(std::exchange(entry.channel, 0));
        const auto action = next_dial(now, {registrations_.contains(address), entry.hinted,
                                            entry.channel != 0, entry.last_open, entry.dialled_at});
        if (action == dial_action::dial)
        {
            entry.dialled_at = now;
            entry.channel = channels_->dial(address);
        }
        item = action == dial_action::forget ? entries_.erase(item) : std::next(item);
    }
}

void leased_agent_daemon::on_channel_lost(channel_id channel)
{
    for (auto& [address, entry] : entries_)
    {
        if (entry.channel != channel)
            continue;
        entry.channel = 0;
        entry.open = false;
    }
    host_.on_channel_lost(process_clock::now(), channel);
    execute_effects();
}

void leased_agent_daemon::execute_effects()
{
    // Executing an effect may call handlers, which produce more effects; this loop executes them
    // too.
    if (std::exchange(executing_effects_, true))
        return;
    const absl::Cleanup reset = [this] { executing_effects_ = false; };
    host_.send_load_reports(process_clock::now());
    for (auto effects = host_.take_effects(); !effects.empty(); effects = host_.take_effects())
    {
        for (const auto& effect : effects)
            std::visit([this](const auto& body) { execute(body); }, effect);
    }
}

void leased_agent_daemon::execute(const start_request& request)
{
    protocols_.worker->start(request,
                             [this, run = request.run](start_reply reply, std::int64_t clock_ms)
                             {
                                 host_.on_start_reply(process_clock::now(), run, reply, clock_ms);
                                 execute_effects();
                             });
}

void leased_agent_daemon::execute(const stop_request& request)
{
    protocols_.worker->stop(request,
                            [this, run = request.run](stop_reply reply)
                            {
                                host_.on_stop_reply(process_clock::now(), run, reply);
                                execute_effects();
                            });
}

void leased_agent_daemon::execute(const renewal_request& request)
{
    protocols_.worker->renew(request,
                             [this, number = request.number](const renewal_reply& reply)
                             {
                                 host_.on_renewal_reply(process_clock::now(), number, reply);
                                 execute_effects();
                             });
}

void leased_agent_daemon::execute(const to_entry& message)
{
    channels_->send(message.channel, message.body);
}

void leased_agent_daemon::execute(const close_channel& closing)
{
    channels_->close(closing.channel);
    for (auto& [address, entry] : entries_)
    {
        if (entry.channel != closing.channel)
            continue;
        entry.channel = 0;
        entry.open = false;
    }
}

void leased_agent_daemon::on_tick(instant now)
{
    store_.on_tick(now);
    protocols_.worker->on_tick(now);
    host_.on_tick(now);
    execute_effects();
    dial_entries(now);
    if (!stopping_)
        return;
    const auto max_wait = std::chrono::seconds(settings_.grace_s) - shutdown_margin;
    if (host_.idle() || now - stop_requested_at_ >= max_wait)
        process_.stop();
}

void leased_agent_daemon::on_stop(instant now)
{
    stopping_ = true;
    stop_requested_at_ = now;
    host_.drain(now);
    execute_effects();
}

std::string leased_agent_daemon::metrics() const
{
    const auto& counts = host_.counters();
    return counter_text("tasks_placed_total", counts.placed) +
           counter_text("tasks_started_total", counts.started) +
           counter_text("tasks_done_total", counts.done) +
           counter_text("tasks_failed_total", counts.failed) +
           counter_text("tasks_returned_total", counts.returned) +
           counter_text("tasks_returned_for_evacuation_total", counts.returned_for_evacuation) +
           counter_text("tasks_stopped_total", counts.stopped) +
           counter_text("tasks_stalled_total", counts.stalled) +
           counter_text("tasks_restarted_before_departure_total", counts.departing) +
           counter_text("starts_unanswered_total", counts.unanswered_starts) +
           counter_text("renewals_total", counts.renewals) +
           counter_text("renewals_failed_total", counts.failed_renewals) +
           counter_text("entry_leases_over_total", counts.expired_entry_leases) +
           counter_text("malformed_announcements_total", malformed_announcements_) +
           counter_text("store_calls_total", store_.call_count()) +
           gauge_text("worker_slowness_percent",
                      static_cast<std::uint64_t>(host_.slowness(process_clock::now()) * 100.0)) +
           gauge_text("tasks_waiting", host_.waiting()) +
           gauge_text("tasks_running", host_.running()) +
           gauge_text("evacuated_domains", host_.evacuations().failure_domains().size()) +
           counter_text("log_lines_dropped_total", dropped_log_line_count()) +
           counter_text("unexpected_errors_total", unexpected_error_count()) +
           client_refusals_text(*gate_) + host_.levels().metrics();
}

} // namespace tarragonlock
