#include "tarragonlock/process/leased_dispatcher.hpp"

#include "tarragonlock/common/log.hpp"

#include <xxhash.h>

#include <algorithm>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Part of the caller's resend delay after which an agent that is not heard counts as lost.
constexpr int silence_divisor = 2;
/// Agents without tasks of this entry report less often.
constexpr int idle_patience = 3;
/// The answer has to be on its way this long before the caller stops waiting.
constexpr auto answer_margin = milliseconds(30);
/// After its start an entry does not know the workers yet; jobs wait for them, at most until their
/// latest start. Agents reach a new entry within this time.
constexpr auto startup_patience = milliseconds(1000);
/// When to come back if no worker is known that may run a job.
constexpr auto no_worker_retry = std::chrono::seconds(1);

/// @return a number from 0 to 1 that is fixed for the pair.
double reluctance(const std::string& entry, const std::string& agent)
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
    agents_[channel].heard = now;
}

void leased_dispatcher::on_channel_lost(instant now, channel_id channel)
{
    const auto found = agents_.find(channel);
    if (found == agents_.end())
        return;
    ++counters_.agents_lost;
    log_event(log_level::info, "agent_lost",
              {{"agent", found->second.name},
               {"tasks", found->second.tasks},
               {"silent_ms", to_ms(now - found->second.heard)}});
    const bool had_tasks = found->second.tasks > 0;
    agents_.erase(found);
    if (!had_tasks)
        return;
    const auto retry_at =
        now + (options_.wait_for_lost_agents ? options_.caller_resend : duration(0));
    for (auto& [id, work] : jobs_)
    {
        for (auto& step : work->steps)
        {
            for (auto& task : step)
            {
                if (task.state != task_state::placed || task.channel != channel)
                    continue;
                task.state = task_state::lost;
                task.retry_at = retry_at;
                watch_time(retry_at, id);
            }
        }
    }
}

void leased_dispatcher::on_message(instant now, channel_id channel, const lease_message& received)
{
    const auto found = agents_.find(channel);
    if (found == agents_.end())
        return;
    found->second.heard = now;
    std::visit([&](const auto& body) { handle(now, channel, body); }, received);
}

void leased_dispatcher::on_frame_end(instant now)
{
    if (std::exchange(room_changed_, false))
        dispatch(now);
}

void leased_dispatcher::handle(instant now, channel_id channel, const agent_hello& hello)
{
    std::vector<channel_id> older;
    for (const auto& [other, known] : agents_)
    {
        if (other != channel && known.name == hello.name)
            older.push_back(other);
    }
    for (const auto other : older)
    {
        on_channel_lost(now, other);
        effects_.emplace_back(close_channel{other});
    }
    auto& known = agents_[channel];
    known.name = hello.name;
    known.reluctance = reluctance(options_.name, hello.name);
}

void leased_dispatcher::handle(instant, channel_id channel, const worker_description& what)
{
    room_changed_ = true;
    auto& known = agents_[channel];
    if (known.worker.accepting != what.accepting)
        log_event(log_level::info, "worker_changed",
                  {{"agent", known.name}, {"accepting", what.accepting ? 1 : 0}});
    known.worker = what;
}

void leased_dispatcher::handle(instant, channel_id channel, const agent_report& report)
{
    auto& known = agents_[channel];
    const auto before = free_room(known).cpu_millis;
    known.load = report;
    while (!known.in_flight.empty() && known.in_flight.front().number <= report.placements_seen)
        known.in_flight.pop_front();
    if (report.stamp != 0)
        effects_.emplace_back(to_agent{channel, lease_echo{report.stamp}});
    room_changed_ = room_changed_ || free_room(known).cpu_millis > before;
}

resource_amount leased_dispatcher::free_room(const agent& known)
{
    auto free = known.load.free;
    for (const auto& placement : known.in_flight)
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
    auto& work = *found->second;
    if (end.step >= work.steps.size() || end.index >= work.steps[end.step].size())
        return;
    auto& task = work.steps[end.step][end.index];
    if (task.state != task_state::placed || task.channel != channel || task.attempt != end.attempt)
        return;
    auto& known = agents_[channel];
    --known.tasks;
    if (end.kind != task_end_kind::not_started)
        known.load.free += work.request.steps[end.step].demand;
    room_changed_ = true;
    take_end(now, found, task, end.kind);
}

void leased_dispatcher::take_end(instant now, job_map::iterator found, task& ended,
                                 task_end_kind kind)
{
    auto& work = *found->second;
    --work.exposed_tasks;
    ended.state = task_state::unplaced;
    if (kind != task_end_kind::not_started)
        ++work.ended_runs;
    switch (kind)
    {
    case task_end_kind::done:
        ended.state = task_state::done;
        if (--work.open_tasks == 0)
        {
            answer(now, found, {leased_outcome::completed, leased_reason::none, 0});
            return;
        }
        break;
    case task_end_kind::failed:
        ended.failed_at = ended.channel;
        if (++ended.failures >= work.rule.max_attempts)
        {
            answer(now, found, {leased_outcome::failed, leased_reason::none, 0});
            return;
        }
        break;
    case task_end_kind::stopped:
        ended.failed_at = ended.channel;
        ++counters_.tasks_stopped;
        break;
    case task_end_kind::not_started:
        ++counters_.tasks_returned;
        break;
    }
    enqueue(now, work);
    give_up_if_hopeless(now, found);
}

duration leased_dispatcher::longest_chain(const leased_job_request& request)
{
    std::vector<duration> ends;
    duration longest{};
    for (const auto& step : request.steps)
    {
        duration begin{};
        for (const auto before : step.after)
            begin = std::max(begin, ends.at(before));
        ends.push_back(begin + milliseconds(step.estimate_ms));
        longest = std::max(longest, ends.back());
    }
    return longest;
}

duration leased_dispatcher::allowed_time(const leased_job_request& request, const queue_rule& rule)
{
    return std::chrono::duration_cast<duration>(longest_chain(request) * rule.stretch) +
           milliseconds(rule.objective_ms);
}

void leased_dispatcher::submit(instant now, caller_id caller, leased_job_request request,
                               const queue_rule& rule)
{
    ++counters_.submitted;
    if (const auto known = jobs_.find(request.id); known != jobs_.end())
    {
        // The caller lost its channel, not its job.
        ++counters_.resubmitted;
        known->second->callers.push_back(caller);
        caller_jobs_[caller] = request.id;
        return;
    }
    if (!has_worker_for(request, rule) && now - started_ > startup_patience)
    {
        refuse(caller, request, leased_reason::no_worker, no_worker_retry);
        return;
    }
    auto work = std::make_unique<job>();
    work->rule = rule;
    work->accepted = now;
    work->goal = now + allowed_time(request, rule);
    work->deadline = now + milliseconds(request.deadline_ms) - answer_margin;
    work->goal = std::min(work->goal, work->deadline);
    for (const auto& step : request.steps)
    {
        work->steps.emplace_back(step.task_count);
        work->open_tasks += step.task_count;
    }
    work->request = std::move(request);
    work->sequence = ++last_sequence_;
    work->callers.push_back(caller);
    const auto id = work->request.id;
    caller_jobs_[caller] = id;
    watch_time(work->deadline, id);
    const auto added = jobs_.emplace(id, std::move(work)).first;
    enqueue(now, *added->second);
    dispatch(now);
}

void leased_dispatcher::refuse(caller_id caller, const leased_job_request& request,
                               leased_reason why, duration retry_after)
{
    ++counters_.refused;
    const auto retry_ms = static_cast<std::uint32_t>(std::max<std::int64_t>(to_ms(retry_after), 1));
    log_event(log_level::info, "job_refused",
              {{"job", request.id},
               {"reason", to_string(why)},
               {"retry_after_ms", retry_ms},
               {"agents", static_cast<std::int64_t>(agents_.size())}});
    effects_.emplace_back(to_caller{caller, {leased_outcome::refused, why, retry_ms}});
}

void leased_dispatcher::answer(instant now, job_map::iterator found, const leased_answer& reply)
{
    auto& work = *found->second;
    const auto took = to_ms(now - work.accepted);
    log_event(log_level::info, "job_ended",
              {{"job", work.request.id},
               {"queue", work.rule.name},
               {"outcome", to_string(reply.outcome)},
               {"reason", to_string(reply.reason)},
               {"took_ms", took},
               {"goal_ms", to_ms(work.goal - work.accepted)},
               {"open_tasks", work.open_tasks},
               {"exposed_tasks", work.exposed_tasks},
               {"ended_runs", work.ended_runs}});
    counters_.completed += reply.outcome == leased_outcome::completed ? 1 : 0;
    counters_.failed += reply.outcome == leased_outcome::failed ? 1 : 0;
    counters_.refused += reply.outcome == leased_outcome::refused ? 1 : 0;
    counters_.given_up += reply.outcome == leased_outcome::given_up ? 1 : 0;
    record(now, work, reply.outcome);
    dequeue(work);
    if (work.open_tasks > 0)
        withdraw(work);
    for (const auto caller : work.callers)
    {
        caller_jobs_.erase(caller);
        effects_.emplace_back(to_caller{caller, reply});
    }
    jobs_.erase(found);
}

void leased_dispatcher::record(instant now, const job& work, leased_outcome what)
{
    static const std::map<leased_outcome, outcome> outcomes{
        {leased_outcome::completed, outcome::complete},
        {leased_outcome::failed, outcome::failed},
        {leased_outcome::refused, outcome::refused},
        {leased_outcome::given_up, outcome::unknown}};
    service_objective objective;
    objective.response_ms = static_cast<std::uint32_t>(to_ms(work.goal - work.accepted));
    levels_.record(now, {work.rule.name, "", work.rule.priority}, objective, outcomes.at(what),
                   std::chrono::duration_cast<milliseconds>(now - work.accepted));
}

void leased_dispatcher::withdraw(const job& work)
{
    std::vector<channel_id> told;
    for (const auto& step : work.steps)
    {
        for (const auto& task : step)
        {
            if (task.state != task_state::placed)
                continue;
            --agents_[task.channel].tasks;
            if (std::find(told.begin(), told.end(), task.channel) != told.end())
                continue;
            told.push_back(task.channel);
            effects_.emplace_back(to_agent{task.channel, withdraw_job{work.request.id}});
        }
    }
}

void leased_dispatcher::on_caller_gone(instant now, caller_id caller)
{
    const auto known = caller_jobs_.find(caller);
    if (known == caller_jobs_.end())
        return;
    const auto found = jobs_.find(known->second);
    caller_jobs_.erase(known);
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

void leased_dispatcher::end_all(instant now)
{
    while (!jobs_.empty())
    {
        const auto found = jobs_.begin();
        const auto retry_ms = static_cast<std::uint32_t>(to_ms(no_worker_retry));
        answer(
            now, found,
            found->second->may_have_started()
                ? leased_answer{leased_outcome::given_up, leased_reason::shutting_down, 0}
                : leased_answer{leased_outcome::refused, leased_reason::shutting_down, retry_ms});
    }
}

void leased_dispatcher::watch_time(instant when, const std::string& id)
{
    due_.emplace(when, id);
}

void leased_dispatcher::on_tick(instant now)
{
    const auto silence = options_.caller_resend / silence_divisor;
    std::vector<channel_id> silent;
    for (const auto& [channel, known] : agents_)
    {
        if (now - known.heard > (known.tasks > 0 ? silence : silence * idle_patience))
            silent.push_back(channel);
    }
    for (const auto channel : silent)
    {
        on_channel_lost(now, channel);
        effects_.emplace_back(close_channel{channel});
    }
    while (!due_.empty() && due_.begin()->first <= now)
    {
        const auto id = due_.begin()->second;
        due_.erase(due_.begin());
        const auto found = jobs_.find(id);
        if (found == jobs_.end())
            continue;
        on_due(now, found);
    }
    dispatch(now);
}

void leased_dispatcher::on_due(instant now, job_map::iterator found)
{
    auto& work = *found->second;
    for (auto& step : work.steps)
    {
        for (auto& task : step)
        {
            if (task.state != task_state::lost || task.retry_at > now)
                continue;
            task.state = task_state::unplaced;
            --work.exposed_tasks;
            ++work.ended_runs;
        }
    }
    if (now >= work.deadline)
    {
        const bool started = work.may_have_started();
        answer(now, found,
               started ? leased_answer{leased_outcome::given_up, leased_reason::deadline_passed, 0}
                       : leased_answer{leased_outcome::refused, leased_reason::overloaded, 1});
        return;
    }
    enqueue(now, work);
    give_up_if_hopeless(now, found);
}

/// Refuses a job that can't be in time any more, unless a task of it may have started.
void leased_dispatcher::give_up_if_hopeless(instant now, job_map::iterator found)
{
    auto& work = *found->second;
    if (!work.rank || !work.rank->late || work.may_have_started())
        return;
    // Room on a worker that is too slow for it is better than none.
    auto workers = forecasts();
    place(now, work, workers, cpu_utilization(workers), job_start::in_part);
    if (!work.may_have_started())
        answer(now, found,
               {leased_outcome::refused, leased_reason::overloaded,
                static_cast<std::uint32_t>(to_ms(work.goal - work.accepted))});
}

std::uint32_t leased_dispatcher::waiting(const std::string& queue) const
{
    std::uint32_t count = 0;
    for (const auto& [id, work] : jobs_)
        count += work->rule.name == queue ? 1 : 0;
    return count;
}

bool leased_dispatcher::has_workers() const
{
    return std::any_of(agents_.begin(), agents_.end(),
                       [](const auto& item) { return item.second.worker.accepting; });
}

std::vector<channel_id> leased_dispatcher::channels() const
{
    std::vector<channel_id> open;
    for (const auto& [channel, known] : agents_)
        open.push_back(channel);
    return open;
}

std::vector<dispatcher_effect> leased_dispatcher::take_effects()
{
    return std::exchange(effects_, {});
}

} // namespace tarragonlock
