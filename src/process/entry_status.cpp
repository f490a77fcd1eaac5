#include "process/entry_status.hpp"

#include "process/metrics_text.hpp"

#include <nlohmann/json.hpp>

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
    json["slowness"] = std::round(std::exp(worker.load.log_slowness) * 100) / 100;
    json["config_version"] = worker.load.config_version;
    return json;
}

ordered_json window_json(const service_level_window& window, double target)
{
    return {
        {"total", window.total}, {"good", window.good}, {"burn_rate", burn_rate(window, target)}};
}

ordered_json level_json(const service_level_summary& level)
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

} // namespace

std::string entry_metrics_text(const entry_core& core, const link_counters& traffic,
                               std::uint64_t store_calls)
{
    const auto& entry = core.counters();
    const auto& jobs = core.jobs().counters();
    return counter_text("submissions_total", entry.submissions) +
           counter_text("submissions_joined_total", entry.joined) +
           counter_text("submissions_forwarded_total", entry.forwarded) +
           counter_text("jobs_admitted_total", jobs.jobs_admitted) +
           counter_text("tasks_sent_total", jobs.tasks_sent) +
           counter_text("tasks_succeeded_total", jobs.tasks_succeeded) +
           counter_text("tasks_failed_total", jobs.tasks_failed) +
           counter_text("tasks_not_started_total", jobs.tasks_not_started) +
           counter_text("tasks_retried_total", jobs.tasks_retried) +
           counter_text("task_queries_total", jobs.task_queries) +
           counter_text("takeovers_total", entry.takeovers) +
           counter_text("messages_sent_total", entry.messages_sent) +
           counter_text("messages_wasted_total", entry.messages_wasted) +
           message_counts_text("", entry.sent_by_type) +
           counter_text("link_frames_sent_total", traffic.frames_sent) +
           counter_text("link_frames_received_total", traffic.frames_received) +
           counter_text("link_bytes_sent_total", traffic.bytes_sent) +
           counter_text("link_bytes_received_total", traffic.bytes_received) +
           counter_text("link_silent_connections_total", traffic.silent_connections) +
           counter_text("link_dropped_frames_total", traffic.dropped_frames) +
           counter_text("store_calls_total", store_calls) +
           gauge_text("config_version", core.config_version()) +
           gauge_text("jobs_in_progress", core.jobs().job_count()) +
           gauge_text("tasks_waiting", core.jobs().waiting_tasks()) +
           gauge_text("job_records", core.registry().size()) +
           gauge_text("result_bytes", core.registry().result_bytes());
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
