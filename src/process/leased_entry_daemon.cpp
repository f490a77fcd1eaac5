#include "process/leased_entry_daemon.hpp"

#include "common/guarded_call.hpp"
#include "process/metrics_text.hpp"
#include "process/settings_reload.hpp"
#include "tarragonlock/common/log.hpp"

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// A stopping entry serves for at least this long, until no new connections are routed to it.
constexpr auto min_drain_time = milliseconds(2500);
/// A shutdown ends this long before the grace period does.
constexpr auto shutdown_margin = milliseconds(300);
/// Jobs in progress are answered this long before the shutdown ends, so that answers can be sent.
constexpr auto answer_flush_time = milliseconds(100);
/// A stopping entry accepts only jobs that should end this long before final_answer_time().
constexpr auto admission_margin = milliseconds(200);
/// Retry-After of a job for which there is no memory, in milliseconds.
constexpr std::uint32_t busy_retry_ms = 1000;
/// Time between ticks while jobs are in progress.
constexpr auto busy_tick_interval = milliseconds(20);
/// Longest announcement that is read before it is refused; as at agents.
constexpr std::uint64_t max_announcement_bytes = 64U << 10U;

} // namespace

leased_entry_daemon::leased_entry_daemon(boost::asio::io_context& loop,
                                         const leased_entry_settings& settings,
                                         leased_entry_protocols protocols)
    : loop_(loop), settings_(settings), protocols_(std::move(protocols)),
      gate_(std::make_shared<connection_gate>(
          connection_limits::of_host(settings.memory_mb, settings.max_fds))),
      dispatcher_(process_clock::now(),
                  {settings.name, settings.failure_domain, milliseconds(settings.caller_resend_ms),
                   settings.remote_data_factor}),
      store_(*protocols_.store, {protocols_.configuration->key_prefix()},
             [this](const store_event& event) { on_store_event(event); }),
      process_(loop, {[this](instant now) { on_tick(now); }, [this](instant now) { on_stop(now); },
                      [this] { reload_settings(settings_); }, [this] { return metrics(); },
                      [this] { return !dispatcher_.idle(); }, busy_tick_interval,
                      [this](instant) { dispatcher_.hold_placements(); },
                      [this](instant now)
                      {
                          dispatcher_.resume_placements(now);
                          apply_effects();
                      }})
{
    channels_ = frame_channels::create(
        loop,
        {[this](channel_id channel)
         {
             dispatcher_.on_channel_open(process_.now(), channel);
             if (const auto version = configuration_.current().version; version > 0)
                 channels_->send(channel, configuration_notice{version});
             evacuations_.on_channel_open(process_.now(), channel);
             inform_agents_of_evacuations(process_.now());
         },
         [this](channel_id channel)
         {
             dispatcher_.on_channel_lost(process_.now(), channel);
             configuration_.on_channel_lost(channel);
             evacuations_.on_channel_lost(channel);
             apply_effects();
         },
         [this](channel_id channel, const lease_frame& frame) { on_frame(channel, frame); }},
        gate_);
}

result<std::unique_ptr<leased_entry_daemon>>
leased_entry_daemon::create(boost::asio::io_context& loop, const leased_entry_settings& settings,
                            leased_entry_protocols protocols)
{
    std::unique_ptr<leased_entry_daemon> daemon(
        new leased_entry_daemon(loop, settings, std::move(protocols)));
    if (const auto opened = daemon->open(); !opened)
        return opened.error();
    return daemon;
}

result<void> leased_entry_daemon::open()
{
    auto callers = loop_http_server::open(
        loop_,
        {settings_.listen_callers, protocols_.callers->deadline_header(), settings_.max_body_bytes,
         gate_},
        [this](http_request_id id, const http_request& request) { on_request(id, request); },
        [this](http_request_id id)
        {
            dispatcher_.on_caller_disconnected(process_.now(), id);
            apply_effects();
        });
    if (!callers)
        return callers.error();
    caller_server_ = std::move(callers).value();
    auto readiness = loop_http_server::open(
        loop_, {settings_.listen_readiness, "", 4096, gate_, true},
        [this](http_request_id id, const http_request&) {
            readiness_server_->respond(id, {ready() ? 200U : 503U, "", "", 0});
        },
        nullptr);
    if (!readiness)
        return readiness.error();
    readiness_server_ = std::move(readiness).value();
    if (!settings_.listen_announcements.empty())
    {
        // Workers announce themselves to the agent on their own host, not here.
        auto opened = loop_http_server::open(
            loop_, {settings_.listen_announcements, "", max_announcement_bytes, gate_},
            [this](http_request_id id, const http_request&) {
                announcement_server_->respond(id, {503, "", "", 0});
            },
            nullptr);
        if (!opened)
            return opened.error();
        announcement_server_ = std::move(opened).value();
    }
    const auto peer_address = settings_.host + ":" + std::to_string(settings_.peer_port);
    if (const auto listening = channels_->listen(peer_address); !listening)
        return listening.error();
    if (settings_.metrics_port > 0)
    {
        const auto served = process_.serve_metrics(
            settings_.host + ":" + std::to_string(settings_.metrics_port), gate_);
        if (!served)
            return served.error();
    }
    store_.keep_registered(entry_key_prefix + settings_.name, peer_address);
    store_.on_tick(process_clock::now());
    return boost::outcome_v2::success();
}

void leased_entry_daemon::on_request(http_request_id id, const http_request& request)
{
    const auto& protocol = *protocols_.callers;
    if (routes_.version() == 0)
    {
        caller_server_->respond(id, protocol.not_configured());
        return;
    }
    const auto path = std::string_view(request.target).substr(0, request.target.find('?'));
    const auto* rule = routes_.find(request.host, path);
    if (rule == nullptr)
    {
        caller_server_->respond(id, protocol.queue_unknown());
        return;
    }
    const auto path_suffix = path.substr(rule->path_prefix.size());
    switch (protocol.action(request, path_suffix))
    {
    case caller_action::submit:
        submit(id, request, *rule, path_suffix);
        return;
    case caller_action::query_job:
        caller_server_->respond(id, dispatcher_.has_job(std::string(path_suffix))
                                        ? protocol.job_running()
                                        : protocol.job_unknown());
        return;
    case caller_action::cancel_job:
    {
        const bool known = dispatcher_.cancel(process_.now(), std::string(path_suffix));
        caller_server_->respond(id, known ? protocol.job_cancelled() : protocol.job_unknown());
        apply_effects();
        return;
    }
    case caller_action::query_queue:
        caller_server_->respond(id, protocol.queue_length(dispatcher_.unanswered_jobs(rule->name)));
        return;
    case caller_action::unknown:
        break;
    }
    ++malformed_requests_;
    caller_server_->respond(id, protocol.malformed());
}

void leased_entry_daemon::submit(http_request_id id, const http_request& request,
                                 const queue_rule& rule, std::string_view path_suffix)
{
    const auto now = process_.now();
    const auto& protocol = *protocols_.callers;
    if (request.client_disconnected)
    {
        // The caller may already have sent the job again, to another entry.
        ++abandoned_requests_;
        caller_server_->respond(
            id, protocol.job_ended({leased_outcome::refused, leased_reason::cancelled, 0}));
        return;
    }
    auto job = protocol.decode_job(request, path_suffix);
    if (!job)
    {
        ++malformed_requests_;
        log_event(log_level::warn, "job_rejected",
                  {{"job", std::string(path_suffix)}, {"error", job.error().message()}});
        caller_server_->respond(
            id, job.error() == std::errc::not_supported
                    ? protocol.job_ended({leased_outcome::refused, leased_reason::not_supported, 0})
                    : protocol.malformed());
        return;
    }
    // A refusal of a job that is in progress, and was sent again, would not be true.
    const bool in_progress = dispatcher_.has_job(job.value().id);
    if (!in_progress && !caller_server_->reserve(id, job.value().memory_bytes()))
    {
        caller_server_->respond(id, protocol.job_ended({leased_outcome::refused,
                                                        leased_reason::overloaded, busy_retry_ms}));
        return;
    }
    const auto allowed_time = leased_dispatcher::allowed_response_time(job.value(), rule);
    if (!in_progress && stopping_ && now + allowed_time + admission_margin > final_answer_time())
    {
        caller_server_->respond(
            id, protocol.job_ended({leased_outcome::refused, leased_reason::shutting_down, 1}));
        return;
    }
    job.value().unread_for = process_.input_age(now);
    dispatcher_.submit(now, id, std::move(job).value(), rule);
    apply_effects();
}

void leased_entry_daemon::on_store_event(const store_event& event)
{
    if (const auto* snapshot = std::get_if<store_snapshot>(&event))
        on_snapshot(process_.now(), *snapshot);
    else if (const auto* change = std::get_if<store_change>(&event))
        on_change(process_.now(), *change);
}

void leased_entry_daemon::on_snapshot(instant now, const store_snapshot& snapshot)
{
    std::set<std::string> domains;
    for (const auto& item : snapshot.items)
    {
        if (protocols_.configuration->is_configuration(item.key))
            apply_configuration(item.value);
        if (auto domain = protocols_.configuration->evacuated_domain(item.key))
            domains.insert(std::move(*domain));
    }
    if (evacuations_.on_snapshot(now, snapshot.revision, std::move(domains)))
        dispatcher_.set_evacuated_domains(now, evacuations_.current());
}

void leased_entry_daemon::on_change(instant now, const store_change& change)
{
    if (change.item && protocols_.configuration->is_configuration(change.key))
        apply_configuration(change.item->value);
    const auto domain = protocols_.configuration->evacuated_domain(change.key);
    // Agents are informed on the next tick, when all changes of one transaction have been applied.
    if (domain && evacuations_.on_change(now, change.revision, *domain, change.item.has_value()))
        dispatcher_.set_evacuated_domains(now, evacuations_.current());
}

void leased_entry_daemon::inform_agents_of_evacuations(instant now)
{
    for (auto& [channel, message] : evacuations_.take_messages(now))
        channels_->send(channel, std::move(message));
}

void leased_entry_daemon::apply_configuration(const std::string& document)
{
    auto decoded = protocols_.configuration->decode(document);
    if (!decoded)
    {
        log_event(log_level::error, "bad_configuration", {{"error", decoded.error().message()}});
        return;
    }
    // A late answer or a peer may deliver an older version; it never replaces a newer one.
    if (decoded.value().version() <= routes_.version())
        return;
    log_event(log_level::info, "configuration_adopted",
              {{"version", static_cast<std::int64_t>(decoded.value().version())},
               {"before", static_cast<std::int64_t>(routes_.version())}});
    routes_ = std::move(decoded).value();
    caller_server_->set_limits(routes_.limits());
    configuration_.store_if_newer(process_.now(), {routes_.version(), document});
    for (const auto channel : dispatcher_.channels())
        channels_->send(channel, configuration_notice{routes_.version()});
}

void leased_entry_daemon::request_configuration(instant now)
{
    if (const auto peer = configuration_.next_peer_to_ask(now))
        channels_->send(*peer, configuration_request{});
}

void leased_entry_daemon::on_frame(channel_id channel, const lease_frame& frame)
{
    const auto now = process_.now();
    for (const auto& message : frame)
    {
        if (const auto* copy = std::get_if<configuration_copy>(&message))
            apply_configuration(copy->document);
        else if (const auto* notice = std::get_if<configuration_notice>(&message))
            configuration_.on_notice(channel, notice->version);
        else if (std::holds_alternative<configuration_request>(message))
        {
            if (auto requested = configuration_.copy_for(channel))
                channels_->send(channel, std::move(*requested));
        }
        else if (const auto* copy = std::get_if<evacuated_domains>(&message))
        {
            if (evacuations_.on_copy(now, channel, *copy))
                dispatcher_.set_evacuated_domains(now, evacuations_.current());
        }
        else
            dispatcher_.on_message(now, channel, message);
    }
    dispatcher_.on_frame_end(now);
    request_configuration(now);
    apply_effects();
}

void leased_entry_daemon::apply_effects()
{
    for (auto& effect : dispatcher_.take_effects())
    {
        if (auto* message = std::get_if<to_agent>(&effect))
            channels_->send(message->channel, std::move(message->body));
        else if (const auto* reply = std::get_if<to_caller>(&effect))
            caller_server_->respond(reply->caller, protocols_.callers->job_ended(reply->answer));
        else if (const auto* closing = std::get_if<close_channel>(&effect))
            channels_->close(closing->channel);
    }
}

void leased_entry_daemon::on_tick(instant now)
{
    store_.on_tick(now);
    dispatcher_.on_tick(now);
    request_configuration(now);
    inform_agents_of_evacuations(now);
    apply_effects();
    if (!stopping_)
        return;
    if (now >= final_answer_time() - take_back_wait && !taken_back_)
    {
        taken_back_ = true;
        dispatcher_.take_back_all_jobs(now);
        apply_effects();
    }
    if (now >= final_answer_time())
    {
        dispatcher_.end_all_jobs(now);
        apply_effects();
    }
    if ((dispatcher_.idle() && now - stop_requested_at_ >= min_drain_time &&
         now < final_answer_time()) ||
        now >= final_answer_time() + answer_flush_time)
        process_.stop();
}

instant leased_entry_daemon::final_answer_time() const
{
    return stop_requested_at_ + std::chrono::seconds(settings_.grace_s) - shutdown_margin -
           answer_flush_time;
}

void leased_entry_daemon::on_stop(instant now)
{
    stopping_ = true;
    stop_requested_at_ = now;
    caller_server_->close_after_responses();
    store_.unregister();
}

bool leased_entry_daemon::ready() const
{
    return !stopping_ && routes_.version() > 0 && dispatcher_.has_workers();
}

std::string leased_entry_daemon::metrics() const
{
    const auto& counts = dispatcher_.counters();
    return counter_text("jobs_submitted_total", counts.submitted) +
           counter_text("jobs_completed_total", counts.completed) +
           counter_text("jobs_failed_total", counts.failed) +
           counter_text("jobs_refused_total", counts.refused) +
           counter_text("jobs_given_up_total", counts.given_up) +
           counter_text("jobs_resubmitted_total", counts.resubmitted) +
           counter_text("callers_gone_total", counts.callers_gone) +
           counter_text("tasks_placed_total", counts.tasks_placed) +
           counter_text("tasks_returned_total", counts.tasks_returned) +
           counter_text("tasks_stopped_total", counts.tasks_stopped) +
           counter_text("agents_lost_total", counts.agents_lost) +
           counter_text("jobs_taken_back_total", counts.jobs_taken_back) +
           counter_text("jobs_ended_early_total", counts.jobs_ended_early) +
           counter_text("malformed_requests_total", malformed_requests_) +
           counter_text("abandoned_requests_total", abandoned_requests_) +
           counter_text("store_calls_total", store_.call_count()) +
           gauge_text("agents", dispatcher_.agent_count()) +
           gauge_text("workers_accepting", dispatcher_.accepting_worker_count()) +
           gauge_text("caller_connections", caller_server_->connections()) +
           client_refusals_text(*gate_) + gauge_text("configuration_version", routes_.version()) +
           gauge_text("evacuated_domains", evacuations_.current().failure_domains().size()) +
           counter_text("log_lines_dropped_total", dropped_log_line_count()) +
           counter_text("unexpected_errors_total", unexpected_error_count()) +
           dispatcher_.levels().metrics();
}

} // namespace tarragonlock
