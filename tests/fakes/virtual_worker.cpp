#include "fakes/virtual_worker.hpp"

#include <algorithm>

namespace tarragonlock::fakes
{

namespace
{

/// Maximum lease that a worker accepts, by its own clock.
constexpr std::int64_t max_lease_ms = 1000;
/// Time from a stop request until the run ends.
constexpr auto stop_time = std::chrono::milliseconds(50);
/// Resources that each task of the tests needs.
constexpr resource_amount task_demand{1600, 64, 0};

task_key task_of(const run_key& run)
{
    return {run.job, run.step, run.index};
}

} // namespace

virtual_worker::virtual_worker(options settings, run_tracker& tracker)
    : settings_(std::move(settings)), tracker_(tracker)
{
}

void virtual_worker::replace(instant now, const std::string& id)
{
    restart(now);
    settings_.id = id;
}

void virtual_worker::restart(instant now)
{
    while (!active_.empty())
        end_run(active_.begin(), run_end_kind::other);
    start_time_ = now;
    start_time_ms_ = (now.time_since_epoch() + wall_clock_offset_) / std::chrono::milliseconds(1);
    sequence_ = 0;
    leaves_at_.reset();
    highest_fence_ = 0;
    lease_end_ms_ = 0;
    last_end_number_ = 0;
    superseded_up_to_.clear();
    unacknowledged_ends_.clear();
}

std::int64_t virtual_worker::clock(instant now) const
{
    const std::chrono::duration<double, std::milli> uptime = now - start_time_;
    return 1 + static_cast<std::int64_t>(uptime.count() * settings_.clock_rate);
}

worker_announcement virtual_worker::announcement(instant now)
{
    worker_announcement result;
    result.id = settings_.id;
    result.service = "clearing";
    result.address = "127.0.0.1:1";
    result.failure_domain = "fd-0";
    result.capacity = settings_.capacity;
    result.accepting = !leaves_at_;
    if (leaves_at_)
        result.leaves_after = std::max(*leaves_at_ - now, duration(0));
    result.clock_ms = clock(now);
    result.start_time_ms = start_time_ms_;
    result.sequence = ++sequence_;
    return result;
}

void virtual_worker::extend_lease(instant now, std::int64_t lease_end_ms)
{
    lease_end_ms_ = std::max(lease_end_ms_, std::min(lease_end_ms, clock(now) + max_lease_ms));
}

std::pair<start_reply, std::int64_t>
virtual_worker::start(instant now, const start_request& request, duration work, bool fails)
{
    if (refuses_requests(now))
        return {start_reply::unavailable, 0};
    const auto clock_ms = clock(now);
    if (!request.worker_id.empty() && request.worker_id != settings_.id)
        return {start_reply::wrong_worker, clock_ms};
    if (request.fence < highest_fence_)
        return {start_reply::fenced, clock_ms};
    highest_fence_ = request.fence;
    if (active_.contains(request.run))
        return {start_reply::accepted, clock_ms};
    if (request.lease_end_ms <= clock_ms)
        return {start_reply::lease_expired, clock_ms};
    extend_lease(now, request.lease_end_ms);
    const auto task = task_of(request.run);
    if (const auto superseded = superseded_up_to_.find(task);
        superseded != superseded_up_to_.end() && request.run.number <= superseded->second)
        return {start_reply::superseded, clock_ms};
    auto used = task_demand;
    for (const auto& [run, other] : active_)
        used += other.demand;
    if (!used.fits_into(settings_.capacity))
    {
        std::string runs;
        for (const auto& [run, other] : active_)
            runs += " " + run.job + "/" + std::to_string(run.index) + "." +
                    std::to_string(run.number) + (other.stopping ? "s" : "");
        tracker_.violations.push_back("over capacity: " + settings_.id + " runs" + runs);
    }
    if (++tracker_.running[task] > 1)
        tracker_.violations.push_back("two runs at a time: " + request.run.job + "/" +
                                      std::to_string(request.run.index) + " on " + settings_.id);
    ++tracker_.starts;
    tracker_.started_jobs.insert(request.run.job);
    const std::chrono::duration<double, std::micro> scaled(static_cast<double>(work.count()) /
                                                           settings_.speed);
    const auto run_time = std::chrono::duration_cast<duration>(scaled);
    active_[request.run] = {task_demand, run_time, now + run_time, fails, false};
    return {start_reply::accepted, clock_ms};
}

stop_reply virtual_worker::stop(instant now, const stop_request& request)
{
    if (refuses_requests(now))
        return stop_reply::unavailable;
    if (request.fence < highest_fence_)
        return stop_reply::fenced;
    highest_fence_ = request.fence;
    auto& superseded = superseded_up_to_[task_of(request.run)];
    superseded = std::max(superseded, request.run.number);
    for (auto& [run, active] : active_)
    {
        if (task_of(run) != task_of(request.run) || run.number > request.run.number ||
            active.stopping)
            continue;
        active.stopping = true;
        active.end = std::min(active.end, now + stop_time);
    }
    return stop_reply::accepted;
}

std::optional<renewal_failure> virtual_worker::renew(instant now, const renewal_request& request)
{
    if (refuses_requests(now))
        return renewal_failure::no_answer;
    if (request.fence < highest_fence_)
        return renewal_failure::fenced;
    highest_fence_ = request.fence;
    if (request.lease_end_ms > 0)
        extend_lease(now, request.lease_end_ms);
    std::erase_if(unacknowledged_ends_,
                  [&](const run_end& item) { return item.number <= request.acknowledged_end; });
    return std::nullopt;
}

run_listing virtual_worker::listing(instant now) const
{
    run_listing result;
    result.clock_ms = clock(now);
    result.start_time_ms = start_time_ms_;
    for (const auto& [run, active] : active_)
    {
        const auto remaining = std::max(active.end - now, duration(0));
        const auto progress =
            1.0 - static_cast<double>(remaining.count()) /
                      static_cast<double>(std::max(active.work, remaining).count());
        result.running.push_back({run, static_cast<std::uint32_t>(100.0 * progress)});
    }
    result.ended = unacknowledged_ends_;
    return result;
}

void virtual_worker::end_run(std::map<run_key, active_run>::iterator run, run_end_kind kind)
{
    const auto task = task_of(run->first);
    --tracker_.running[task];
    if (kind == run_end_kind::done)
        tracker_.done[task] = true;
    auto& superseded = superseded_up_to_[task];
    superseded = std::max(superseded, run->first.number);
    unacknowledged_ends_.push_back({++last_end_number_, run->first, kind});
    active_.erase(run);
}

void virtual_worker::on_tick(instant now)
{
    const auto elapsed = now - std::exchange(last_tick_, now);
    if (now < stalled_until_)
    {
        for (auto& [run, active] : active_)
        {
            if (!active.stopping)
                active.end += elapsed;
        }
    }
    else if (now < slow_until_)
    {
        for (auto& [run, active] : active_)
        {
            if (!active.stopping)
                active.end +=
                    std::chrono::duration_cast<duration>(elapsed * (1.0 - 1.0 / slow_factor_));
        }
    }
    const bool lease_expired = !active_.empty() && clock(now) >= lease_end_ms_;
    for (auto run = active_.begin(); run != active_.end();)
    {
        const auto next = std::next(run);
        if (lease_expired)
            end_run(run, run_end_kind::lease_expired);
        else if (run->second.end <= now)
            end_run(run, run->second.stopping ? run_end_kind::stopped
                         : run->second.fails  ? run_end_kind::failed
                                              : run_end_kind::done);
        run = next;
    }
}

} // namespace tarragonlock::fakes
