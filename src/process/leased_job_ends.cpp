#include "tarragonlock/common/log.hpp"
#include "tarragonlock/process/leased_dispatcher.hpp"
#include "tarragonlock/request/job_prospects.hpp"

#include <algorithm>
#include <limits>

// How an entry answers jobs that it can't complete. The decisions are in request/task_exposure and
// request/job_prospects.

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Retry delay for jobs refused at shutdown; another entry accepts them at once.
constexpr std::uint32_t shutdown_retry_ms = 1000;

} // namespace

/// @return the ratio of run times to declared ones on the fastest worker that accepts tasks
double leased_dispatcher::fastest_slowness() const
{
    double fastest = std::numeric_limits<double>::max();
    for (const auto& [channel, agent] : agents_)
    {
        if (usable(agent))
            fastest = std::min(fastest, agent.load.slowness_millis / 1000.0);
    }
    return fastest == std::numeric_limits<double>::max() ? 1.0 : fastest;
}

job_times leased_dispatcher::times_of(instant now, const active_job& job) const
{
    std::vector<step_prospect> if_placed_run;
    std::vector<step_prospect> if_unstarted;
    bool all_placed = true;
    for (std::size_t position = 0; position < job.steps.size(); ++position)
    {
        const auto& step = job.request.steps[position];
        step_prospect prospect{milliseconds(step.declared_ms), step.after, false, instant()};
        bool placed = false;
        for (const auto& task : job.steps[position])
        {
            placed = placed || task.state == task_state::placed;
            if (task.state == task_state::unplaced || task.state == task_state::lost)
            {
                prospect.needs_start = true;
                all_placed = false;
            }
            if (task.state == task_state::lost)
                prospect.blocked_until = std::max(prospect.blocked_until, task.retry_at);
        }
        if_placed_run.push_back(prospect);
        prospect.needs_start = prospect.needs_start || placed;
        if_unstarted.push_back(prospect);
    }
    const auto fastest = fastest_slowness();
    const auto end = earliest_end(now, if_placed_run, fastest);
    // As long as tasks have to be placed, a job that is taken back would lose time.
    return {job.deadline, end, all_placed ? earliest_end(now, if_unstarted, fastest) : end};
}

leased_answer leased_dispatcher::final_answer(const active_job& job, leased_reason reason)
{
    if (job.may_have_started())
        return {leased_outcome::given_up, reason, 0};
    if (reason == leased_reason::shutting_down)
        return {leased_outcome::refused, reason, shutdown_retry_ms};
    const auto allowed = std::chrono::duration_cast<milliseconds>(job.response_due - job.accepted);
    return {leased_outcome::refused, leased_reason::overloaded,
            static_cast<std::uint32_t>(std::max<std::int64_t>(allowed.count(), 1))};
}

void leased_dispatcher::review(instant now, job_map::iterator found)
{
    const auto id = found->first;
    place_or_refuse_late_job(now, found);
    if (const auto open = jobs_.find(id); open != jobs_.end())
        judge(now, open);
}

void leased_dispatcher::judge(instant now, job_map::iterator found)
{
    auto& job = *found->second;
    if (placements_held_)
        return;
    const auto times = times_of(now, job);
    switch (judge_job(now, job.exposure, times))
    {
    case job_verdict::take_back:
        take_back(now, job);
        break;
    case job_verdict::refuse:
        counters_.jobs_taken_back += job.exposure.taking_back() ? 1 : 0;
        answer(now, found, final_answer(job, leased_reason::deadline_passed));
        return;
    case job_verdict::give_up:
        counters_.jobs_ended_early += now < job.deadline ? 1 : 0;
        answer(now, found, final_answer(job, leased_reason::deadline_passed));
        return;
    case job_verdict::resume:
        // Before the last answers of this process nothing is placed any more.
        if (!ending_)
        {
            job.exposure.resume();
            enqueue(now, job);
        }
        break;
    case job_verdict::wait:
        break;
    }
    if (const auto next = next_judgement(now, job.exposure, times); next != job.next_judgement)
    {
        job.next_judgement = next;
        schedule_timer(next, job.request.id);
    }
}

void leased_dispatcher::take_back(instant now, active_job& job)
{
    std::set<std::uint64_t> asked;
    for (const auto& step : job.steps)
    {
        for (const auto& task : step)
        {
            if (task.state == task_state::placed && asked.insert(task.channel).second)
                effects_.emplace_back(to_agent{task.channel, take_back_job{job.request.id}});
        }
    }
    job.exposure.take_back(std::move(asked), now + take_back_wait);
    dequeue(job);
}

void leased_dispatcher::handle(instant now, channel_id channel, const job_taken_back& reply)
{
    const auto found = jobs_.find(reply.job);
    if (found == jobs_.end() || !found->second->exposure.taking_back())
        return;
    found->second->exposure.on_taken_back(channel);
    judge(now, found);
}

void leased_dispatcher::take_back_all_jobs(instant now)
{
    ending_ = true;
    std::vector<std::string> open;
    for (const auto& [id, job] : jobs_)
        open.push_back(id);
    for (const auto& id : open)
    {
        const auto found = jobs_.find(id);
        auto& job = *found->second;
        if (!job.may_have_started())
            answer(now, found, final_answer(job, leased_reason::shutting_down));
        else if (!job.exposure.taking_back())
            take_back(now, job);
    }
}

void leased_dispatcher::end_all_jobs(instant now)
{
    while (!jobs_.empty())
    {
        const auto found = jobs_.begin();
        answer(now, found, final_answer(*found->second, leased_reason::shutting_down));
    }
}

} // namespace tarragonlock
