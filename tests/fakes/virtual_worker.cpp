#include "fakes/virtual_worker.hpp"

#include <algorithm>

namespace tarragonlock::fakes
{

namespace
{

/// Longest lease that a worker grants, on its own clock.
constexpr std::int64_t longest_lease_ms = 1000;
/// Time that a stop takes.
constexpr auto stop_time = std::chrono::milliseconds(50);
/// What a task of the tests takes.
constexpr resource_amount task_demand{1600, 64, 0};

task_name name_of(const run_key& run)
{
    return {run.job, run.step, run.index};
}

} // namespace

virtual_worker::virtual_worker(options settings, run_ledger& ledger)
    : settings_(std::move(settings)), ledger_(ledger)
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
        end(active_.begin(), run_end_kind::other);
    born_ = now;
    lifetime_ =
        std::chrono::duration_cast<std::chrono::milliseconds>(now.time_since_epoch()).count();
    sequence_ = 0;
    highest_fence_ = 0;
    lease_end_ms_ = 0;
    last_end_ = 0;
    barred_.clear();
    ended_.clear();
}

std::int64_t virtual_worker::clock(instant now) const
{
    const std::chrono::duration<double, std::milli> lived = now - born_;
    return 1 + static_cast<std::int64_t>(lived.count() * settings_.clock_rate);
}

worker_announcement virtual_worker::announcement(instant now)
{
    worker_announcement said;
    said.id = settings_.id;
    said.service = "clearing";
    said.address = "127.0.0.1:1";
    said.failure_domain = "fd-0";
    said.capacity = settings_.capacity;
    said.accepting = true;
    said.clock_ms = clock(now);
    said.start_time_ms = lifetime_;
    said.sequence = ++sequence_;
    return said;
}

void virtual_worker::extend(instant now, std::int64_t lease_end_ms)
{
    lease_end_ms_ = std::max(lease_end_ms_, std::min(lease_end_ms, clock(now) + longest_lease_ms));
}

std::pair<start_reply, std::int64_t> virtual_worker::start(instant now, const start_request& order,
                                                           duration work, bool fails)
{
    const auto read = clock(now);
    if (!order.worker_id.empty() && order.worker_id != settings_.id)
        return {start_reply::wrong_worker, read};
    if (order.fence < highest_fence_)
        return {start_reply::fenced, read};
    highest_fence_ = order.fence;
    if (active_.contains(order.run))
        return {start_reply::accepted, read};
    if (order.lease_end_ms <= read)
        return {start_reply::lease_expired, read};
    extend(now, order.lease_end_ms);
    const auto task = name_of(order.run);
    if (const auto bar = barred_.find(task);
        bar != barred_.end() && order.run.number <= bar->second)
        return {start_reply::superseded, read};
    auto used = task_demand;
    for (const auto& [run, other] : active_)
        used += other.demand;
    if (!used.fits_into(settings_.capacity))
    {
        std::string held;
        for (const auto& [run, other] : active_)
            held += " " + run.job + "/" + std::to_string(run.index) + "." +
                    std::to_string(run.number) + (other.stopping ? "s" : "");
        ledger_.violations.push_back("over capacity: " + settings_.id + " runs" + held);
    }
    if (++ledger_.running[task] > 1)
        ledger_.violations.push_back("two runs at a time: " + order.run.job + "/" +
                                     std::to_string(order.run.index) + " on " + settings_.id);
    ++ledger_.starts;
    ledger_.started_jobs.insert(order.run.job);
    const std::chrono::duration<double, std::micro> takes(static_cast<double>(work.count()) /
                                                          settings_.speed);
    const auto length = std::chrono::duration_cast<duration>(takes);
    active_[order.run] = {task_demand, length, now + length, fails, false};
    return {start_reply::accepted, read};
}

stop_reply virtual_worker::stop(instant now, const stop_request& order)
{
    if (order.fence < highest_fence_)
        return stop_reply::refused;
    highest_fence_ = order.fence;
    auto& bar = barred_[name_of(order.run)];
    bar = std::max(bar, order.run.number);
    for (auto& [run, active] : active_)
    {
        if (name_of(run) != name_of(order.run) || run.number > order.run.number || active.stopping)
            continue;
        active.stopping = true;
        active.end = std::min(active.end, now + stop_time);
    }
    return stop_reply::accepted;
}

run_listing virtual_worker::listing(instant now, const renewal_request& order)
{
    highest_fence_ = std::max(highest_fence_, order.fence);
    if (order.fence == highest_fence_ && order.lease_end_ms > 0)
        extend(now, order.lease_end_ms);
    std::erase_if(ended_,
                  [&](const run_end& item) { return item.number <= order.acknowledged_end; });
    run_listing said;
    said.clock_ms = clock(now);
    said.start_time_ms = lifetime_;
    for (const auto& [run, active] : active_)
    {
        const auto left = std::max(active.end - now, duration(0));
        const auto share = 1.0 - static_cast<double>(left.count()) /
                                     static_cast<double>(std::max(active.work, left).count());
        said.running.push_back({run, static_cast<std::uint32_t>(100.0 * share)});
    }
    said.ended = ended_;
    return said;
}

void virtual_worker::end(std::map<run_key, active_run>::iterator run, run_end_kind kind)
{
    const auto task = name_of(run->first);
    --ledger_.running[task];
    if (kind == run_end_kind::done)
        ledger_.done[task] = true;
    auto& bar = barred_[task];
    bar = std::max(bar, run->first.number);
    ended_.push_back({++last_end_, run->first, kind});
    active_.erase(run);
}

void virtual_worker::on_tick(instant now)
{
    const auto passed = now - std::exchange(ticked_, now);
    if (now < still_until_)
    {
        for (auto& [run, active] : active_)
        {
            if (!active.stopping)
                active.end += passed;
        }
    }
    const bool lapsed = !active_.empty() && clock(now) >= lease_end_ms_;
    for (auto run = active_.begin(); run != active_.end();)
    {
        const auto next = std::next(run);
        if (lapsed)
            end(run, run_end_kind::lease_expired);
        else if (run->second.end <= now)
            end(run, run->second.stopping ? run_end_kind::stopped
                     : run->second.fails  ? run_end_kind::failed
                                          : run_end_kind::done);
        run = next;
    }
}

} // namespace tarragonlock::fakes
