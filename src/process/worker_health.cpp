#include "tarragonlock/process/worker_health.hpp"

#include <algorithm>

namespace tarragonlock
{

namespace
{

/// Jobs in a row whose runs fail before a worker rests.
constexpr std::size_t suspicious_jobs = 3;
/// Longest time for which a worker that has recovered goes unused.
constexpr auto longest_rest = std::chrono::milliseconds(2000);

} // namespace

void worker_health::on_success()
{
    failed_jobs_.clear();
    rests_until_ = {};
    next_rest_ = first_rest;
}

void worker_health::on_failure(instant now, const std::string& job)
{
    failed_jobs_.insert(job);
    // Runs that began before the rest say nothing new.
    if (failed_jobs_.size() < suspicious_jobs || now < rests_until_)
        return;
    rests_until_ = now + next_rest_;
    next_rest_ = std::min<duration>(next_rest_ * 2, longest_rest);
}

worker_condition worker_health::condition(instant now) const
{
    if (failed_jobs_.size() < suspicious_jobs)
        return worker_condition::sound;
    return now < rests_until_ ? worker_condition::resting : worker_condition::on_trial;
}

} // namespace tarragonlock
