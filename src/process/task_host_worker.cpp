#include "tarragonlock/process/task_host.hpp"

#include "tarragonlock/common/log.hpp"
#include "tarragonlock/request/stall_limit.hpp"

#include <algorithm>
#include <set>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Slowest allowed worker clock relative to the agent's, as a factor on lease times.
constexpr double slow_clock_factor = 1.02;
/// Allowance for the estimate of the worker's clock and for an order's way to it.
constexpr auto lease_margin = milliseconds(30);
/// Longest wait of a renewal; a quarter of the lease leaves time for two lost answers.
constexpr int renewal_wait_divisor = 4;
/// Wait of a renewal while runs are being ended.
constexpr auto stop_poll = milliseconds(50);
/// Shortest time between two renewals when the worker does not answer.
constexpr auto renewal_retry = milliseconds(50);
/// A renewal that waits for an end this long is joined by another one, because its answer may be
/// lost; several times the usual time between two ends on a busy worker.
constexpr auto renewal_hedge = milliseconds(40);
/// Most renewals under way at once.
constexpr std::size_t max_renewals = 4;
/// Renewals beyond these that only ask what runs.
constexpr std::size_t urgent_renewals = 2;

} // namespace

void task_host::on_announcement(instant now, const worker_announcement& announcement)
{
    if (worker_ && announcement.start_time_ms < worker_->start_time_ms)
        return;
    const bool same_life = worker_ && worker_->id == announcement.id &&
                           worker_->start_time_ms == announcement.start_time_ms;
    if (same_life && announcement.sequence < worker_->sequence)
        return;
    if (!same_life)
    {
        log_event(log_level::info, "worker_joined",
                  {{"worker", announcement.id}, {"lifetime", announcement.start_time_ms}});
        free_ = announcement.capacity;
        for (const auto& [id, task] : tasks_)
        {
            if (task.state != task_state::waiting)
                free_ -= task.demand;
        }
        begin_worker_life();
        silent_renewals_ = 0;
    }
    else
    {
        free_ += announcement.capacity;
        free_ -= worker_->capacity;
    }
    worker_ = announcement;
    announced_ = now;
    clock_ms_ = announcement.clock_ms;
    clock_read_ = now;
    if (!worker_->accepting)
        return_waiting(now);
    describe_if_changed(now);
    renew_if_needed(now);
    start_waiting(now);
}

/// Runs of the worker's last life are over, but some may have been started in this one already, so
/// the next listing tells which.
void task_host::begin_worker_life()
{
    ends_seen_ = 0;
    ends_confirmed_ = 0;
    health_.reset();
    worker_known_ = false;
    strangers_.clear();
    // Starts ordered in the last life may still arrive; a higher fence stops them, once the worker
    // has been told of it by a new renewal.
    if (options_.mechanisms.raise_fence_on_worker_restart)
        ++fence_;
    renewals_.clear();
    renewal_sent_ = {};
}

void task_host::on_worker_left(instant now, const std::string& id)
{
    if (!worker_ || worker_->id != id)
        return;
    log_event(log_level::info, "worker_left", {{"worker", id}});
    worker_->accepting = false;
    announced_ = instant{};
    return_waiting(now);
    describe_if_changed(now);
}

std::int64_t task_host::worker_clock(instant now) const
{
    return clock_ms_ + std::chrono::duration_cast<milliseconds>(now - clock_read_).count();
}

duration task_host::lease_length(instant now) const
{
    auto limit = options_.execution_lease;
    if (!options_.mechanisms.cap_worker_lease)
        return limit;
    for (const auto& [id, task] : tasks_)
    {
        if (task.state == task_state::waiting)
            continue;
        auto end = task.must_end_by;
        if (const auto entry = entries_.find(task.channel); entry != entries_.end())
            end = std::min(end, entry->second.lease_from + options_.caller_resend - lease_margin);
        if (end == instant::max())
            continue;
        const auto left =
            std::chrono::duration<double, std::micro>(end - now - lease_margin) / slow_clock_factor;
        limit = std::min(limit, std::chrono::duration_cast<duration>(left));
    }
    return std::max(limit, duration(0));
}

std::int64_t task_host::extend_lease(instant now)
{
    // A worker that has restarted unnoticed reads the end on another clock, and keeps it for the
    // longest lease that it grants.
    const auto latest =
        std::chrono::duration<double, std::micro>(options_.execution_lease) * slow_clock_factor;
    worker_lease_end_ = now + std::chrono::duration_cast<duration>(latest) + lease_margin;
    const auto length = lease_length(now);
    return worker_clock(now) + std::chrono::duration_cast<milliseconds>(length).count();
}

bool task_host::must_ask_now() const
{
    return std::any_of(
        tasks_.begin(), tasks_.end(),
        [this](const auto& item)
        {
            const auto& task = item.second;
            const bool asks =
                task.in_doubt && (task.state == task_state::starting ||
                                  (task.state == task_state::stopping && task.answered));
            return asks && renewals_.lower_bound(task.listed_from) == renewals_.end();
        });
}

void task_host::renew_if_needed(instant now)
{
    const bool at_once = silent_renewals_ == 0 && must_ask_now();
    const auto pause = at_once                ? milliseconds(0)
                       : !renewals_.empty()   ? renewal_hedge
                       : silent_renewals_ > 0 ? renewal_retry
                                              : milliseconds(0);
    const auto most = at_once ? max_renewals + urgent_renewals : max_renewals;
    if (!worker_ || renewals_.size() >= most || now - renewal_sent_ < pause)
        return;
    const bool ordered = anything_ordered();
    if (worker_known_ && strangers_.empty() && !ordered && ends_seen_ == ends_confirmed_)
        return;
    const bool stopping =
        !strangers_.empty() ||
        std::any_of(tasks_.begin(), tasks_.end(),
                    [](const auto& item) { return item.second.state == task_state::stopping; });
    auto wait = duration(0);
    if (at_once)
        wait = duration(0);
    else if (stopping)
        wait = stop_poll;
    else if (ordered && worker_known_)
        wait = options_.execution_lease / renewal_wait_divisor;
    renewal_sent_ = now;
    renewals_[last_renewal_ + 1] = now;
    ends_confirmed_ = ends_seen_;
    const auto wait_ms = std::chrono::duration_cast<milliseconds>(wait).count();
    effects_.emplace_back(renewal_request{++last_renewal_, ordered ? extend_lease(now) : 0, fence_,
                                          ends_seen_, static_cast<std::uint32_t>(wait_ms)});
}

void task_host::on_listing(instant now, std::uint64_t number,
                           const std::optional<run_listing>& listing)
{
    const auto asked = renewals_.find(number);
    if (asked == renewals_.end())
        return;
    renewals_.erase(asked);
    if (!listing)
    {
        if (++silent_renewals_ == silent_limit)
            log_event(log_level::warn, "worker_silent",
                      {{"worker", worker_ ? worker_->id : std::string()}});
        ends_confirmed_ = 0;
        describe_if_changed(now);
        renew_if_needed(now);
        return;
    }
    if (worker_ && listing->start_time_ms != 0 && worker_->start_time_ms != 0 &&
        listing->start_time_ms != worker_->start_time_ms)
    {
        log_event(log_level::info, "worker_restarted", {{"lifetime", listing->start_time_ms}});
        worker_->start_time_ms = listing->start_time_ms;
        worker_->sequence = 0;
        begin_worker_life();
    }
    silent_renewals_ = 0;
    clock_ms_ = listing->clock_ms;
    clock_read_ = now;
    reconcile(now, number, *listing);
    describe_if_changed(now);
    start_waiting(now);
    renew_if_needed(now);
}

void task_host::reconcile(instant now, std::uint64_t number, const run_listing& listing)
{
    for (const auto& end : listing.ended)
    {
        if (end.number <= ends_seen_)
            continue;
        ends_seen_ = end.number;
        take_end(now, end);
    }
    std::set<run_key> running;
    for (const auto& [run, percent_done] : listing.running)
    {
        running.insert(run);
        auto* task = find(run);
        if (task == nullptr)
        {
            if (!options_.mechanisms.stop_unknown_runs)
                continue;
            if (strangers_.try_emplace(run, now).second)
                effects_.emplace_back(stop_request{run, fence_});
        }
        else if (task->state == task_state::starting)
        {
            // The start's own answer was lost or overtaken.
            task->state = task_state::running;
            task->answered = true;
            task->in_doubt = false;
            task->listed_from = last_renewal_ + 1;
            task->advanced_ms = listing.clock_ms;
        }
        else if (task->state == task_state::running)
            watch_progress(now, *task, percent_done, listing.clock_ms);
    }
    std::erase_if(strangers_, [&](const auto& item) { return !running.contains(item.first); });
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        auto& hosted = task->second;
        const bool absent = hosted.state != task_state::waiting && number >= hosted.listed_from &&
                            !running.contains(hosted.run);
        if (absent && hosted.state == task_state::starting && hosted.in_doubt)
            order_stop(now, hosted);
        task =
            absent && hosted.answered ? finish(now, task, task_end_kind::stopped) : std::next(task);
    }
    worker_known_ = strangers_.empty();
}

void task_host::watch_progress(instant now, hosted_task& task, std::uint32_t percent_done,
                               std::int64_t clock_ms)
{
    if (percent_done > task.percent_done)
    {
        task.percent_done = percent_done;
        task.advanced_ms = clock_ms;
        return;
    }
    // Both readings are the worker's, so answers that come late do not count as a stall.
    const auto still_ms = clock_ms - task.advanced_ms;
    const auto allowed =
        std::chrono::duration_cast<milliseconds>(stall_limit(milliseconds(task.estimate_ms)));
    if (!options_.mechanisms.stop_stalled_runs || still_ms < allowed.count())
        return;
    ++counters_.stalled;
    health_.on_failure(now, task.run.job);
    log_event(log_level::info, "run_stalled",
              {{"job", task.run.job},
               {"task", task.run.index},
               {"run", task.run.number},
               {"percent", task.percent_done},
               {"still_ms", still_ms},
               {"estimate_ms", task.estimate_ms}});
    order_stop(now, task);
}

void task_host::take_end(instant now, const run_end& end)
{
    strangers_.erase(end.run);
    if (find(end.run) == nullptr)
        return;
    const auto task = tasks_.find({end.run.job, end.run.step, end.run.index});
    switch (end.kind)
    {
    case run_end_kind::done:
        health_.on_success();
        finish(now, task, task_end_kind::done);
        return;
    case run_end_kind::failed:
        health_.on_failure(now, end.run.job);
        finish(now, task, task_end_kind::failed);
        return;
    case run_end_kind::stopped:
    case run_end_kind::lease_expired:
    case run_end_kind::other:
        finish(now, task, task_end_kind::stopped);
        return;
    }
}

void task_host::lose_worker_runs(instant now)
{
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        if (task->second.state != task_state::waiting)
            task = finish(now, task, task_end_kind::stopped);
        else
            ++task;
    }
}

} // namespace tarragonlock
