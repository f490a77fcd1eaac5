#include "process/entry_status.hpp"

#include <nlohmann/json.hpp>
#include <spdlog/fmt/fmt.h>

#include <cmath>

namespace tarragonlock
{

namespace
{

using nlohmann::ordered_json;

ordered_json worker_json(const worker_view& worker)
{
    ordered_json json;
    json["name"] = worker.id.name;
    json["service"] = worker.service;
    json["labels"] = worker.labels;
    json["slots"] = worker.slots;
    json["free_slots"] = worker.load.free_slots;
    json["outstanding"] = worker.outstanding;
    json["connected"] = worker.connected;
    json["leaving"] = worker.leaving;
    json["ejected"] = worker.ejected;
    json["slowness"] = std::round(std::exp(worker.log_slowness) * 100) / 100;
    json["config_version"] = worker.load.config_version;
    return json;
}

ordered_json window_json(const level_window& window, double target)
{
    return {
        {"total", window.total}, {"good", window.good}, {"burn_rate", burn_rate(window, target)}};
}

ordered_json level_json(const level_summary& level)
{
    ordered_json json;
    json["service"] = level.key.service;
    json["team"] = level.key.team;
    json["urgency"] = level.key.urgency;
    json["objective_ms"] = level.objective.response_ms;
    json["target"] = level.objective.target;
    json["last_5_minutes"] = window_json(level.last_5_minutes, level.objective.target);
    json["last_hour"] = window_json(level.last_hour, level.objective.target);
    json["p50_ms"] = level.p50_ms;
    json["p99_ms"] = level.p99_ms;
    return json;
}

std::string counter(const char* name, std::uint64_t value)
{
    return fmt::format("# TYPE tarragonlock_{0} counter\ntarragonlock_{0} {1}\n", name, value);
}

std::string gauge(const char* name, std::uint64_t value)
{
    return fmt::format("# TYPE tarragonlock_{0} gauge\ntarragonlock_{0} {1}\n", name, value);
}

} // namespace

std::string entry_metrics(const entry_core& core, const link_counters& traffic,
                          std::uint64_t store_calls)
{
    const auto& entry = core.counters();
    const auto& jobs = core.jobs().counters();
    return counter("submissions_total", entry.submissions) +
           counter("submissions_joined_total", entry.joined) +
           counter("submissions_forwarded_total", entry.forwarded) +
           counter("jobs_admitted_total", jobs.jobs_admitted) +
           counter("tasks_sent_total", jobs.tasks_sent) +
           counter("tasks_succeeded_total", jobs.tasks_succeeded) +
           counter("tasks_failed_total", jobs.tasks_failed) +
           counter("tasks_not_started_total", jobs.tasks_not_started) +
           counter("tasks_retried_total", jobs.tasks_retried) +
           counter("task_queries_total", jobs.queries) +
           counter("takeovers_total", entry.takeovers) +
           counter("messages_sent_total", entry.messages_sent) +
           counter("messages_wasted_total", entry.messages_wasted) +
           counter("link_frames_sent_total", traffic.frames_sent) +
           counter("link_frames_received_total", traffic.frames_received) +
           counter("link_bytes_sent_total", traffic.bytes_sent) +
           counter("link_bytes_received_total", traffic.bytes_received) +
           counter("link_silent_connections_total", traffic.silent_connections) +
           counter("link_dropped_frames_total", traffic.dropped_frames) +
           counter("store_calls_total", store_calls) +
           gauge("config_version", core.config_version()) +
           gauge("jobs_in_progress", core.jobs().job_count()) +
           gauge("tasks_waiting", core.jobs().waiting_tasks()) +
           gauge("job_records", core.registry().size()) +
           gauge("result_bytes", core.registry().result_bytes());
}

std::string entry_status_json(const entry_core& core, const entry_settings& settings,
                              const service_levels& levels, instant now)
{
    ordered_json json;
    json["entry"] = settings.name;
    json["failure_domain"] = settings.failure_domain;
    json["ready"] = core.ready(now);
    json["config_version"] = core.config_version();
    json["table_version"] = core.shards().table().version;
    json["holds_lease"] = core.shards().holds_lease(now);
    std::size_t owned = 0;
    for (std::uint32_t shard = 0; shard < shard_count; ++shard)
        owned += core.shards().state(shard) == shard_state::active ? 1 : 0;
    json["shards"] = owned;
    json["jobs_in_progress"] = core.jobs().job_count();
    json["tasks_waiting"] = core.jobs().waiting_tasks();
    json["workers"] = ordered_json::array();
    for (const auto& worker : core.workers().workers())
        json["workers"].push_back(worker_json(worker));
    json["levels"] = ordered_json::array();
    for (const auto& level : levels.summaries(now))
        json["levels"].push_back(level_json(level));
    return json.dump();
}

} // namespace tarragonlock
