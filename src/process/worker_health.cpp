#include "tarragonlock/process/worker_health.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Number of different jobs whose runs fail in a row before the worker is suspended.
constexpr std::size_t min_failed_jobs = 3;
/// Maximum suspension, which bounds how long a recovered worker stays unused.
constexpr auto max_suspension = std::chrono::milliseconds(2000);

} // namespace

void worker_health::on_success()
{
    failed_jobs_.clear();
    suspended_until_ = {};
    next_suspension_ = first_suspension;
}

void worker_health::on_failure(instant now, const std::string& job)
{
    failed_jobs_.insert(job);
    // Runs that were started before the suspension give no new information.
    if (failed_jobs_.size() < min_failed_jobs || now < suspended_until_)
        return;
    suspended_until_ = now + next_suspension_;
    next_suspension_ = std::min<duration>(next_suspension_ * 2, max_suspension);
}

worker_condition worker_health::condition(instant now) const
{
    if (failed_jobs_.size() < min_failed_jobs)
        return worker_condition::healthy;
    return now < suspended_until_ ? worker_condition::paused : worker_condition::probation;
}

} // namespace tarragonlock
