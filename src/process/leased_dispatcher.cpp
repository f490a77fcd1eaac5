#include "tarragonlock/process/leased_dispatcher.hpp"

#include "tarragonlock/common/log.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// The answer has to be sent this long before the caller stops waiting.
constexpr auto answer_margin = milliseconds(30);
/// Minimum time between two dispatches caused by freed resources, per agent in excess of
/// agents_without_dispatch_interval. Both the report rate and the cost of a dispatch are
/// proportional to the number of agents.
constexpr auto dispatch_interval_per_agent = std::chrono::microseconds(25);
constexpr std::size_t agents_without_dispatch_interval = 32;

/// @return a number from 0 to 1 that is always the same for this entry and agent.
double tie_break_penalty(const std::string& entry, const std::string& agent)
{
    const auto bits =
        XXH3_64bits_withSeed(agent.data(), agent.size(), XXH3_64bits(entry.data(), entry.size()));
    constexpr auto steps = 1U << 16U;
    return static_cast<double>(bits % steps) / steps;
}

std::int64_t to_ms(duration value)
{
    return std::chrono::duration_cast<milliseconds>(value).count();
}

} // namespace

leased_dispatcher::leased_dispatcher(instant now, leased_dispatcher_options options)
    : options_(std::move(options)), started_(now)
{
}

void leased_dispatcher::on_channel_open(instant now, channel_id channel)
{
    agents_[channel].last_message_at = now;
}

void leased_dispatcher::on_channel_lost(instant now, channel_id channel)
{
    const auto found = agents_.find(channel);
    if (found == agents_.end())
        return;
    ++counters_.agents_lost;
    log_event(log_level::info, "agent_lost",
              {{"agent", found->second.name},
               {"tasks", found->second.task_count},
               {"silent_ms", to_ms(now - found->second.last_message_at)}});
    const bool had_tasks = found->second.task_count > 0;
    agents_.erase(found);
    if (!had_tasks)
        return;
    const auto retry_at =
        now + (options_.wait_for_lost_agents ? options_.caller_resend_delay : duration(0));
    for (auto& [id, job] : jobs_)
    {
        for (auto& step : job->steps)
        {
            for (auto& task : step)
            {
                if (task.state != task_state::placed || task.channel != channel)
                    continue;
                task.state = task_state::lost;
                task.retry_at = retry_at;
                job->exposure.on_agent_lost(channel);
                schedule_timer(retry_at, id);
                schedule_timer(now, id);
            }
        }
    }
}

void leased_dispatcher::on_message(instant now, channel_id channel, const lease_message& received)
{
    const auto found = agents_.find(channel);
    if (found == agents_.end())
        return;
    found->second.last_message_at = now;
    std::visit([&](const auto& body) { handle(now, channel, body); }, received);
}

void leased_dispatcher::on_frame_end(instant now)
{
    if (!resources_freed_)
        return;
    const auto limited_agents = std::max(agents_.size(), agents_without_dispatch_interval) -
                                agents_without_dispatch_interval;
    if (now - last_dispatch_at_ < dispatch_interval_per_agent * limited_agents)
        return;
    resources_freed_ = false;
    dispatch(now);
}

void leased_dispatcher::handle(instant now, channel_id channel, const agent_hello& hello)
{
    std::vector<channel_id> older_channels;
    for (const auto& [other, agent] : agents_)
    {
        if (other != channel && agent.name == hello.name)
            older_channels.push_back(other);
    }
    for (const auto other : older_channels)
    {
        on_channel_lost(now, other);
        effects_.emplace_back(close_channel{other});
    }
    auto& agent = agents_[channel];
    agent.name = hello.name;
    agent.tie_break_penalty = tie_break_penalty(options_.name, hello.name);
}

void leased_dispatcher::handle(instant now, channel_id channel,
                               const worker_description& description)
{
    resources_freed_ = true;
    auto& agent = agents_[channel];
    if (agent.worker.accepting)
        agent.last_accepting_at = now;
    if (agent.worker.accepting != description.accepting)
        log_event(log_level::info, "worker_changed",
                  {{"agent", agent.name}, {"accepting", description.accepting ? 1 : 0}});
    agent.worker = description;
    const bool remote = is_remote(agent);
    if (std::exchange(agent.reduced_reports, remote) != remote)
        effects_.emplace_back(to_agent{channel, report_preference{remote}});
}

bool leased_dispatcher::is_remote(const connected_agent& agent) const
{
    return !agent.worker.failure_domain.empty() &&
           agent.worker.failure_domain != options_.failure_domain;
}

void leased_dispatcher::handle(instant, channel_id channel, const agent_report& report)
{
    auto& agent = agents_[channel];
    const auto previous_cpu_millis = available_resources(agent).cpu_millis;
    agent.load = report;
    while (!agent.in_flight.empty() && agent.in_flight.front().number <= report.placements_received)
        agent.in_flight.pop_front();
    if (report.timestamp_us != 0)
        effects_.emplace_back(to_agent{channel, lease_renewal{report.timestamp_us}});
    resources_freed_ =
        resources_freed_ || available_resources(agent).cpu_millis > previous_cpu_millis;
}

resource_amount leased_dispatcher::available_resources(const connected_agent& agent)
{
    auto free = agent.load.free_resources;
    for (const auto& placement : agent.in_flight)
    {
        for (std::uint32_t i = 0; i < placement.count; ++i)
            free -= placement.demand;
    }
    return free;
}

void leased_dispatcher::handle(instant now, channel_id channel, const task_end& end)
{
    const auto found = jobs_.find(end.job);
    if (found == jobs_.end())
        return;
    auto& job = *found->second;
    if (end.step >= job.steps.size() || end.index >= job.steps[end.step].size())
        return;
    auto& task = job.steps[end.step][end.index];
    if (task.state != task_state::placed || task.channel != channel || task.attempt != end.attempt)
        return;
    auto& agent = agents_[channel];
    --agent.task_count;
    if (end.kind != task_end_kind::not_started)
        agent.load.free_resources += job.request.steps[end.step].demand;
    resources_freed_ = true;
    apply_task_end(now, found, task, end.kind);
}

void leased_dispatcher::apply_task_end(instant now, job_map::iterator found, task& ended,
                                       task_end_kind kind)
{
    auto& job = *found->second;
    ended.state = task_state::unplaced;
    if (kind == task_end_kind::not_started)
        job.exposure.on_returned();
    else
        job.exposure.on_ended();
    switch (kind)
    {
    case task_end_kind::done:
        ended.state = task_state::done;
        if (--job.unfinished_tasks == 0)
        {
            answer(now, found, {leased_outcome::completed, leased_reason::none, 0});
            return;
        }
        break;
    case task_end_kind::failed:
        ended.last_failed_worker = ended.channel;
        if (++ended.failures >= job.rule.max_attempts)
        {
            answer(now, found, {leased_outcome::failed, leased_reason::none, 0});
            return;
        }
        break;
    case task_end_kind::stopped:
        ended.last_failed_worker = ended.channel;
        ++counters_.tasks_stopped;
        break;
    case task_end_kind::not_started:
        ++counters_.tasks_returned;
        break;
    }
    enqueue(now, job);
    review(now, found);
}

duration leased_dispatcher::critical_path_time(const leased_job_request& request)
{
    std::vector<duration> ends;
    duration longest{};
    for (const auto& step : request.steps)
    {
        duration begin{};
        for (const auto predecessor : step.after)
            begin = std::max(begin, ends.at(predecessor));
        ends.push_back(begin + milliseconds(step.declared_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

duration leased_dispatcher::allowed_response_time(const leased_job_request& request,
                                                  const queue_rule& rule)
{
    return std::chrono::duration_cast<duration>(critical_path_time(request) * rule.stretch) +
           milliseconds(rule.objective_ms);
}

void leased_dispatcher::submit(instant now, caller_id caller, leased_job_request request,
                               const queue_rule& rule)
{
    ++counters_.submitted;
    if (const auto existing = jobs_.find(request.id); existing != jobs_.end())
    {
        // The caller lost its connection and resubmitted the job, which is still in progress.
        ++counters_.resubmitted;
        existing->second->callers.push_back(caller);
        caller_jobs_[caller] = request.id;
        return;
    }
    const auto arrived = now - request.unread_for;
    const auto deadline = arrived + milliseconds(request.deadline_ms) - answer_margin;
    // The caller may have sent the job again, to another entry.
    if (request.unread_for > duration(0) && now >= deadline)
    {
        refuse(caller, request, leased_reason::deadline_passed, no_worker_retry_delay);
        return;
    }
    if (!has_worker_for(now, request, rule) && now - started_ > startup_grace_period)
    {
        refuse(caller, request, leased_reason::no_worker, no_worker_retry_delay);
        return;
    }
    auto job = std::make_unique<active_job>();
    job->rule = rule;
    job->accepted = arrived;
    job->response_due = arrived + allowed_response_time(request, rule);
    job->deadline = deadline;
    job->response_due = std::min(job->response_due, job->deadline);
    for (const auto& step : request.steps)
    {
        job->steps.emplace_back(step.task_count);
        job->unfinished_tasks += step.task_count;
    }
    job->request = std::move(request);
    job->sequence = ++last_sequence_;
    job->callers.push_back(caller);
    const auto id = job->request.id;
    caller_jobs_[caller] = id;
    schedule_timer(job->deadline, id);
    const auto added = jobs_.emplace(id, std::move(job)).first;
    enqueue(now, *added->second);
    dispatch(now);
    if (const auto late = jobs_.find(id); late != jobs_.end())
        review(now, late);
}

void leased_dispatcher::refuse(caller_id caller, const leased_job_request& request,
                               leased_reason reason, duration retry_after)
{
    ++counters_.refused;
    const auto retry_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(to_ms(retry_after), 1));
    log_event(log_level::info, "job_refused",
              {{"job", request.id},
               {"reason", to_string(reason)},
               {"retry_after_ms", retry_ms},
               {"agents", static_cast<std::int64_t>(agents_.size())}});
    effects_.emplace_back(to_caller{caller, {leased_outcome::refused, reason, retry_ms}});
}

void leased_dispatcher::answer(instant now, job_map::iterator found, const leased_answer& reply)
{
    auto& job = *found->second;
    const auto took = to_ms(now - job.accepted);
    log_event(log_level::info, "job_ended",
              {{"job", job.request.id},
               {"queue", job.rule.name},
               {"outcome", to_string(reply.outcome)},
               {"reason", to_string(reply.reason)},
               {"took_ms", took},
               {"goal_ms", to_ms(job.response_due - job.accepted)},
               {"open_tasks", job.unfinished_tasks},
               {"exposed_tasks", job.exposure.offered()},
               {"ended_runs", job.exposure.ended()}});
    counters_.completed += reply.outcome == leased_outcome::completed ? 1 : 0;
    counters_.failed += reply.outcome == leased_outcome::failed ? 1 : 0;
    counters_.refused += reply.outcome == leased_outcome::refused ? 1 : 0;
    counters_.given_up += reply.outcome == leased_outcome::given_up ? 1 : 0;
    record_outcome(now, job, reply.outcome);
    dequeue(job);
    if (job.unfinished_tasks > 0)
        withdraw(job);
    for (const auto caller : job.callers)
    {
        caller_jobs_.erase(caller);
        effects_.emplace_back(to_caller{caller, reply});
    }
    jobs_.erase(found);
}

void leased_dispatcher::record_outcome(instant now, const active_job& job,
                                       leased_outcome job_outcome)
{
    static const std::map<leased_outcome, outcome> outcomes{
        {leased_outcome::completed, outcome::complete},
        {leased_outcome::failed, outcome::failed},
        {leased_outcome::refused, outcome::refused},
        {leased_outcome::given_up, outcome::unknown}};
    service_objective objective;
    objective.response_ms = static_cast<std::uint32_t>(to_ms(job.response_due - job.accepted));
    levels_.record(now, {job.rule.name, "", job.rule.priority}, objective, outcomes.at(job_outcome),
                   std::chrono::duration_cast<milliseconds>(now - job.accepted));
}

void leased_dispatcher::withdraw(const active_job& job)
{
    std::vector<channel_id> notified;
    for (const auto& step : job.steps)
    {
        for (const auto& task : step)
        {
            if (task.state != task_state::placed)
                continue;
            --agents_[task.channel].task_count;
            if (std::find(notified.begin(), notified.end(), task.channel) != notified.end())
                continue;
            notified.push_back(task.channel);
            effects_.emplace_back(to_agent{task.channel, withdraw_job{job.request.id}});
        }
    }
}

void leased_dispatcher::on_caller_disconnected(instant now, caller_id caller)
{
    const auto caller_job = caller_jobs_.find(caller);
    if (caller_job == caller_jobs_.end())
        return;
    const auto found = jobs_.find(caller_job->second);
    caller_jobs_.erase(caller_job);
    auto& callers = found->second->callers;
    std::erase(callers, caller);
    if (!callers.empty())
        return;
    ++counters_.callers_gone;
    answer(now, found, {leased_outcome::given_up, leased_reason::cancelled, 0});
}

bool leased_dispatcher::cancel(instant now, const std::string& id)
{
    const auto found = jobs_.find(id);
    if (found == jobs_.end())
        return false;
    answer(now, found, {leased_outcome::given_up, leased_reason::cancelled, 0});
    return true;
}

std::uint32_t leased_dispatcher::unanswered_jobs(const std::string& queue) const
{
    std::uint32_t count = 0;
    for (const auto& [id, job] : jobs_)
        count += job->rule.name == queue ? 1 : 0;
    return count;
}

std::size_t leased_dispatcher::accepting_worker_count() const
{
    return static_cast<std::size_t>(std::count_if(
        agents_.begin(), agents_.end(), [this](const auto& item) { return usable(item.second); }));
}

std::vector<channel_id> leased_dispatcher::channels() const
{
    std::vector<channel_id> open;
    for (const auto& [channel, agent] : agents_)
        open.push_back(channel);
    return open;
}

std::vector<dispatcher_effect> leased_dispatcher::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace tarragonlock
