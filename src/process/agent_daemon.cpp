#include "tarragonlock/process/agent_daemon.hpp"

#include "common/json_tree.hpp"
#include "connection/connection_gate.hpp"
#include "connection/http_routes.hpp"
#include "connection/threaded_http_server.hpp"
#include "process/metrics_text.hpp"
#include "process/task_runner.hpp"
#include "tarragonlock/common/log.hpp"
#include "tarragonlock/common/mailbox.hpp"
#include "tarragonlock/connection/link.hpp"
#include "tarragonlock/process/agent_core.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <array>
#include <random>

namespace tarragonlock
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(10);
constexpr auto max_shutdown_time = std::chrono::seconds(60);
/// Time for clients to read responses before the process ends.
constexpr auto max_response_wait = std::chrono::seconds(1);
constexpr std::size_t max_announcement_bytes = 64U << 10U;
/// Most values of an announcement; a backend server has a few dozen labels at most.
constexpr std::size_t max_announcement_values = 1000;

struct backend_leaving
{
};

struct drain_request
{
};

struct metrics_request
{
    http_request_id request = 0;
};

using agent_event = std::variant<link_event, backend_announcement, backend_leaving, task_outcome,
                                 drain_request, metrics_request>;

/// Parses the body of an announcement.
/// @return the error message; empty on success
std::string parse_announcement(const std::string& text, std::uint32_t max_slots,
                               backend_announcement& announcement)
{
    if (count_json_values(text) > max_announcement_values)
        return fmt::format("the body may have {} values at most", max_announcement_values);
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
          core_(make_options(settings, incarnation)),
          gate_(std::make_shared<connection_gate>(
              connection_limits::of_host(settings.memory_mb, settings.max_fds))),
          runner_(std::min(settings.slots, settings.connections),
                  [this](task_outcome outcome) { events_.post(agent_event(std::move(outcome))); })
    {
    }

    ~agent_daemon_impl() override
    {
        // Its thread may close connections of the HTTP server, which needs the server's event loop.
        link_.reset();
    }
    agent_daemon_impl(const agent_daemon_impl&) = delete;
    agent_daemon_impl& operator=(const agent_daemon_impl&) = delete;

    std::error_code open()
    {
        link_options options;
        options.self = {settings_.name, incarnation_};
        options.listen = settings_.listen_peers;
        options.silence_limit = std::chrono::milliseconds(settings_.silence_ms);
        options.gate = gate_;
        auto opened = link::open(options, [this](link_event event)
                                 { events_.post(agent_event(std::move(event))); });
        if (!opened)
            return opened.error();
        link_ = std::move(opened).value();
        for (const auto& entry : settings_.entries)
            link_->keep_connected(entry.name, entry.address);
        auto server = threaded_http_server::open(
            {settings_.listen_http, "", max_announcement_bytes, gate_},
            [this](http_request_id id, const http_request& request)
            {
                if (!handle_route<agent_daemon_impl, http_request_id>(routes, *this, id, request))
                    server_->respond(id, {404, "", "", 0});
            });
        if (!server)
            return server.error();
        server_ = std::move(server).value();
        server_->start();
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
        // A request for metrics that came last is not answered any more.
        server_->stop(max_response_wait);
        log_event(log_level::info, "stopped");
    }

private:
    using route = http_route<agent_daemon_impl, http_request_id>;
    static const std::array<route, 6> routes;

    void announce(http_request_id id, const http_request& request, std::string_view)
    {
        backend_announcement announcement;
        const auto error = parse_announcement(request.body, settings_.slots, announcement);
        if (!error.empty())
            return server_->respond(
                id, {400, nlohmann::json{{"detail", error}}.dump(), "application/json", 0});
        post_and_confirm(id, std::move(announcement));
    }

    void withdraw(http_request_id id, const http_request&, std::string_view)
    {
        post_and_confirm(id, backend_leaving{});
    }

    void drain(http_request_id id, const http_request&, std::string_view)
    {
        post_and_confirm(id, drain_request{});
    }

    void post_and_confirm(http_request_id id, agent_event event)
    {
        events_.post(std::move(event));
        server_->respond(id, {200, "{}", "application/json", 0});
    }

    void request_metrics(http_request_id id, const http_request&, std::string_view)
    {
        events_.post(agent_event(metrics_request{id}));
    }

    void health(http_request_id id, const http_request&, std::string_view)
    {
        server_->respond(id, {200, "ok\n", "text/plain", 0});
    }

    void readiness(http_request_id id, const http_request&, std::string_view)
    {
        const bool ready = has_backend_;
        server_->respond(
            id, {ready ? 200U : 503U, ready ? "ready\n" : "no backend server\n", "text/plain", 0});
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
        else if (const auto* asked = std::get_if<metrics_request>(&event))
            server_->respond(asked->request, {200, metrics(), "text/plain; version=0.0.4", 0});
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
               gauge_text("agent_config_version", core_.config_version()) +
               client_refusals_text(*gate_);
    }

    agent_settings settings_;
    std::uint64_t incarnation_;
    agent_core core_;
    std::shared_ptr<connection_gate> gate_;
    mailbox<agent_event> events_;
    std::unique_ptr<link> link_;
    std::unique_ptr<threaded_http_server> server_;
    task_runner runner_;
    instant last_tick_;
    std::atomic<bool> has_backend_{false};
};

const std::array<agent_daemon_impl::route, 6> agent_daemon_impl::routes{{
    {"POST", "/v1/announce", &agent_daemon_impl::announce},
    {"DELETE", "/v1/announce", &agent_daemon_impl::withdraw},
    {"PUT", "/v1/drain", &agent_daemon_impl::drain},
    {"GET", "/metrics", &agent_daemon_impl::request_metrics},
    {"GET", "/healthz", &agent_daemon_impl::health},
    {"GET", "/readyz", &agent_daemon_impl::readiness},
}};

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
