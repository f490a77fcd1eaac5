#include "tarragonlock/process/agent_daemon.hpp"

#include "connection/http_server.hpp"
#include "process/metrics_text.hpp"
#include "process/task_runner.hpp"
#include "tarragonlock/common/log.hpp"
#include "tarragonlock/common/mailbox.hpp"
#include "tarragonlock/connection/link.hpp"
#include "tarragonlock/process/agent_core.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <future>
#include <random>

namespace tarragonlock
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(10);
constexpr auto max_shutdown_time = std::chrono::seconds(60);
constexpr std::size_t http_threads = 8;
constexpr std::size_t max_announcement_bytes = 64U << 10U;

struct backend_leaving
{
};

struct drain_request
{
};

struct metrics_request
{
    std::shared_ptr<std::promise<std::string>> promise;
};

using agent_event = std::variant<link_event, backend_announcement, backend_leaving, task_outcome,
                                 drain_request, metrics_request>;

/// Parses the body of an announcement.
/// @return the error message; empty on success
std::string parse_announcement(const std::string& text, std::uint32_t max_slots,
                               backend_announcement& announcement)
{
    const auto body = nlohmann::json::parse(text, nullptr, false);
    if (body.is_discarded() || !body.is_object())
        return "the body must be a JSON object";
    try
    {
        announcement.service = body.at("service").get<std::string>();
        announcement.address = body.at("address").get<std::string>();
        announcement.slots = body.value("slots", max_slots);
        announcement.labels = body.value("labels", label_set());
    }
    catch (const nlohmann::json::exception&)
    {
        return "service and address must be strings, slots a number, labels an object of strings";
    }
    if (announcement.slots < 1 || announcement.slots > max_slots)
        return fmt::format("slots must be from 1 to {}", max_slots);
    return {};
}

agent_options make_options(const agent_settings& settings, std::uint64_t incarnation)
{
    agent_options options;
    options.name = settings.name;
    options.incarnation = incarnation;
    options.failure_domain = settings.failure_domain;
    options.labels = settings.labels;
    options.entry_count = static_cast<std::uint32_t>(settings.entries.size());
    options.record_window = std::chrono::seconds(settings.record_window_s);
    options.max_record_bytes = static_cast<std::size_t>(settings.record_mb) << 20U;
    options.announcement_lifetime = std::chrono::milliseconds(settings.announcement_lifetime_ms);
    return options;
}

class agent_daemon_impl : public agent_daemon
{
public:
    agent_daemon_impl(const agent_settings& settings, std::uint64_t incarnation)
        : settings_(settings), incarnation_(incarnation),
          core_(make_options(settings, incarnation)), server_(http_threads, max_announcement_bytes),
          runner_(std::min(settings.slots, settings.connections),
                  [this](task_outcome outcome) { events_.post(agent_event(std::move(outcome))); })
    {
    }

    std::error_code open()
    {
        link_options options;
        options.self = {settings_.name, incarnation_};
        options.listen = settings_.listen_peers;
        options.silence_limit = std::chrono::milliseconds(settings_.silence_ms);
        auto opened = link::open(options, [this](link_event event)
                                 { events_.post(agent_event(std::move(event))); });
        if (!opened)
            return opened.error();
        link_ = std::move(opened).value();
        for (const auto& entry : settings_.entries)
            link_->keep_connected(entry.name, entry.address);
        add_routes();
        if (!server_.start(settings_.listen_http))
            return std::make_error_code(std::errc::address_in_use);
        return {};
    }

    void run(const std::atomic<bool>& stop) override
    {
        log_event(log_level::info, "started", {{"http", settings_.listen_http}});
        while (!stop)
            run_once();
        log_event(log_level::info, "draining");
        const auto drain_start = process_clock::now();
        core_.drain(drain_start);
        carry_out();
        // Keeps running long enough for every entry to receive the announcement that this worker
        // is leaving; starts already in transit are refused.
        constexpr auto min_shutdown_time = std::chrono::milliseconds(500);
        while (process_clock::now() - drain_start < max_shutdown_time &&
               (process_clock::now() - drain_start < min_shutdown_time || !core_.idle()))
            run_once();
        server_.stop();
        log_event(log_level::info, "stopped");
    }

private:
    void add_routes()
    {
        auto& routes = server_.routes();
        routes.Post("/v1/announce", [this](const auto& request, auto& response)
                    { handle_announcement(request, response); });
        routes.Delete("/v1/announce",
                      [this](const auto&, auto& response)
                      {
                          events_.post(agent_event(backend_leaving{}));
                          response.set_content("{}", "application/json");
                      });
        routes.Put("/v1/drain",
                   [this](const auto&, auto& response)
                   {
                       events_.post(agent_event(drain_request{}));
                       response.set_content("{}", "application/json");
                   });
        routes.Get("/metrics", [this](const auto&, auto& response)
                   { response.set_content(request_metrics(), "text/plain; version=0.0.4"); });
        routes.Get("/readyz",
                   [this](const auto&, auto& response)
                   {
                       response.status = has_backend_ ? 200 : 503;
                       response.set_content(has_backend_ ? "ready\n" : "no backend server\n",
                                            "text/plain");
                   });
    }

    void handle_announcement(const httplib::Request& request, httplib::Response& response)
    {
        backend_announcement announcement;
        const auto error = parse_announcement(request.body, settings_.slots, announcement);
        if (!error.empty())
        {
            response.status = 400;
            response.set_content(nlohmann::json{{"detail", error}}.dump(), "application/json");
            return;
        }
        events_.post(agent_event(std::move(announcement)));
        response.set_content("{}", "application/json");
    }

    std::string request_metrics()
    {
        auto promise = std::make_shared<std::promise<std::string>>();
        auto future = promise->get_future();
        events_.post(agent_event(metrics_request{std::move(promise)}));
        return future.get();
    }

    void run_once()
    {
        if (auto event = events_.receive(tick_interval))
        {
            handle_event(std::move(*event));
            for (auto& more : events_.drain())
                handle_event(std::move(more));
        }
        const auto now = process_clock::now();
        if (now - last_tick_ < tick_interval)
            return;
        last_tick_ = now;
        core_.on_tick(now);
        has_backend_ = core_.has_backend();
        carry_out();
    }

    void handle_event(agent_event event)
    {
        const auto now = process_clock::now();
        if (auto* body = std::get_if<link_event>(&event))
            handle(now, *body);
        else if (const auto* announced = std::get_if<backend_announcement>(&event))
            core_.on_backend_announced(now, *announced);
        else if (std::holds_alternative<backend_leaving>(event))
            core_.on_backend_leaving(now);
        else if (const auto* outcome = std::get_if<task_outcome>(&event))
            handle_task_finished(now, *outcome);
        else if (std::holds_alternative<drain_request>(event))
            core_.drain(now);
        else if (auto* request = std::get_if<metrics_request>(&event))
            request->promise->set_value(metrics());
        carry_out();
    }

    void handle_task_finished(instant now, const task_outcome& outcome)
    {
        if (outcome.status != task_status::succeeded)
            log_event(log_level::warn, "task_failed",
                      {{"job", outcome.job},
                       {"task", static_cast<std::int64_t>(outcome.index)},
                       {"started", std::int64_t{outcome.status == task_status::failed}}});
        core_.on_task_finished(now, outcome);
    }

    void handle(instant now, const link_event& event)
    {
        if (const auto* received = std::get_if<message_received>(&event))
            core_.on_message(now, received->from, received->body);
        else if (const auto* connected = std::get_if<peer_connected>(&event))
            core_.on_entry_connected(now, connected->peer.name);
        else if (const auto* lost = std::get_if<peer_lost>(&event))
        {
            log_event(log_level::warn, "entry_lost", {{"entry", lost->peer}});
            core_.on_entry_lost(now, lost->peer);
        }
    }

    void carry_out()
    {
        for (auto& effect : core_.take_effects())
        {
            if (auto* outgoing = std::get_if<outgoing_message>(&effect))
                link_->send(outgoing->to, std::move(outgoing->body));
            else if (auto* task = std::get_if<run_task>(&effect))
                runner_.run(std::move(*task));
        }
    }

    std::string metrics() const
    {
        const auto& counters = core_.counters();
        const auto link_counters = link_->counters();
        return counter_text("agent_tasks_started_total", counters.tasks_started) +
               counter_text("agent_tasks_succeeded_total", counters.tasks_succeeded) +
               counter_text("agent_tasks_failed_total", counters.tasks_failed) +
               counter_text("agent_starts_refused_fenced_total", counters.starts_refused_fenced) +
               counter_text("agent_starts_refused_grant_total", counters.starts_refused_grant) +
               counter_text("agent_starts_refused_known_total", counters.starts_refused_known) +
               counter_text("agent_starts_refused_config_total", counters.starts_refused_config) +
               counter_text("agent_starts_refused_leaving_total", counters.starts_refused_leaving) +
               counter_text("agent_starts_refused_majority_total",
                            counters.starts_refused_majority) +
               counter_text("agent_offers_unused_total", counters.offers_unused) +
               counter_text("agent_messages_sent_total", counters.messages_sent) +
               message_counts_text("agent_", counters.sent_by_type) +
               counter_text("agent_link_bytes_sent_total", link_counters.bytes_sent) +
               counter_text("agent_link_bytes_received_total", link_counters.bytes_received) +
               counter_text("agent_link_silent_connections_total",
                            link_counters.silent_connections) +
               gauge_text("agent_running", core_.running()) +
               gauge_text("agent_queued", core_.queued()) +
               gauge_text("agent_job_records", core_.records().job_count()) +
               gauge_text("agent_record_bytes", core_.records().bytes()) +
               gauge_text("agent_config_version", core_.config_version());
    }

    agent_settings settings_;
    std::uint64_t incarnation_;
    agent_core core_;
    mailbox<agent_event> events_;
    std::unique_ptr<link> link_;
    http_server server_;
    task_runner runner_;
    instant last_tick_;
    std::atomic<bool> has_backend_{false};
};

} // namespace

result<std::unique_ptr<agent_daemon>> agent_daemon::create(const agent_settings& settings)
{
    std::random_device device;
    const std::uint64_t random = (static_cast<std::uint64_t>(device()) << 32U) | device();
    auto daemon = std::make_unique<agent_daemon_impl>(settings, random | 1U);
    if (const auto error = daemon->open())
        return error;
    return std::unique_ptr<agent_daemon>(std::move(daemon));
}

} // namespace tarragonlock
