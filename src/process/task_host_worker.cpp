#include "tarragonlock/process/task_host.hpp"

#include "tarragonlock/common/log.hpp"
#include "tarragonlock/request/departure.hpp"
#include "tarragonlock/request/stall_limit.hpp"

#include <algorithm>
#include <set>

namespace tarragonlock
{

namespace
{

using std::chrono::milliseconds;

/// Maximum ratio of the agent's clock rate to the worker's; lease times are scaled by it, because a
/// lease lasts longer on a slow worker clock.
constexpr double slow_clock_factor = 1.02;
/// Allowance for the error of the worker clock estimate and for the transit time of a request.
constexpr auto lease_margin = milliseconds(30);
/// The long-poll time of a renewal is the execution lease divided by this; a quarter of the lease
/// leaves time for two lost answers.
constexpr int renewal_wait_divisor = 4;
/// Long-poll time of a renewal while runs are being stopped.
constexpr auto stopping_renewal_wait = milliseconds(50);
/// Minimum time between two renewals while the worker does not answer.
constexpr auto renewal_retry_interval = milliseconds(50);
/// Delay after which another renewal is sent while earlier ones are pending, because their answers
/// may be lost; several times the usual time between two run ends on a busy worker.
constexpr auto renewal_hedge_delay = milliseconds(40);
/// Maximum number of pending renewals.
constexpr std::size_t max_pending_renewals = 4;
/// Additional pending renewals allowed for immediate ones, which only ask for the listing.
constexpr std::size_t extra_immediate_renewals = 2;

} // namespace

bool task_host::is_outdated(const worker_announcement& announcement) const
{
    if (!worker_)
        return false;
    if (worker_->id != announcement.id || worker_->start_time_ms != announcement.start_time_ms)
        return announcement.start_time_ms < worker_->start_time_ms;
    // A repeated announcement must not bring back a worker that has left since.
    return announcement.sequence < worker_->sequence ||
           (worker_left_ && announcement.sequence == worker_->sequence);
}

bool task_host::on_announcement(instant now, const worker_announcement& announcement)
{
    const bool outdated = is_outdated(announcement);
    // A delayed announcement is not applied while the known worker shows signs of life. An earlier
    // start time may also be that of a new process, after the clock has been set back; the worker's
    // next listing has its actual start time.
    if (outdated && now - last_sign_of_life_ < options_.announcement_lifetime)
    {
        if (announcement.start_time_ms < worker_->start_time_ms)
            start_time_in_doubt_since_ = now;
        renew_if_needed(now);
        return false;
    }
    const bool same_incarnation = !outdated && worker_ && worker_->id == announcement.id &&
                                  worker_->start_time_ms == announcement.start_time_ms;
    worker_left_ = false;
    last_sign_of_life_ = now;
    if (!same_incarnation)
    {
        log_event(log_level::info, "worker_joined",
                  {{"worker", announcement.id}, {"lifetime", announcement.start_time_ms}});
        free_ = announcement.capacity;
        for (const auto& [id, task] : tasks_)
        {
            if (task.state != task_state::waiting)
                free_ -= task.demand;
        }
        reset_worker_state();
        unanswered_renewals_ = 0;
    }
    else
    {
        free_ += announcement.capacity;
        free_ -= worker_->capacity;
    }
    worker_ = announcement;
    announced_at_ = now;
    worker_clock_ms_ = announcement.clock_ms;
    worker_clock_read_at_ = now;
    if (!worker_->accepting)
        return_waiting_tasks(now);
    send_description_if_changed(now);
    renew_if_needed(now);
    start_waiting_tasks(now);
    return true;
}

/// Discards the state of the previous worker process. Its runs have ended, but some may already
/// have been started on the new process, so the next listing decides which runs exist.
void task_host::reset_worker_state()
{
    last_end_received_ = 0;
    last_end_acknowledged_ = 0;
    last_listing_clock_ms_ = 0;
    health_.reset();
    worker_reconciled_ = false;
    unknown_runs_.clear();
    // Start requests meant for the previous process may still arrive. The worker rejects them once
    // it has received the higher fence with a new renewal.
    if (options_.mechanisms.raise_fence_on_worker_restart)
        ++fence_;
    pending_renewals_.clear();
    last_renewal_sent_at_ = {};
}

void task_host::on_worker_left(instant now, const std::string& id)
{
    if (!worker_ || worker_->id != id)
        return;
    log_event(log_level::info, "worker_left", {{"worker", id}});
    worker_->accepting = false;
    worker_left_ = true;
    announced_at_ = instant{};
    last_sign_of_life_ = now;
    return_waiting_tasks(now);
    send_description_if_changed(now);
}

std::int64_t task_host::worker_clock(instant now) const
{
    return worker_clock_ms_ +
           std::chrono::duration_cast<milliseconds>(now - worker_clock_read_at_).count();
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
            end = std::min(end,
                           entry->second.lease_start + options_.caller_resend_delay - lease_margin);
        if (end == instant::max())
            continue;
        const auto remaining =
            std::chrono::duration<double, std::micro>(end - now - lease_margin) / slow_clock_factor;
        limit = std::min(limit, std::chrono::duration_cast<duration>(remaining));
    }
    return std::max(limit, duration(0));
}

std::int64_t task_host::extend_lease(instant now)
{
    // A worker whose restart has not been detected yet reads the lease end on a different clock,
    // and may keep the lease for the longest time that it grants.
    const auto latest =
        std::chrono::duration<double, std::micro>(options_.execution_lease) * slow_clock_factor;
    worker_lease_end_ = now + std::chrono::duration_cast<duration>(latest) + lease_margin;
    const auto length = lease_length(now);
    return worker_clock(now) + std::chrono::duration_cast<milliseconds>(length).count();
}

bool task_host::needs_immediate_renewal() const
{
    return std::any_of(tasks_.begin(), tasks_.end(),
                       [this](const auto& item)
                       {
                           const auto& task = item.second;
                           const bool asks =
                               task.in_doubt &&
                               (task.state == task_state::starting ||
                                (task.state == task_state::stopping && task.confirmed));
                           return asks && pending_renewals_.lower_bound(task.conclusive_renewal) ==
                                              pending_renewals_.end();
                       });
}

/// @return whether the worker has to list its runs, or has run ends to remove from its list
bool task_host::needs_listing(instant now) const
{
    if (!worker_reconciled_ || !unknown_runs_.empty() || has_active_runs() ||
        last_end_received_ != last_end_acknowledged_)
        return true;
    if (start_time_in_doubt_since_ &&
        now - *start_time_in_doubt_since_ < options_.announcement_lifetime)
        return true;
    // Only a listing shows that a worker which left renewals unanswered answers again. One that no
    // longer announces itself has probably ended.
    return options_.mechanisms.ask_silent_worker && unanswered_renewals_ > 0 &&
           announced_recently(now);
}

void task_host::renew_if_needed(instant now)
{
    const bool immediate = unanswered_renewals_ == 0 && needs_immediate_renewal();
    const auto min_interval = immediate                    ? milliseconds(0)
                              : !pending_renewals_.empty() ? renewal_hedge_delay
                              : unanswered_renewals_ > 0   ? renewal_retry_interval
                                                           : milliseconds(0);
    const auto max_pending =
        immediate ? max_pending_renewals + extra_immediate_renewals : max_pending_renewals;
    if (!worker_ || pending_renewals_.size() >= max_pending ||
        now - last_renewal_sent_at_ < min_interval)
        return;
    if (!needs_listing(now))
        return;
    const bool active = has_active_runs();
    const bool stopping =
        !unknown_runs_.empty() ||
        std::any_of(tasks_.begin(), tasks_.end(),
                    [](const auto& item) { return item.second.state == task_state::stopping; });
    auto wait = duration(0);
    if (stopping && !immediate)
        wait = stopping_renewal_wait;
    else if (active && worker_reconciled_ && !immediate)
        wait = options_.execution_lease / renewal_wait_divisor;
    ++counters_.renewals;
    last_renewal_sent_at_ = now;
    pending_renewals_[last_renewal_number_ + 1] = fence_;
    last_end_acknowledged_ = last_end_received_;
    effects_.emplace_back(renewal_request{++last_renewal_number_, active ? extend_lease(now) : 0,
                                          fence_, last_end_received_,
                                          static_cast<std::uint32_t>(wait / milliseconds(1))});
}

void task_host::on_renewal_reply(instant now, std::uint64_t number, const renewal_reply& reply)
{
    const auto pending = pending_renewals_.find(number);
    if (pending == pending_renewals_.end())
        return;
    const auto fence = pending->second;
    pending_renewals_.erase(pending);
    if (const auto* listing = std::get_if<run_listing>(&reply))
    {
        on_listing(now, number, *listing);
        return;
    }
    ++counters_.failed_renewals;
    last_end_acknowledged_ = 0;
    const bool fenced = options_.mechanisms.raise_fence_for_renewals &&
                        std::get<renewal_failure>(reply) == renewal_failure::fenced;
    // A worker that refuses a fence is not silent; it answers as soon as the fence is high enough.
    if (fenced && raise_fence(fence))
        last_renewal_sent_at_ = {};
    else if (++unanswered_renewals_ == max_unanswered_renewals)
        log_event(log_level::warn, "worker_silent",
                  {{"worker", worker_ ? worker_->id : std::string()}});
    send_description_if_changed(now);
    renew_if_needed(now);
}

void task_host::on_listing(instant now, std::uint64_t number, const run_listing& listing)
{
    if (worker_ && listing.start_time_ms != 0 && worker_->start_time_ms != 0 &&
        listing.start_time_ms != worker_->start_time_ms)
    {
        log_event(log_level::info, "worker_restarted", {{"lifetime", listing.start_time_ms}});
        worker_->start_time_ms = listing.start_time_ms;
        worker_->sequence = 0;
        reset_worker_state();
    }
    unanswered_renewals_ = 0;
    last_sign_of_life_ = now;
    start_time_in_doubt_since_.reset();
    fence_step_ = 1;
    worker_clock_ms_ = listing.clock_ms;
    worker_clock_read_at_ = now;
    reconcile(now, number, listing);
    send_description_if_changed(now);
    start_waiting_tasks(now);
    renew_if_needed(now);
}

void task_host::reconcile(instant now, std::uint64_t number, const run_listing& listing)
{
    for (const auto& end : listing.ended)
    {
        if (end.number <= last_end_received_)
            continue;
        last_end_received_ = end.number;
        on_run_end(now, end);
    }
    // Answers to overlapping renewals may arrive in another order; an older listing still has runs
    // whose end a newer one has reported.
    const bool outdated = listing.clock_ms < last_listing_clock_ms_;
    last_listing_clock_ms_ = std::max(last_listing_clock_ms_, listing.clock_ms);
    std::set<run_key> running;
    for (const auto& [run, percent_done] : listing.running)
    {
        running.insert(run);
        auto* task = find_run(run);
        if (task == nullptr)
        {
            if (outdated || !options_.mechanisms.stop_unknown_runs)
                continue;
            if (unknown_runs_.try_emplace(run, now).second)
                effects_.emplace_back(stop_request{run, fence_});
        }
        else if (task->state == task_state::starting)
        {
            // The reply to the start request was lost, or this listing arrived before it.
            task->state = task_state::running;
            task->confirmed = true;
            task->in_doubt = false;
            task->conclusive_renewal = last_renewal_number_ + 1;
            task->progress.changed_ms = listing.clock_ms;
        }
        else if (task->state == task_state::running && !outdated)
            check_progress(now, *task, percent_done, listing.clock_ms);
    }
    if (!outdated)
        std::erase_if(unknown_runs_,
                      [&](const auto& item) { return !running.contains(item.first); });
    for (auto task = tasks_.begin(); task != tasks_.end();)
    {
        auto& hosted = task->second;
        const bool absent = hosted.state != task_state::waiting &&
                            number >= hosted.conclusive_renewal && !running.contains(hosted.run);
        if (absent && hosted.state == task_state::starting && hosted.in_doubt)
            send_stop(now, hosted);
        task = absent && hosted.confirmed ? finish(now, task, task_end_kind::stopped)
                                          : std::next(task);
    }
    worker_reconciled_ = unknown_runs_.empty();
}

void task_host::check_progress(instant now, hosted_task& task, std::uint32_t percent_done,
                               std::int64_t clock_ms)
{
    const auto no_progress_ms = task.progress.update(percent_done, clock_ms);
    task.min_slowness =
        min_slowness(now - task.started_at, task.progress.percent, milliseconds(task.declared_ms));
    const bool stalled =
        options_.mechanisms.stop_stalled_runs &&
        milliseconds(no_progress_ms) >= stall_limit(milliseconds(task.declared_ms));
    if (!stalled && !outlives_worker(now, task))
        return;
    ++(stalled ? counters_.stalled : counters_.departing);
    if (stalled)
        health_.on_failure(now, task.run.job);
    log_event(log_level::info, stalled ? "run_stalled" : "run_outlives_worker",
              {{"job", task.run.job},
               {"task", task.run.index},
               {"run", task.run.number},
               {"percent", task.progress.percent},
               {"still_ms", no_progress_ms},
               {"estimate_ms", task.declared_ms}});
    send_stop(now, task);
}

bool task_host::outlives_worker(instant now, const hosted_task& task) const
{
    return options_.mechanisms.restart_departing_runs && worker_ && worker_->leaves_after &&
           task.progress.shows_pace() &&
           restart_elsewhere({now - task.started_at, task.progress.percent,
                              milliseconds(task.declared_ms), task.caller_leaves_at - now},
                             *worker_->leaves_after - (now - announced_at_));
}

void task_host::on_run_end(instant now, const run_end& end)
{
    unknown_runs_.erase(end.run);
    if (find_run(end.run) == nullptr)
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

} // namespace tarragonlock
