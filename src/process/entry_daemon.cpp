#include "tarragonlock/process/entry_daemon.hpp"

#include "connection/connection_gate.hpp"
#include "process/entry_status.hpp"
#include "process/metrics_text.hpp"
#include "process/store_adapter.hpp"
#include "tarragonlock/common/log.hpp"
#include "tarragonlock/common/mailbox.hpp"
#include "tarragonlock/connection/caller_server.hpp"
#include "tarragonlock/connection/link.hpp"
#include "tarragonlock/process/entry_core.hpp"
#include "tarragonlock/process/service_levels.hpp"
#include "tarragonlock/version/store_client.hpp"
#include "tarragonlock/version/team_tokens.hpp"

#include <random>

namespace tarragonlock
{

namespace
{

constexpr auto tick_interval = std::chrono::milliseconds(20);
/// Time for which the entry still serves after it reports that it is not ready; load balancers
/// poll readiness about once a second.
constexpr auto load_balancer_grace_period = std::chrono::seconds(2);
constexpr auto max_shutdown_time = std::chrono::seconds(60);

/// A caller's request with the function that sends its response.
struct pending_call
{
    caller_request request;
    std::function<void(caller_response)> respond;
};

/// A query of the entry's state, evaluated on the thread of the event loop.
struct state_query
{
    std::function<std::string(instant)> evaluate;
    caller_handlers::text_responder respond;
};

using entry_event = std::variant<link_event, store_event, pending_call, state_query>;

std::uint64_t new_incarnation()
{
    std::random_device device;
    // 40 bits leave room for counters that start from the incarnation shifted left.
    const std::uint64_t random = (static_cast<std::uint64_t>(device()) << 32U) | device();
    return (random & 0xffffffffffU) | 1U;
}

entry_options options_from(const entry_settings& settings, const process_identity& self)
{
    entry_options options;
    options.self = self;
    for (const auto& entry : settings.entries)
        options.entries.push_back(entry.name);
    options.placement = settings.placement;
    options.ejection.enabled = settings.ejection;
    options.ownership.lease = std::chrono::milliseconds(settings.lease_ms);
    options.ownership.lease_margin = options.ownership.lease / 4;
    options.ownership.heartbeat_interval = options.ownership.lease / 4;
    options.record_window = std::chrono::seconds(settings.record_window_s);
    options.max_result_bytes = static_cast<std::size_t>(settings.result_mb) << 20U;
    options.wall_offset = wall_clock_now() - std::chrono::duration_cast<unix_milliseconds>(
                                                 process_clock::now().time_since_epoch());
    return options;
}

class entry_daemon_implementation : public entry_daemon
{
public:
    entry_daemon_implementation(const entry_settings& settings, process_identity self,
                                std::unique_ptr<entry_core> core)
        : settings_(settings), self_(std::move(self)), core_(std::move(core)),
          gate_(std::make_shared<connection_gate>(
              connection_limits::of_host(settings.memory_mb, settings.max_fds)))
    {
    }

    ~entry_daemon_implementation() override
    {
        // Its thread may close connections of the HTTP server, which needs the server's event loop.
        link_.reset();
    }
    entry_daemon_implementation(const entry_daemon_implementation&) = delete;
    entry_daemon_implementation& operator=(const entry_daemon_implementation&) = delete;

    std::error_code open()
    {
        link_options link_settings;
        link_settings.self = self_;
        link_settings.listen = settings_.listen_peers;
        link_settings.silence_limit = std::chrono::milliseconds(settings_.silence_ms);
        link_settings.gate = gate_;
        auto opened = link::open(link_settings, [this](link_event event)
                                 { events_.post(entry_event(std::move(event))); });
        if (!opened)
            return opened.error();
        link_ = std::move(opened).value();
        for (const auto& entry : settings_.entries)
        {
            // Only one entry of each pair connects; otherwise they would replace each other's
            // connections.
            if (settings_.name < entry.name)
                link_->keep_connected(entry.name, entry.address);
        }
        store_options store_settings;
        store_settings.addresses = settings_.store_addresses;
        store_ = store_client::open(store_settings, [this](store_event event)
                                    { events_.post(entry_event(std::move(event))); });
        store_adapter_ = std::make_unique<store_adapter>(*core_, *store_, settings_.entries);
        store_adapter_->register_self(self_);
        auto server = caller_server::open({settings_.listen_http, settings_.max_body_bytes, gate_},
                                          make_server_callbacks());
        if (!server)
            return server.error();
        server_ = std::move(server).value();
        return {};
    }

    void run(const std::atomic<bool>& stop) override
    {
        log_event(log_level::info, "started",
                  {{"http", settings_.listen_http}, {"peers", settings_.listen_peers}});
        while (!stop)
            step();
        shut_down();
    }

private:
    void step()
    {
        if (auto event = events_.receive(tick_interval))
        {
            handle_event(std::move(*event));
            for (auto& more : events_.drain())
                handle_event(std::move(more));
        }
        const auto now = process_clock::now();
        if (now - last_tick_ >= tick_interval)
        {
            last_tick_ = now;
            core_->on_tick(now);
            ready_ = core_->ready(now);
            apply_effects();
        }
    }

    void handle_event(entry_event event)
    {
        std::visit([this](auto& body) { handle(std::move(body)); }, event);
        apply_effects();
    }

    /// Stops reporting readiness, hands the shards to other entries and waits for the jobs here.
    void shut_down()
    {
        log_event(log_level::info, "draining");
        const auto drain_started = process_clock::now();
        core_->drain(drain_started);
        apply_effects();
        while (true)
        {
            step();
            const auto elapsed = process_clock::now() - drain_started;
            if ((elapsed >= load_balancer_grace_period && core_->idle()) ||
                elapsed >= max_shutdown_time)
                break;
        }
        std::atomic<bool> server_stopped{false};
        // stop() waits for requests in progress, which need this event loop to be answered.
        std::thread server_stopper(
            [&]
            {
                server_->stop(max_shutdown_time);
                server_stopped = true;
            });
        while (!server_stopped || !core_->idle())
            step();
        server_stopper.join();
        store_->unregister();
        store_adapter_.reset();
        store_.reset();
        log_event(log_level::info, "stopped");
    }

    void handle(link_event event)
    {
        const auto now = process_clock::now();
        if (auto* received = std::get_if<message_received>(&event))
            core_->on_message(now, received->from, received->body);
        else if (const auto* connected = std::get_if<peer_connected>(&event))
            core_->on_peer_connected(now, connected->peer.name);
        else if (const auto* lost = std::get_if<peer_lost>(&event))
        {
            log_event(log_level::warn, "peer_lost", {{"peer", lost->peer}});
            core_->on_peer_lost(now, lost->peer);
        }
    }

    void handle(const store_event& event) { store_adapter_->handle(process_clock::now(), event); }

    void handle(pending_call pending)
    {
        const auto now = process_clock::now();
        const auto call = ++last_call_id_;
        auto& request = pending.request;
        if (request.action == caller_request::action_type::submit_new)
            request.job.id = core_->generate_job_id();
        const auto id = request.job.id;
        waiting_callers_[call] = {id, std::move(pending.respond), now, request.job.service,
                                  request.job.team};
        if (request.action == caller_request::action_type::query)
            return core_->on_query(now, call, id, request.wait);
        if (request.action == caller_request::action_type::cancel)
            return core_->on_cancel(now, call, id);
        waiting_callers_[call].measured = true;
        if (core_->config() && !token_allows(*core_->config(), request.job.team, request.token))
            return reply(call, answer{id, outcome::refused, reason::unauthorized, {}, 0});
        if (core_->config())
            waiting_callers_[call].urgency =
                core_->config()->route(core_->config()->job_labels(request.job)).urgency;
        core_->on_submit(now, call, std::move(request.job), request.wait);
    }

    void handle(const state_query& query) { query.respond(query.evaluate(process_clock::now())); }

    /// Carries out the effects of the core's decisions.
    void apply_effects()
    {
        for (auto& effect : core_->take_effects())
            std::visit([this](auto& body) { apply(std::move(body)); }, effect);
    }

    void apply(outgoing_message outgoing) { link_->send(outgoing.to, std::move(outgoing.body)); }

    void apply(reply_to_caller outgoing) { reply(outgoing.call, std::move(outgoing.reply)); }

    void apply(const table_swap& proposal) { store_adapter_->propose_table(proposal); }

    void reply(call_id call, std::optional<answer> answered)
    {
        const auto found = waiting_callers_.find(call);
        if (found == waiting_callers_.end())
            return;
        const auto& caller = found->second;
        if (caller.measured && answered)
            record(caller, *answered);
        caller.respond({caller.id, std::move(answered)});
        waiting_callers_.erase(found);
    }

    /// A caller's request that is not answered yet.
    struct waiting_caller
    {
        std::string id;
        std::function<void(caller_response)> respond;
        instant since;
        std::string service;
        std::string team;
        std::uint32_t urgency = 0;
        /// Whether the answer counts in the service levels; true for submissions only.
        bool measured = false;
    };

    void record(const waiting_caller& caller, const answer& answered)
    {
        const auto now = process_clock::now();
        const auto took = std::chrono::duration_cast<std::chrono::milliseconds>(now - caller.since);
        const auto* service =
            core_->config() ? core_->config()->find_service(caller.service) : nullptr;
        levels_.record(now, {caller.service, caller.team, caller.urgency},
                       service ? service->objective : service_objective{}, answered.outcome, took);
        log_event(answered.outcome == outcome::complete ? log_level::debug : log_level::info,
                  "answered",
                  {{"job", answered.id},
                   {"outcome", std::string(to_string(answered.outcome))},
                   {"reason", std::string(to_string(answered.reason))},
                   {"took_ms", took.count()},
                   {"config_version", static_cast<std::int64_t>(core_->config_version())}});
    }

    /// Callbacks of the HTTP server. They run on its threads, and all but ready block until the
    /// event loop answers.
    caller_handlers make_server_callbacks()
    {
        caller_handlers callbacks;
        callbacks.handle_request = [this](caller_request request,
                                          std::function<void(caller_response)> respond) {
            events_.post(entry_event(pending_call{std::move(request), std::move(respond)}));
        };
        callbacks.ready = [this] { return ready_.load(); };
        callbacks.metrics = [this](caller_handlers::text_responder respond)
        {
            query_state(
                [this](instant)
                {
                    return entry_metrics_text(*core_, link_->counters(), store_->call_count()) +
                           client_refusals_text(*gate_) + levels_.metrics();
                },
                std::move(respond));
        };
        callbacks.status = [this](caller_handlers::text_responder respond)
        {
            query_state([this](instant now)
                        { return entry_status_json(*core_, settings_, levels_, now); },
                        std::move(respond));
        };
        callbacks.drain = [this](caller_handlers::text_responder respond)
        {
            query_state(
                [this](instant now)
                {
                    core_->drain(now);
                    return std::string();
                },
                std::move(respond));
        };
        callbacks.describe_job =
            [this](const std::string& id, caller_handlers::text_responder respond)
        { query_state([this, id](instant) { return core_->describe(id); }, std::move(respond)); };
        return callbacks;
    }

    void query_state(std::function<std::string(instant)> evaluate,
                     caller_handlers::text_responder respond)
    {
        events_.post(entry_event(state_query{std::move(evaluate), std::move(respond)}));
    }

    entry_settings settings_;
    process_identity self_;
    std::unique_ptr<entry_core> core_;
    std::shared_ptr<connection_gate> gate_;
    mailbox<entry_event> events_;
    std::unique_ptr<link> link_;
    std::unique_ptr<store_client> store_;
    std::unique_ptr<store_adapter> store_adapter_;
    std::unique_ptr<caller_server> server_;
    std::map<call_id, waiting_caller> waiting_callers_;
    service_levels levels_;
    call_id last_call_id_ = 0;
    instant last_tick_;
    std::atomic<bool> ready_{false};
};

} // namespace

result<std::unique_ptr<entry_daemon>> entry_daemon::create(const entry_settings& settings)
{
    const process_identity self{settings.name, new_incarnation()};
    auto core = entry_core::create(options_from(settings, self), process_clock::now());
    if (!core)
        return core.error();
    auto daemon =
        std::make_unique<entry_daemon_implementation>(settings, self, std::move(core).value());
    if (const auto error = daemon->open())
        return error;
    return std::unique_ptr<entry_daemon>(std::move(daemon));
}

} // namespace tarragonlock
