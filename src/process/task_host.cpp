#include "tarragonlock/process/task_host.hpp"

#include "tarragonlock/common/log.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// An entry's lease lasts for the caller's resend delay divided by this.
constexpr int entry_lease_divisor = 2;
/// Minimum time between the latest possible end of a lost entry's runs and the caller's resend.
constexpr auto resend_margin = milliseconds(80);
/// Minimum interval between two reports of changed load to one entry. Between reports, tasks whose
/// resources are taken are returned at once.
constexpr duration min_load_report_interval = milliseconds(20);
/// The same for entries with reduced reports, which also receive a report with each task end.
constexpr duration min_reduced_report_interval = milliseconds(200);
/// Maximum number of reports of changed load per second, summed over the entries with full and with
/// reduced reports, so that the agent's traffic does not grow with the number of entries.
constexpr int max_full_reports_per_s = 500;
constexpr int max_reduced_reports_per_s = 100;
/// Delay after which an unconfirmed stop request is sent again.
constexpr auto stop_retry_interval = milliseconds(40);
/// Delay after which the stop request for a run of an earlier agent process is sent again.
constexpr auto unknown_run_retry_interval = milliseconds(100);
/// Time without new starts after the worker refused a start as unhealthy.
constexpr auto unavailable_pause = milliseconds(200);
/// How long run numbers are kept after a start; longer than a delayed request can take to arrive.
constexpr auto run_number_retention = std::chrono::seconds(30);
/// Limit for run numbers tried when the worker has already had higher ones for a task.
constexpr std::uint32_t max_run_number = 100;

} // namespace

task_host::task_host(task_host_options options)
    : options_(std::move(options)), fence_(options_.incarnation)
{
}

void task_host::on_channel_open(instant now, channel_id channel)
{
    entries_[channel].lease_start = now;
    effects_.emplace_back(to_entry{channel, agent_hello{options_.name, options_.incarnation}});
    send_description_if_changed(now);
    if (const auto version = configuration().version; version > 0)
        effects_.emplace_back(to_entry{channel, configuration_notice{version}});
    configuration_.on_channel_open(channel);
    evacuations_.on_channel_open(now, channel);
    inform_entries_of_evacuations(now);
}

void task_host::on_channel_lost(instant now, channel_id channel)
{
    const auto found = entries_.find(channel);
    if (found == entries_.end())
        return;
    const auto must_end_by =
        found->second.lease_start + options_.caller_resend_delay - resend_margin;
    const auto had_tasks = found->second.task_count;
    entries_.erase(found);
    configuration_.on_channel_lost(channel);
    evacuations_.on_channel_lost(channel);
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        const auto next = std::next(task);
        if (task->second.channel == channel)
            withdraw(now, task, must_end_by);
        task = next;
    }
    if (had_tasks > 0)
        log_event(log_level::info, "entry_lost",
                  {{"channel", static_cast<std::int64_t>(channel)}, {"tasks", had_tasks}});
    start_waiting_tasks(now);
}

void task_host::on_message(instant now, channel_id channel, const lease_message& received)
{
    if (!entries_.contains(channel))
        return;
    std::visit([&](const auto& body) { handle(now, channel, body); }, received);
}

void task_host::handle(instant now, channel_id channel, const place_tasks& request)
{
    auto& entry = entries_[channel];
    ++entry.placements_received;
    for (const auto& placed : request.tasks)
    {
        ++counters_.placed;
        const task_id id{request.job, request.step, placed.index};
        hosted_task task;
        task.channel = channel;
        task.run = {request.job, request.step, placed.index, 0};
        task.attempt = placed.attempt;
        task.spec = request.spec;
        task.demand = request.demand;
        task.declared_ms = request.declared_ms;
        task.priority = request.priority;
        task.start_by = now + milliseconds(request.start_within_ms);
        task.caller_leaves_at = now + milliseconds(request.caller_waits_ms);
        // The task may still be running here for another entry, and a second run would overlap it.
        if (!accepting(now) || tasks_.contains(id) || !entry_lease_valid(now, channel))
        {
            ++counters_.returned;
            counters_.returned_for_evacuation += in_evacuated_domain() ? 1 : 0;
            effects_.emplace_back(
                to_entry{channel, task_end{request.job, request.step, placed.index, placed.attempt,
                                           task_end_kind::not_started, 0}});
            continue;
        }
        ++entry.task_count;
        tasks_.emplace(id, std::move(task));
    }
    if (now - entry.report_sent_at >= busy_report_interval())
        send_report(now, channel, entry);
    start_waiting_tasks(now);
    if (request.start_within_ms == 0)
        return_unstarted_tasks(now, channel, request);
}

duration task_host::busy_report_interval() const
{
    // Three consecutive reports may be lost before the entry's lease, which they renew, expires.
    return options_.caller_resend_delay / entry_lease_divisor / 4;
}

void task_host::handle(instant now, channel_id channel, const lease_renewal& renewal)
{
    auto& entry = entries_[channel];
    const instant timestamp{duration(renewal.timestamp_us)};
    entry.lease_start = std::max(entry.lease_start, timestamp);
    if (entry.task_count > 0)
        start_waiting_tasks(now);
}

void task_host::handle(instant, channel_id channel, const report_preference& preference)
{
    entries_[channel].reduced_reports = preference.reduced;
}

task_host::task_map::iterator task_host::finish(instant now, task_map::iterator task,
                                                task_end_kind kind)
{
    auto& hosted = task->second;
    if (hosted.state != task_state::waiting)
    {
        free_ += hosted.demand;
        record_outcome(now, hosted, kind);
    }
    const auto run_time = hosted.started_at == instant{} ? duration(0) : now - hosted.started_at;
    const auto run_ms = std::chrono::duration_cast<milliseconds>(run_time).count();
    if (kind == task_end_kind::done)
    {
        ++counters_.done;
        record_run_time(now, hosted);
    }
    counters_.failed += kind == task_end_kind::failed ? 1 : 0;
    counters_.returned += kind == task_end_kind::not_started ? 1 : 0;
    counters_.stopped += kind == task_end_kind::stopped ? 1 : 0;
    if (kind != task_end_kind::done)
        log_event(log_level::info, "task_not_done",
                  {{"job", hosted.run.job},
                   {"task", hosted.run.index},
                   {"run", hosted.run.number},
                   {"how", to_string(kind)},
                   {"run_ms", run_ms},
                   {"withdrawn", hosted.report_end ? 0 : 1}});
    if (const auto entry = entries_.find(hosted.channel); entry != entries_.end())
    {
        --entry->second.task_count;
        entry->second.frame_pending = entry->second.frame_pending || hosted.report_end;
        if (hosted.report_end)
            effects_.emplace_back(
                to_entry{hosted.channel,
                         task_end{hosted.run.job, hosted.run.step, hosted.run.index, hosted.attempt,
                                  kind, static_cast<std::uint32_t>(run_ms)}});
    }
    return tasks_.erase(task);
}

void task_host::record_outcome(instant now, const hosted_task& task, task_end_kind kind)
{
    const auto run_outcome = kind == task_end_kind::done     ? outcome::complete
                             : kind == task_end_kind::failed ? outcome::failed
                                                             : outcome::unknown;
    service_objective objective;
    objective.response_ms = task.declared_ms;
    levels_.record(now, {worker_->service, "", task.priority}, objective, run_outcome,
                   std::chrono::duration_cast<milliseconds>(now - task.started_at));
}

void task_host::record_run_time(instant now, const hosted_task& task)
{
    const auto elapsed = now - task.started_at;
    const duration declared = milliseconds(task.declared_ms);
    if (declared == duration(0) || !task.started_cold)
    {
        pace_.on_run_done(now, elapsed, declared);
        return;
    }
    const auto warm = std::chrono::duration<double, std::micro>(declared) * pace_.usual_slowness();
    cold_start_.record(std::chrono::duration<double, std::micro>(elapsed) / warm);
    // Its ratio to the declared time would outlast the cold start.
    pace_.on_run_done(now, elapsed, duration(0));
}

double task_host::slowness(instant now) const
{
    if (worker_is_cold(now))
        return pace_.usual_slowness() * cold_start_.factor();
    if (!options_.mechanisms.judge_latest_runs)
        return pace_.usual_slowness();
    std::vector<double> running;
    for (const auto& [id, task] : tasks_)
    {
        if (task.state == task_state::running && task.progress.shows_pace())
            running.push_back(task.min_slowness);
    }
    return pace_.slowness(now, running);
}

bool task_host::worker_is_cold(instant when) const
{
    return worker_ && worker_->cold_remaining_ms > 0 &&
           when < announced_at_ + milliseconds(worker_->cold_remaining_ms);
}

bool task_host::accepting(instant now) const
{
    return worker_ && worker_->accepting && !draining_ && !in_evacuated_domain() &&
           unanswered_renewals_ < max_unanswered_renewals && announced_recently(now);
}

bool task_host::announced_recently(instant now) const
{
    return now - announced_at_ < options_.announcement_lifetime;
}

void task_host::start_waiting_tasks(instant now)
{
    if (!accepting(now) || !worker_reconciled_)
        return;
    while (may_start(now))
    {
        hosted_task* best = nullptr;
        for (auto& [id, task] : tasks_)
        {
            if (task.state != task_state::waiting || !task.demand.fits_into(free_) ||
                !entry_lease_valid(now, task.channel))
                continue;
            if (best == nullptr ||
                std::tie(task.priority, task.start_by) < std::tie(best->priority, best->start_by))
                best = &task;
        }
        if (best == nullptr)
            return;
        free_ -= best->demand;
        best->run.number = next_run_number({best->run.job, best->run.step, best->run.index});
        send_start(now, *best);
    }
}

worker_condition task_host::condition(instant now) const
{
    return now < unavailable_until_ ? worker_condition::paused : health_.condition(now);
}

/// @return whether the worker's condition allows another start.
bool task_host::may_start(instant now) const
{
    switch (condition(now))
    {
    case worker_condition::healthy:
        return true;
    case worker_condition::probation:
        return !has_active_runs();
    case worker_condition::paused:
        break;
    }
    return false;
}

/// @return whether the entry has renewed its lease recently enough that its tasks may start.
///
/// A placement may have lain unread in this process's socket, or unsent in an entry that did not
/// run. Its entry may have given this agent up meanwhile, or its caller may have sent the job to
/// another entry.
bool task_host::entry_lease_valid(instant now, channel_id channel) const
{
    if (!options_.mechanisms.check_entry_lease_at_start)
        return true;
    const auto entry = entries_.find(channel);
    return entry != entries_.end() &&
           now - entry->second.lease_start <= options_.caller_resend_delay / entry_lease_divisor;
}

std::uint32_t task_host::next_run_number(const task_id& id) const
{
    const auto found = last_run_numbers_.find(id);
    return found == last_run_numbers_.end() ? 1 : found->second.first + 1;
}

void task_host::send_start(instant now, hosted_task& task)
{
    ++counters_.started;
    task.state = task_state::starting;
    task.confirmed = false;
    task.request_sent_at = now;
    task.started_at = now;
    task.started_cold = worker_is_cold(now);
    task.progress = {};
    task.in_doubt = false;
    task.request_fence = fence_;
    last_run_numbers_[{task.run.job, task.run.step, task.run.index}] = {task.run.number, now};
    effects_.emplace_back(start_request{task.run,
                                        options_.mechanisms.send_worker_id ? worker_->id : "",
                                        task.spec, extend_lease(now), fence_});
    renew_if_needed(now);
}

void task_host::send_stop(instant now, hosted_task& task)
{
    task.state = task_state::stopping;
    task.confirmed = false;
    task.request_pending = true;
    task.request_sent_at = now;
    task.request_fence = fence_;
    effects_.emplace_back(stop_request{task.run, fence_});
}

task_host::hosted_task* task_host::find_run(const run_key& run)
{
    const auto found = tasks_.find({run.job, run.step, run.index});
    if (found == tasks_.end() || found->second.state == task_state::waiting ||
        found->second.run.number != run.number)
        return nullptr;
    return &found->second;
}

void task_host::on_start_reply(instant now, const run_key& run, start_reply reply,
                               std::int64_t clock_ms)
{
    if (reply != start_reply::no_answer && clock_ms > 0)
    {
        worker_clock_ms_ = clock_ms;
        worker_clock_read_at_ = now;
    }
    auto* task = find_run(run);
    if (task == nullptr)
        return;
    if (task->state == task_state::stopping)
    {
        if (reply == start_reply::superseded || reply == start_reply::unavailable ||
            reply == start_reply::wrong_worker)
            finish(now, tasks_.find({run.job, run.step, run.index}), task_end_kind::stopped);
        return;
    }
    if (task->state != task_state::starting)
        return;
    switch (reply)
    {
    case start_reply::accepted:
        task->state = task_state::running;
        task->progress.changed_ms = clock_ms;
        task->confirmed = true;
        task->conclusive_renewal = last_renewal_number_ + 1;
        return;
    case start_reply::no_answer:
        // The run may exist, which the next listing shows, or the request may still be executed
        // seconds later. Only a confirmed stop of this run rules that out, so the task keeps its
        // resources until then.
        ++counters_.unanswered_starts;
        log_event(log_level::warn, "start_unanswered", {{"job", run.job}, {"run", run.number}});
        if (!options_.mechanisms.cancel_unanswered_starts)
            break;
        task->in_doubt = true;
        task->conclusive_renewal = last_renewal_number_ + 1;
        renew_if_needed(now);
        return;
    case start_reply::fenced:
        // Either the fence was raised while the request was in transit, or an earlier process of
        // this agent used a higher fence because its clock was ahead of this one's.
        raise_fence(task->request_fence);
        if (repeat_start(now, *task))
            return;
        break;
    case start_reply::lease_expired:
        if (repeat_start(now, *task))
            return;
        break;
    case start_reply::superseded:
        // The worker has had a run of this task that this process has no record of.
        if (++task->run.number < max_run_number && repeat_start(now, *task))
            return;
        break;
    case start_reply::unavailable:
        unavailable_until_ = now + unavailable_pause;
        health_.on_failure(now, run.job);
        break;
    case start_reply::no_capacity:
    case start_reply::wrong_worker:
    case start_reply::malformed:
        log_event(log_level::warn, "start_refused", {{"job", run.job}, {"run", run.number}});
        break;
    }
    finish(now, tasks_.find({run.job, run.step, run.index}), task_end_kind::not_started);
}

/// Sends a start that the worker refused again, unless its reply lay unread for too long or the
/// worker's failure domain has been evacuated.
bool task_host::repeat_start(instant now, hosted_task& task)
{
    if (!entry_lease_valid(now, task.channel) || in_evacuated_domain())
        return false;
    send_start(now, task);
    return true;
}

/// Raises the fence after the worker has refused a request.
/// @param refused  fence of that request; an outdated one says nothing about the present fence
/// @return whether the fence is higher now than that of the request
bool task_host::raise_fence(std::uint64_t refused)
{
    // Workers may read the fence as a signed number.
    constexpr std::uint64_t max_fence = std::numeric_limits<std::int64_t>::max();
    if (refused != fence_ || fence_ >= max_fence)
        return refused < fence_;
    const auto increase = std::min(fence_step_, max_fence - fence_);
    fence_ += increase;
    fence_step_ = increase * 2;
    log_event(log_level::warn, "fence_raised", {{"fence", static_cast<std::int64_t>(fence_)}});
    return true;
}

void task_host::on_stop_reply(instant now, const run_key& run, stop_reply reply)
{
    auto* task = find_run(run);
    if (task == nullptr || task->state != task_state::stopping)
        return;
    task->request_pending = false;
    // Below the worker's fence no run can be stopped, and so no resources become free for new
    // starts.
    if (reply == stop_reply::fenced)
        raise_fence(task->request_fence);
    if (reply == stop_reply::accepted)
    {
        task->confirmed = true;
        task->conclusive_renewal = last_renewal_number_ + 1;
        renew_if_needed(now);
    }
}

std::size_t task_host::waiting() const
{
    return static_cast<std::size_t>(
        std::count_if(tasks_.begin(), tasks_.end(),
                      [](const auto& item) { return item.second.state == task_state::waiting; }));
}

bool task_host::has_active_runs() const
{
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [](const auto& item) { return item.second.state != task_state::waiting; });
}

void task_host::drain(instant now)
{
    draining_ = true;
    return_waiting_tasks(now);
    send_description_if_changed(now);
}

std::vector<host_effect> task_host::take_effects()
{
    return std::exchange(effects_, {});
}

duration task_host::load_report_interval(bool reduced) const
{
    const auto count = std::count_if(entries_.begin(), entries_.end(),
                                     [reduced](const auto& item)
                                     { return item.second.reduced_reports == reduced; });
    const auto rate = reduced ? max_reduced_reports_per_s : max_full_reports_per_s;
    return std::max<duration>(reduced ? min_reduced_report_interval : min_load_report_interval,
                              duration(std::chrono::seconds(1)) * count / rate);
}

void task_host::update_load_version(instant now)
{
    const auto queued = waiting();
    const auto current = condition(now);
    if (free_ == versioned_free_ && queued == versioned_waiting_ && current == versioned_condition_)
        return;
    ++load_version_;
    versioned_free_ = free_;
    versioned_waiting_ = queued;
    if (const auto before = std::exchange(versioned_condition_, current); before != current)
        log_event(
            log_level::info, "worker_condition",
            {{"worker", worker_ ? worker_->id : std::string()}, {"condition", to_string(current)}});
}

void task_host::send_load_reports(instant now)
{
    update_load_version(now);
    const std::array intervals{load_report_interval(false), load_report_interval(true)};
    std::optional<agent_report> report;
    for (auto& [channel, entry] : entries_)
    {
        const bool frame_pending = std::exchange(entry.frame_pending, false);
        if (entry.reported_load_version == load_version_)
            continue;
        const auto interval =
            frame_pending ? min_load_report_interval : intervals[entry.reduced_reports ? 1 : 0];
        if (now - entry.load_report_sent_at < interval)
            continue;
        if (!report)
            report = make_load_report(now);
        report->placements_received = entry.placements_received;
        entry.reported_load_version = load_version_;
        entry.load_report_sent_at = now;
        effects_.emplace_back(to_entry{channel, *report});
    }
}

void task_host::on_tick(instant now)
{
    expire_entry_leases(now);
    if (condition(now) == worker_condition::paused)
        return_waiting_tasks(now);
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        if (task->second.state == task_state::waiting && task->second.start_by < now)
            task = finish(now, task, task_end_kind::not_started);
        else
            ++task;
    }
    if (!accepting(now))
        return_waiting_tasks(now);
    send_description_if_changed(now);
    if (unanswered_renewals_ > 0 && now > worker_lease_end_)
        mark_runs_stopped(now);
    resend_stops(now);
    renew_if_needed(now);
    start_waiting_tasks(now);
    request_configuration(now);
    notify_entries_of_configuration(now);
    inform_entries_of_evacuations(now);
    std::erase_if(last_run_numbers_, [now](const auto& item)
                  { return now - item.second.second > run_number_retention; });
    send_load_reports(now);
    const auto busy_interval = busy_report_interval();
    const auto idle_interval = busy_interval * 3;
    for (auto& [channel, entry] : entries_)
    {
        if (now - entry.report_sent_at >= (entry.task_count > 0 ? busy_interval : idle_interval))
            send_report(now, channel, entry);
    }
}

void task_host::expire_entry_leases(instant now)
{
    if (!options_.mechanisms.expire_entry_leases)
        return;
    const auto entry_lease = options_.caller_resend_delay / entry_lease_divisor;
    std::vector<channel_id> expired;
    for (const auto& [channel, entry] : entries_)
    {
        // No task runs for an idle entry, so a slow channel does no harm.
        constexpr int idle_lease_factor = 3;
        if (now - entry.lease_start >
            (entry.task_count > 0 ? entry_lease : entry_lease * idle_lease_factor))
            expired.push_back(channel);
    }
    for (const auto channel : expired)
    {
        ++counters_.expired_entry_leases;
        on_channel_lost(now, channel);
        effects_.emplace_back(close_channel{channel});
    }
}

void task_host::resend_stops(instant now)
{
    for (auto& [id, task] : tasks_)
    {
        if (task.state == task_state::stopping && !task.confirmed && !task.request_pending &&
            now - task.request_sent_at >= stop_retry_interval)
            send_stop(now, task);
    }
    for (auto& [run, sent] : unknown_runs_)
    {
        if (now - sent < unknown_run_retry_interval)
            continue;
        sent = now;
        effects_.emplace_back(stop_request{run, fence_});
    }
}

void task_host::send_report(instant now, channel_id channel, entry_channel& entry)
{
    update_load_version(now);
    entry.report_sent_at = now;
    entry.load_report_sent_at = now;
    entry.reported_load_version = load_version_;
    auto report = make_load_report(now);
    report.placements_received = entry.placements_received;
    report.timestamp_us = static_cast<std::uint64_t>(now.time_since_epoch().count());
    effects_.emplace_back(to_entry{channel, report});
}

agent_report task_host::make_load_report(instant now) const
{
    agent_report report;
    report.free_resources = free_;
    for (const auto& [id, task] : tasks_)
    {
        if (task.state == task_state::waiting)
            report.queued_cpu.at(std::min<std::size_t>(
                task.priority, reported_priority_count - 1)) += task.demand.cpu_millis;
    }
    report.mean_run_ms = static_cast<std::uint32_t>(pace_.mean_run() / milliseconds(1));
    report.slowness_millis = static_cast<std::uint32_t>(slowness(now) * 1000.0);
    report.condition = condition(now);
    return report;
}

worker_description task_host::description(instant now) const
{
    worker_description described;
    described.accepting = accepting(now) && worker_reconciled_;
    if (!worker_)
        return described;
    described.failure_domain = worker_->failure_domain;
    described.labels = worker_->labels;
    described.attributes["service"] = worker_->service;
    described.capacity = worker_->capacity;
    return described;
}

/// Sends the worker's description, and a report, to the entries that do not have it yet.
void task_host::send_description_if_changed(instant now)
{
    auto described = description(now);
    if (described.accepting != reported_description_.accepting)
        log_event(log_level::info,
                  described.accepting ? "worker_accepting" : "worker_not_accepting",
                  {{"worker", worker_ ? worker_->id : std::string()},
                   {"silent_renewals", unanswered_renewals_},
                   {"draining", draining_ ? 1 : 0},
                   {"evacuated", in_evacuated_domain() ? 1 : 0}});
    if (described != reported_description_)
    {
        reported_description_ = std::move(described);
        ++description_version_;
    }
    for (auto& [channel, entry] : entries_)
    {
        if (entry.reported_description_version == description_version_)
            continue;
        entry.reported_description_version = description_version_;
        effects_.emplace_back(to_entry{channel, reported_description_});
        send_report(now, channel, entry);
    }
}

} // namespace tarragonlock
